//! Cost of a fleet in its steady state.

mod common;

use common::{StoreState, VirtualFleet, settled_fleet};
use foxledge_flows::{HealthObservation, ObservationKind};

#[test]
fn steady_fleet_rarely_calls_store() {
    // Two readers, each with a watch of one second.
    for counts in [&[2, 2, 2, 1][..], &[21, 24, 19, 23], &[75, 75, 75, 75]] {
        let mut fleet = settled_fleet(counts, 1);
        let before = fleet.store.calls;
        fleet.run(30_000);
        let calls = fleet.store.calls - before;
        assert!(calls <= 75, "{counts:?}: {calls} calls in 30 s");
        assert!((1..=4).contains(&fleet.reader_count()), "{} readers", fleet.reader_count());
    }
}

#[test]
fn traffic_per_instance_does_not_grow_with_fleet() {
    // The messages of one instance must not grow with the fleet.
    for counts in [&[2, 2, 2, 1][..], &[21, 24, 19, 23], &[75, 75, 75, 75]] {
        let mut fleet = settled_fleet(counts, 1);
        let bytes_before: Vec<_> =
            fleet.instances.iter().map(|instance| instance.sent_bytes).collect();
        let messages_before = fleet.sent_messages();
        let remote_before = fleet.remote_bytes;
        fleet.run(10_000);
        let remote = (fleet.remote_bytes - remote_before) / 10 / fleet.instances.len() as u64;
        let rate =
            (fleet.sent_messages() - messages_before) as f64 / 10.0 / fleet.instances.len() as f64;
        assert!(rate <= 14.0, "{counts:?}: {rate} messages a second and instance");
        let sent_bytes: u64 = fleet.instances.iter().map(|instance| instance.sent_bytes).sum();
        let sent =
            (sent_bytes - bytes_before.iter().sum::<u64>()) / 10 / fleet.instances.len() as u64;
        println!(
            "{counts:?}: {rate:.1} messages, {sent} bytes, {remote} of them to other data centres"
        );
        for (instance, before) in fleet.instances.iter().zip(bytes_before) {
            let rate = (instance.sent_bytes - before) / 10;
            assert!(rate <= 12_000, "{counts:?}: {rate} bytes a second");
        }
    }
}

#[test]
fn frequent_changes_share_messages() {
    // A hundred changes a second, as when all backend servers start: changes that come close
    // together share messages, and the bytes per instance don't grow with the fleet.
    for counts in [&[2, 2, 2, 1][..], &[21, 24, 19, 23], &[75, 75, 75, 75]] {
        let mut fleet = settled_fleet(counts, 1);
        let sent = |fleet: &VirtualFleet| {
            fleet.instances.iter().map(|instance| instance.sent_bytes).sum::<u64>()
        };
        let before = sent(&fleet);
        for number in 0..300 {
            fleet.store.register(1_000 + number, false);
            fleet.answer_watches();
            fleet.run(10);
        }
        let head = fleet.store.head;
        assert!(fleet.run_until(1_000, |fleet| fleet.all_have_list(head)).is_some());
        let bytes = (sent(&fleet) - before) / 300 / fleet.instances.len() as u64;
        println!("{counts:?}: {bytes} bytes a change and instance");
        assert!(bytes <= 400, "{counts:?}: {bytes} bytes a change and instance");
    }
}

// A reader that calls the store again after every change makes three thousand calls on a day on
// which half of the backend servers are replaced.
#[test]
fn frequent_changes_share_store_calls() {
    for counts in [&[2, 2, 2, 1][..], &[75, 75, 75, 75]] {
        let mut fleet = settled_fleet(counts, 1);
        let before = fleet.store.calls;
        let mut max_delay_ms = 0;
        for number in 0..100 {
            fleet.store.register(1_000 + number, false);
            fleet.answer_watches();
            let head = fleet.store.head;
            if number % 10 == 0 {
                let elapsed_ms = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
                max_delay_ms =
                    max_delay_ms.max(elapsed_ms.expect("the change reaches all instances"));
            }
            fleet.run(100);
        }
        let calls = fleet.store.calls - before;
        // Two readers with four calls a second each, in the 10 s and what the waits add.
        assert!(calls <= 2 * 4 * 14, "{counts:?}: {calls} calls for 100 changes");
        // The minimum interval between calls, and a query by instances that an update missed.
        assert!(max_delay_ms <= 250 + 1_250 + 250, "{counts:?}: {max_delay_ms} ms");
    }
}

#[test]
fn confirmations_stay_recent_on_all_instances() {
    for counts in [&[2, 2, 2, 1][..], &[21, 24, 19, 23], &[75, 75, 75, 75]] {
        let mut fleet = settled_fleet(counts, 1);
        let mut max_age_ms = 0;
        for _ in 0..100 {
            fleet.run(97);
            max_age_ms =
                max_age_ms.max(fleet.max_confirmation_age_ms().expect("all are confirmed"));
        }
        assert!(max_age_ms <= 2_200, "{counts:?}: {max_age_ms} ms");
    }
}

// An instance that handles its messages late passes on an observation that others have seen
// already. The observation seems newer by its time in transit; taken for a new one, it would
// circulate without end and multiply the traffic a hundredfold.
#[test]
fn late_observation_does_not_circulate_forever() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    fleet.instances[4].receive_delay_us = 120_000;
    fleet.instances[7].receive_delay_us = 80_000;
    let observation = HealthObservation {
        number: 3,
        incarnation: 0,
        kind: ObservationKind::Suspect,
        observed_at: fleet.now(),
    };
    fleet.share_observation(0, observation);
    fleet.run(3_000);
    for (index, instance) in fleet.instances.iter().enumerate().skip(1) {
        assert_eq!(instance.observations.len(), 1, "instance {index}");
    }
    let before = fleet.sent_messages();
    fleet.run(5_000);
    let rate = (fleet.sent_messages() - before) / 5 / 9;
    assert!(rate <= 14, "{rate} messages a second and instance");
}

// Each hop makes a confirmation seem younger by its time in transit. The last confirmation of a
// dead reader must expire all the same, or no other instance reads the store.
#[test]
fn confirmation_of_dead_reader_expires() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    fleet.instances[5].receive_delay_us = 200_000;
    for index in 0..9 {
        fleet.store_state.insert(index, StoreState::Refusing);
    }
    // Pending watches end at once.
    fleet.answer_watches();
    fleet.run(200);
    let start = fleet.now_us;
    fleet.run(5_000);
    let age_ms = fleet.max_confirmation_age_ms().expect("was confirmed");
    let elapsed_ms = (fleet.now_us - start) / 1_000;
    assert!(age_ms + 1_500 >= elapsed_ms, "{age_ms} ms reported, {elapsed_ms} ms passed");
}

#[test]
fn stopping_instance_is_removed_by_peers() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    let peers = fleet.instances[0].member.as_ref().map(|member| member.peer_count());
    assert_eq!(peers, Some(5));
    fleet.leave(5);
    fleet.kill(5);
    fleet.run(1_500);
    for instance in fleet.instances.iter().take(5) {
        assert_eq!(instance.member.as_ref().map(|member| member.peer_count()), Some(4));
    }
}

// During an outage of the store all instances try to read. If each is ranked only among the few
// that it has recently heard from, all try at once and then every second. That costs as many calls
// in five seconds as a quiet day, and hundreds of instances read when the store is back.
#[test]
fn store_outage_costs_few_calls() {
    for counts in [&[2, 2, 2, 1][..], &[21, 24, 19, 23], &[50; 6]] {
        let mut fleet = settled_fleet(counts, 1);
        fleet.run(10_000);
        let total = fleet.instances.len();
        fleet.store_state = (0..total).map(|index| (index, StoreState::Refusing)).collect();
        fleet.answer_watches();
        let before = fleet.store.calls;
        fleet.run(5_000);
        let calls = fleet.store.calls - before;
        println!("{counts:?}: {calls} calls");
        // Eight instances whose delays double from 0.2 to 1 s, and one more each 0.12 s, twice.
        assert!(calls <= 8 * 8 + 2 * 28, "{counts:?}: {calls} calls");
        fleet.store_state.clear();
        fleet.store.publish(2, 10);
        fleet.answer_watches();
        let head = fleet.store.head;
        let elapsed_ms = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
        assert!(
            elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 2_000),
            "{counts:?}: {elapsed_ms:?} ms"
        );
    }
}

/// Creates a fleet with two readers in different data centres, as after a network partition between
/// these.
fn two_readers() -> VirtualFleet {
    let mut fleet = settled_fleet(&[10, 10], 1);
    for left in 0..10 {
        for right in 10..20 {
            fleet.cut_links.insert((left, right));
            fleet.cut_links.insert((right, left));
        }
    }
    fleet.run(4_000);
    fleet.cut_links.clear();
    fleet.run(3_000);
    assert_eq!(fleet.reader_count(), 2);
    fleet
}

// Of two readers, only one must call the store after each change.
#[test]
fn only_one_of_two_readers_follows_changes() {
    let mut fleet = two_readers();
    let before = fleet.store.calls;
    for number in 0..300 {
        fleet.store.register(1_000 + number, false);
        fleet.answer_watches();
        fleet.run(20);
    }
    let calls = fleet.store.calls - before;
    println!("{calls} calls in 6 s");
    // Five a second by the first, one a second by the second, and some margin.
    assert!(calls <= 6 * 5 + 6 * 2, "{calls} calls");
}

// Changes must not wait for long when the active one of two readers dies.
#[test]
fn second_reader_takes_over_after_first_dies() {
    for first in 0..20 {
        let mut fleet = two_readers();
        let is_reader = |fleet: &VirtualFleet, index: usize| {
            fleet.instances[index].member.as_ref().is_some_and(|member| member.is_reading_store())
        };
        if !is_reader(&fleet, first) {
            continue;
        }
        fleet.store.register(1_000, false);
        fleet.answer_watches();
        fleet.run(30);
        fleet.kill(first);
        fleet.store.register(1_001, false);
        fleet.answer_watches();
        let head = fleet.store.head;
        let elapsed_ms = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
        println!("reader {first} killed: {elapsed_ms:?} ms");
        assert!(
            elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 1_500),
            "reader {first} killed: {elapsed_ms:?} ms"
        );
    }
}
