//! The instances' views of each other with misleading listings, killed and frozen instances.

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

/// The generous limit until bids are admitted again after the death of a home; the target is one
/// second.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);
/// The number of runs that shows that bids are admitted again; it exceeds the number of bids on
/// their way to backend servers.
const RECOVERY_RUNS: u64 = 15;
/// The names of the instances of a fleet of three.
const ALL_INSTANCES: [&str; 3] = ["toledo-1", "toledo-2", "toledo-3"];
/// The rate of bids, per second.
const BIDS_PER_S: f64 = 80.0;

/// Waits until an instance takes exactly these peers for alive or suspect, including itself.
fn wait_not_dead(fleet: &TestFleet, index: usize, expected: &[&str]) -> Result<()> {
    let instance = &fleet.instances[index];
    wait_until_ok(&format!("peers of {}", instance.name), WIDE_LIMIT, || {
        let seen = peers_in_states(instance, &["alive", "suspect"])?;
        ensure!(seen == expected, "{seen:?}");
        Ok(())
    })
}

/// Fails unless all bids of a short load are served.
fn ensure_served(fleet: &mut TestFleet, name: &str) -> Result<()> {
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.name(name).seconds(2.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served == report.offered, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against the removal of all instances at once because the platform's listing is empty,
/// although they respond. An instance that reads the empty listing records it in its audit trail.
#[test]
fn empty_listing_removes_no_live_instance() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let all = ALL_INSTANCES;
    wait_until_ok("an instance has read the whole listing", WIDE_LIMIT, || {
        let reads = fleet.platform.client.report()?.total().calls;
        ensure!(reads > 0, "no reads");
        (0..3).try_for_each(|index| wait_alive(&fleet, index, &all))
    })?;
    // An instance must have read the whole listing before it can notice that it has shrunk.
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

/// Guards against bids that are sent to instances which no longer exist. Before the third instance
/// starts, the platform lists six that don't exist and none of the real ones, and continues to do
/// so.
#[test]
fn listed_instances_that_do_not_exist_get_no_bids() -> Result<()> {
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
    // The third instance reads this listing, which names none of the other real instances.
    let third = fleet.spawn_instance(CENTRE)?;
    fleet.instances[third].wait_ready(WIDE_LIMIT)?;
    fleet.update_fabrics()?;
    for index in 0..3 {
        wait_alive(&fleet, index, &["toledo-1", "toledo-2", "toledo-3"])?;
    }
    ensure_served(&mut fleet, "beside-the-gone")
}

/// Guards against an outdated listing that leads to dead instances or hides new ones. The listing
/// stays the same while an instance is killed and another one starts.
#[test]
fn outdated_listing_does_not_mislead() -> Result<()> {
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

/// Returns the index of the auction desk's home when all three instances see each other alive.
fn find_home(fleet: &TestFleet) -> Result<usize> {
    for index in 0..3 {
        wait_alive(fleet, index, &ALL_INSTANCES)?;
    }
    let ticket = ManualCaller::new(fleet, DESK, 1)?.obtain_ticket()?;
    ticket_home(fleet, &ticket)
}

/// Kills the home of the auction desk under load, and returns the time until bids run again.
fn kill_home(fleet: &mut LimitedFleet) -> Result<Duration> {
    let home = find_home(fleet)?;
    let bids = start_bids(fleet, CENTRE, BIDS_PER_S)?;
    wait_more_runs(fleet, 40)?;
    fleet.kill_instance(home)?;
    let died_at = Instant::now();
    let goal = total_runs(fleet)? + RECOVERY_RUNS;
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

/// Guards against bids that fail for seconds because instances wait until the killed home counts as
/// dead. The home of the auction desk is killed under load.
#[test]
fn bids_resume_soon_after_a_home_is_killed() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let took = kill_home(&mut fleet)?;
    ensure!(took < RECOVERY_LIMIT, "{took:?}");
    Ok(())
}

/// Shows that bids resume late if skipping unresponsive homes is disabled.
#[test]
fn bids_wait_for_the_death_of_a_home_that_is_not_skipped() -> Result<()> {
    let settings = "[trial]\npass_over_homes = false\n[peers]\ndead_after_ms = 6000\n";
    let plan: FleetPlan = plan_fleet(3, 2).settings(settings);
    let mut fleet = LimitedFleet::start(plan)?;
    let took = kill_home(&mut fleet)?;
    ensure!(
        took > RECOVERY_LIMIT,
        "back after {took:?}, so that skipping homes made no difference"
    );
    Ok(())
}

/// Guards against bids that fail while one instance is frozen, and instances that take each other
/// for dead when it resumes with outdated state. The home of the auction desk is frozen under load
/// until it counts as dead, and resumed, twice.
#[test]
fn bids_resume_while_a_home_is_frozen() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(3, 2))?;
    let all = ALL_INSTANCES;
    let home = find_home(&fleet)?;
    let others: Vec<_> =
        all.iter().copied().filter(|name| *name != fleet.instances[home].name).collect();
    let bids = start_bids(&fleet, CENTRE, BIDS_PER_S)?;
    for _ in 0..2 {
        wait_more_runs(&mut fleet, 40)?;
        fleet.instances[home].process.freeze()?;
        let frozen_at = Instant::now();
        wait_more_runs(&mut fleet, RECOVERY_RUNS)?;
        let took = frozen_at.elapsed();
        println!("back after {took:?}");
        ensure!(took < RECOVERY_LIMIT, "back after {took:?}");
        for index in (0..3).filter(|index| *index != home) {
            wait_not_dead(&fleet, index, &others)?;
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
