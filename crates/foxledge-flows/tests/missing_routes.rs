//! Opening packets that no route matches.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, RefuseReason};

#[test]
fn confirmed_list_refuses_an_unrouted_opening() {
    let mut router = empty_router();
    router.apply_rows(clock_at(0), &[limits_row(1, 1)]);
    router.set_confirmed_at(clock_at(0));
    let decision = router.on_packet(clock_at(500), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRoute));
}

// Guards against a final refusal for a route that was just added: an instance that is cut off from
// the store and its peers would refuse what its old list doesn't have.
#[test]
fn stale_list_drops_an_unrouted_opening() {
    let mut router = empty_router();
    router.apply_rows(clock_at(0), &[limits_row(1, 1)]);
    router.set_confirmed_at(clock_at(0));
    let decision = router.on_packet(clock_at(2_500), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
}

#[test]
fn missing_list_drops_an_opening() {
    let decision = empty_router().on_packet(clock_at(10), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::NoList));
}
