//! What instances believe of each other, against a listing that misleads, deaths and freezes.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{FleetPlan, TestFleet, free_address, wait_until_ok},
    platform::orders::{ListedMember, ListedState},
};
use foxledge_proofs::{
    fleet_helpers::{
        ensure_clean, peers_in_states, start_bids, stop_load, total_runs, wait_alive, wait_audit,
        wait_more_runs,
    },
    fleet_limit::LimitedFleet,
    request_helpers::{CENTRE, DESK, MEMBER, ManualCaller, WIDE_LIMIT, plan_fleet, ticket_home},
};

/// Wide limit for admission to be back after a home's death; a second is aimed at.
const BACK_LIMIT: Duration = Duration::from_secs(3);
/// Runs after which admission counts as back: more than what was on its way to backend servers.
const BACK_RUNS: u64 = 15;
/// The instances of a fleet of three.
const ALL: [&str; 3] = ["toledo-1", "toledo-2", "toledo-3"];
/// Bids a second.
const RATE: f64 = 80.0;

/// Waits until an instance takes just these peers for living, itself included.
fn wait_living(fleet: &TestFleet, index: usize, expected: &[&str]) -> Result<()> {
    let instance = &fleet.instances[index];
    wait_until_ok(&format!("peers of {}", instance.name), WIDE_LIMIT, || {
        let seen = peers_in_states(instance, &["alive", "suspect"])?;
        ensure!(seen == expected, "{seen:?}");
        Ok(())
    })
}

/// Fails unless bids are all served.
fn ensure_served(fleet: &mut TestFleet, name: &str) -> Result<()> {
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.name(name).seconds(2.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Symptom: all instances are dropped at once because the platform lists none.
/// Sequence: the listing becomes empty; an instance that reads it says so in its audit trail.
/// Cause: a listing believed against the answers of those it leaves out.
#[test]
fn listing_emptied() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let all = ALL;
    wait_until_ok("an instance has read the whole listing", WIDE_LIMIT, || {
        let reads = fleet.platform.client.report()?.total().calls;
        ensure!(reads > 0, "no reads");
        (0..3).try_for_each(|index| wait_alive(&fleet, index, &all))
    })?;
    // A reader that hasn't seen the listing before can't see it shrink.
    let mut emptied = false;
    wait_until_ok("the shrinking is noticed", WIDE_LIMIT, || {
        if emptied {
            fleet.publish_members()?;
        }
        fleet.platform.client.publish_members(Vec::new())?;
        emptied = true;
        let noticed = (0..3).any(|index| {
            let entries = foxledge_proofs::fleet_helpers::audit_entries(
                &fleet.instances[index],
                "member_changed",
            );
            entries.is_ok_and(|entries| {
                entries.iter().any(|entry| entry["subject"] == "platform listing")
            })
        });
        ensure!(noticed, "not yet");
        Ok(())
    })?;
    for index in 0..3 {
        wait_alive(&fleet, index, &all)?;
    }
    ensure_served(&mut fleet, "after-emptying")
}

/// Symptom: bids are sent to instances that are long gone.
/// Sequence: before the instances start, the platform lists six more that don't exist, and goes on
/// to do so; one of the real ones isn't listed at all.
/// Cause: a listing believed without an answer.
#[test]
fn listing_of_the_gone() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let mut members = Vec::new();
    for number in 1..=6 {
        members.push(ListedMember {
            name: format!("gone-{number}"),
            data_centre: CENTRE.to_owned(),
            data_address: free_address()?,
            peer_address: free_address()?,
            control_address: free_address()?,
            state: ListedState::Alive,
        });
    }
    fleet.platform.client.publish_members(members)?;
    // The third instance reads that listing, which names none of the others.
    let third = fleet.spawn_instance(CENTRE)?;
    fleet.instances[third].wait_ready(WIDE_LIMIT)?;
    fleet.update_fabrics()?;
    for index in 0..3 {
        wait_alive(&fleet, index, &["toledo-1", "toledo-2", "toledo-3"])?;
    }
    ensure_served(&mut fleet, "beside-the-gone")
}

/// Symptom: a listing that lags leads to instances that have died, or away from new ones.
/// Sequence: the listing stays as it was while an instance is killed and another one starts.
/// Cause: a listing believed against what answers.
#[test]
fn listing_lags() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let third = fleet.spawn_instance(CENTRE)?;
    fleet.instances[third].wait_ready(WIDE_LIMIT)?;
    fleet.update_fabrics()?;
    fleet.kill_instance(0)?;
    for index in [1, third] {
        wait_alive(&fleet, index, &["toledo-2", "toledo-3"])?;
    }
    fleet.instances[0].sprayed = false;
    fleet.update_fabrics()?;
    ensure_served(&mut fleet, "after-the-death")
}

/// Index of the auction desk's home, once all three instances agree on who lives.
fn find_home(fleet: &TestFleet) -> Result<usize> {
    for index in 0..3 {
        wait_alive(fleet, index, &ALL)?;
    }
    let ticket = ManualCaller::new(fleet, DESK, 1)?.obtain_ticket()?;
    ticket_home(fleet, &ticket)
}

/// Kills the home of the auction desk under load; how long until bids run again.
fn kill_home(fleet: &mut LimitedFleet) -> Result<Duration> {
    let home = find_home(fleet)?;
    let bids = start_bids(fleet, CENTRE, RATE)?;
    wait_more_runs(fleet, 40)?;
    fleet.kill_instance(home)?;
    let died_at = Instant::now();
    let goal = total_runs(fleet)? + BACK_RUNS;
    wait_until_ok("bids run again", WIDE_LIMIT, || {
        let runs = total_runs(fleet)?;
        ensure!(runs >= goal, "{runs} of {goal}");
        Ok(())
    })?;
    let took = died_at.elapsed();
    let report = stop_load(bids)?;
    println!(
        "back after {took:?}: {} offered, {} served, {} unknown, {} timed out",
        report.offered, report.served, report.unknown, report.timed_out
    );
    ensure_clean(&fleet.judge(&[report])?)?;
    Ok(took)
}

/// Symptom: nobody can bid for seconds after one instance died.
/// Sequence: the home of the auction desk is killed under load.
/// Cause: instances that wait until the home counts as dead.
#[test]
fn home_killed() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let took = kill_home(&mut fleet)?;
    ensure!(took < BACK_LIMIT, "{took:?}");
    Ok(())
}

/// As above, with the passing over of silent homes switched off.
#[test]
fn home_not_passed_over() -> Result<()> {
    let settings = "[trial]\npass_over_homes = false\n[peers]\ndead_after_ms = 6000\n";
    let plan: FleetPlan = plan_fleet(3, 2).settings(settings);
    let mut fleet = LimitedFleet::start(plan)?;
    let took = kill_home(&mut fleet)?;
    ensure!(took > BACK_LIMIT, "back after {took:?}, so the mechanism wasn't what mattered");
    Ok(())
}

/// Symptom: nobody can bid while one instance is frozen, or all take each other for dead when it
/// wakes.
/// Sequence: the home of the auction desk is frozen under load until it counts as dead, and woken.
/// The same again.
/// Cause: a process that wakes late believes what was true before.
#[test]
fn home_frozen_twice() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let all = ALL;
    let home = find_home(&fleet)?;
    let others: Vec<_> =
        all.iter().copied().filter(|name| *name != fleet.instances[home].name).collect();
    let bids = start_bids(&fleet, CENTRE, RATE)?;
    for _ in 0..2 {
        wait_more_runs(&mut fleet, 40)?;
        fleet.instances[home].process.freeze()?;
        let frozen_at = Instant::now();
        wait_more_runs(&mut fleet, BACK_RUNS)?;
        let took = frozen_at.elapsed();
        println!("back after {took:?}");
        ensure!(took < BACK_LIMIT, "back after {took:?}");
        for index in (0..3).filter(|index| *index != home) {
            wait_living(&fleet, index, &others)?;
        }
        fleet.instances[home].process.wake()?;
        for index in 0..3 {
            wait_alive(&fleet, index, &all)?;
        }
    }
    wait_more_runs(&mut fleet, 40)?;
    let report = stop_load(bids)?;
    println!("{} offered, {} served, {} unknown", report.offered, report.served, report.unknown);
    ensure_clean(&fleet.judge(&[report])?)?;
    let entry = wait_audit(&fleet.instances[(home + 1) % 3], "member_changed", "dead")?;
    ensure!(entry["subject"] == fleet.instances[home].name, "{entry}");
    Ok(())
}
