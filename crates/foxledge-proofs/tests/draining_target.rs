//! A draining backend server gets no new work after a few seconds.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use foxledge_fakes::{
    backend::{BackendOrder, orders::LoadSaying},
    harness::{TestFleet, wait_until_ok},
};
use foxledge_proofs::{
    fleet_helpers::{ensure_clean, start_bids, stop_load, wait_more_runs, wait_revision},
    fleet_limit::LimitedFleet,
    request_helpers::{CENTRE, DESK, WIDE_LIMIT, plan_fleet},
};

/// The generous limit of the "few seconds" until a draining backend server gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// The rate of bids, per second.
const BIDS_PER_S: f64 = 60.0;
/// The number of runs over which the distribution of work is measured.
const SAMPLE_RUNS: u64 = 60;

/// Returns the number of runs that a backend server has started.
fn count_backend_runs(fleet: &mut TestFleet, index: usize) -> Result<u64> {
    Ok(fleet.backends[index].stats()?.total_runs)
}

/// Fails unless a backend server gets a share of new work.
fn ensure_working(fleet: &mut TestFleet, index: usize) -> Result<()> {
    let before = count_backend_runs(fleet, index)?;
    wait_more_runs(fleet, SAMPLE_RUNS)?;
    let more = count_backend_runs(fleet, index)? - before;
    ensure!(more > SAMPLE_RUNS / 10, "{more} of {SAMPLE_RUNS} runs");
    Ok(())
}

/// Waits until a backend server gets no new work, and returns the time until then.
fn wait_no_new_work(fleet: &mut TestFleet, index: usize) -> Result<Duration> {
    let started = Instant::now();
    loop {
        let (before, elapsed) = (count_backend_runs(fleet, index)?, started.elapsed());
        wait_more_runs(fleet, SAMPLE_RUNS)?;
        let more = count_backend_runs(fleet, index)? - before;
        if more == 0 {
            return Ok(elapsed);
        }
        ensure!(started.elapsed() < WIDE_LIMIT, "{more} runs more after {elapsed:?}");
    }
}

/// Guards against a backend server that gets work until it ends, although a list says that it is
/// draining or doesn't contain it any more, because a home uses an older list. Under load, one of
/// three is published as draining, and then another is removed from the list at once.
#[test]
fn backend_server_published_as_draining_gets_no_work() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 3))?;
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    wait_more_runs(&mut fleet, SAMPLE_RUNS)?;
    ensure_working(&mut fleet, 0)?;
    let draining = fleet.backends[0].name.clone();
    fleet.list.target_mut(&draining).unwrap().draining = true;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let took = wait_no_new_work(&mut fleet, 0)?;
    println!("draining: left alone {took:?} after its list came into force");
    ensure!(took < DRAIN_LIMIT, "{took:?}");

    ensure_working(&mut fleet, 1)?;
    let removed = fleet.backends[1].name.clone();
    let service = fleet.list.service_mut(DESK.0).unwrap();
    service.targets.retain(|target| target.name != removed);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let took = wait_no_new_work(&mut fleet, 1)?;
    println!("unlisted: left alone {took:?} after its list came into force");
    ensure!(took < DRAIN_LIMIT, "{took:?}");
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against a backend server that gets work until it ends because only its own reports, and
/// not the list, say that it is draining. While its reports claim that it is idle it still gets
/// work; then they are true, and it stops as planned.
#[test]
fn backend_server_that_reports_draining_gets_no_work() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::HealthyIdle })?;
    fleet.backends[0].order(&BackendOrder::Drain { go_away_ms: 120_000 })?;
    ensure_working(&mut fleet, 0)?;
    ensure!(fleet.backends[0].stats()?.work_after_drain > 0, "the false reports had no effect");

    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::Truth })?;
    let took = wait_no_new_work(&mut fleet, 0)?;
    println!("reported: left alone after {took:?}");
    ensure!(took < DRAIN_LIMIT, "{took:?}");

    fleet.backends[0].order(&BackendOrder::StopGracefully { ms: 20_000 })?;
    let status = fleet.backends[0].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    wait_more_runs(&mut fleet, SAMPLE_RUNS)?;
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against bids that fail because the reports of a backend server are trusted more than its
/// responses. One of three refuses all work while its reports claim that it is healthy and idle.
#[test]
fn refusing_backend_server_that_reports_idle_gets_little_work() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 3))?;
    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::HealthyIdle })?;
    fleet.backends[0].order(&BackendOrder::Shed { on: true })?;
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    wait_more_runs(&mut fleet, 4 * SAMPLE_RUNS)?;
    let report = stop_load(bids)?;
    let shed = fleet.backends[0].stats()?.refused.values().sum::<u64>();
    println!("{} offered, {} served, it was asked {shed} times", report.offered, report.served);
    ensure!(shed > 0, "it was never asked");
    ensure!(shed * 4 < report.offered, "asked {shed} times for {} bids", report.offered);
    ensure!(report.served * 100 >= report.offered * 99, "{:?}", report.refused);
    ensure!(report.unknown == 0, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against bids that aren't served, and backend servers that stay idle for good, because
/// they report that they are unhealthy although they work. One that got no work for a while is
/// tried again within seconds.
#[test]
fn backend_servers_that_report_unhealthy_still_serve() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    for backend in &fleet.backends {
        backend.order(&BackendOrder::Lie { say: LoadSaying::Unhealthy })?;
    }
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    for _ in 0..2 {
        for index in [0, 1] {
            wait_until_ok("it gets its share", WIDE_LIMIT, || ensure_working(&mut fleet, index))?;
        }
    }
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against bids that wait or fail at a backend server that has just started, because it gets
/// the most work as the idlest. Under load a cold backend server is added whose work takes far
/// longer, and which reports that it is cold; later it is warm.
#[test]
fn cold_backend_server_gets_little_work() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    wait_more_runs(&mut fleet, SAMPLE_RUNS)?;
    let added = fleet.add_backend(DESK.0, CENTRE, "auction-desk-toledo-cold")?;
    fleet.backends[added].order(&BackendOrder::Cold { ms: 120_000 })?;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_more_runs(&mut fleet, 3 * SAMPLE_RUNS)?;
    let cold_runs = count_backend_runs(&mut fleet, added)?;
    println!("{cold_runs} of {} runs while it was cold", 3 * SAMPLE_RUNS);
    ensure!(cold_runs * 3 < 3 * SAMPLE_RUNS, "a cold backend server got {cold_runs} runs");

    fleet.backends[added].order(&BackendOrder::Cold { ms: 0 })?;
    wait_until_ok("the warm backend server has its share", WIDE_LIMIT, || {
        ensure_working(&mut fleet, added)
    })?;
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}
