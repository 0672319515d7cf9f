//! Packets of open flows.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, PacketKind, ResetReason, rows::RowValue};

#[test]
fn any_instance_continues() {
    // An instance that was started a moment ago knows no flow, only the list.
    let backends: Vec<_> =
        (1..=5).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut first = listed_router(&backends);
    let mut second = listed_router(&backends);
    for port in 0..50 {
        let key = flow_key(1, 1_000 + port);
        let number = open_flow(&mut first, 0, key).expect("is placed");
        let decision = second.on_packet(clock_at(20), &data_packet(key, number as u32, 1, 1));
        assert_eq!(decided_backend(&second, &decision), Some(number));
    }
}

// Symptom: packets of a price feed reach the service that took an address over.
// Sequence: a backend server ends, its address goes to one of another service,
//   an instance goes on sending its flows to the address.
// Cause: the packet names no backend server, only an address.
#[test]
fn reused_address_refuses() {
    let old = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&old));
    let key = flow_key(1, 1);
    open_flow(&mut router, 0, key);
    let mut newer = backend_spec(2, "intake", LOCAL_CENTRE);
    newer.ip = u32::from(std::net::Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(100), &[removed_row(&old, 3, 0), backend_row(newer, 4)]);
    // A caller that may ask again is told at once.
    let decision = router.on_packet(clock_at(200), &data_packet(key, 1, 1, 1));
    let FlowDecision::Reset { backend, reason: ResetReason::AddressTaken { .. } } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(router.backend(backend).map(|one| one.number), Some(1));
    // Any other packet is still sent to the number of the old one, which the new one isn't.
    let mut unrepeatable = route_row("r", 443, "desk", 5);
    if let Some(RowValue::Route(route)) = &mut unrepeatable.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(200), &[unrepeatable]);
    let decision = router.on_packet(clock_at(300), &data_packet(key, 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

#[test]
fn gone_keeps_flows() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(&[one.clone(), listed_backend(2, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(100), &[removed_row(&draining_row(&one, 3), 4, 0)]);
    let decision = router.on_packet(clock_at(50_000), &data_packet(flow_key(1, 1), 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
    // After the longest life of a flow nothing is left to send on.
    router.apply_rows(clock_at(100_000), &[limits_row(2, 9)]);
    let decision = router.on_packet(clock_at(100_001), &data_packet(flow_key(1, 1), 1, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::UnknownToken));
}

#[test]
fn unknown_token_dropped() {
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    let decision = router.on_packet(clock_at(10), &data_packet(flow_key(1, 1), 77, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::UnknownToken));
}

#[test]
fn moved_route_keeps_flows() {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "other", LOCAL_CENTRE, 2),
    ]);
    let key = flow_key(1, 1);
    assert_eq!(open_flow(&mut router, 0, key), Some(1));
    router.apply_rows(clock_at(100), &[route_row("r", 443, "other", 5)]);
    let decision = router.on_packet(clock_at(200), &data_packet(key, 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
    assert_eq!(open_flow(&mut router, 300, common::flow_key(1, 2)), Some(2));
}

#[test]
fn removed_route_ends_flows() {
    let one = route_row("r", 443, "desk", 1);
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    let key = flow_key(1, 1);
    open_flow(&mut router, 0, key);
    router.apply_rows(clock_at(100), &[removed_row(&one, 5, 0)]);
    let decision = router.on_packet(clock_at(200), &data_packet(key, 1, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::RouteRemoved));
}

// Symptom: an open flow is reset although its backend server lives.
// Sequence: a route is added and a flow opened by it at an instance that knows it;
//   its packets move to one that doesn't know it yet.
// Cause: the second instance takes the packet for one without a route.
#[test]
fn stale_instance_forwards() {
    let mut router = empty_router();
    router.apply_rows(clock_at(0), &[limits_row(1, 1), listed_backend(1, "desk", LOCAL_CENTRE, 1)]);
    router.set_confirmed_at(clock_at(0));
    let decision = router.on_packet(clock_at(10), &data_packet(flow_key(1, 1), 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
    let decision =
        router.on_packet(clock_at(20), &flow_packet(flow_key(1, 1), PacketKind::Finish, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

#[test]
fn equal_tokens_by_service() {
    // Two numbers that fold to one token: the flow's route tells them apart.
    let long = (7_u64 << 32) | 2;
    let short = 7 ^ 2;
    let mut other = backend_spec(long, "other", LOCAL_CENTRE);
    other.ip += 1;
    let mut router = listed_router(&[
        backend_row(backend_spec(short, "desk", LOCAL_CENTRE), 2),
        backend_row(other, 2),
    ]);
    let decision = router.on_packet(clock_at(10), &data_packet(flow_key(1, 1), short as u32, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(short));
}
