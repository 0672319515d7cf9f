//! Joining, leaving, dying and coming back.

mod common;

use std::time::Duration;

use common::{Fleet, control};
use foxledge_core::peers::PeerState;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn settled(seed: u64, count: usize) -> Fleet {
    let mut fleet = Fleet::with_members(seed, count);
    assert!(fleet.run_until(seconds(20), Fleet::agrees), "{count} instances find each other");
    fleet
}

#[test]
fn instances_find_each_other_through_a_seed() {
    for count in [1, 2, 3, 9, 40, 120] {
        settled(count as u64, count);
    }
}

#[test]
fn two_that_lack_the_same_instance_ask_somebody_else() {
    // Symptom: two of nine instances never learn of a third, though nothing fails.
    // Sequence: both observe each other and start at once (found by seed).
    // Cause: each page went to the same peer, as beats and pages took turns alike.
    settled(4366574898399643058, 9);
}

#[test]
fn a_late_instance_is_known_by_all_and_knows_all() {
    let mut fleet = settled(1, 60);
    fleet.start("late", 1, "toledo", vec![control(7)]);
    assert!(fleet.run_until(seconds(10), Fleet::agrees));
}

#[test]
fn a_killed_instance_is_dead_for_all_within_seconds() {
    // Symptom: homes stay with an instance that is gone.
    // Sequence: one of nine is killed; its observers get no more answers.
    // Cause: without a deadline nobody would ever give it up.
    let mut fleet = settled(2, 9);
    fleet.kill(4);
    assert!(fleet.run_until(seconds(8), Fleet::agrees));
}

#[test]
fn nobody_dies_while_the_network_only_loses_messages() {
    // Symptom: a living instance loses its homes for a moment.
    // Sequence: every tenth message is lost for two minutes.
    // Cause: one lost beat taken for a death; resends, relays and refutation prevent it.
    // In the last two a refutation passed one instance by: those that held equal tables
    // stopped sending it at once.
    for seed in [3, 100, 137] {
        let mut fleet = settled(seed, 20);
        fleet.loss = 0.1;
        fleet.run(seconds(120));
        let died = |node: &common::FleetNode| node.audits.iter().any(|change| change.new == "dead");
        assert!(!fleet.nodes.iter().any(died), "seed {seed}");
    }
}

#[test]
fn a_suspect_refutes() {
    // Symptom: an instance frozen for two seconds is gone for good.
    // Sequence: frozen past the suspicion, woken before the death.
    // Cause: others hold it as suspect; only its own refutation ends that.
    let mut fleet = settled(4, 9);
    fleet.freeze(3, Duration::from_millis(2400));
    assert!(fleet.run_until(seconds(3), |fleet| fleet.seen(0, 3) == Some(PeerState::Suspect)));
    assert!(fleet.run_until(seconds(5), Fleet::agrees));
    let refuted = fleet.nodes[3].audits.iter().any(|change| change.cause.starts_with("refuted"));
    assert!(refuted);
}

#[test]
fn a_leaving_instance_never_serves_again_and_goes_quietly() {
    let mut fleet = settled(5, 9);
    fleet.call(2, |member, now| member.set_state(now, PeerState::Leaving));
    let all_see = |fleet: &Fleet| (0..9).all(|by| fleet.seen(by, 2) == Some(PeerState::Leaving));
    assert!(fleet.run_until(seconds(3), all_see));
    fleet.freeze(2, Duration::from_millis(2000));
    for _ in 0..60 {
        fleet.run(Duration::from_millis(100));
        let serves = |by| fleet.seen(by, 2).is_some_and(PeerState::can_be_home);
        assert!(!(0..9).any(serves), "a leaving instance must not get homes back");
    }
    fleet.call(2, |member, now| member.set_state(now, PeerState::Dead));
    fleet.kill(2);
    assert!(fleet.run_until(seconds(4), Fleet::agrees));
}

#[test]
fn a_restarted_instance_replaces_its_former_self() {
    let mut fleet = settled(6, 9);
    fleet.kill(5);
    fleet.start("i005", 2, "toledo", vec![control(0)]);
    assert!(fleet.run_until(seconds(5), Fleet::agrees));
}

#[test]
fn a_woken_process_that_was_replaced_gives_way() {
    // Symptom: two processes take homes under one name.
    // Sequence: a process freezes, another starts under its name, the first one wakes.
    // Cause: the first still believes that it is alive; the higher incarnation tells it.
    let mut fleet = settled(7, 9);
    fleet.freeze(5, seconds(20));
    fleet.start("i005", 2, "toledo", vec![control(0)]);
    fleet.run(seconds(19));
    assert!(fleet.run_until(seconds(5), |fleet| {
        fleet.view(5).find("i005").is_some_and(|peer| peer.state == PeerState::Leaving)
    }));
    let present = |by| fleet.view(by).find("i005").map(|peer| (peer.incarnation, peer.state));
    assert!((0..5).all(|by| present(by) == Some((2, PeerState::Alive))));
}

#[test]
fn all_instances_replaced_one_by_one() {
    let mut fleet = settled(8, 9);
    for old in 0..9 {
        let seeds = (0..9).map(|index| control(old + index)).collect();
        fleet.start(&format!("n{old:03}"), 1, "toledo", seeds);
        assert!(fleet.run_until(seconds(10), Fleet::agrees), "new instance {old} joins");
        fleet.call(old, |member, now| member.set_state(now, PeerState::Leaving));
        fleet.run(seconds(1));
        fleet.call(old, |member, now| member.set_state(now, PeerState::Dead));
        fleet.kill(old);
        assert!(fleet.run_until(seconds(10), Fleet::agrees), "old instance {old} leaves");
    }
}
