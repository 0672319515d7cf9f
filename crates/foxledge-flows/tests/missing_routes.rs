//! Opening packets that no route matches.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, RefuseReason};

#[test]
fn fresh_list_refuses() {
    let mut router = empty_router();
    router.apply_rows(clock_at(0), &[limits_row(1, 1)]);
    router.set_confirmed_at(clock_at(0));
    let decision = router.on_packet(clock_at(500), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRoute));
}

// Symptom: callers of a route that was just added are refused for good.
// Sequence: an instance is cut off from the store and its peers; a route is added.
// Cause: the instance refuses what its old list doesn't have.
#[test]
fn stale_list_silent() {
    let mut router = empty_router();
    router.apply_rows(clock_at(0), &[limits_row(1, 1)]);
    router.set_confirmed_at(clock_at(0));
    let decision = router.on_packet(clock_at(2_500), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
}

#[test]
fn no_list_silent() {
    let decision = empty_router().on_packet(clock_at(10), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::NoList));
}
