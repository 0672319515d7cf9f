//! A planned stop cuts no bid, claim or upload, and issues nothing new.

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

/// Bids a second of which some wait at their home: it has slots for ten.
const QUEUED_RATE: f64 = 14.0;
/// How long a caller waits for the end of a queued bid, in milliseconds.
const PATIENCE_MS: &str = "8000";

/// A fleet whose auction desk is so slow that bids wait at their home.
fn plan_slow(instances: usize) -> FleetPlan {
    let size = ServiceSize { work_ms: 200, ..ServiceSize::targets(1) };
    FleetPlan::new()
        .centre(CENTRE, instances)
        .service(DESK.0, DESK.1, size)
        .member(MemberPlan::open(MEMBER))
}

/// Replaces both instances of a fleet while bids run and wait, and returns the callers' report.
fn replace_loaded(fleet: &mut LimitedFleet) -> Result<LoadReport> {
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?;
    let plan = plan.rate(QUEUED_RATE).seconds(60.0).argument("--deadline-ms").argument(PATIENCE_MS);
    let bids = fleet.start_caller(CENTRE, &plan)?;
    wait_more_runs(fleet, 20)?;
    for index in 0..2 {
        fleet.replace_instance(index, WIDE_LIMIT)?;
    }
    wait_more_runs(fleet, 10)?;
    stop_load(bids)
}

/// Symptom: each time an instance is replaced, callers are told of bids that nobody knows of.
/// Sequence: under a load that keeps bids waiting at their home, both instances are replaced.
/// Cause: a home that ended took the bids along that waited there.
#[test]
fn queued_bids_finish() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_slow(2))?;
    let report = replace_loaded(&mut fleet)?;
    println!("{} offered, {} served, {:?}", report.offered, report.served, report.refused);
    ensure!(report.unknown == 0, "{} unknown: {:?}", report.unknown, report.refused);
    ensure!(report.served > 0, "{report:?}");
    ensure_clean(&fleet.judge(&[report])?)
}

/// As above, with the graceful stop switched off.
#[test]
fn stop_cuts_bids() -> Result<()> {
    let plan = plan_slow(2).settings("[trial]\ngraceful_stop = false\n");
    let mut fleet = LimitedFleet::start(plan)?;
    let report = replace_loaded(&mut fleet)?;
    println!("{} offered, {} unknown, {:?}", report.offered, report.unknown, report.refused);
    ensure!(report.unknown > 0, "nothing was cut: {report:?}");
    Ok(())
}

/// Symptom: uploads and bids fail while a fleet is replaced, one instance after the other.
/// Sequence: bids and uploads arrive all the time; an instance is added; all that were there are
/// replaced one by one.
/// Cause: an upload's way was known to an instance that has left.
#[test]
fn uploads_finish() -> Result<()> {
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

/// Symptom: bids end unknown when an instance and a backend server leave at the same time.
/// Sequence: under load a backend server is published as draining and stops as planned, while both
/// instances are replaced.
/// Cause: what one leaver knew of the other went with it.
#[test]
fn both_leave() -> Result<()> {
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

/// Symptom: bids end unknown when an instance stops that another one can't reach.
/// Sequence: under load the network between two of three instances is cut, then each of the two is
/// replaced.
/// Cause: a leaving home whose word doesn't reach all, and that stops before its tickets have run
/// out.
#[test]
fn stop_during_cut() -> Result<()> {
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

/// Symptom: an instance that was asked to stop goes on for ever, as it gets new tickets out.
/// Sequence: an instance that has issued a ticket is asked to stop, twice; the fabric sprays only
/// to it; callers ask for tickets, and one uses the ticket that it has.
/// Cause: a leaving instance that still admits.
#[test]
fn nothing_new_issued() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2).settings("[stop]\nlimit_ms = 20000\n"))?;
    let mut holder = ManualCaller::new(&fleet, DESK, 1)?;
    let ticket = holder.obtain_ticket()?;
    let home = ticket_home(&fleet, &ticket)?;
    let stayer = other_running(&mut fleet, home)[0];
    set_fabric_instances(&fleet, &[home])?;
    fleet.instances[home].process.terminate()?;
    fleet.instances[home].process.wait_log("\"serving\" to \"leaving\"", WIDE_LIMIT)?;
    fleet.instances[home].process.terminate()?;

    // Its own ticket is still good.
    let bid = holder.next_request(&ticket);
    let word = holder.complete_request(&bid, DESK.0)?;
    ensure!(word == RequestOutcome::Answered, "the bid was told {word:?}");

    // New tickets come from the instance that stays, though asked for at the one that leaves.
    let mut asked = 0;
    while read_status(&fleet.instances[home]).is_ok() && asked < 20 {
        asked += 1;
        let caller = ManualCaller::new(&fleet, DESK, 100 + asked)?;
        let grants = |packet: &foxledge_wire::flow::Packet| !packet.ticket.is_empty();
        caller.send(&caller.ticket_request())?;
        let Some(grant) = caller.receive(Duration::from_millis(500), grants) else { continue };
        let issuer = ticket_home(&fleet, &grant.ticket)?;
        ensure!(issuer == stayer, "a leaving instance issued a ticket");
    }
    ensure!(asked > 0, "it ended before it could be asked");
    let status = fleet.instances[home].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    let log = fleet.instances[home].process.log_text();
    ensure!(log.contains("stops with 0 unfinished"), "{log}");
    Ok(())
}

/// Symptom: a stop that takes too long ends without a word of what it left.
/// Sequence: an upload's backend server is very slow; its home is asked to stop, and its limit
/// passes before the end.
/// Cause: a stop without a limit, or one that doesn't say what it gave up.
#[test]
fn limit_audited() -> Result<()> {
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
