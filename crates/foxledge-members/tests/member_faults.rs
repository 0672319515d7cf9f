//! Partitions, frozen processes and misleading platform listings.

mod common;

use std::time::Duration;

use common::{Fleet, FleetNode, control};
use foxledge_core::peers::PeerState;
use foxledge_wire::{control::MemberListing, convert};
use proptest::prelude::*;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn converged_fleet(seed: u64, count: usize) -> Fleet {
    let mut fleet = Fleet::with_members(seed, count);
    assert!(fleet.run_until(seconds(20), Fleet::agrees));
    fleet
}

fn has_recorded_death(node: &FleetNode) -> bool {
    node.audits.iter().any(|change| change.new == "dead")
}

fn indexes(range: std::ops::Range<usize>) -> Vec<usize> {
    range.collect()
}

// Guards against an instance that loses its homes though all others reach it. Messages from each
// instance to its neighbour are lost, in this direction only; relayed probes must show that no
// instance is dead.
#[test]
fn one_way_link_loss_marks_no_instance_dead() {
    let mut fleet = converged_fleet(11, 9);
    for other in 0..8 {
        fleet.cut(&[other + 1], &[other]);
    }
    for _ in 0..600 {
        fleet.run(Duration::from_millis(100));
        let is_home =
            |observer, peer| fleet.peer_state(observer, peer).is_some_and(PeerState::can_be_home);
        assert!((0..9).all(|observer| (0..9).all(|peer| is_home(observer, peer))));
    }
    assert!(!fleet.nodes.iter().any(has_recorded_death));
}

#[test]
fn marks_an_unreachable_instance_dead_though_it_still_sends() {
    let mut fleet = converged_fleet(12, 9);
    let others = indexes(0..8);
    fleet.cut(&others, &[8]);
    let is_removed = |fleet: &Fleet| (0..8).all(|observer| fleet.peer_state(observer, 8).is_none());
    assert!(fleet.run_until(seconds(15), is_removed));
    fleet.heal();
    assert!(fleet.run_until(seconds(20), Fleet::agrees));
}

// Guards against halves that never rejoin after a partition, and against all homes moving twice.
// The halves are partitioned for a minute and healed while the platform is down. Dead instances
// must be contacted again, and second-hand claims of a death must not be applied directly.
#[test]
fn split_fleet_runs_in_halves_and_rejoins_without_the_platform() {
    for (seed, count) in [(13, 2), (14, 8), (15, 60)] {
        let mut fleet = converged_fleet(seed, count);
        let (one, other) = (indexes(0..count / 2), indexes(count / 2..count));
        fleet.split(&one, &other);
        let is_split = |fleet: &Fleet| {
            (0..count).all(|observer| {
                (0..count).all(|peer| {
                    let same_side = (observer < count / 2) == (peer < count / 2);
                    same_side == (fleet.peer_state(observer, peer) == Some(PeerState::Alive))
                })
            })
        };
        assert!(fleet.run_until(seconds(30), is_split), "{count} instances split");
        fleet.run(seconds(60));
        assert!(is_split(&fleet), "{count} instances stay split");

        fleet.heal();
        let same_side_homes_remain = |fleet: &Fleet| {
            let is_home = |observer, peer| {
                fleet.peer_state(observer, peer).is_some_and(PeerState::can_be_home)
            };
            one.iter().all(|observer| one.iter().all(|peer| is_home(*observer, *peer)))
                && other.iter().all(|observer| other.iter().all(|peer| is_home(*observer, *peer)))
        };
        let mut healed = false;
        for _ in 0..600 {
            fleet.run(Duration::from_millis(50));
            assert!(
                same_side_homes_remain(&fleet),
                "{count} instances: the heal removes no instance from its own half"
            );
            healed = healed || fleet.agrees();
        }
        assert!(healed && fleet.agrees(), "{count} instances rejoin");
    }
}

// Guards against a resumed instance that assigns all homes to itself. After being frozen for 30 s
// every deadline has passed, and it must not mistake its own pause for the others' silence.
#[test]
fn resumed_process_marks_no_instance_dead() {
    let mut fleet = converged_fleet(16, 9);
    fleet.freeze(3, seconds(30));
    fleet.run(seconds(29));
    assert!(
        (0..3).all(|observer| fleet.peer_state(observer, 3).is_none()),
        "the frozen instance was removed"
    );
    assert!(fleet.run_until(seconds(10), Fleet::agrees));
    fleet.run(seconds(10));
    assert!(!has_recorded_death(&fleet.nodes[3]));
    assert!(fleet.agrees());
}

// Guards against homes assigned to an instance that died half a minute ago. One process freezes,
// another dies and is removed, and the first one resumes with an outdated table.
#[test]
fn stale_records_of_a_resumed_process_revive_no_dead_instance() {
    let mut fleet = converged_fleet(21, 9);
    fleet.freeze(3, seconds(30));
    fleet.run(seconds(1));
    fleet.kill(5);
    fleet.run(seconds(28));
    let is_revived = |fleet: &Fleet| {
        [0, 1, 2, 4, 6, 7, 8].iter().any(|observer| fleet.peer_state(*observer, 5).is_some())
    };
    for _ in 0..200 {
        assert!(!is_revived(&fleet));
        fleet.run(Duration::from_millis(50));
    }
    assert!(fleet.agrees(), "the resumed process removes the dead instance too");
}

// Guards against homes assigned to a dead instance, and against dropping all instances. The
// platform lists a dead instance first, then none at all; its listing must only serve as a hint.
#[test]
fn stale_or_empty_platform_listings_change_no_view() {
    let mut fleet = converged_fleet(17, 9);
    let full = MemberListing {
        members: fleet.nodes.iter().map(|node| convert::peer_record(&node.info)).collect(),
    };
    fleet.kill(6);
    fleet.run(seconds(10));
    for observer in 0..9 {
        fleet.call(observer, |member, now| member.on_platform_listing(now, &full));
    }
    for _ in 0..100 {
        fleet.run(Duration::from_millis(100));
        assert!(fleet.agrees(), "the listing revives no instance");
    }
    for observer in 0..9 {
        fleet.call(observer, |member, now| {
            member.on_platform_listing(now, &MemberListing::default())
        });
    }
    fleet.run(seconds(10));
    assert!(fleet.agrees());
    let has_listing_entry =
        |node: &FleetNode| node.audits.iter().any(|change| change.subject == "platform listing");
    assert!(fleet.nodes.iter().all(has_listing_entry));
}

#[test]
fn finds_peers_through_the_platform_listing_without_seeds() {
    let mut fleet = converged_fleet(18, 5);
    let isolated = fleet.start("lone", 1, "toledo", Vec::new());
    fleet.run(seconds(5));
    assert_eq!(fleet.view(isolated).peers.len(), 1);
    let listing = MemberListing { members: vec![convert::peer_record(&fleet.nodes[2].info)] };
    fleet.call(isolated, |member, now| member.on_platform_listing(now, &listing));
    assert!(fleet.run_until(seconds(10), Fleet::agrees));
}

// Guards against an instance that joined amid faults and never learns of one of the others. Two
// instances join during two partitions and some freezes (found by seed). The page of a small table
// requested only names after its last one.
#[test]
fn anti_entropy_finds_an_instance_whose_updates_were_lost() {
    let mut fleet = converged_fleet(9675901338757911161, 9);
    fleet.loss_rate = 0.05;
    fleet.kill(3);
    fleet.run(Duration::from_millis(1226));
    fleet.split(&indexes(0..6), &indexes(6..9));
    fleet.run(Duration::from_millis(14_000));
    fleet.start("new2", 2, "toledo", vec![control(7)]);
    fleet.run(Duration::from_millis(5203));
    fleet.start("new4", 2, "toledo", vec![control(4)]);
    fleet.split(&indexes(0..3), &indexes(3..9));
    fleet.run(seconds(9));
    fleet.heal();
    assert!(fleet.run_until(seconds(60), Fleet::agrees));
}

#[test]
fn bounds_message_size_during_mass_changes() {
    let mut fleet = converged_fleet(19, 150);
    let (one, other) = (indexes(0..75), indexes(75..150));
    fleet.split(&one, &other);
    fleet.run(seconds(20));
    fleet.heal();
    fleet.run(seconds(60));
    assert!(fleet.agrees());
    // 12 update records, and a page of 96 outlines with its start marker, or of 48 records.
    let most = fleet.nodes.iter().map(|node| node.max_update_records).max();
    assert!(most <= Some(12 + 97), "{most:?}");
}

#[test]
fn elects_two_readers_or_the_only_instance() {
    let mut fleet = converged_fleet(20, 30);
    let readers = |fleet: &Fleet| -> Vec<usize> {
        fleet
            .running()
            .filter(|(_, node)| node.member.is_reader())
            .map(|(index, _)| index)
            .collect()
    };
    let first = readers(&fleet);
    assert_eq!(first.len(), 2);
    fleet.kill(first[0]);
    fleet.kill(first[1]);
    assert!(fleet.run_until(seconds(10), Fleet::agrees));
    assert_eq!(readers(&fleet).len(), 2);

    let isolated = Fleet::with_members(1, 1);
    assert!(isolated.nodes[0].member.is_reader(), "a single instance is a reader");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn views_converge_after_the_faults_end(
        seed in any::<u64>(),
        faults in prop::collection::vec((0..5u8, 0..9usize, 0..9usize, 200..6000u64), 1..12),
    ) {
        let mut fleet = converged_fleet(seed, 9);
        fleet.loss_rate = 0.05;
        for (kind, one, other, millis) in faults {
            let span = Duration::from_millis(millis);
            match kind {
                0 => fleet.freeze(one, span),
                1 => fleet.cut(&[one], &[other]),
                2 => fleet.split(&indexes(0..one), &indexes(one..9)),
                3 if fleet.running().count() > 6 => fleet.kill(one),
                _ => {
                    let incarnation = fleet.now;
                    let seeds = (0..9).map(control).collect();
                    fleet.start(&format!("new{one}"), incarnation, "toledo", seeds);
                }
            }
            fleet.run(span);
        }
        // Of two processes with one name the older one leaves; it is killed here.
        let running: Vec<_> =
            fleet.running().map(|(index, node)| (index, node.info.clone())).collect();
        for (index, info) in &running {
            let is_replaced = |other: &foxledge_core::peers::PeerInfo| {
                other.name == info.name && other.incarnation > info.incarnation
            };
            if running.iter().any(|(_, other)| is_replaced(other)) {
                fleet.kill(*index);
            }
        }
        fleet.heal();
        prop_assert!(fleet.run_until(seconds(60), Fleet::agrees));
        fleet.run(seconds(20));
        prop_assert!(fleet.agrees(), "the views stay consistent");
    }
}
