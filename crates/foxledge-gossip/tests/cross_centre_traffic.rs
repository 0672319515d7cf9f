//! Traffic between data centres.

mod common;

use common::{VirtualFleet, settled_fleet};

/// Size of a snapshot for each backend server, as it is sent, in bytes.
const SNAPSHOT_BYTES_PER_BACKEND: u64 = 31;

/// Creates 300 instances in six data centres with 3,000 backend servers.
fn large_fleet() -> VirtualFleet {
    let mut fleet = VirtualFleet::new(&[50; 6], 1);
    for number in 1..=3_000 {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, 20);
    // A message takes 25 us of work on a twentieth of a core, an item of 250 bytes takes 2 us at 1
    // Gbit/s.
    (fleet.message_cost_us, fleet.store_item_ns) = (450, 2_000);
    fleet
}

/// Returns the bytes of one kind of message that are sent to other data centres while `action`
/// runs.
fn remote_bytes_during(
    fleet: &mut VirtualFleet,
    kind: &str,
    action: impl FnOnce(&mut VirtualFleet),
) -> u64 {
    fleet.remote_bytes_by_kind.clear();
    action(fleet);
    println!("{:?}", fleet.remote_bytes_by_kind);
    fleet.remote_bytes_by_kind.get(kind).copied().unwrap_or(0)
}

// When every instance requests its snapshot from whichever peer it hears first, mostly a remote
// seed, the links between data centres carry 8 MB while the fleet starts, and 5 MB in ten seconds
// of a rolling restart.
#[test]
fn snapshots_stay_within_data_centre() {
    let mut fleet = large_fleet();
    let snapshot_bytes = |count: u64| count * 3_000 * SNAPSHOT_BYTES_PER_BACKEND;
    let started = remote_bytes_during(&mut fleet, "page", |fleet| {
        fleet.start_all();
        fleet.run(3_000);
    });
    assert!(fleet.all_have_list(fleet.store.head));
    assert!(started <= snapshot_bytes(300) / 10, "{started} bytes of pages, all started");
    fleet.run(10_000);
    let restarted = remote_bytes_during(&mut fleet, "page", |fleet| {
        for index in (0..300).step_by(3) {
            fleet.leave(index);
            fleet.kill(index);
            fleet.run(50);
            fleet.start(index);
            fleet.run(50);
        }
    });
    assert!(restarted <= snapshot_bytes(100) / 10, "{restarted} bytes of pages, a third restarted");
}

// When each data centre sends all others what it received from one of them, an idle fleet of 300
// sends 56 KB/s between its data centres, and each change of the list crosses ninety times.
#[test]
fn updates_cross_data_centres_few_times() {
    for counts in [&[17; 6][..], &[50; 6], &[73; 6]] {
        let mut fleet = settled_fleet(counts, 1);
        fleet.run(10_000);
        let count = fleet.instances.len() as u64;
        let rate = remote_bytes_during(&mut fleet, "beat", |fleet| fleet.run(10_000)) / 10 / count;
        assert!(rate <= 200, "{counts:?}: {rate} bytes a second and instance");
        let changes = remote_bytes_during(&mut fleet, "beat", |fleet| {
            for number in 0..100 {
                fleet.store.register(10_000 + number, false);
                fleet.answer_watches();
                fleet.run(100);
            }
        });
        // A message with one row is some 200 bytes: sent three times to five others by the reader's
        // data centre, and once by each other one.
        let times = changes / 100 / 200;
        assert!(times <= 2 * (5 * 3 + 5 * 5), "{counts:?}: a change crosses {times} times");
    }
}

// The peer table of an instance holds a changing part of the fleet. Operators must not be shown
// hundreds of losses of live instances because of that.
#[test]
fn steady_fleet_reports_no_peer_changes() {
    for counts in [&[2, 2, 2, 1][..], &[17; 6], &[50; 6], &[73; 6]] {
        let mut fleet = settled_fleet(counts, 1);
        fleet.run(20_000);
        fleet.instances.iter_mut().for_each(|instance| instance.events.clear());
        fleet.run(20_000);
        let kinds = ["peer_found", "peer_lost", "peer_left", "centre_found", "centre_lost"];
        let events = fleet.instances.iter().flat_map(|instance| &instance.events);
        let reported: Vec<_> = events.filter(|(_, event)| kinds.contains(&event.kind())).collect();
        // In tables of 64 out of 73, an instance may be heard from for the first time late.
        let max_events = if counts[0] > 64 { fleet.instances.len() * 4 } else { 0 };
        assert!(reported.len() <= max_events, "{counts:?}: in 20 s {reported:?}");
    }
}

// A dead instance is reported after its probes stay unanswered, and so is an unreachable data
// centre.
#[test]
fn reports_dead_instances_and_unreachable_data_centres() {
    let mut fleet = settled_fleet(&[10, 10, 10], 1);
    fleet.instances.iter_mut().for_each(|instance| instance.events.clear());
    fleet.kill(4);
    for isolated in 20..30 {
        for other in 0..20 {
            fleet.cut_links.insert((isolated, other));
            fleet.cut_links.insert((other, isolated));
        }
    }
    fleet.run(20_000);
    let count_events = |fleet: &VirtualFleet, index: usize, kind: &str| {
        fleet.instances[index].events.iter().filter(|(_, event)| event.kind() == kind).count()
    };
    for index in (0..10).filter(|index| *index != 4) {
        assert_eq!(count_events(&fleet, index, "peer_lost"), 1, "instance {index}");
        assert_eq!(count_events(&fleet, index, "centre_lost"), 1, "instance {index}");
    }
    for index in 20..30 {
        assert_eq!(count_events(&fleet, index, "centre_lost"), 2, "instance {index}");
        assert_eq!(count_events(&fleet, index, "peer_lost"), 0, "instance {index}");
    }
    fleet.cut_links.clear();
    fleet.run(10_000);
    for index in 20..30 {
        assert_eq!(count_events(&fleet, index, "centre_found"), 2, "instance {index}");
    }
}
