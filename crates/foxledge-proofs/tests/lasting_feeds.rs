//! A feed survives every planned change of instances, backend servers, rules and keys.

use anyhow::{Result, ensure};
use foxledge_fakes::{
    backend::BackendOrder,
    harness::{TestFleet, wait_until_ok},
    publish::{KeyPlan, RulePlan},
    report::LoadReport,
};
use foxledge_proofs::{
    fleet_helpers::{
        ensure_clean, open_connections, read_status, start_feeds, stop_load, sum_event, wait_audit,
        wait_heartbeats, wait_revision,
    },
    fleet_limit::LimitedFleet,
    request_helpers::{CENTRE, DESK, WIDE_LIMIT, plan_fleet},
};
use serde_json::Value;

/// Feeds of one caller process.
const FEEDS: u32 = 20;
/// Longest silence of a feed that counts as unnoticed, in milliseconds.
///
/// A lost item is repaired with the next heartbeat, which a caller sends every second.
const UNNOTICED_MS: u64 = 3000;

/// Stops the feeds and fails unless they lasted.
fn end_feeds(
    fleet: &mut TestFleet,
    feeds: foxledge_fakes::harness::TestCaller,
) -> Result<LoadReport> {
    let report = stop_load(feeds)?;
    ensure!(report.feeds == u64::from(FEEDS), "{} feeds", report.feeds);
    ensure!(report.feed_items > u64::from(FEEDS), "{} items", report.feed_items);
    ensure!(report.wrong_service + report.crossed == 0, "{report:?}");
    ensure_clean(&fleet.judge(std::slice::from_ref(&report))?)?;
    Ok(report)
}

/// Fails unless no feed had to be opened again.
fn ensure_unmoved(report: &LoadReport) -> Result<()> {
    ensure!(report.reopened_feeds == 0, "{} reopened, {:?}", report.reopened_feeds, report.refused);
    ensure!(report.longest_silence_ms < UNNOTICED_MS, "silent {} ms", report.longest_silence_ms);
    Ok(())
}

/// Symptom: price feeds break, or are all opened anew, while instances are replaced.
/// Sequence: an instance is added, then all that were there are replaced one by one; none of those
/// that opened the feeds is left.
/// Cause: the way to a feed's backend server was known to the instance that opened it only.
#[test]
fn instances_replaced() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    fleet.add_instance(CENTRE)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    ensure!(open_connections(&mut fleet, DESK.0)? == FEEDS, "feeds were opened twice");
    let report = end_feeds(&mut fleet, feeds)?;
    ensure_unmoved(&report)
}

/// Symptom: every feed is opened anew after all instances that knew it died at once.
/// Sequence: as many instances are added as there were; those are killed at the same time.
/// Cause: as above.
#[test]
fn instances_killed() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    fleet.add_instance(CENTRE)?;
    fleet.add_instance(CENTRE)?;
    for index in 0..2 {
        fleet.kill_instance(index)?;
    }
    for index in 0..2 {
        fleet.forget_instance(index)?;
    }
    wait_heartbeats(&mut fleet, FEEDS)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    ensure!(open_connections(&mut fleet, DESK.0)? == FEEDS, "feeds were opened twice");
    let report = end_feeds(&mut fleet, feeds)?;
    ensure_unmoved(&report)
}

/// Symptom: feeds go silent when the backend server they are on is taken out of service.
/// Sequence: a backend server is added and gets warm; another is published as draining, says so
/// too, sends its feeds away, is taken off the list and stops.
/// Cause: callers who aren't sent away notice only by a silence of seconds.
#[test]
fn backend_server_leaves() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let new_name = "auction-desk-toledo-new";
    let added = fleet.add_backend(DESK.0, CENTRE, new_name)?;
    fleet.publish()?;
    // Until then new feeds rather go to others: it may be cold.
    wait_until_ok("the new backend server is warm", WIDE_LIMIT, || {
        let targets = targets_seen(&fleet)?;
        let is_new = |target: &&Value| target["name"] == new_name;
        let warmth = targets.iter().filter(is_new).filter_map(|target| target["warmth"].as_f64());
        ensure!(warmth.fold(0.0, f64::max) >= 1.0, "{targets:?}");
        Ok(())
    })?;
    let leaving = fleet.backends[0].name.clone();
    fleet.list.target_mut(&leaving).unwrap().draining = true;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let held = fleet.backends[0].stats()?.connections;
    ensure!(held > 0, "no feed is on the backend server that leaves");

    fleet.backends[0].order(&BackendOrder::StopGracefully { ms: 30_000 })?;
    wait_until_ok("feeds have left", WIDE_LIMIT, || {
        let open = fleet.backends[0].stats()?.connections;
        ensure!(open == 0, "{open} feeds are left");
        Ok(())
    })?;
    let service = fleet.list.service_mut(DESK.0).unwrap();
    service.targets.retain(|target| target.name != leaving);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let status = fleet.backends[0].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");

    wait_until_ok("the new backend server has feeds", WIDE_LIMIT, || {
        let open = fleet.backends[added].stats()?.connections;
        ensure!(open > 0, "it has none");
        Ok(())
    })?;
    let report = end_feeds(&mut fleet, feeds)?;
    ensure!(report.reopened_feeds >= u64::from(held), "{} reopened", report.reopened_feeds);
    ensure!(report.longest_silence_ms < UNNOTICED_MS, "silent {} ms", report.longest_silence_ms);
    Ok(())
}

/// What the homes believe of backend servers.
fn targets_seen(fleet: &TestFleet) -> Result<Vec<Value>> {
    let mut targets = Vec::new();
    for instance in &fleet.instances {
        let status = read_status(instance)?;
        let desks = status["engine"]["desks"].as_array().cloned().unwrap_or_default();
        let of_desk = |desk: &Value| desk["desk"]["targets"].as_array().cloned();
        targets.extend(desks.iter().filter_map(of_desk).flatten());
    }
    Ok(targets)
}

/// Symptom: feeds break when the backend server they are on is taken off the list at once.
/// Sequence: a backend server is taken off the list while feeds are on it; it runs on.
/// Cause: the way of an open feed was decided by the list of the moment.
#[test]
fn backend_server_unlisted() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let removed = fleet.backends[0].name.clone();
    let service = fleet.list.service_mut(DESK.0).unwrap();
    service.targets.retain(|target| target.name != removed);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let held = fleet.backends[0].stats()?.connections;
    ensure!(held > 0, "no feed is on the backend server");
    wait_heartbeats(&mut fleet, FEEDS)?;
    ensure!(fleet.backends[0].stats()?.connections == held, "feeds have left");
    let report = end_feeds(&mut fleet, feeds)?;
    ensure_unmoved(&report)
}

/// Symptom: shift boards break when an operator changes the rules.
/// Sequence: feeds are open; a rule that refuses every new one comes before the others.
/// Cause: rules decide on new flows; an open one was decided again.
#[test]
fn rules_changed() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let deny = RulePlan::deny_rest("no-feeds").kinds(&["feed"]);
    fleet.list.rules.insert(0, deny);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    ensure!(open_connections(&mut fleet, DESK.0)? == FEEDS, "feeds have closed");
    let report = end_feeds(&mut fleet, feeds)?;
    ensure_unmoved(&report)
}

/// Symptom: every feed of the fleet is refused and opened anew when token keys change.
/// Sequence: first a new key replaces the old one at once. Then, in another fleet, it is published
/// beside the old one, and the old one goes only after the feeds' tokens were sealed anew, twice.
/// Cause: a flow token that no published key opens is worth nothing.
#[test]
fn keys_rotated() -> Result<()> {
    // Without the rotation of two keys.
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    fleet.list.keys = vec![KeyPlan::numbered(2)];
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    let report = stop_load(feeds)?;
    ensure!(report.reopened_feeds > 0, "a key that went at once was not noticed");
    drop(fleet);

    // With it.
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    for (old, new) in [(1, 2), (2, 3)] {
        fleet.list.keys = vec![KeyPlan::numbered(old), KeyPlan::numbered(new)];
        let revision = fleet.publish()?;
        wait_revision(&fleet, revision, WIDE_LIMIT)?;
        wait_audit(&fleet.instances[0], "keys_rotated", &format!("[{old}, {new}]"))?;
        wait_resealed(&mut fleet)?;
        fleet.list.keys = vec![KeyPlan::numbered(new)];
        let revision = fleet.publish()?;
        wait_revision(&fleet, revision, WIDE_LIMIT)?;
        wait_heartbeats(&mut fleet, FEEDS)?;
    }
    let report = end_feeds(&mut fleet, feeds)?;
    ensure_unmoved(&report)
}

/// Waits until the feeds' tokens have been sealed anew and no heartbeat carries an old one.
fn wait_resealed(fleet: &mut TestFleet) -> Result<()> {
    wait_until_ok("tokens sealed anew", WIDE_LIMIT, || {
        let before = sum_event(fleet, "tokens_resealed");
        ensure!(before >= f64::from(FEEDS), "{before} of {FEEDS}");
        wait_heartbeats(fleet, FEEDS)?;
        let after = sum_event(fleet, "tokens_resealed");
        ensure!(after == before, "{} heartbeats with old tokens", after - before);
        Ok(())
    })
}
