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
    for (index, instance) in fleet.instances.iter_mut().enumerate() {
        instance.link_mbps = if index % 50 < 3 { 200 } else { 20 };
    }
    fleet
}

/// Returns the number of calls without those that may return a stale list.
fn linearizable_calls(fleet: &VirtualFleet) -> u64 {
    let pages = fleet.store.page_counts.iter();
    pages.filter(|((query, _), _)| ["all", "watch"].contains(query)).map(|(_, count)| count).sum()
}

// Each instance reading the whole list after an outage of the store would overload the store.
#[test]
fn store_outage_with_large_list_costs_few_store_calls() {
    let mut fleet = large_fleet(3_000);
    fleet.start_all();
    fleet.run(10_000);
    let before = linearizable_calls(&fleet);
    fleet.store_state = (0..300).map(|index| (index, StoreState::Refusing)).collect();
    fleet.answer_watches();
    fleet.run(4_500);
    fleet.store_state.clear();
    fleet.store.publish(2, 20);
    fleet.answer_watches();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
    fleet.run(2_000);
    let calls = linearizable_calls(&fleet) - before;
    println!("{calls} calls, {elapsed_ms:?} ms: {:?}", fleet.store.page_counts);
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 1_500), "{elapsed_ms:?} ms");
    // Eight instances whose delays double from 0.2 to 1 s, and one more each 0.12 s, twice; then
    // the readers.
    assert!(calls <= 8 * 8 + 2 * 28 + 20, "{calls} calls");
}

// Instances that start together must not each query the store for a newer list.
#[test]
fn start_with_growing_list_costs_few_store_calls() {
    let mut fleet = large_fleet(0);
    fleet.start_all();
    fleet.run(1_000);
    for number in 1..=3_000 {
        fleet.store.register(number, false);
        fleet.answer_watches();
        fleet.run(2);
    }
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    println!(
        "{} calls, {elapsed_ms:?} ms: {:?}",
        linearizable_calls(&fleet),
        fleet.store.page_counts
    );
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 2_000), "{elapsed_ms:?} ms");
    // Ten a second by the first reader, one a second by the second, and some until both are known.
    assert!(linearizable_calls(&fleet) <= 11 * 10 + 60, "{} calls", linearizable_calls(&fleet));
}

// An instance that knows no others yet ranks itself first; it must not therefore call the store as
// soon as it starts.
#[test]
fn starting_instances_without_peers_rarely_call_store() {
    let mut fleet = large_fleet(0);
    // Seeds take long to respond to all instances.
    fleet.message_cost_us = 2_000;
    fleet.start_all();
    fleet.run(3_000);
    println!("{} calls: {:?}", linearizable_calls(&fleet), fleet.store.page_counts);
    assert!(linearizable_calls(&fleet) <= 300 / 3, "{} calls", linearizable_calls(&fleet));
}

// A reader must not send a growing list to every instance that learns of it, and transfers must not
// be interrupted and restarted without end.
#[test]
fn reader_of_growing_list_stays_within_send_budget() {
    let mut fleet = large_fleet(0);
    fleet.message_cost_us = 200;
    fleet.start_all();
    fleet.run(1_000);
    let before: Vec<_> = fleet.instances.iter().map(|instance| instance.sent_bytes).collect();
    let start = fleet.now_us;
    for number in 1..=3_000 {
        fleet.store.register(number, false);
        if number % 20 == 0 {
            fleet.answer_watches();
            fleet.run(20);
        }
    }
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    let rate = |bytes: u64| bytes * 1_000 / (fleet.now_us - start);
    let sent =
        fleet.instances.iter().zip(before).map(|(instance, before)| instance.sent_bytes - before);
    let busiest = rate(sent.max().unwrap_or_default());
    println!(
        "all have the list {elapsed_ms:?} ms later, the busiest instance sends {busiest} KB/s"
    );
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 2_000), "{elapsed_ms:?} ms");
    // 160 KB/s for pages, and the heartbeats.
    assert!(busiest <= 240, "{busiest} KB/s");
}
