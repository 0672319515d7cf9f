//! The newest list reaches all instances within seconds, whatever fails.

mod common;

use common::{StoreState, VirtualFleet, settle, settled_fleet};
use foxledge_gossip::{AbandonReason, FleetEvent, MAX_MESSAGE_BYTES};

/// Time within which a new list must be in force after its acknowledgement, in milliseconds.
const CONVERGENCE_TIMEOUT_MS: u64 = 3_000;

const FLEET_SIZES: [&[usize]; 3] = [&[2, 2, 2, 1], &[21, 24, 19, 23], &[75, 75, 75, 75]];

fn publish(fleet: &mut VirtualFleet, version: u64) -> u64 {
    fleet.store.publish(version, 10);
    fleet.answer_watches();
    fleet.store.head
}

#[test]
fn change_reaches_all_instances() {
    for counts in FLEET_SIZES {
        for seed in 0..5 {
            let mut fleet = settled_fleet(counts, seed);
            let head = publish(&mut fleet, 2);
            let elapsed_ms =
                fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
            assert!(
                elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms < 1_500),
                "{counts:?} seed {seed}: {elapsed_ms:?} ms"
            );
        }
    }
}

// Both readers are killed at the moment a list is published. Another instance must take over before
// the deadline.
#[test]
fn change_reaches_all_after_readers_are_killed() {
    for counts in FLEET_SIZES {
        for seed in 0..5 {
            let mut fleet = settled_fleet(counts, seed);
            for index in 0..fleet.instances.len() {
                if fleet.instances[index]
                    .member
                    .as_ref()
                    .is_some_and(|member| member.is_reading_store())
                {
                    fleet.kill(index);
                }
            }
            let head = publish(&mut fleet, 2);
            let elapsed_ms =
                fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
            assert!(
                elapsed_ms.is_some(),
                "{counts:?} seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms"
            );
        }
    }
}

// The data centres lose each other, but each can reach the store. A data centre without a reader
// must get its own.
#[test]
fn change_reaches_all_data_centres_during_partition() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(&[3, 3, 3], seed);
        for from in 0..9 {
            for to in 0..9 {
                if from / 3 != to / 3 {
                    fleet.cut_links.insert((from, to));
                }
            }
        }
        let head = publish(&mut fleet, 2);
        let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
        assert!(elapsed_ms.is_some(), "seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms");
    }
}

// An instance without peers must not keep an old list that the store would update.
#[test]
fn isolated_instance_reads_store() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(&[3, 3], seed);
        fleet.isolate(4);
        let head = publish(&mut fleet, 2);
        let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
        assert!(elapsed_ms.is_some(), "seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms");
    }
}

// The store refuses a third of the instances, including the readers, or leaves them without a
// response. They must not keep an old list, nor keep others from reading.
#[test]
fn change_reaches_instances_that_store_refuses() {
    for state in [StoreState::Refusing, StoreState::Unresponsive] {
        for seed in 0..5 {
            let mut fleet = settled_fleet(&[3, 3, 3], seed);
            let readers: Vec<_> = (0..9)
                .filter(|i| {
                    fleet.instances[*i]
                        .member
                        .as_ref()
                        .is_some_and(|member| member.is_reading_store())
                })
                .collect();
            for index in readers.iter().copied().chain([0]) {
                fleet.store_state.insert(index, state);
            }
            fleet.run(2_500);
            let head = publish(&mut fleet, 2);
            let elapsed_ms =
                fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
            assert!(
                elapsed_ms.is_some(),
                "{state:?} seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms"
            );
        }
    }
}

// A backend server leaves while the store compacts its history, so that no watch returns the
// removal. It must not get new flows for ever.
#[test]
fn removal_is_known_after_history_is_compacted() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    fleet.store.remove(7);
    fleet.store.compact();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
    assert!(elapsed_ms.is_some());
    for member in fleet.members() {
        let row = member
            .list()
            .rows()
            .find(|row| row.key == "backend/i-7")
            .expect("the removed row is kept");
        assert!(matches!(row.value, Some(foxledge_flows::rows::RowValue::Removed(_))));
    }
}

#[test]
fn change_reaches_all_over_lossy_links() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(&[5, 5, 5], seed);
        fleet.loss_rate = 0.2;
        let head = publish(&mut fleet, 2);
        let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
        assert!(elapsed_ms.is_some(), "seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms");
    }
}

#[test]
fn newest_of_many_versions_reaches_all() {
    let mut fleet = settled_fleet(&[2, 2, 2, 1], 1);
    for version in 2..14 {
        publish(&mut fleet, version);
        fleet.run(330);
    }
    let head = fleet.store.head;
    assert!(fleet.run_until(1_000, |fleet| fleet.all_have_list(head)).is_some());
    assert!(fleet.members().all(|member| member.list().version() == 13));
}

#[test]
fn large_list_reaches_all() {
    let mut fleet = settled_fleet(&[4, 4], 1);
    fleet.store.publish(2, 1_400);
    fleet.answer_watches();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms < 1_500), "{elapsed_ms:?} ms");
    assert!(fleet.max_datagram_bytes <= MAX_MESSAGE_BYTES, "{} bytes", fleet.max_datagram_bytes);
}

// An instance that resumes after a long pause must not bring its old list back.
#[test]
fn resumed_instance_does_not_bring_old_list_back() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    fleet.instances[1].paused_until_us = fleet.now_us + 10_000_000;
    fleet.run(1_000);
    let head = publish(&mut fleet, 2);
    fleet.run(9_500);
    let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
    assert!(elapsed_ms.is_some());
    assert!(fleet.members().all(|member| member.list().version() == 2));
}

// A paused instance misses the removal of a route; its peers restart in the meantime, and so don't
// know the removal. It must not keep the route while it reports the newest list.
#[test]
fn removal_is_known_after_peers_restarted() {
    for seed in 0..10 {
        let mut fleet = settled_fleet(&[2, 2], seed);
        fleet.instances[0].paused_until_us = fleet.now_us + 4_000_000;
        fleet.store.remove(7);
        fleet.store.publish(2, 8);
        fleet.answer_watches();
        fleet.run(500);
        for index in 1..4 {
            fleet.kill(index);
            fleet.start(index);
        }
        fleet.run(8_000);
        assert!(fleet.all_have_list(fleet.store.head));
        for member in fleet.members() {
            let is_kept = |row: &&foxledge_flows::rows::ListRow| {
                matches!(row.key.as_str(), "backend/i-7" | "route/route-9")
                    && !matches!(row.value, Some(foxledge_flows::rows::RowValue::Removed(_)))
            };
            assert_eq!(member.list().rows().find(is_kept), None, "seed {seed}");
        }
    }
}

// Large lists come three a second, and an instance whose requests are lost gets no changes from its
// peers. It must not wait for better ranked instances to read first, since they can't help it: with
// that rule, such an instance had a list 13 s old while all others had the newest.
#[test]
fn outdated_instance_reads_store_itself() {
    for seed in 0..5 {
        let mut fleet = VirtualFleet::new(&[20, 20], seed);
        // Its narrow link makes it the last in rank.
        fleet.instances[39].link_mbps = 1;
        let mut fleet = settle(fleet);
        // All that it sends is lost, so no peer responds; what others send arrives.
        for other in 0..40 {
            fleet.cut_links.insert((39, other));
        }
        let head = publish(&mut fleet, 2);
        fleet.store.publish(3, 700);
        fleet.answer_watches();
        let elapsed_ms =
            fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head + 1));
        assert!(elapsed_ms.is_some(), "seed {seed}: not within {CONVERGENCE_TIMEOUT_MS} ms");
    }
}

#[test]
fn instances_with_wide_links_become_readers() {
    let mut fleet = VirtualFleet::new(&[4, 4], 1);
    for index in [2, 6] {
        fleet.instances[index].link_mbps = 1_000;
    }
    let mut fleet = settle(fleet);
    fleet.run(10_000);
    let is_reader = |index: &usize| {
        fleet.instances[*index].member.as_ref().is_some_and(|member| member.is_reading_store())
    };
    let readers: Vec<_> = (0..8).filter(is_reader).collect();
    assert!(
        !readers.is_empty() && readers.iter().all(|index| [2, 6].contains(index)),
        "{readers:?}"
    );
}

// Guards against instances that wait seconds for a peer whose first page never arrives: its later
// pages must not count as progress.
#[test]
fn pages_out_of_order_do_not_delay_reading() {
    for seed in 1..=10 {
        let mut fleet = settled_fleet(&[2, 2, 2], seed);
        fleet.loses_first_pages = true;
        fleet.store.publish(2, 100);
        fleet.answer_watches();
        let head = fleet.store.head;
        let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
        println!("seed {seed}: {elapsed_ms:?} ms");
        assert!(elapsed_ms.is_some(), "seed {seed}");
        let is_told = |(_, event): &(u64, FleetEvent)| {
            matches!(event, FleetEvent::TransferAbandoned { reason: AbandonReason::PageLost, .. })
        };
        assert!(fleet.instances.iter().any(|instance| instance.events.iter().any(is_told)));
    }
}
