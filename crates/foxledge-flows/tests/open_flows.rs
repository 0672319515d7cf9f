//! Packets of open flows.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, PacketKind, ResetReason, rows::RowValue};

#[test]
fn any_instance_continues_an_open_flow() {
    // An instance that has just started knows no flows, only the list.
    let backends: Vec<_> =
        (1..=5).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut first = listed_router(&backends);
    let mut second = listed_router(&backends);
    for port in 0..50 {
        let key = flow_key(1, 1_000 + port);
        let number = open_flow(&mut first, 0, key).expect("the flow is placed");
        let decision = second.on_packet(clock_at(20), &data_packet(key, number as u32, 1, 1));
        assert_eq!(decided_backend(&second, &decision), Some(number));
    }
}

// Guards against packets of a price feed that reach another service: a backend server ends, its
// address goes to one of another service, and an instance keeps sending flows to the address
// because the packets name no backend server.
#[test]
fn reused_address_gets_no_foreign_flows() {
    let old = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&old));
    let key = flow_key(1, 1);
    open_flow(&mut router, 0, key);
    let mut reused = backend_spec(2, "intake", LOCAL_CENTRE);
    reused.ip = u32::from(std::net::Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(100), &[removed_row(&old, 3, 0), backend_row(reused, 4)]);
    // A caller that may repeat its request is reset at once.
    let decision = router.on_packet(clock_at(200), &data_packet(key, 1, 1, 1));
    let FlowDecision::Reset { backend, reason: ResetReason::AddressTaken { .. } } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(router.backend(backend).map(|one| one.number), Some(1));
    // Other packets are still addressed to the old number, which the new backend server doesn't
    // have.
    let mut unrepeatable = route_row("r", 443, "desk", 5);
    if let Some(RowValue::Route(route)) = &mut unrepeatable.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(200), &[unrepeatable]);
    let decision = router.on_packet(clock_at(300), &data_packet(key, 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

#[test]
fn removed_backend_keeps_its_open_flows() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(&[one.clone(), listed_backend(2, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(100), &[removed_row(&draining_row(&one, 3), 4, 0)]);
    let decision = router.on_packet(clock_at(50_000), &data_packet(flow_key(1, 1), 1, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(1));
    // After the longest lifetime of a flow, there are no flows left to forward.
    router.apply_rows(clock_at(100_000), &[limits_row(2, 9)]);
    let decision = router.on_packet(clock_at(100_001), &data_packet(flow_key(1, 1), 1, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::UnknownToken));
}

#[test]
fn unknown_token_is_dropped() {
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    let decision = router.on_packet(clock_at(10), &data_packet(flow_key(1, 1), 77, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::UnknownToken));
}

#[test]
fn route_change_keeps_open_flows() {
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
fn removed_route_drops_open_flows() {
    let one = route_row("r", 443, "desk", 1);
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    let key = flow_key(1, 1);
    open_flow(&mut router, 0, key);
    router.apply_rows(clock_at(100), &[removed_row(&one, 5, 0)]);
    let decision = router.on_packet(clock_at(200), &data_packet(key, 1, 1, 1));
    assert_eq!(decision, FlowDecision::Drop(DropReason::RouteRemoved));
}

// Guards against resetting an open flow of a healthy backend server: a route is added, one instance
// opens a flow by it, and the flow's packets move to an instance that doesn't have the route yet.
#[test]
fn instance_without_the_route_forwards_open_flows() {
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
fn equal_tokens_are_told_apart_by_service() {
    // Two numbers with the same token; the flow's route tells them apart.
    let long_number = (7_u64 << 32) | 2;
    let short_number = 7 ^ 2;
    let mut other = backend_spec(long_number, "other", LOCAL_CENTRE);
    other.ip += 1;
    let mut router = listed_router(&[
        backend_row(backend_spec(short_number, "desk", LOCAL_CENTRE), 2),
        backend_row(other, 2),
    ]);
    let decision =
        router.on_packet(clock_at(10), &data_packet(flow_key(1, 1), short_number as u32, 1, 1));
    assert_eq!(decided_backend(&router, &decision), Some(short_number));
}
