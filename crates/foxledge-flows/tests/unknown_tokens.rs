//! Packets whose token matches no listed backend server.

mod common;

use common::*;
use foxledge_flows::{
    DropReason, FlowDecision, FlowRouter, RefuseReason, ResetReason,
    rows::{ListRow, RowValue},
};

const REMOVED_TOKEN: u32 = 77;
const DROPPED: FlowDecision = FlowDecision::Drop(DropReason::UnknownToken);
const RESET: FlowDecision = FlowDecision::Refuse(RefuseReason::BackendVanished);

/// Returns the router of an instance that has just started, with list confirmations at these times.
fn started_router(confirmed: &[u64]) -> FlowRouter {
    let mut router = empty_router();
    let rows = [
        limits_row(1, 1),
        route_row("r", 443, "desk", 1),
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
    ];
    router.apply_rows(clock_at(0), &rows);
    for millis in confirmed {
        router.set_confirmed_at(clock_at(*millis));
    }
    router
}

fn send_request(router: &mut FlowRouter, now: u64, port: u16) -> FlowDecision {
    router.on_packet(clock_at(now), &data_packet(flow_key(1, port), REMOVED_TOKEN, 500, 1))
}

fn non_idempotent_route() -> ListRow {
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    row
}

// Guards against requests that wait until their deadline after a data centre has lost power: its
// backend servers restart under other ids and its instances start anew. The instances don't know
// the former ids, and callers continue with their open flows.
#[test]
fn resets_flow_of_backend_missing_in_confirmed_list() {
    let mut router = started_router(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(send_request(&mut router, 3_100, 1), DROPPED);
    router.set_confirmed_at(clock_at(3_500));
    assert_eq!(send_request(&mut router, 3_600, 1), RESET);
    // Other flows with the same token are reset at once.
    assert_eq!(send_request(&mut router, 3_700, 2), RESET);
}

// Guards against the reset of a live flow: its backend server registers, a peer opens the flow, and
// the next packet arrives at an instance whose list was confirmed before the registration.
#[test]
fn keeps_flow_of_backend_newer_than_list() {
    let mut router = started_router(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(send_request(&mut router, 3_100, 1), DROPPED);
    router.set_confirmed_at(clock_at(3_150));
    assert_eq!(send_request(&mut router, 3_300, 1), DROPPED);
    router.apply_rows(
        clock_at(3_400),
        &[listed_backend(u64::from(REMOVED_TOKEN), "desk", LOCAL_CENTRE, 3)],
    );
    router.set_confirmed_at(clock_at(3_500));
    let decision = send_request(&mut router, 3_600, 1);
    assert_eq!(decided_backend(&router, &decision), Some(u64::from(REMOVED_TOKEN)));
}

// Guards against resets after a store outage: entries of live backend servers expire during the
// outage, an instance starts meanwhile, and the entries return two seconds after the store.
#[test]
fn keeps_flow_until_expired_entries_can_return() {
    let mut router = started_router(&[0]);
    assert_eq!(send_request(&mut router, 100, 1), DROPPED);
    router.set_confirmed_at(clock_at(1_500));
    assert_eq!(send_request(&mut router, 1_600, 1), DROPPED);
    // The store was unreachable in between: entries that expired meanwhile get the full time again.
    router.set_confirmed_at(clock_at(5_000));
    assert_eq!(send_request(&mut router, 5_100, 1), DROPPED);
    router.set_confirmed_at(clock_at(7_000));
    assert_eq!(send_request(&mut router, 7_100, 1), DROPPED);
    router.set_confirmed_at(clock_at(7_300));
    assert_eq!(send_request(&mut router, 7_400, 1), RESET);
}

#[test]
fn uncertain_list_resets_nothing() {
    // The list was never confirmed: another instance knows better.
    let mut router = started_router(&[]);
    assert_eq!(send_request(&mut router, 100, 1), FlowDecision::Relay);
    assert_eq!(send_request(&mut router, 5_000, 1), FlowDecision::Relay);
    // The last confirmation is old.
    let mut router = started_router(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(send_request(&mut router, 500, 1), DROPPED);
    assert_eq!(send_request(&mut router, 5_100, 1), DROPPED);
    // The instance was paused.
    router.set_confirmed_at(clock_at(5_200));
    router.record_pause();
    assert_eq!(send_request(&mut router, 5_250, 1), DROPPED);
}

#[test]
fn drops_other_packets_with_unknown_token() {
    let mut router = started_router(&[0, 1_000, 2_000, 3_000]);
    send_request(&mut router, 500, 1);
    // A caller that sends no data awaits no response.
    let empty_packet =
        flow_packet(flow_key(1, 1), foxledge_flows::PacketKind::Continue, REMOVED_TOKEN);
    assert_eq!(router.on_packet(clock_at(3_100), &empty_packet), DROPPED);
    // A flow without a token was never open.
    let decision = router.on_packet(clock_at(3_100), &data_packet(flow_key(1, 3), 0, 500, 1));
    assert_eq!(decision, DROPPED);
    // The caller of a request that can't be repeated couldn't do anything else.
    router.apply_rows(clock_at(3_100), &[non_idempotent_route()]);
    assert_eq!(send_request(&mut router, 3_200, 1), DROPPED);
}

/// Returns the row of a removed backend server and that of another one at its address.
fn replaced_rows() -> [ListRow; 2] {
    let old = backend_spec(u64::from(REMOVED_TOKEN), "desk", LOCAL_CENTRE);
    let mut new = backend_spec(200, "desk", LOCAL_CENTRE);
    new.ip = old.ip;
    [removed_row(&backend_row(old, 3), 4, 5_000), backend_row(new, 5)]
}

// Guards against requests that wait for two seconds after a power failure until the list is
// certain: a peer reports the removed backend server of the token, whose address another one has by
// now.
#[test]
fn resets_flow_of_replaced_backend_at_once() {
    let mut router = started_router(&[0, 1_000]);
    assert_eq!(send_request(&mut router, 1_100, 1), DROPPED);
    assert_eq!(router.drain_token_queries(), [REMOVED_TOKEN]);
    router.apply_rows(clock_at(1_110), &replaced_rows());
    let decision = send_request(&mut router, 1_300, 1);
    let FlowDecision::Reset { reason: ResetReason::AddressTaken { gone_ms }, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(gone_ms, 5_190);
}

// Guards against a query to peers for each packet with an unknown token.
#[test]
fn limits_rate_of_token_queries() {
    let mut router = started_router(&[0]);
    let queries = (0..30).filter(|step| {
        send_request(&mut router, 100 + step * 50, *step as u16);
        !router.drain_token_queries().is_empty()
    });
    assert_eq!(queries.count(), 3);
}

// Guards against the reset of a live flow whose backend server's entry expired while no other has
// its address, or while only an older entry names it.
#[test]
fn keeps_flow_of_removed_backend_without_successor() {
    let [removed, mut other] = replaced_rows();
    other.revision = 2;
    for rows in [vec![removed.clone()], vec![removed, other]] {
        let mut router = started_router(&[0, 1_000]);
        router.apply_rows(clock_at(1_100), &rows);
        let decision = send_request(&mut router, 1_300, 1);
        assert_eq!(decided_backend(&router, &decision), Some(u64::from(REMOVED_TOKEN)));
    }
}

#[test]
fn keeps_replaced_flow_with_non_idempotent_request() {
    let mut router = started_router(&[0, 1_000]);
    router.apply_rows(clock_at(1_100), &replaced_rows());
    router.apply_rows(clock_at(1_100), &[non_idempotent_route()]);
    let decision = send_request(&mut router, 1_300, 1);
    assert_eq!(decided_backend(&router, &decision), Some(u64::from(REMOVED_TOKEN)));
}

// Guards against open flows that stall for a second after each start of an instance: it serves with
// a part of a long list, and the backend servers of these flows are in the rest.
#[test]
fn relays_unknown_tokens_while_list_is_partial() {
    let mut router = started_router(&[]);
    let empty_packet =
        flow_packet(flow_key(1, 1), foxledge_flows::PacketKind::Continue, REMOVED_TOKEN);
    assert_eq!(router.on_packet(clock_at(50), &empty_packet), FlowDecision::Relay);
    let known = router.on_packet(clock_at(50), &data_packet(flow_key(1, 2), 1, 500, 1));
    assert_eq!(decided_backend(&router, &known), Some(1));
    // A packet of a flow that was never opened isn't relayed.
    assert_eq!(router.on_packet(clock_at(50), &data_packet(flow_key(1, 3), 0, 500, 1)), DROPPED);
}
