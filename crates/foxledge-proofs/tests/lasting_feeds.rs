//! A feed survives all planned changes of instances, backend servers, rules and keys.

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

/// The number of feeds of a caller process.
const FEEDS: u32 = 20;
/// The maximum silence of a feed that counts as uninterrupted, in milliseconds.
///
/// A lost item is repaired with the next heartbeat, which a caller sends every second.
const MAX_SILENCE_MS: u64 = 3000;

/// Stops the feeds and fails unless all of them received items until then.
fn stop_feeds(
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

/// Fails if a feed was reopened or was silent for too long.
fn ensure_not_reopened(report: &LoadReport) -> Result<()> {
    ensure!(report.reopened_feeds == 0, "{} reopened, {:?}", report.reopened_feeds, report.refused);
    ensure!(report.longest_silence_ms < MAX_SILENCE_MS, "silent {} ms", report.longest_silence_ms);
    Ok(())
}

/// Guards against feeds that break or are all opened again while instances are replaced, because
/// only the instance that opened a feed knew its backend server. An instance is added, then all
/// earlier ones are replaced one by one.
#[test]
fn feeds_last_while_instances_are_replaced() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    fleet.add_instance(CENTRE)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    ensure!(open_connections(&mut fleet, DESK.0)? == FEEDS, "feeds were opened twice");
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure_not_reopened(&report)
}

/// Guards against the same failure when all instances that opened the feeds are killed at once,
/// after as many were added.
#[test]
fn feeds_last_when_their_instances_are_killed() -> Result<()> {
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
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure_not_reopened(&report)
}

/// Guards against feeds that go silent for seconds when their backend server is taken out of
/// service, because callers aren't told to reconnect. A backend server is added and gets warm;
/// another is published as draining, reports it too, sends its feeds away, is removed from the list
/// and stops.
#[test]
fn feeds_move_when_a_backend_server_drains() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let new_name = "auction-desk-toledo-new";
    let added = fleet.add_backend(DESK.0, CENTRE, new_name)?;
    fleet.publish()?;
    // While it is cold, new feeds would go to others.
    wait_until_ok("the new backend server is warm", WIDE_LIMIT, || {
        let targets = read_targets(&fleet)?;
        let is_new = |target: &&Value| target["name"] == new_name;
        let warmth = targets.iter().filter(is_new).filter_map(|target| target["warmth"].as_f64());
        ensure!(warmth.fold(0.0, f64::max) >= 1.0, "{targets:?}");
        Ok(())
    })?;
    let leaving = fleet.backends[0].name.clone();
    fleet.list.target_mut(&leaving).unwrap().draining = true;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let open_before = fleet.backends[0].stats()?.connections;
    ensure!(open_before > 0, "no feed is on the backend server that leaves");

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
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure!(report.reopened_feeds >= u64::from(open_before), "{} reopened", report.reopened_feeds);
    ensure!(report.longest_silence_ms < MAX_SILENCE_MS, "silent {} ms", report.longest_silence_ms);
    Ok(())
}

/// Returns the backend servers in the status reports of all homes.
fn read_targets(fleet: &TestFleet) -> Result<Vec<Value>> {
    let mut targets = Vec::new();
    for instance in &fleet.instances {
        let status = read_status(instance)?;
        let desks = status["engine"]["desks"].as_array().cloned().unwrap_or_default();
        let of_desk = |desk: &Value| desk["desk"]["targets"].as_array().cloned();
        targets.extend(desks.iter().filter_map(of_desk).flatten());
    }
    Ok(targets)
}

/// Guards against feeds that break because the route of an open feed is decided by the current
/// list. A backend server is removed from the list while it has feeds, and continues to run.
#[test]
fn feeds_last_when_their_backend_server_is_unlisted() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let removed = fleet.backends[0].name.clone();
    let service = fleet.list.service_mut(DESK.0).unwrap();
    service.targets.retain(|target| target.name != removed);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let open_before = fleet.backends[0].stats()?.connections;
    ensure!(open_before > 0, "no feed is on the backend server");
    wait_heartbeats(&mut fleet, FEEDS)?;
    ensure!(fleet.backends[0].stats()?.connections == open_before, "feeds have left");
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure_not_reopened(&report)
}

/// Guards against feeds that break because new rules are applied to open flows. While feeds are
/// open, a rule that refuses every new feed is put before the others.
#[test]
fn feeds_last_when_rules_change() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let deny = RulePlan::deny_rest("no-feeds").kinds(&["feed"]);
    fleet.list.rules.insert(0, deny);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    ensure!(open_connections(&mut fleet, DESK.0)? == FEEDS, "feeds have closed");
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure_not_reopened(&report)
}

/// Guards against feeds that are all refused and opened again when token keys change. First a new
/// key replaces the old one at once, which breaks the feeds. Then, in another fleet, the new key is
/// published beside the old one, which is removed only when the feeds' tokens are resealed; twice.
#[test]
fn feeds_last_through_a_key_rotation() -> Result<()> {
    // One key replaces the other at once.
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    fleet.list.keys = vec![KeyPlan::numbered(2)];
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    let report = stop_load(feeds)?;
    ensure!(report.reopened_feeds > 0, "replacing the only key at once had no effect");
    drop(fleet);

    // Both keys are published during the rotation.
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
    let report = stop_feeds(&mut fleet, feeds)?;
    ensure_not_reopened(&report)
}

/// Waits until the feeds' tokens are resealed and no heartbeat carries an old one.
fn wait_resealed(fleet: &mut TestFleet) -> Result<()> {
    wait_until_ok("resealed tokens", WIDE_LIMIT, || {
        let before = sum_event(fleet, "tokens_resealed");
        ensure!(before >= f64::from(FEEDS), "{before} of {FEEDS}");
        wait_heartbeats(fleet, FEEDS)?;
        let after = sum_event(fleet, "tokens_resealed");
        ensure!(after == before, "{} heartbeats with old tokens", after - before);
        Ok(())
    })
}
