//! A planned stop interrupts no bid, claim or upload, and issues no new tickets.

use std::time::Duration;

use anyhow::{Result, ensure};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    backend::BackendOrder,
    harness::{FleetPlan, LinkMode, ServiceSize, wait_until_ok},
    publish::MemberPlan,
    report::LoadReport,
};
use foxledge_proofs::{
    fleet_helpers::{
        ensure_clean, read_status, start_bids, start_uploads, stop_load, total_runs, wait_more_runs,
    },
    fleet_limit::LimitedFleet,
    request_helpers::{
        CENTRE, DESK, INTAKE, MEMBER, ManualCaller, RequestOutcome, WIDE_LIMIT, other_running,
        plan_fleet, set_fabric_instances, ticket_home,
    },
};

/// The rate of bids, per second, at which some are queued at their home: there are slots for ten.
const QUEUED_BIDS_PER_S: f64 = 14.0;
/// The deadline of a queued bid, in milliseconds.
const BID_DEADLINE_MS: &str = "8000";

/// Returns the plan of a fleet whose auction desk is so slow that bids are queued at their home.
fn plan_slow(instances: usize) -> FleetPlan {
    let size = ServiceSize { work_ms: 200, ..ServiceSize::targets(1) };
    FleetPlan::new()
        .centre(CENTRE, instances)
        .service(DESK.0, DESK.1, size)
        .member(MemberPlan::open(MEMBER))
}

/// Replaces both instances of a fleet while bids run and are queued, and returns the load report.
fn replace_under_load(fleet: &mut LimitedFleet) -> Result<LoadReport> {
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?;
    let plan = plan
        .rate(QUEUED_BIDS_PER_S)
        .seconds(60.0)
        .argument("--deadline-ms")
        .argument(BID_DEADLINE_MS);
    let bids = fleet.start_caller(CENTRE, &plan)?;
    wait_more_runs(fleet, 20)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    wait_more_runs(fleet, 10)?;
    stop_load(bids)
}

/// Guards against queued bids whose outcome is unknown because their home has stopped. Under a load
/// that keeps bids queued, both instances are replaced.
#[test]
fn queued_bids_finish_when_their_home_stops() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_slow(2))?;
    let report = replace_under_load(&mut fleet)?;
    println!("{} offered, {} served, {:?}", report.offered, report.served, report.refused);
    ensure!(report.unknown == 0, "{} unknown: {:?}", report.unknown, report.refused);
    ensure!(report.served > 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// Shows that bids are lost in the same situation if the graceful stop is disabled.
#[test]
fn bids_are_lost_without_the_graceful_stop() -> Result<()> {
    let plan = plan_slow(2).settings("[trial]\ngraceful_stop = false\n");
    let mut fleet = LimitedFleet::start(plan)?;
    let report = replace_under_load(&mut fleet)?;
    println!("{} offered, {} unknown, {:?}", report.offered, report.unknown, report.refused);
    ensure!(report.unknown > 0, "nothing was cut: {report:?}");
    Ok(())
}

/// Guards against uploads and bids that fail while instances are replaced, because only an instance
/// that has stopped knew the route of an upload. Bids and uploads arrive while all instances are
/// replaced one by one.
#[test]
fn uploads_finish_while_instances_are_replaced() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let loads = [start_bids(&fleet, CENTRE, 40.0)?, start_uploads(&fleet, CENTRE, 4.0)?];
    wait_more_runs(&mut fleet, 20)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    wait_more_runs(&mut fleet, 20)?;
    let reports = loads.into_iter().map(stop_load).collect::<Result<Vec<_>>>()?;
    for report in &reports {
        let lost = report.unknown + report.timed_out + report.given_up;
        ensure!(lost == 0, "{}: {lost} lost, {:?}", report.address, report.refused);
        ensure!(report.served == report.offered, "{} of {}", report.served, report.offered);
    }
    ensure_clean(&fleet.judge(&reports)?)
}

/// Guards against bids whose outcome is unknown because an instance and a backend server stop at
/// the same time, each with state about the other. Under load a backend server is published as
/// draining and stops as planned, while both instances are replaced.
#[test]
fn bids_finish_when_instance_and_backend_server_stop() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 3))?;
    let loads = [start_bids(&fleet, CENTRE, 40.0)?, start_uploads(&fleet, CENTRE, 4.0)?];
    wait_more_runs(&mut fleet, 20)?;
    let leaving = fleet.backends[0].name.clone();
    fleet.list.target_mut(&leaving).unwrap().draining = true;
    fleet.publish()?;
    fleet.backends[0].order(&BackendOrder::StopGracefully { ms: 20_000 })?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    let status = fleet.backends[0].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    wait_more_runs(&mut fleet, 20)?;
    let reports = loads.into_iter().map(stop_load).collect::<Result<Vec<_>>>()?;
    for report in &reports {
        let lost = report.unknown + report.timed_out + report.given_up;
        ensure!(lost == 0, "{}: {lost} lost, {:?}", report.address, report.refused);
    }
    Ok(())
}

/// Guards against bids whose outcome is unknown because a home stops before its tickets have
/// expired while its announcements don't reach all instances. Under load the network between two of
/// three instances is cut, and each of the two is replaced.
#[test]
fn bids_finish_when_an_unreachable_instance_stops() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2).link_mode(LinkMode::Routed))?;
    let bids = start_bids(&fleet, CENTRE, 40.0)?;
    wait_more_runs(&mut fleet, 20)?;
    fleet.links.as_ref().expect("the fleet is routed").cut("toledo-1", "toledo-2")?;
    wait_more_runs(&mut fleet, 20)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    wait_more_runs(&mut fleet, 20)?;
    let report = stop_load(bids)?;
    println!("cut: {} offered, {} served, {:?}", report.offered, report.served, report.refused);
    ensure!(report.unknown + report.timed_out == 0, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against an instance that never stops because it still issues tickets while it is leaving.
/// An instance that has issued a ticket is told to stop, twice, while the fabric sends packets only
/// to it; callers request tickets, and one uses the ticket that it has.
#[test]
fn leaving_instance_issues_no_tickets() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2).settings("[stop]\nlimit_ms = 20000\n"))?;
    let mut ticket_owner = ManualCaller::new(&fleet, DESK, 1)?;
    let ticket = ticket_owner.obtain_ticket()?;
    let home = ticket_home(&fleet, &ticket)?;
    let remaining = other_running(&mut fleet, home)[0];
    set_fabric_instances(&fleet, &[home])?;
    fleet.instances[home].process.terminate()?;
    fleet.instances[home].process.wait_log("\"serving\" to \"leaving\"", WIDE_LIMIT)?;
    fleet.instances[home].process.terminate()?;

    // A ticket that the leaving instance issued before is still valid.
    let bid = ticket_owner.next_request(&ticket);
    let outcome = ticket_owner.complete_request(&bid, DESK.0)?;
    ensure!(outcome == RequestOutcome::Answered, "the bid was told {outcome:?}");

    // New tickets come from the remaining instance, although they are requested from the leaving
    // one.
    let mut asked = 0;
    while read_status(&fleet.instances[home]).is_ok() && asked < 20 {
        asked += 1;
        let caller = ManualCaller::new(&fleet, DESK, 100 + asked)?;
        let grants = |packet: &foxledge_wire::flow::Packet| !packet.ticket.is_empty();
        caller.send(&caller.ticket_request())?;
        let Some(grant) = caller.receive(Duration::from_millis(500), grants) else { continue };
        let issuer = ticket_home(&fleet, &grant.ticket)?;
        ensure!(issuer == remaining, "a leaving instance issued a ticket");
    }
    ensure!(asked > 0, "it ended before it could be asked");
    let status = fleet.instances[home].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    let log = fleet.instances[home].process.log_text();
    ensure!(log.contains("stops with 0 unfinished"), "{log}");
    Ok(())
}

/// Guards against a stop without a time limit, and one that doesn't record what it abandoned. The
/// backend server of an upload is very slow, and its home reaches the limit of the stop before the
/// upload ends.
#[test]
fn stop_at_its_limit_is_audited() -> Result<()> {
    let plan = plan_fleet(2, 1).settings("[flow]\nticket_ms = 500\n[stop]\nlimit_ms = 2000\n");
    let mut fleet = LimitedFleet::start(plan)?;
    let slow = fleet.backends.iter().position(|backend| backend.service == INTAKE.0).unwrap();
    fleet.backends[slow].order(&BackendOrder::Slow { factor: 10_000.0 })?;
    let mut caller = ManualCaller::new(&fleet, INTAKE, 1)?;
    let ticket = caller.obtain_ticket()?;
    let home = ticket_home(&fleet, &ticket)?;
    let request = caller.next_request(&ticket);
    let before = total_runs(&mut fleet)?;
    caller.send(&request)?;
    wait_until_ok("the request runs", WIDE_LIMIT, || {
        ensure!(total_runs(&mut fleet)? > before, "not yet");
        Ok(())
    })?;

    fleet.instances[home].process.terminate()?;
    let status = fleet.instances[home].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    let log = fleet.instances[home].process.log_text();
    let entry = "\"leaving\" to \"stopped with 1 unfinished\", limit of the stop";
    ensure!(log.contains(entry), "{log}");
    Ok(())
}
