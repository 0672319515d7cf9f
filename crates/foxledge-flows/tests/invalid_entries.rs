//! Entries of backend servers that another writer overwrote.

mod common;

use common::*;
use foxledge_flows::{
    FleetList, FlowDecision, ItemChange, ListReading, PacketKind, RefuseReason,
    rows::{ListRow, RowValue},
    source::ConfigReading,
};

fn invalid_item(revision: u64, number: u64) -> ItemChange {
    let fault = "no JSON".to_owned();
    ItemChange::BackendInvalid { revision, id: format!("i-{number:x}"), fault }
}

fn valid_item(revision: u64, number: u64) -> ItemChange {
    let backend = backend_spec(number, "desk", LOCAL_CENTRE);
    ItemChange::Backend { revision, id: format!("i-{number:x}"), backend }
}

/// Returns a list with backend servers 1 and 2, complete up to revision 20.
fn initial_list() -> FleetList {
    let mut list = FleetList::new();
    let config = ItemChange::Config { revision: 3, config: ConfigReading::default() };
    let items = vec![config, valid_item(10, 1), valid_item(11, 2)];
    list.apply_reading(clock_at(0), ListReading::complete(items, 20));
    list
}

fn all_rows(list: &FleetList) -> Vec<ListRow> {
    list.rows().cloned().collect()
}

// Guards against new flows to an address where no backend server may be any more: another writer
// overwrites the entry of a live backend server, and the previous entry must not stay in force.
#[test]
fn overwritten_entry_gets_no_new_flows() {
    let mut list = initial_list();
    let mut router = listed_router(&all_rows(&list));
    let first_number = open_flow(&mut router, 10, flow_key(1, 1)).expect("is placed");
    let rows = list.apply_watch(
        clock_at(100),
        ListReading::complete(vec![invalid_item(21, first_number)], 21),
    );
    router.apply_rows(clock_at(100), &rows);
    for port in 2..20 {
        let number = open_flow(&mut router, 110, flow_key(1, port)).expect("is placed");
        assert_ne!(
            number, first_number,
            "a new flow went to the backend server of the invalid entry"
        );
    }
    // Its open flow continues.
    let decision = router
        .on_packet(clock_at(150), &data_packet(flow_key(1, 1), first_number as u32, 1_000, 1));
    assert_eq!(decided_backend(&router, &decision), Some(first_number));
    router.on_packet(
        clock_at(160),
        &flow_packet(flow_key(1, 1), PacketKind::Finish, first_number as u32),
    );
    // Its own next entry makes it available again.
    let rows = list
        .apply_watch(clock_at(200), ListReading::complete(vec![valid_item(22, first_number)], 22));
    router.apply_rows(clock_at(200), &rows);
    // By then the flow that ended there no longer counts.
    let numbers = (20..40).filter_map(|port| open_flow(&mut router, 1_200, flow_key(1, port)));
    assert!(numbers.collect::<Vec<_>>().contains(&first_number));
}

#[test]
fn refuses_when_all_entries_are_invalid() {
    // No other backend server exists: the caller is refused at once.
    let mut list = initial_list();
    let mut router = listed_router(&all_rows(&list));
    let invalid_items = vec![invalid_item(21, 1), invalid_item(22, 2)];
    let rows = list.apply_watch(clock_at(100), ListReading::complete(invalid_items, 22));
    router.apply_rows(clock_at(100), &rows);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Guards against instances that disagree on an invalid entry, depending on whether they watched the
// store, read all of it or got the list from a peer.
#[test]
fn watch_reading_and_snapshot_agree_on_invalid_entry() {
    let mut watching = initial_list();
    watching.apply_watch(clock_at(100), ListReading::complete(vec![invalid_item(21, 1)], 21));
    let mut reading = initial_list();
    let config = ItemChange::Config { revision: 3, config: ConfigReading::default() };
    let items = vec![config, invalid_item(21, 1), valid_item(11, 2)];
    reading.apply_reading(clock_at(100), ListReading::complete(items.clone(), 21));
    let mut copied = FleetList::new();
    copied.apply_snapshot(clock_at(100), all_rows(&watching), bounds_at(21));
    for list in [&watching, &reading, &copied] {
        let rows = all_rows(list);
        let row =
            rows.iter().find(|row| row.key == "backend/i-1").expect("its open flows continue");
        let Some(RowValue::Removed(removed)) = &row.value else { panic!("{row:?}") };
        assert!(removed.backend.as_ref().is_some_and(|backend| backend.draining));
        assert_eq!(row.revision, 21);
    }
    // An instance that never knew the valid entry lists no backend server.
    let mut late = FleetList::new();
    late.apply_reading(clock_at(100), ListReading::complete(items, 21));
    assert!(!late.contains("backend/i-1"));
}

// Guards against open flows of a live backend server that reach another process: another writer
// puts a complete entry with another address and the same start under its key.
#[test]
fn entry_with_another_address_is_not_followed() {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", LOCAL_CENTRE, 2),
    ]);
    let port = (1..20).find(|port| open_flow(&mut router, 0, flow_key(1, *port)) == Some(1));
    let flow = flow_key(1, port.expect("one is placed there"));
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.ip = u32::from(std::net::Ipv4Addr::new(10, 9, 9, 9));
    router.apply_rows(clock_at(100), &[backend_row(spec, 5)]);
    let decision = router.on_packet(clock_at(110), &data_packet(flow, 1, 1_000, 1));
    let FlowDecision::Forward { backend: index, .. } = decision else { panic!("{decision:?}") };
    let address = router.backend(index).expect("is known").address;
    assert_eq!(address.to_string(), "10.128.0.1:8080");
    for port in 100..120 {
        assert_eq!(open_flow(&mut router, 120, flow_key(1, port)), Some(2));
    }
}

// Guards against broken open flows when a second entry with the same number appears: packets of
// open flows identify their backend server by number only.
#[test]
fn first_entry_of_a_number_keeps_its_flows() {
    let own = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.ip = u32::from(std::net::Ipv4Addr::new(10, 9, 9, 9));
    spec.created_revision = 9;
    let mut other = backend_row(spec, 9);
    other.key = "backend/i-00001".to_owned();
    for rows in [[own.clone(), other.clone()], [other, own]] {
        let mut router = listed_router(&rows);
        for port in 1..10 {
            let decision = router.on_packet(clock_at(0), &opening_packet(flow_key(1, port), 0));
            let FlowDecision::Open { backend: index, .. } = decision else {
                panic!("{decision:?}")
            };
            let address = router.backend(index).expect("is known").address;
            assert_eq!(address.to_string(), "10.128.0.1:8080");
        }
        let decision = router.on_packet(clock_at(7), &data_packet(flow_key(1, 1), 1, 1_000, 1));
        let FlowDecision::Forward { backend: index, .. } = decision else { panic!("{decision:?}") };
        let address = router.backend(index).expect("is known").address;
        assert_eq!(address.to_string(), "10.128.0.1:8080");
    }
}

// Guards against broken open flows when the second entry with a number is rewritten with another
// start time, which must not give it the number.
#[test]
fn rewritten_duplicate_number_stays_without_flows() {
    let own = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let other = |incarnation, revision| {
        let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
        spec.ip = u32::from(std::net::Ipv4Addr::new(10, 9, 9, 9));
        (spec.created_revision, spec.incarnation) = (9, incarnation);
        let mut row = backend_row(spec, revision);
        row.key = "backend/i-00001".to_owned();
        row
    };
    let mut router = listed_router(&[other(5, 9), own]);
    router.apply_rows(clock_at(10), &[other(6, 10)]);
    for port in 1..10 {
        let decision = router.on_packet(clock_at(20), &opening_packet(flow_key(1, port), 0));
        let FlowDecision::Open { backend: index, .. } = decision else { panic!("{decision:?}") };
        let address = router.backend(index).expect("is known").address;
        assert_eq!(address.to_string(), "10.128.0.1:8080");
    }
}
