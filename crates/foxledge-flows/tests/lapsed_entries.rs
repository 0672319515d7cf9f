//! Backend servers whose entries vanish.

mod common;

use common::*;
use foxledge_flows::{DropReason, FlowDecision, RefuseReason};

// Symptom: after the store was away, every new flow is refused for two seconds.
// Sequence: the store loses the entries of live backend servers while it is down;
//   with its return they are gone, and back two seconds later.
// Cause: an entry that is missing is taken for a backend server that is gone.
#[test]
fn lapse_bridged() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 0)]);
    assert_eq!(open_flow(&mut router, 2_000, flow_key(1, 1)), Some(1));
    router.apply_rows(clock_at(2_100), &[listed_backend(1, "desk", LOCAL_CENTRE, 4)]);
    assert_eq!(open_flow(&mut router, 60_000, flow_key(1, 2)), Some(1));
}

#[test]
fn missing_means_gone() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 0)]);
    router.set_confirmed_at(clock_at(2_350));
    let decision = router.on_packet(clock_at(2_400), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn age_counts() {
    // A peer tells of a removal that happened two seconds ago.
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 2_000)]);
    let decision = router.on_packet(clock_at(400), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn planned_leave_final() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&draining_row(&one, 3), 4, 0)]);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn taken_address_ends_grace() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    let mut newer = backend_spec(2, "other", LOCAL_CENTRE);
    newer.ip = u32::from(std::net::Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 0), backend_row(newer, 4)]);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Symptom: while the store is away, every new flow is refused although all backend
//   servers live.
// Sequence: the store removes their entries as it goes down; the removals arrive, the
//   store is away for longer than the grace.
// Cause: the grace ran out while no entry could come back.
#[test]
fn lapse_while_store_away() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.set_confirmed_at(clock_at(100));
    router.apply_rows(clock_at(110), &[removed_row(&one, 3, 0)]);
    assert_eq!(open_flow(&mut router, 8_000, flow_key(1, 1)), Some(1));
    // The store is back; the entry may come back for two seconds more, then it is gone.
    router.set_confirmed_at(clock_at(9_000));
    assert_eq!(open_flow(&mut router, 11_000, flow_key(1, 2)), Some(1));
    router.set_confirmed_at(clock_at(11_150));
    let decision = router.on_packet(clock_at(11_210), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Symptom: as the store returns, an instance refuses every flow that others serve.
// Sequence: entries lapse, and the store goes away; the instance hears nothing while they
//   come back and lapse once more, and reads the store when they are missing again.
// Cause: it counts the grace from the first lapse, which was long before the return.
#[test]
fn second_lapse_bridged() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 0)]);
    router.set_confirmed_at(clock_at(101));
    router.set_confirmed_at(clock_at(7_900));
    assert_eq!(open_flow(&mut router, 7_910, flow_key(1, 1)), Some(1));
    // What was gone for longer than the grace when the store went away stays gone.
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[removed_row(&one, 3, 0)]);
    router.set_confirmed_at(clock_at(2_400));
    router.set_confirmed_at(clock_at(7_900));
    let decision = router.on_packet(clock_at(7_910), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

// Symptom: as the store returns, every new flow of a service is refused for a second.
// Sequence: the store loses all entries of the service as it goes down, and all instances
//   are killed meanwhile; they start with its return, a second before the entries are back.
// Cause: an instance that has just started takes a service of which it knows no entry for
//   one that has no backend server.
#[test]
fn start_in_lapse() {
    let mut router = listed_router(&[]);
    for now in [50, 2_100] {
        let decision = router.on_packet(clock_at(now), &opening_packet(flow_key(1, 1), 0));
        assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale), "after {now} ms");
    }
    // What is still missing by then is gone.
    router.set_confirmed_at(clock_at(2_200));
    let decision = router.on_packet(clock_at(2_210), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
    // Nobody has to wait to hear that a route isn't there.
    let mut router = listed_router(&[]);
    let mut elsewhere = flow_key(1, 1);
    elsewhere.service.set_port(9_999);
    let decision = router.on_packet(clock_at(50), &opening_packet(elsewhere, 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRoute));
}

// Symptom: an open flow is reset although its backend server lives.
// Sequence: an instance stands still; the opening packet of a caller waits in its
//   socket, the caller's copies open the flow at another; the first wakes, with a list
//   by which no backend server is left, and refuses the packet that waited.
// Cause: it refuses by a list that is as old as its pause.
#[test]
fn woken_refuses_nothing() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[draining_row(&one, 3)]);
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

// Symptom: an open flow is reset although its backend server lives.
// Sequence: as above, but more packets wait than are read at a time; the store's answer
//   comes between two batches, and the second is refused by a list that is new.
// Cause: a new list says nothing of what has become of packets that are old.
#[test]
fn waiting_packets_unrefused() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[draining_row(&one, 3)]);
    router.record_pause();
    let decision = router.on_packet(clock_at(4_000), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    router.set_confirmed_at(clock_at(4_010));
    let decision = router.on_packet(clock_at(4_020), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Drop(DropReason::MaybeStale));
    // All that waited has been read.
    router.report_overdue_openings(clock_at(4_020));
    let decision = router.on_packet(clock_at(4_030), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}
