//! Log events on the store's history.

mod common;

use common::settled_fleet;
use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{ListReading, SourceError, source::ReadMode};
use foxledge_gossip::{
    FleetEffect, FleetEvent, FleetMember, MemberOptions, ReadReason, StoreCall, StoreQuery,
};

fn events(member: &mut FleetMember) -> Vec<FleetEvent> {
    let event = |effect| match effect {
        FleetEffect::LogEvent(event) => Some(event),
        _ => None,
    };
    member.drain_effects().into_iter().filter_map(event).collect()
}

// A response of the store that changes nothing must leave a log line.
#[test]
fn older_answer_told() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let all = StoreQuery::All(ReadMode::Linearizable);
    let now = ClockTime::from_micros(1_000_000);
    member.handle_store_response(now, all, Ok(ListReading::complete(Vec::new(), 9)));
    events(&mut member);
    member.handle_store_response(now, all, Ok(ListReading::complete(Vec::new(), 7)));
    let told = events(&mut member);
    let passed_over = FleetEvent::ReadingPassedOver {
        order: "all",
        epoch: 0,
        revision: 7,
        items: 0,
        known_revision: 9,
        confirmed_age_ms: Some(0),
    };
    assert!(told.contains(&passed_over), "{told:?}");
}

// Operators must be able to tell a restored store from a slow one.
#[test]
fn epoch_change_told() {
    let mut fleet = settled_fleet(&[3, 2], 1);
    let revision = fleet.store.head;
    fleet.store.restore(0);
    fleet.answer_watches();
    fleet.run(2_000);
    let is_told = |event: &FleetEvent| matches!(event, FleetEvent::StoreEpochChanged { epoch: 1, former_epoch: Some(0), revision: at, .. } if *at == revision);
    let told =
        fleet.instances.iter().flat_map(|seat| &seat.events).filter(|(_, event)| is_told(event));
    assert!(told.count() > 0, "nobody tells");
}

// Changes whose response can't be parsed must not be queried again and again.
#[test]
fn unreadable_changes_read_whole() {
    let address = "10.1.0.1:7000".parse().expect("is an address");
    let options = MemberOptions::new(address, CentreName::new("toledo"));
    let mut member = FleetMember::new(options, ClockTime::ZERO);
    let at = |second: u64| ClockTime::from_micros(second * 1_000_000);
    let all = StoreQuery::All(ReadMode::Linearizable);
    let calls = |member: &mut FleetMember, second: u64| {
        member.handle_timers(at(second));
        let effects = member.drain_effects().into_iter();
        let call = |effect: FleetEffect| match effect {
            FleetEffect::CallStore(call) => Some(call),
            _ => None,
        };
        effects.filter_map(call).collect::<Vec<_>>()
    };
    member.handle_store_response(at(1), all, Ok(ListReading::complete(Vec::new(), 9)));
    let asked = calls(&mut member, 3);
    let watch = asked.last().expect("asks").query;
    assert!(matches!(watch, StoreQuery::Watch { after: 9, .. }), "{asked:?}");
    let error = SourceError::Malformed("more than 8 bytes".to_owned());
    member.handle_store_response(at(4), watch, Err(error));
    let asked = calls(&mut member, 5);
    let whole = StoreCall { query: all, reason: ReadReason::Unanswered };
    assert!(asked.contains(&whole), "{asked:?}");
}
