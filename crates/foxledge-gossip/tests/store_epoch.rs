//! Log events on the store's history.

mod common;

use common::settled_fleet;
use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{ItemChange, ListReading, SourceError};
use foxledge_gossip::{
    FleetEffect, FleetEvent, FleetMember, MemberOptions, ReadReason, RefusedItem, StoreCall,
    StoreQuery,
};

fn drain_events(member: &mut FleetMember) -> Vec<FleetEvent> {
    let event = |effect| match effect {
        FleetEffect::LogEvent(event) => Some(event),
        _ => None,
    };
    member.drain_effects().into_iter().filter_map(event).collect()
}

// A response of the store that changes nothing must leave a log line.
#[test]
fn logs_ignored_stale_response() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let all = StoreQuery::All;
    let now = ClockTime::from_micros(1_000_000);
    member.handle_store_response(now, all, Ok(ListReading::complete(Vec::new(), 9)));
    drain_events(&mut member);
    member.handle_store_response(now, all, Ok(ListReading::complete(Vec::new(), 7)));
    let logged = drain_events(&mut member);
    let ignored = FleetEvent::ResponseIgnored {
        order: "all",
        epoch: 0,
        revision: 7,
        items: 0,
        known_revision: 9,
        confirmed_age_ms: Some(0),
    };
    assert!(logged.contains(&ignored), "{logged:?}");
}

// Operators must be able to tell a restored store from a slow one.
#[test]
fn logs_epoch_change() {
    let mut fleet = settled_fleet(&[3, 2], 1);
    let revision = fleet.store.head;
    fleet.store.restore(0);
    fleet.answer_watches();
    fleet.run(2_000);
    let is_logged = |event: &FleetEvent| matches!(event, FleetEvent::StoreEpochChanged { epoch: 1, former_epoch: Some(0), revision: logged_revision, .. } if *logged_revision == revision);
    let logged = fleet
        .instances
        .iter()
        .flat_map(|instance| &instance.events)
        .filter(|(_, event)| is_logged(event));
    assert!(logged.count() > 0, "no instance logs the epoch change");
}

// Changes whose response can't be parsed must not be queried again and again.
#[test]
fn reads_whole_list_after_malformed_response() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let at = |second: u64| ClockTime::from_micros(second * 1_000_000);
    let all = StoreQuery::All;
    let drain_calls = |member: &mut FleetMember, second: u64| {
        member.handle_timers(at(second));
        let effects = member.drain_effects().into_iter();
        let call = |effect: FleetEffect| match effect {
            FleetEffect::CallStore(call) => Some(call),
            _ => None,
        };
        effects.filter_map(call).collect::<Vec<_>>()
    };
    member.handle_store_response(at(1), all, Ok(ListReading::complete(Vec::new(), 9)));
    let store_calls = drain_calls(&mut member, 3);
    let watch = store_calls.last().expect("calls the store").query;
    assert!(matches!(watch, StoreQuery::Watch { after: 9, .. }), "{store_calls:?}");
    let error = SourceError::Malformed("more than 8 bytes".to_owned());
    member.handle_store_response(at(4), watch, Err(error));
    let store_calls = drain_calls(&mut member, 5);
    let full_read = StoreCall { query: all, reason: ReadReason::Unanswered };
    assert!(store_calls.contains(&full_read), "{store_calls:?}");
}

// Operators must be able to tell a reading of replicas that differ in age from a single state.
#[test]
fn logs_pages_of_different_revisions() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let query = StoreQuery::FirstPage;
    let newer = ListReading::complete(Vec::new(), 9);
    let reading = newer.joined_with(ListReading::complete(Vec::new(), 7));
    member.handle_store_response(ClockTime::from_micros(1_000_000), query, Ok(reading));
    let logged = drain_events(&mut member);
    let differ = FleetEvent::PagesDiffer {
        order: "first",
        oldest_revision: 7,
        newest_revision: 9,
        items: 0,
        known_revision: 0,
    };
    assert!(logged.contains(&differ), "{logged:?}");
}

// Guards against log lines and a table of refused items that are as long as what another writer put
// into the store: decoding errors quote it.
#[test]
fn refused_items_are_shortened() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let fault = format!("unknown variant `{}`", "\u{e9}".repeat(500_000));
    let item = ItemChange::BackendInvalid { revision: 9, id: "i-1".to_owned(), fault };
    let all = StoreQuery::All;
    let reading = ListReading::complete(vec![item], 9);
    member.handle_store_response(ClockTime::from_micros(1_000_000), all, Ok(reading));
    let refused = |event: &FleetEvent| match event {
        FleetEvent::ItemRefused(item) => Some(item.fault.len()),
        _ => None,
    };
    let logged: Vec<_> = drain_events(&mut member).iter().filter_map(refused).collect();
    let kept: Vec<_> = member.refused_items().map(|item| item.fault.len()).collect();
    assert_eq!((logged.len(), kept.len()), (1, 1));
    assert!(logged.into_iter().chain(kept).all(|length| length <= 500));
    let is_readable = |item: &RefusedItem| item.fault.starts_with("unknown variant `\u{e9}");
    assert!(member.refused_items().all(is_readable));
}
