//! Rows that exceed a datagram.

mod common;

use common::{StoreState, VirtualFleet, settled_fleet};
use foxledge_flows::{
    rows::{RouteRow, RowValue},
    token_of,
};
use foxledge_gossip::{AbandonReason, FleetEvent, MAX_MESSAGE_BYTES};

/// Time within which operators ask a change to be in force everywhere, in milliseconds.
const SPREAD_TIMEOUT_MS: u64 = 3_000;
/// Lengths of names: around that of a datagram, up to that of an entry, around what is sent in
/// fragments, and as long as an item of the store can be.
const NAME_LENGTHS: [usize; 8] = [850, 1_200, 1_400, 4_096, 6_000, 12_000, 60_000, 1_000_000];
/// Length of a name that exceeds what is sent in fragments.
const UNSENDABLE_LENGTH: usize = 100_000;

fn long_name(length: usize) -> String {
    "x".repeat(length)
}

fn publish_long_routes(fleet: &mut VirtualFleet, version: u64, length: usize) {
    let route = |index: u32| RouteRow {
        name: format!("{}-{index}", long_name(length)),
        port: index,
        ..RouteRow::default()
    };
    fleet.store.publish_routes(version, (0..4).map(route).collect());
}

/// Asserts that all instances know the newest list soon.
fn assert_spreads(fleet: &mut VirtualFleet, what: &str) {
    fleet.answer_watches();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(SPREAD_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
    println!("{what}: {elapsed_ms:?} ms");
    assert!(elapsed_ms.is_some(), "{what}: not within {SPREAD_TIMEOUT_MS} ms");
    assert!(fleet.max_datagram_bytes <= MAX_MESSAGE_BYTES, "{} bytes", fleet.max_datagram_bytes);
}

// Guards against a long entry of another writer that no instance can pass on, and with it none of
// the changes after it.
#[test]
fn long_entry_reaches_all_instances() {
    for length in NAME_LENGTHS {
        let mut fleet = settled_fleet(&[2, 2, 2], 1);
        fleet.store.register_service(0x700, &long_name(length));
        assert_spreads(&mut fleet, &format!("entry of {length} bytes"));
        fleet.store.register(0x701, true);
        assert_spreads(&mut fleet, &format!("change after {length} bytes"));
        fleet.store.remove(0x700);
        assert_spreads(&mut fleet, &format!("removal of {length} bytes"));
    }
}

// Guards against the same for the operators' own names, which are part of keys and cursors too.
#[test]
fn long_routes_reach_all_instances() {
    for length in NAME_LENGTHS {
        let mut fleet = settled_fleet(&[2, 2, 2], 1);
        publish_long_routes(&mut fleet, 2, length);
        assert_spreads(&mut fleet, &format!("routes of {length} bytes"));
        fleet.store.publish(3, 4);
        assert_spreads(&mut fleet, &format!("version after routes of {length} bytes"));
    }
}

// Guards against a datagram or message that is longer than its limit by some bytes: each length near
// a limit of rows in a heartbeat, a page, a datagram and a message.
#[test]
fn rows_near_limits_reach_all_instances() {
    let lengths = (430..460).chain(540..560).chain(860..920).chain(1_060..1_110);
    for length in lengths.chain(1_240..1_420).chain((6_000..6_200).step_by(7)).chain(12_000..12_200)
    {
        let mut fleet = settled_fleet(&[2, 2], 1);
        fleet.store.register_service(0x700, &long_name(length));
        let route = RouteRow { name: long_name(length), ..RouteRow::default() };
        fleet.store.publish_routes(2, vec![route]);
        assert_spreads(&mut fleet, &format!("{length} bytes"));
    }
}

// Guards against megabytes that are sent again and again and never arrive whole: a row that no peer
// can send is read from the store, without the wait for peers.
#[test]
fn unsendable_row_is_read_from_store() {
    let mut fleet = settled_fleet(&[10, 10], 1);
    let sent_bytes =
        |fleet: &VirtualFleet| fleet.instances.iter().map(|instance| instance.sent_bytes).sum();
    let (sent_before, calls_before): (u64, _) = (sent_bytes(&fleet), fleet.store.calls);
    publish_long_routes(&mut fleet, 2, UNSENDABLE_LENGTH);
    fleet.answer_watches();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(1_500, |fleet| fleet.all_have_list(head));
    let sent = sent_bytes(&fleet) - sent_before;
    let calls = fleet.store.calls - calls_before;
    println!("{elapsed_ms:?} ms, {sent} bytes, {calls} calls");
    assert!(elapsed_ms.is_some());
    assert!(sent <= UNSENDABLE_LENGTH as u64, "{sent} bytes");
    assert!(calls <= 3 * fleet.instances.len() as u64, "{calls} calls");
    let is_told = |(_, event): &(u64, FleetEvent)| {
        matches!(event, FleetEvent::TransferAbandoned { reason: AbandonReason::RowTooLong, .. })
    };
    assert!(fleet.instances.iter().any(|instance| instance.events.iter().any(is_told)));
}

// Guards against calls as fast as the store refuses them.
#[test]
fn unsendable_row_costs_few_calls_of_refusing_store() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    publish_long_routes(&mut fleet, 2, UNSENDABLE_LENGTH);
    for index in 1..4 {
        fleet.store_state.insert(index, StoreState::Refusing);
    }
    fleet.answer_watches();
    let calls = fleet.store.calls;
    fleet.run(5_000);
    let calls = fleet.store.calls - calls;
    println!("{calls} calls");
    assert!(calls <= 4 * 5 * 10, "{calls} calls in 5 s");
    fleet.store_state.clear();
    let head = fleet.store.head;
    assert!(fleet.run_until(SPREAD_TIMEOUT_MS, |fleet| fleet.all_have_list(head)).is_some());
}

// An operator must be able to tell lost fragments from the log of one instance.
#[test]
fn lost_fragments_are_logged() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    fleet.loss_rate = 0.3;
    for number in 0..10 {
        fleet.store.register_service(0x700 + number, &long_name(4_000));
        fleet.answer_watches();
        fleet.run(1_000);
    }
    let is_told = |(_, event): &(u64, FleetEvent)| {
        matches!(event, FleetEvent::MessageIncomplete { received, fragments, .. }
            if *received < *fragments as usize)
    };
    assert!(fleet.instances.iter().any(|instance| instance.events.iter().any(is_told)));
}

#[test]
fn snapshot_contains_long_rows() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    for number in 0..40 {
        fleet.store.register_service(0x700 + number, &long_name(4_000));
    }
    publish_long_routes(&mut fleet, 2, 4_000);
    fleet.answer_watches();
    fleet.run(2_000);
    fleet.store_state.insert(3, StoreState::Unresponsive);
    fleet.kill(3);
    fleet.start(3);
    assert_spreads(&mut fleet, "snapshot");
}

#[test]
fn long_rows_survive_lost_fragments() {
    let mut fleet = settled_fleet(&[2, 2], 1);
    fleet.loss_rate = 0.1;
    fleet.store.register_service(0x700, &long_name(4_000));
    fleet.answer_watches();
    let head = fleet.store.head;
    assert!(fleet.run_until(3_000, |fleet| fleet.all_have_list(head)).is_some());
}

#[test]
fn removed_backend_with_long_name_is_found() {
    let mut fleet = settled_fleet(&[2], 1);
    fleet.store.register_service(0x700, &long_name(4_000));
    fleet.store.register(0x701, false);
    fleet.store.register_service(0x702, &long_name(UNSENDABLE_LENGTH));
    fleet.answer_watches();
    fleet.run(500);
    fleet.kill(1);
    for number in [0x700, 0x701, 0x702] {
        fleet.store.remove(number);
    }
    fleet.answer_watches();
    fleet.run(500);
    fleet.isolate(1);
    fleet.start(1);
    fleet.run(3_000);
    fleet.cut_links.clear();
    fleet.run(1_500);
    fleet.instances[1].applied_rows.clear();
    fleet.query_removed_backends(1, [0x700, 0x701, 0x702].map(token_of).to_vec());
    fleet.run(100);
    let rows = fleet.instances[1].applied_rows.iter();
    let removed: Vec<_> = rows
        .filter(|row| matches!(row.value, Some(RowValue::Removed(_))))
        .map(|row| row.key.as_str())
        .collect();
    assert_eq!(removed, ["backend/i-700", "backend/i-701"]);
    let is_unsent =
        |(_, event): &(u64, FleetEvent)| matches!(event, FleetEvent::MessageTooLong { .. });
    assert!(!fleet.instances.iter().any(|instance| instance.events.iter().any(is_unsent)));
}

#[test]
fn retained_configuration_contains_long_routes() {
    let mut fleet = settled_fleet(&[3, 2], 1);
    publish_long_routes(&mut fleet, 2, 4_000);
    fleet.answer_watches();
    fleet.run(2_500);
    fleet.store.restore(1);
    fleet.answer_watches();
    fleet.run(5_000);
    fleet.kill(4);
    fleet.start(4);
    let has_version = |fleet: &VirtualFleet| {
        fleet
            .members()
            .all(|member| (member.effective_version(), member.effective_route_count()) == (2, 4))
    };
    assert!(fleet.run_until(3_000, has_version).is_some());
}
