//! Traffic between data centres.

mod common;

use common::{VirtualFleet, settled_fleet};

/// Size of a snapshot for each backend server, as it is sent, in bytes.
const ROW_BYTES: u64 = 31;

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

/// Returns the bytes of one kind of message that are sent to other data centres while `play` runs.
fn far_bytes(fleet: &mut VirtualFleet, kind: &str, play: impl FnOnce(&mut VirtualFleet)) -> u64 {
    fleet.remote_bytes_by_kind.clear();
    play(fleet);
    println!("{:?}", fleet.remote_bytes_by_kind);
    fleet.remote_bytes_by_kind.get(kind).copied().unwrap_or(0)
}

// When every instance requests its snapshot from whichever peer it hears first, mostly a remote
// seed, the links between data centres carry 8 MB while the fleet starts, and 5 MB in ten seconds
// of a rolling restart.
#[test]
fn copies_stay_near() {
    let mut fleet = large_fleet();
    let copies = |count: u64| count * 3_000 * ROW_BYTES;
    let started = far_bytes(&mut fleet, "page", |fleet| {
        fleet.start_all();
        fleet.run(3_000);
    });
    assert!(fleet.all_have_list(fleet.store.head));
    assert!(started <= copies(300) / 10, "{started} bytes of pages, all started");
    fleet.run(10_000);
    let restarted = far_bytes(&mut fleet, "page", |fleet| {
        for index in (0..300).step_by(3) {
            fleet.leave(index);
            fleet.kill(index);
            fleet.run(50);
            fleet.start(index);
            fleet.run(50);
        }
    });
    assert!(restarted <= copies(100) / 10, "{restarted} bytes of pages, a third restarted");
}

// When each data centre sends all others what it received from one of them, an idle fleet of 300
// sends 56 KB/s between its data centres, and each change of the list crosses ninety times.
#[test]
fn news_cross_few_times() {
    for counts in [&[17; 6][..], &[50; 6], &[73; 6]] {
        let mut fleet = settled_fleet(counts, 1);
        fleet.run(10_000);
        let count = fleet.instances.len() as u64;
        let quiet = far_bytes(&mut fleet, "beat", |fleet| fleet.run(10_000)) / 10 / count;
        assert!(quiet <= 200, "{counts:?}: {quiet} bytes a second and instance");
        let changes = far_bytes(&mut fleet, "beat", |fleet| {
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
fn quiet_views_tell_nothing() {
    for counts in [&[2, 2, 2, 1][..], &[17; 6], &[50; 6], &[73; 6]] {
        let mut fleet = settled_fleet(counts, 1);
        fleet.run(20_000);
        fleet.instances.iter_mut().for_each(|seat| seat.events.clear());
        fleet.run(20_000);
        let changed = ["peer_found", "peer_lost", "peer_left", "centre_found", "centre_lost"];
        let events = fleet.instances.iter().flat_map(|seat| &seat.events);
        let told: Vec<_> = events.filter(|(_, event)| changed.contains(&event.kind())).collect();
        // In tables of 64 out of 73, an instance may be heard from for the first time late.
        let first_met = if counts[0] > 64 { fleet.instances.len() * 4 } else { 0 };
        assert!(told.len() <= first_met, "{counts:?}: in 20 s {told:?}");
    }
}

// A dead instance is reported after its probes stay unanswered, and so is an unreachable data
// centre.
#[test]
fn real_losses_told() {
    let mut fleet = settled_fleet(&[10, 10, 10], 1);
    fleet.instances.iter_mut().for_each(|seat| seat.events.clear());
    fleet.kill(4);
    for near in 20..30 {
        for far in 0..20 {
            fleet.cut_links.insert((near, far));
            fleet.cut_links.insert((far, near));
        }
    }
    fleet.run(20_000);
    let told = |fleet: &VirtualFleet, seat: usize, kind: &str| {
        fleet.instances[seat].events.iter().filter(|(_, event)| event.kind() == kind).count()
    };
    for seat in (0..10).filter(|seat| *seat != 4) {
        assert_eq!(told(&fleet, seat, "peer_lost"), 1, "instance {seat}");
        assert_eq!(told(&fleet, seat, "centre_lost"), 1, "instance {seat}");
    }
    for seat in 20..30 {
        assert_eq!(told(&fleet, seat, "centre_lost"), 2, "instance {seat}");
        assert_eq!(told(&fleet, seat, "peer_lost"), 0, "instance {seat}");
    }
    fleet.cut_links.clear();
    fleet.run(10_000);
    for seat in 20..30 {
        assert_eq!(told(&fleet, seat, "centre_found"), 2, "instance {seat}");
    }
}
