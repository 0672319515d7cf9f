//! An accepted rule list is in force on every instance within seconds, and is never replaced by an
//! older one.

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

/// The generous limit of the "seconds" until a list is in force.
const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(10);

/// Replaces the rule from an earlier call by one that doesn't affect the loads of these tests.
fn replace_test_rule(fleet: &mut TestFleet, name: &str) {
    let rule = RulePlan::serve(name, DESK.1, DESK.0).members(&["harbor-sets"]).priority(3);
    fleet.list.rules.retain(|rule| rule.when.member.is_empty());
    fleet.list.rules.insert(0, rule);
}

/// Publishes a list with a rule of the given name.
fn publish_change(fleet: &mut TestFleet, name: &str) -> Result<u64> {
    replace_test_rule(fleet, name);
    fleet.publish()
}

/// Returns the source from which an instance accepted the list of a revision.
fn source_of(fleet: &TestFleet, index: usize, revision: u64) -> Result<String> {
    let entry =
        wait_audit(&fleet.instances[index], "list_accepted", &format!("revision {revision} "))?;
    Ok(entry["source"].as_str().unwrap_or_default().to_owned())
}

/// Guards against instances that can't start while the platform is down because it is their only
/// source of lists. The platform goes down for good, and all instances are replaced.
#[test]
fn instance_starts_with_a_peers_list_while_the_platform_is_down() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1))?;
    let revision = publish_change(&mut fleet, "before-the-fault")?;
    let took = wait_revision(&fleet, revision, ACCEPTANCE_LIMIT)?;
    println!("in force on 2 instances after {took:?}");
    fleet.platform.client.set_health(PlatformHealth::Down)?;
    for index in 0..2 {
        let new = fleet.replace_instance(index, WIDE_LIMIT)?;
        wait_instance_revision(&fleet.instances[new], revision, ACCEPTANCE_LIMIT)?;
        let source = source_of(&fleet, new, revision)?;
        ensure!(source.starts_with("peer"), "the list came from {source}");
    }
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.seconds(1.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served > 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against an instance that serves without a list: it knows no peers and starts while the
/// platform is down.
#[test]
fn instance_without_peers_waits_for_the_platform() -> Result<()> {
    // The first instances find each other in the platform's listing while the platform is up.
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1).settings("[peers]\nseeds = []\n"))?;
    fleet.platform.client.set_health(PlatformHealth::Down)?;
    let new = fleet.spawn_instance(CENTRE)?;
    // Longer than an instance waits for responses of peers and the platform.
    wait_until_ok("the new instance has waited", WIDE_LIMIT, || {
        let uptime = read_status(&fleet.instances[new])?["uptime_ms"].as_u64().unwrap_or(0);
        ensure!(uptime > 5000, "{uptime} ms");
        Ok(())
    })?;
    ensure!(
        !fleet.instances[new].is_ready(),
        "it has a list, but no source of lists was reachable"
    );
    fleet.platform.client.set_health(PlatformHealth::Up)?;
    fleet.instances[new].wait_ready(WIDE_LIMIT)
}

/// Publishes a list, restarts the platform with an older state, and adds an instance that reads the
/// older list while it is cut off from the others; then heals the cut. Instances must go by the
/// highest revision rather than the list received last.
fn restart_stale(plan: FleetPlan) -> Result<(LimitedFleet, u64, RevisionMonitor)> {
    let mut fleet = LimitedFleet::start(plan.link_mode(LinkMode::Routed))?;
    let stale = fleet.platform.client.report()?.revision;
    let old = current_revision(fleet.instances[0].listen.admin)?;
    // The new list contains all parts of the old one, so that a single message could revert it.
    fleet.list.more.push(member_part(9, 2000));
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, ACCEPTANCE_LIMIT)?;
    fleet.platform.client.rewind(stale)?;
    let links = fleet.links.as_ref().expect("the fleet is routed");
    links.cut("toledo-3", "toledo-1")?;
    links.cut("toledo-3", "toledo-2")?;
    fleet.spawn_instance(CENTRE)?;
    wait_instance_revision(&fleet.instances[2], old, WIDE_LIMIT)?;
    fleet.instances[2].wait_ready(WIDE_LIMIT)?;
    let monitor = RevisionMonitor::start(&fleet);
    let links = fleet.links.as_ref().expect("the fleet is routed");
    links.heal("toledo-3", "toledo-1")?;
    links.heal("toledo-3", "toledo-2")?;
    Ok((fleet, revision, monitor))
}

#[test]
fn restarted_platform_with_an_older_list_changes_nothing() -> Result<()> {
    let (mut fleet, revision, monitor) = restart_stale(plan_fleet(2, 1))?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;

    // The operator's next list is accepted once its revision exceeds the newest one.
    replace_test_rule(&mut fleet, "after-the-restart");
    let parts = fleet.list.parts()?;
    let order = PlatformOrder::PublishList { parts, at_least: revision + 1 };
    let next = fleet.platform.client.order(&order)?.revision;
    wait_revision(&fleet, next, ACCEPTANCE_LIMIT)?;
    let steps_back = monitor.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// Shows that an instance reverts to the older list if the refusal of stale lists is disabled.
#[test]
fn instance_reverts_without_the_refusal_of_stale_lists() -> Result<()> {
    let plan = plan_fleet(2, 1).settings("[trial]\nrefuse_stale_lists = false\n");
    let (fleet, revision, monitor) = restart_stale(plan)?;
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
    // The monitor may miss a short step, so that only the audit trail decides.
    println!("seen: {:?}", monitor.finish()?);
    Ok(())
}

/// Guards against instances that follow an old list for as long as the platform shows it to them.
/// One reader is shown an older state, another nothing, the third what is published; two more lists
/// follow, which must spread between instances.
#[test]
fn differing_readings_do_not_delay_new_lists() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 1))?;
    let old = fleet.platform.client.report()?.revision;
    let names: Vec<_> = fleet.instances.iter().map(|instance| instance.name.clone()).collect();
    // One elected reader sees the platform as it is, or no instance could learn of a change.
    let is_reader = |index: usize| -> Result<bool> {
        Ok(read_status(&fleet.instances[index])?["reads_platform"] == true)
    };
    let seeing_reader = wait_until_ok("a reader", WIDE_LIMIT, || {
        for index in 0..3 {
            if is_reader(index)? {
                return Ok(index);
            }
        }
        anyhow::bail!("none")
    })?;
    for (index, name) in names.iter().enumerate().filter(|(index, _)| *index != seeing_reader) {
        let shown_revision = if index == 0 { old } else { 0 };
        fleet.platform.client.hold(name, Some(shown_revision))?;
    }
    let monitor = RevisionMonitor::start(&fleet);
    for change in ["first-change", "second-change"] {
        let revision = publish_change(&mut fleet, change)?;
        let took = wait_revision(&fleet, revision, ACCEPTANCE_LIMIT)?;
        println!("{change} in force on 3 instances after {took:?}");
        for index in (0..3).filter(|index| *index != seeing_reader) {
            let source = source_of(&fleet, index, revision)?;
            ensure!(source.starts_with("peer"), "{} has it from {source}", names[index]);
        }
    }
    let steps_back = monitor.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// Guards against instances that never get a list from a platform that allows few reads, because
/// they discard the parts read before the ration was used up. The platform allows four reads a
/// second in total; a fleet starts, and gets a list in which every part is new.
#[test]
fn rationed_platform_still_delivers_lists() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 1).reads_per_second(4))?;
    replace_test_rule(&mut fleet, "rationed");
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

/// Guards against instances that follow different lists for good after concurrent publications,
/// because the order of arrival counts rather than the platform's revision. Two operators publish
/// ten lists each at the same time.
#[test]
fn concurrent_operators_leave_one_list_in_force() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 1))?;
    let monitor = RevisionMonitor::start(&fleet);
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
    wait_revision(&fleet, newest, ACCEPTANCE_LIMIT)?;
    let versions = fleet
        .instances
        .iter()
        .map(|instance| Ok(read_status(instance)?["list"].clone()))
        .collect::<Result<Vec<_>>>()?;
    ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    let steps_back = monitor.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    // Further changes are accepted as before.
    let revision = publish_change(&mut fleet, "after-both")?;
    wait_revision(&fleet, revision, ACCEPTANCE_LIMIT).map(drop)
}

/// Guards against an invalid list that stops the fleet or is accepted in part, because parts are
/// applied before the whole list is checked. Under load, an operator publishes a list whose last
/// part names a missing service, and then a valid one.
#[test]
fn invalid_list_is_refused_as_a_whole() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let good = publish_change(&mut fleet, "good")?;
    wait_revision(&fleet, good, ACCEPTANCE_LIMIT)?;
    let bids = start_bids(&fleet, CENTRE, 40.0)?;
    wait_more_runs(&mut fleet, 10)?;

    let right_list = fleet.list.clone();
    // The parts before the invalid one would refuse every bid.
    fleet.list.rules.insert(0, RulePlan::deny_rest("refuses-all").kinds(&["bid"]));
    let text = "[[rule]]\nname = \"wrong\"\nthen = { service = \"nowhere\" }\n".to_owned();
    fleet.list.more.push(PartText { name: "wrong".to_owned(), text });
    let wrong = fleet.publish()?;
    for instance in &fleet.instances {
        let entry = wait_audit(instance, "list_refused", "nowhere")?;
        let new_value = entry["new"].as_str().unwrap_or_default();
        ensure!(new_value.contains(&format!("revision {wrong} ")), "{entry}");
    }
    wait_more_runs(&mut fleet, 20)?;
    for instance in &fleet.instances {
        let current = current_revision(instance.listen.admin)?;
        ensure!(current == good, "{} has revision {current}", instance.name);
    }

    fleet.list = right_list;
    let corrected = publish_change(&mut fleet, "mended")?;
    wait_revision(&fleet, corrected, ACCEPTANCE_LIMIT)?;
    let report = stop_load(bids)?;
    ensure!(!report.refused.contains_key("DENIED"), "{:?}", report.refused);
    ensure!(report.served > 0 && report.unknown == 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// Returns a part with the given number of members.
fn member_part(number: usize, members: usize) -> PartText {
    let line = |member| format!("[[member]]\nname = \"shop-{number}-{member:07}\"\n");
    PartText { name: format!("shops-{number}"), text: (0..members).map(line).collect() }
}

/// Guards against a list that is never accepted because a part exceeds the size of a datagram or of
/// one answer. Published are a list of about 3 KB and one with a part of 1 MB; then the platform
/// goes down, and an added instance gets all of it from peers.
#[test]
fn lists_larger_than_a_message_are_accepted() -> Result<()> {
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

/// Guards against a data centre that follows an old list long after a cut has healed, because lists
/// spread inside a data centre only. While the network between two data centres is cut, the
/// platform shows one of them an older state, and continues to do so after the cut; a list is
/// published meanwhile.
#[test]
fn list_spreads_between_centres_after_a_cut() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_two_centres(2, 1))?;
    let old = current_revision(fleet.instances[0].listen.admin)?;
    for instance in &fleet.instances[2..] {
        fleet.platform.client.hold(&instance.name, Some(old))?;
    }
    fleet.links.as_ref().expect("the fleet is routed").cut("toledo*", "erie*")?;
    let monitor = RevisionMonitor::start(&fleet);
    let revision = publish_change(&mut fleet, "while-cut")?;
    for instance in &fleet.instances[..2] {
        wait_instance_revision(instance, revision, ACCEPTANCE_LIMIT)?;
    }
    for instance in &fleet.instances[2..] {
        let current = current_revision(instance.listen.admin)?;
        ensure!(current == old, "{} has revision {current} across the cut", instance.name);
    }
    fleet.links.as_ref().expect("the fleet is routed").heal("toledo*", "erie*")?;
    let took = wait_revision(&fleet, revision, WIDE_LIMIT)?;
    println!("in force in both data centres {took:?} after the heal");
    ensure!(took < ACCEPTANCE_LIMIT, "{took:?}");
    let steps_back = monitor.finish()?;
    ensure!(steps_back.is_empty(), "{steps_back:?}");
    Ok(())
}

/// Guards against an instance that refuses all callers when it is cut off from all others and the
/// platform. One of three instances is isolated, and callers reach only that one; then a list is
/// published, and only afterwards the cut ends.
#[test]
fn isolated_instance_serves_and_catches_up() -> Result<()> {
    let plan = plan_fleet(3, 2).link_mode(LinkMode::Routed);
    let mut fleet = LimitedFleet::start(plan)?;
    let isolated = fleet.instances[0].name.clone();
    let others: Vec<_> = fleet.instances[1..].iter().map(|other| other.name.clone()).collect();
    fleet.platform.client.hold(&isolated, Some(0))?;
    let links = fleet.links.as_ref().expect("the fleet is routed");
    for other in &others {
        links.cut(&isolated, other)?;
    }
    wait_until_ok("others count as dead", WIDE_LIMIT, || {
        let seen = peers_in_states(&fleet.instances[0], &["alive", "suspect"])?;
        ensure!(seen == [isolated.clone()], "{seen:?}");
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
        wait_instance_revision(other, revision, ACCEPTANCE_LIMIT)?;
    }
    ensure!(current_revision(listen_admin(&fleet))? == before, "the cut has no effect");
    let links = fleet.links.as_ref().expect("the fleet is routed");
    for other in &others {
        links.heal(&isolated, other)?;
    }
    wait_instance_revision(&fleet.instances[0], revision, WIDE_LIMIT)?;
    let refused = audit_entries(&fleet.instances[0], "list_refused")?;
    ensure!(refused.is_empty(), "{refused:?}");
    Ok(())
}

fn listen_admin(fleet: &TestFleet) -> std::net::SocketAddr {
    fleet.instances[0].listen.admin
}
