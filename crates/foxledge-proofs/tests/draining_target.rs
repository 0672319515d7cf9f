//! A backend server that is leaving gets no new work after a few seconds.

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

/// "A few seconds", wide.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Bids a second.
const RATE: f64 = 60.0;
/// Runs that show that the load goes on.
const SOME_RUNS: u64 = 60;

/// Runs that one backend server has started.
fn runs_of(fleet: &mut TestFleet, index: usize) -> Result<u64> {
    Ok(fleet.backends[index].stats()?.total_runs)
}

/// Fails unless a backend server gets its share of new work.
fn ensure_working(fleet: &mut TestFleet, index: usize) -> Result<()> {
    let before = runs_of(fleet, index)?;
    wait_more_runs(fleet, SOME_RUNS)?;
    let more = runs_of(fleet, index)? - before;
    ensure!(more > SOME_RUNS / 10, "{more} of {SOME_RUNS} runs");
    Ok(())
}

/// Waits until others run all new work, and returns how long that took.
fn wait_left_alone(fleet: &mut TestFleet, index: usize) -> Result<Duration> {
    let started = Instant::now();
    loop {
        let (before, at) = (runs_of(fleet, index)?, started.elapsed());
        wait_more_runs(fleet, SOME_RUNS)?;
        let more = runs_of(fleet, index)? - before;
        if more == 0 {
            return Ok(at);
        }
        ensure!(started.elapsed() < WIDE_LIMIT, "{more} runs more after {at:?}");
    }
}

/// Symptom: a backend server that was published as leaving gets work until it ends.
/// Sequence: under load, one of three is published as draining; then another is taken off the
/// list at once.
/// Cause: a home that places work by an older list.
#[test]
fn published() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 3))?;
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    wait_more_runs(&mut fleet, SOME_RUNS)?;
    ensure_working(&mut fleet, 0)?;
    let draining = fleet.backends[0].name.clone();
    fleet.list.target_mut(&draining).unwrap().draining = true;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let took = wait_left_alone(&mut fleet, 0)?;
    println!("draining: left alone {took:?} after its list came into force");
    ensure!(took < FEW_SECONDS, "{took:?}");

    ensure_working(&mut fleet, 1)?;
    let removed = fleet.backends[1].name.clone();
    let service = fleet.list.service_mut(DESK.0).unwrap();
    service.targets.retain(|target| target.name != removed);
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    let took = wait_left_alone(&mut fleet, 1)?;
    println!("unlisted: left alone {took:?} after its list came into force");
    ensure!(took < FEW_SECONDS, "{took:?}");
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Symptom: a backend server that only says itself that it is leaving gets work until it ends.
/// Sequence: one drains but its reports say that it is idle, so it gets work on; then its reports
/// say what is true; it stops as planned.
/// Cause: a home that goes by the list only.
#[test]
fn reported_only() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::HealthyIdle })?;
    fleet.backends[0].order(&BackendOrder::Drain { go_away_ms: 120_000 })?;
    ensure_working(&mut fleet, 0)?;
    ensure!(fleet.backends[0].stats()?.work_after_drain > 0, "the lie had no effect");

    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::Truth })?;
    let took = wait_left_alone(&mut fleet, 0)?;
    println!("reported: left alone after {took:?}");
    ensure!(took < FEW_SECONDS, "{took:?}");

    fleet.backends[0].order(&BackendOrder::StopGracefully { ms: 20_000 })?;
    let status = fleet.backends[0].process.wait_exit(WIDE_LIMIT)?;
    ensure!(status.success(), "{status}");
    wait_more_runs(&mut fleet, SOME_RUNS)?;
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Symptom: bids fail because a backend server that takes none says that it is well and idle.
/// Sequence: one of three refuses all work while its reports say that it is idle.
/// Cause: reports believed against what the answers themselves say.
#[test]
fn lies_healthy() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 3))?;
    fleet.backends[0].order(&BackendOrder::Lie { say: LoadSaying::HealthyIdle })?;
    fleet.backends[0].order(&BackendOrder::Shed { on: true })?;
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    wait_more_runs(&mut fleet, 4 * SOME_RUNS)?;
    let report = stop_load(bids)?;
    let shed = fleet.backends[0].stats()?.refused.values().sum::<u64>();
    println!("{} offered, {} served, it was asked {shed} times", report.offered, report.served);
    ensure!(shed > 0, "it was never asked");
    ensure!(shed * 4 < report.offered, "asked {shed} times for {} bids", report.offered);
    ensure!(report.served * 100 >= report.offered * 99, "{:?}", report.refused);
    ensure!(report.unknown == 0, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Symptom: nobody is served, or some backend servers idle for good, because they say that they
/// are unwell.
/// Sequence: all backend servers say that they are unhealthy, and serve as ever. One that got no
/// work for a while is tried again within seconds.
/// Cause: reports believed against what the answers themselves say.
#[test]
fn lies_unhealthy() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    for backend in &fleet.backends {
        backend.order(&BackendOrder::Lie { say: LoadSaying::Unhealthy })?;
    }
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    for _ in 0..2 {
        for index in [0, 1] {
            wait_until_ok("it gets its share", WIDE_LIMIT, || ensure_working(&mut fleet, index))?;
        }
    }
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Symptom: the first bids at a backend server that was just started wait or fail.
/// Sequence: a backend server is added under load that is cold and says so, while its work takes
/// far longer; it gets warm.
/// Cause: a newcomer, being idle, gets more work than any other.
#[test]
fn cold_start() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    wait_more_runs(&mut fleet, SOME_RUNS)?;
    let added = fleet.add_backend(DESK.0, CENTRE, "auction-desk-toledo-cold")?;
    fleet.backends[added].order(&BackendOrder::Cold { ms: 120_000 })?;
    let revision = fleet.publish()?;
    wait_revision(&fleet, revision, WIDE_LIMIT)?;
    wait_more_runs(&mut fleet, 3 * SOME_RUNS)?;
    let cold_runs = runs_of(&mut fleet, added)?;
    println!("{cold_runs} of {} runs while it was cold", 3 * SOME_RUNS);
    ensure!(cold_runs * 3 < 3 * SOME_RUNS, "a cold backend server got {cold_runs} runs");

    fleet.backends[added].order(&BackendOrder::Cold { ms: 0 })?;
    wait_until_ok("the warm backend server has its share", WIDE_LIMIT, || {
        ensure_working(&mut fleet, added)
    })?;
    let report = stop_load(bids)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}
