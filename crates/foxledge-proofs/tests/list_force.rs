//! An accepted rule list is in force on every instance within seconds and never reverts.

use std::{thread, time::Duration};

use anyhow::{Result, ensure};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{FleetPlan, LinkMode, TestFleet, wait_until, wait_until_ok},
    platform::orders::{PartText, PlatformHealth, PlatformOrder},
    publish::RulePlan,
};
use foxledge_proofs::{
    fleet_helpers::{
        RevisionMonitor, audit_entries, current_revision, ensure_clean, peers_in_states,
        plan_two_centres, read_status, start_bids, stop_load, wait_audit, wait_instance_revision,
        wait_more_runs, wait_revision,
    },
    fleet_limit::LimitedFleet,
    request_helpers::{CENTRE, DESK, MEMBER, WIDE_LIMIT, plan_fleet},
};
use serde_json::Value;

/// Wide limit for "within seconds".
const FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Puts a rule that changes nothing for the loads here in place of the one from an earlier call.
fn change_rules(fleet: &mut TestFleet, name: &str) {
    let rule = RulePlan::serve(name, DESK.1, DESK.0).members(&["harbor-sets"]).priority(3);
    fleet.list.rules.retain(|rule| rule.when.member.is_empty());
    fleet.list.rules.insert(0, rule);
}

/// Publishes one more change.
fn publish_change(fleet: &mut TestFleet, name: &str) -> Result<u64> {
    change_rules(fleet, name);
    fleet.publish()
}

/// Where an instance has the list of a revision from.
fn source_of(fleet: &TestFleet, index: usize, revision: u64) -> Result<String> {
    let entry =
        wait_audit(&fleet.instances[index], "list_accepted", &format!("revision {revision} "))?;
    Ok(entry["source"].as_str().unwrap_or_default().to_owned())
}

/// Symptom: an instance that starts while the platform is down never serves.
/// Sequence: the fleet has a list; the platform goes down for good; an instance is added and all
/// that were there before are replaced.
/// Cause: the only way to a list was the platform.
#[test]
fn platform_down() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1))?;
    let revision = publish_change(&mut fleet, "before-the-fault")?;
    let took = wait_revision(&fleet, revision, FORCE_LIMIT)?;
    println!("in force on 2 instances after {took:?}");
    fleet.platform.client.set_health(PlatformHealth::Down)?;
    for index in 0..2 {
        let new = fleet.replace_instance(index, WIDE_LIMIT)?;
        wait_instance_revision(&fleet.instances[new], revision, FORCE_LIMIT)?;
        let source = source_of(&fleet, new, revision)?;
        ensure!(source.starts_with("peer"), "the list came from {source}");
    }
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.seconds(1.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served > 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// As above, with an instance that knows no peers.
#[test]
fn platform_down_without_peers() -> Result<()> {
    // The first instances find each other by the platform's listing, while it is up.
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1).settings("[peers]\nseeds = []\n"))?;
    fleet.platform.client.set_health(PlatformHealth::Down)?;
    let new = fleet.spawn_instance(CENTRE)?;
    // Longer than an instance waits for peers' and the platform's answers.
    wait_until_ok("the new instance has waited", WIDE_LIMIT, || {
        let uptime = read_status(&fleet.instances[new])?["uptime_ms"].as_u64().unwrap_or(0);
        ensure!(uptime > 5000, "{uptime} ms");
        Ok(())
    })?;
    ensure!(!fleet.instances[new].is_ready(), "it has a list, from wherever");
    fleet.platform.client.set_health(PlatformHealth::Up)?;
    fleet.instances[new].wait_ready(WIDE_LIMIT)
}

/// Symptom: rules that were replaced long ago are in force again.
/// Sequence: a list is published and in force; the platform is restarted at an older state; an
/// instance is added that reads that one, while it is cut off from the others; the cut ends.
/// Cause: what was heard last was believed in place of the highest revision.
fn restart_stale(plan: FleetPlan) -> Result<(LimitedFleet, u64, RevisionMonitor)> {
    let mut fleet = LimitedFleet::start(plan.link_mode(LinkMode::Routed))?;
    let stale = fleet.platform.client.report()?.revision;
    let old = current_revision(fleet.instances[0].listen.admin)?;
    // All parts of the old list stay in the new one, so that it takes one message to go back.
    fleet.list.more.push(member_part(9, 2000));
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, FORCE_LIMIT)?;
    fleet.platform.client.rewind(stale)?;
    let links = fleet.links.as_ref().expect("the fleet is routed");
    links.cut("toledo-3", "toledo-1")?;
    links.cut("toledo-3", "toledo-2")?;
    fleet.spawn_instance(CENTRE)?;
    wait_instance_revision(&fleet.instances[2], old, WIDE_LIMIT)?;
    fleet.instances[2].wait_ready(WIDE_LIMIT)?;
    let watch = RevisionMonitor::start(&fleet);
    let links = fleet.links.as_ref().expect("the fleet is routed");
    links.heal("toledo-3", "toledo-1")?;
    links.heal("toledo-3", "toledo-2")?;
    Ok((fleet, revision, watch))
}

#[test]
fn platform_restarted_stale() -> Result<()> {
    let (mut fleet, revision, watch) = restart_stale(plan_fleet(2, 1))?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;

    // The operator's next list is taken as soon as its revision is past the newest one.
    change_rules(&mut fleet, "after-the-restart");
    let parts = fleet.list.parts()?;
    let order = PlatformOrder::PublishList { parts, at_least: revision + 1 };
    let next = fleet.platform.client.order(&order)?.revision;
    wait_revision(&fleet, next, FORCE_LIMIT)?;
    let steps_back = watch.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// As above, with the refusal of older lists switched off.
#[test]
fn stale_list_believed() -> Result<()> {
    let plan = plan_fleet(2, 1).settings("[trial]\nrefuse_stale_lists = false\n");
    let (fleet, revision, watch) = restart_stale(plan)?;
    wait_until("an instance goes back", WIDE_LIMIT, || {
        let first = &fleet.instances[..2];
        first.iter().any(|instance| {
            audit_entries(instance, "list_accepted").is_ok_and(|entries| {
                let from = format!("revision {revision} ");
                let is_step =
                    |entry: &Value| entry["old"].as_str().is_some_and(|old| old.starts_with(&from));
                entries.iter().any(is_step)
            })
        })
    })?;
    // The watch may miss a short step, so that only the audit trail decides.
    println!("seen: {:?}", watch.finish()?);
    Ok(())
}

/// Symptom: some instances obey an old list for as long as the platform shows it to them.
/// Sequence: one reader is shown an older state, another nothing at all, the third what is
/// published; two more lists follow.
/// Cause: an instance believed its own reads of the platform only.
#[test]
fn readers_differ() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 1))?;
    let old = fleet.platform.client.report()?.revision;
    let names: Vec<_> = fleet.instances.iter().map(|instance| instance.name.clone()).collect();
    // One of the elected readers sees the platform as it is, or nobody could learn of a change.
    let is_reader = |index: usize| -> Result<bool> {
        Ok(read_status(&fleet.instances[index])?["reads_platform"] == true)
    };
    let seeing = wait_until_ok("a reader", WIDE_LIMIT, || {
        for index in 0..3 {
            if is_reader(index)? {
                return Ok(index);
            }
        }
        anyhow::bail!("none")
    })?;
    for (index, name) in names.iter().enumerate().filter(|(index, _)| *index != seeing) {
        let shown = if index == 0 { old } else { 0 };
        fleet.platform.client.hold(name, Some(shown))?;
    }
    let watch = RevisionMonitor::start(&fleet);
    for change in ["first-change", "second-change"] {
        let revision = publish_change(&mut fleet, change)?;
        let took = wait_revision(&fleet, revision, FORCE_LIMIT)?;
        println!("{change} in force on 3 instances after {took:?}");
        for index in (0..3).filter(|index| *index != seeing) {
            let source = source_of(&fleet, index, revision)?;
            ensure!(source.starts_with("peer"), "{} has it from {source}", names[index]);
        }
    }
    let steps_back = watch.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// Symptom: no instance ever gets a list from a platform that allows few reads.
/// Sequence: the platform allows four reads a second in all; a fleet starts, and gets a list of
/// which every part is new.
/// Cause: parts that were read before the ration was used up were thrown away.
#[test]
fn platform_rationed() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1).reads_per_second(4))?;
    change_rules(&mut fleet, "rationed");
    for service in &mut fleet.list.services {
        service.queue_limit += 1;
    }
    let more = (0..6).map(|number| member_part(number, 1));
    fleet.list.more.extend(more);
    let revision = fleet.publish()?;
    let took = wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let total = fleet.platform.client.report()?.total();
    println!("in force on 2 instances after {took:?}; {total:?}");
    ensure!(total.rationed > 0, "the ration was never used up: {total:?}");
    Ok(())
}

/// Symptom: instances obey different lists for good after two operators published at once.
/// Sequence: two operators publish ten lists each at the same time.
/// Cause: the order of arrival counted in place of the platform's revision.
#[test]
fn two_operators() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 1))?;
    let watch = RevisionMonitor::start(&fleet);
    let operators: Vec<_> = ["left", "right"]
        .into_iter()
        .map(|operator| {
            let (mut list, client) = (fleet.list.clone(), fleet.platform.client.clone());
            thread::spawn(move || -> Result<u64> {
                let mut newest = 0;
                for number in 0..10 {
                    let rule = RulePlan::serve(&format!("{operator}-{number}"), DESK.1, DESK.0);
                    list.rules.retain(|rule| rule.when.member.is_empty());
                    list.rules.insert(0, rule.members(&["harbor-sets"]).priority(number % 8));
                    newest = client.publish_list(list.parts()?)?;
                }
                Ok(newest)
            })
        })
        .collect();
    let mut newest = 0;
    for operator in operators {
        newest = newest.max(operator.join().expect("the operator ends")?);
    }
    wait_revision(&fleet, newest, FORCE_LIMIT)?;
    let versions = fleet
        .instances
        .iter()
        .map(|instance| Ok(read_status(instance)?["list"].clone()))
        .collect::<Result<Vec<_>>>()?;
    ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    let steps_back = watch.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    // Further changes are taken as ever.
    let revision = publish_change(&mut fleet, "after-both")?;
    wait_revision(&fleet, revision, FORCE_LIMIT).map(drop)
}

/// Symptom: a wrong list stops the fleet, or half of it comes into force.
/// Sequence: under load, an operator publishes a list whose last part names a service that isn't
/// there, and then a right one.
/// Cause: parts came into force as they came, before the whole list was found right.
#[test]
fn list_refused_midway() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let good = publish_change(&mut fleet, "good")?;
    wait_revision(&fleet, good, FORCE_LIMIT)?;
    let bids = start_bids(&fleet, CENTRE, 40.0)?;
    wait_more_runs(&mut fleet, 10)?;

    let right_list = fleet.list.clone();
    // Parts before the wrong one would refuse every bid.
    fleet.list.rules.insert(0, RulePlan::deny_rest("refuses-all").kinds(&["bid"]));
    let text = "[[rule]]\nname = \"wrong\"\nthen = { service = \"nowhere\" }\n".to_owned();
    fleet.list.more.push(PartText { name: "wrong".to_owned(), text });
    let wrong = fleet.publish()?;
    for instance in &fleet.instances {
        let entry = wait_audit(instance, "list_refused", "nowhere")?;
        let told = entry["new"].as_str().unwrap_or_default();
        ensure!(told.contains(&format!("revision {wrong} ")), "{entry}");
    }
    wait_more_runs(&mut fleet, 20)?;
    for instance in &fleet.instances {
        let held = current_revision(instance.listen.admin)?;
        ensure!(held == good, "{} has revision {held}", instance.name);
    }

    fleet.list = right_list;
    let mended = publish_change(&mut fleet, "mended")?;
    wait_revision(&fleet, mended, FORCE_LIMIT)?;
    let report = stop_load(bids)?;
    ensure!(!report.refused.contains_key("DENIED"), "{:?}", report.refused);
    ensure!(report.served > 0 && report.unknown == 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// A part with so many members.
fn member_part(number: usize, members: usize) -> PartText {
    let line = |member| format!("[[member]]\nname = \"shop-{number}-{member:07}\"\n");
    PartText { name: format!("shops-{number}"), text: (0..members).map(line).collect() }
}

/// Symptom: a list larger than a datagram, or than one answer, never comes into force.
/// Sequence: a list of some 3 KB, then one with a part of 1 MB; the platform then goes down and
/// an instance is added, which gets all of it from peers.
/// Cause: a bound on messages between instances that a whole part doesn't fit.
#[test]
fn large_lists() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1))?;
    for members in [80, 29_000] {
        let part = member_part(1, members);
        println!("a part of {} bytes", part.text.len());
        fleet.list.more = vec![part];
        let revision = fleet.publish()?;
        let took = wait_revision(&fleet, revision, WIDE_LIMIT)?;
        println!("in force on 2 instances after {took:?}");
    }
    let revision = fleet.platform.client.report()?.revision;
    fleet.platform.client.set_health(PlatformHealth::Down)?;
    let new = fleet.spawn_instance(CENTRE)?;
    fleet.instances[new].wait_ready(WIDE_LIMIT)?;
    wait_instance_revision(&fleet.instances[new], revision, WIDE_LIMIT)?;
    let source = source_of(&fleet, new, revision)?;
    ensure!(source.starts_with("peer"), "the list came from {source}");
    Ok(())
}

/// Symptom: one data centre obeys an old list long after a cut has healed.
/// Sequence: the network between two data centres is cut, and the platform shows one of them an
/// older state; a list is published; the cut heals, while the platform goes on as it does.
/// Cause: lists that spread inside a data centre only.
#[test]
fn centres_cut_and_stale() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_two_centres(2, 1))?;
    let old = current_revision(fleet.instances[0].listen.admin)?;
    for instance in &fleet.instances[2..] {
        fleet.platform.client.hold(&instance.name, Some(old))?;
    }
    fleet.links.as_ref().expect("the fleet is routed").cut("toledo*", "erie*")?;
    let watch = RevisionMonitor::start(&fleet);
    let revision = publish_change(&mut fleet, "while-cut")?;
    for instance in &fleet.instances[..2] {
        wait_instance_revision(instance, revision, FORCE_LIMIT)?;
    }
    for instance in &fleet.instances[2..] {
        let held = current_revision(instance.listen.admin)?;
        ensure!(held == old, "{} has revision {held} across the cut", instance.name);
    }
    fleet.links.as_ref().expect("the fleet is routed").heal("toledo*", "erie*")?;
    let took = wait_revision(&fleet, revision, WIDE_LIMIT)?;
    println!("in force in both data centres {took:?} after the heal");
    ensure!(took < FORCE_LIMIT, "{took:?}");
    let steps_back = watch.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// Symptom: an instance that is cut off from all others and the platform refuses everybody.
/// Sequence: one of three instances is cut off while the platform is silent; callers reach only
/// it. Then a list is published, and only after that the cut ends.
/// Cause: an instance that served only while others agreed.
#[test]
fn instance_isolated() -> Result<()> {
    let plan = plan_fleet(3, 2).link_mode(LinkMode::Routed);
    let mut fleet = LimitedFleet::start(plan)?;
    let alone = fleet.instances[0].name.clone();
    let others: Vec<_> = fleet.instances[1..].iter().map(|other| other.name.clone()).collect();
    fleet.platform.client.hold(&alone, Some(0))?;
    let links = fleet.links.as_ref().expect("the fleet is routed");
    for other in &others {
        links.cut(&alone, other)?;
    }
    wait_until_ok("others count as dead", WIDE_LIMIT, || {
        let seen = peers_in_states(&fleet.instances[0], &["alive", "suspect"])?;
        ensure!(seen == [alone.clone()], "{seen:?}");
        Ok(())
    })?;
    let listen = fleet.instances[0].listen.data;
    fleet.fabric(CENTRE)?.client.set_instances(vec![listen])?;
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.seconds(2.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served * 10 >= report.offered * 9, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)?;

    let before = current_revision(listen_admin(&fleet))?;
    let revision = publish_change(&mut fleet, "while-cut")?;
    for other in &fleet.instances[1..] {
        wait_instance_revision(other, revision, FORCE_LIMIT)?;
    }
    ensure!(current_revision(listen_admin(&fleet))? == before, "the cut is none");
    let links = fleet.links.as_ref().expect("the fleet is routed");
    for other in &others {
        links.heal(&alone, other)?;
    }
    wait_instance_revision(&fleet.instances[0], revision, WIDE_LIMIT)?;
    let refused = audit_entries(&fleet.instances[0], "list_refused")?;
    ensure!(refused.is_empty(), "{refused:?}");
    Ok(())
}

fn listen_admin(fleet: &TestFleet) -> std::net::SocketAddr {
    fleet.instances[0].listen.admin
}
