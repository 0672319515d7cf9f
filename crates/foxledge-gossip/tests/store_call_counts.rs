//! Calls to the store by a large fleet with a large list. Each page of a whole reading counts as
//! one call.

mod common;

use common::{StoreState, VirtualFleet};

/// Creates 300 instances in six data centres, the first three of each with wide links.
fn large_fleet(backends: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(&[50; 6], 1);
    fleet.store.is_history_disabled = true;
    for number in 1..=backends {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, 20);
    (fleet.message_cost_us, fleet.store_item_ns, fleet.store_page_us) = (450, 2_000, 4_000);
    for (index, seat) in fleet.instances.iter_mut().enumerate() {
        seat.link_mbps = if index % 50 < 3 { 200 } else { 20 };
    }
    fleet
}

/// Returns the number of calls without those that may return a stale list.
fn calls(fleet: &VirtualFleet) -> u64 {
    let pages = fleet.store.page_counts.iter();
    pages.filter(|((order, _), _)| ["all", "watch"].contains(order)).map(|(_, count)| count).sum()
}

// Each instance reading the whole list after an outage of the store would overload the store.
#[test]
fn outage_with_large_list() {
    let mut fleet = large_fleet(3_000);
    fleet.start_all();
    fleet.run(10_000);
    let before = calls(&fleet);
    fleet.store_state = (0..300).map(|index| (index, StoreState::Refusing)).collect();
    fleet.answer_watches();
    fleet.run(4_500);
    fleet.store_state.clear();
    fleet.store.publish(2, 20);
    fleet.answer_watches();
    let head = fleet.store.head;
    let took = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
    fleet.run(2_000);
    let calls = calls(&fleet) - before;
    println!("{calls} calls, {took:?} ms: {:?}", fleet.store.page_counts);
    assert!(took.is_some_and(|took| took <= 1_500), "{took:?} ms");
    // Eight instances whose delays double from 0.2 to 1 s, and one more each 0.12 s, twice; then
    // the readers.
    assert!(calls <= 8 * 8 + 2 * 28 + 20, "{calls} calls");
}

// Instances that start together must not each query the store for a newer list.
#[test]
fn start_with_growing_list() {
    let mut fleet = large_fleet(0);
    fleet.start_all();
    fleet.run(1_000);
    for number in 1..=3_000 {
        fleet.store.register(number, false);
        fleet.answer_watches();
        fleet.run(2);
    }
    let head = fleet.store.head;
    let took = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    println!("{} calls, {took:?} ms: {:?}", calls(&fleet), fleet.store.page_counts);
    assert!(took.is_some_and(|took| took <= 2_000), "{took:?} ms");
    // Ten a second by the first reader, one a second by the second, and some until both are known.
    assert!(calls(&fleet) <= 11 * 10 + 60, "{} calls", calls(&fleet));
}

// An instance that knows no others yet ranks itself first; it must not therefore call the store as
// soon as it starts.
#[test]
fn start_knowing_nobody() {
    let mut fleet = large_fleet(0);
    // Seeds take long to respond to all instances.
    fleet.message_cost_us = 2_000;
    fleet.start_all();
    fleet.run(3_000);
    println!("{} calls: {:?}", calls(&fleet), fleet.store.page_counts);
    assert!(calls(&fleet) <= 300 / 3, "{} calls", calls(&fleet));
}

// A reader must not send a growing list to every instance that learns of it, and transfers must not
// be interrupted and restarted without end.
#[test]
fn reader_hands_on() {
    let mut fleet = large_fleet(0);
    fleet.message_cost_us = 200;
    fleet.start_all();
    fleet.run(1_000);
    let before: Vec<_> = fleet.instances.iter().map(|seat| seat.sent_bytes).collect();
    let start = fleet.now_us;
    for number in 1..=3_000 {
        fleet.store.register(number, false);
        if number % 20 == 0 {
            fleet.answer_watches();
            fleet.run(20);
        }
    }
    let head = fleet.store.head;
    let took = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    let rate = |bytes: u64| bytes * 1_000 / (fleet.now_us - start);
    let sent = fleet.instances.iter().zip(before).map(|(seat, before)| seat.sent_bytes - before);
    let busiest = rate(sent.max().unwrap_or_default());
    println!("all know {took:?} ms later, the busiest sends {busiest} KB/s");
    assert!(took.is_some_and(|took| took <= 2_000), "{took:?} ms");
    // 160 KB/s for pages, and the heartbeats.
    assert!(busiest <= 240, "{busiest} KB/s");
}
