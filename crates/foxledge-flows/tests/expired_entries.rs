//! Backend servers whose entries are removed.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, RefuseReason};

// Guards against refusals for two seconds after a store outage: the store loses the entries of live
// backend servers while it is down, and they return two seconds after it.
#[test]
fn serves_during_grace_after_entry_expired() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 0)]);
    assert_eq!(open_flow(&mut router, 2_000, flow_key(1, 1)), Some(1));
    router.apply_rows(clock_at(2_100), &[listed_backend(1, "desk", LOCAL_CENTRE, 4)]);
    assert_eq!(open_flow(&mut router, 60_000, flow_key(1, 2)), Some(1));
}

#[test]
fn refuses_after_grace_period() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 0)]);
    router.set_confirmed_at(clock_at(2_350));
    let decision = router.on_packet(clock_at(2_400), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn grace_starts_at_the_removal() {
    // A peer reports a removal that happened two seconds ago.
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 2_000)]);
    let decision = router.on_packet(clock_at(400), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn draining_backend_gets_no_grace() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&draining_row(&row, 3), 4, 0)]);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn reused_address_ends_grace() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    let mut newer = backend_spec(2, "other", LOCAL_CENTRE);
    newer.ip = u32::from(std::net::Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 0), backend_row(newer, 4)]);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Guards against refusals during a store outage that is longer than the grace period: the store
// removes the entries of live backend servers as it goes down, and they can't return before it
// does.
#[test]
fn grace_lasts_while_store_is_unreachable() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.set_confirmed_at(clock_at(100));
    router.apply_rows(clock_at(110), &[removed_row(&row, 3, 0)]);
    assert_eq!(open_flow(&mut router, 8_000, flow_key(1, 1)), Some(1));
    // The store is back. The entry may return for two more seconds; afterwards it is gone.
    router.set_confirmed_at(clock_at(9_000));
    assert_eq!(open_flow(&mut router, 11_000, flow_key(1, 2)), Some(1));
    router.set_confirmed_at(clock_at(11_150));
    let decision = router.on_packet(clock_at(11_210), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Guards against refusals by one instance after an outage: entries expire, return and expire again
// while the instance has no contact with the store. The grace period must not count from the first
// expiry, long before the store's return.
#[test]
fn grace_restarts_after_store_outage() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 0)]);
    router.set_confirmed_at(clock_at(101));
    router.set_confirmed_at(clock_at(7_900));
    assert_eq!(open_flow(&mut router, 7_910, flow_key(1, 1)), Some(1));
    // An entry whose grace period was over when the outage began stays removed.
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&row, 3, 0)]);
    router.set_confirmed_at(clock_at(2_400));
    router.set_confirmed_at(clock_at(7_900));
    let decision = router.on_packet(clock_at(7_910), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Guards against refusals by instances that start together with the store, a second before the lost
// entries return: a service without known entries may still have backend servers.
#[test]
fn started_instance_drops_openings_until_entries_return() {
    let mut router = listed_router(&[]);
    for now in [50, 2_100] {
        let decision = router.on_packet(clock_at(now), &opening_packet(flow_key(1, 1), 0));
        assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale), "after {now} ms");
    }
    // An entry that is still missing by then is gone.
    router.set_confirmed_at(clock_at(2_200));
    let decision = router.on_packet(clock_at(2_210), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
    // The refusal of a flow without a route isn't delayed.
    let mut router = listed_router(&[]);
    let mut unrouted_key = flow_key(1, 1);
    unrouted_key.service.set_port(9_999);
    let decision = router.on_packet(clock_at(50), &opening_packet(unrouted_key, 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRoute));
}

// Guards against the reset of an open flow: the opening packet waits in the socket of a paused
// instance while a retransmission opens the flow at another one. When the instance resumes, its
// list is as old as the pause and names no backend server, and it must not refuse the waiting
// packet.
#[test]
fn refuses_nothing_between_pause_and_confirmation() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[draining_row(&row, 3)]);
    router.set_confirmed_at(clock_at(200));
    router.record_pause();
    let decision = router.on_packet(clock_at(900), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    let decision = router.on_packet(clock_at(7_900), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    router.set_confirmed_at(clock_at(8_000));
    router.report_overdue_openings(clock_at(8_005));
    let decision = router.on_packet(clock_at(8_010), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// As above, with more waiting packets than are read at once: the store confirms the list between
// two batches, but a new list doesn't make the packets of the second batch less old.
#[test]
fn refuses_nothing_until_waiting_packets_are_read() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[draining_row(&row, 3)]);
    router.record_pause();
    let decision = router.on_packet(clock_at(4_000), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    router.set_confirmed_at(clock_at(4_010));
    let decision = router.on_packet(clock_at(4_020), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    // All waiting packets have been read.
    router.report_overdue_openings(clock_at(4_020));
    let decision = router.on_packet(clock_at(4_030), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}
