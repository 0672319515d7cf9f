//! Placement of new flows.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, PacketKind, RefuseReason};

#[test]
fn prefers_the_local_data_centre() {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
    ]);
    for port in 0..20 {
        assert_eq!(
            open_flow(&mut router, u64::from(port) * 10, flow_key(1, 1_000 + port)),
            Some(1)
        );
    }
}

#[test]
fn uses_another_data_centre_when_local_backends_are_busy() {
    // Each flow leaves a request running on the local backend server. Once its slots are taken and
    // as many requests wait again, the remote one gets the rest.
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
    ]);
    let mut numbers = Vec::new();
    for port in 0..10 {
        let key = flow_key(1, 1_000 + port);
        let number = open_flow(&mut router, 0, key).expect("the flow is placed");
        router.on_packet(clock_at(8), &data_packet(key, number as u32, 1, 1));
        numbers.push(number);
    }
    assert_eq!(&numbers[..4], &[1, 1, 1, 1]);
    assert!(numbers[4..].contains(&2));
}

#[test]
fn spreads_flows_evenly() {
    let backends: Vec<_> =
        (1..=4).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut router = listed_router(&backends);
    let mut counts = [0; 5];
    for port in 0..400 {
        let number = open_flow(&mut router, u64::from(port), flow_key(1, 1_000 + port));
        counts[number.expect("the flow is placed") as usize] += 1;
    }
    assert_eq!(&counts[1..], &[100, 100, 100, 100]);
}

#[test]
fn avoids_a_cold_backend_until_it_is_warm() {
    // A backend server that has just started takes 1.6 times as long.
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.warm_in_ms = 2_000;
    let mut router =
        listed_router(&[backend_row(spec, 2), listed_backend(2, "desk", LOCAL_CENTRE, 2)]);
    assert_eq!(open_flow(&mut router, 10, flow_key(1, 1)), Some(2));
    assert_eq!(open_flow(&mut router, 20, flow_key(1, 2)), Some(2));
    assert_eq!(open_flow(&mut router, 2_500, flow_key(1, 3)), Some(1));
}

#[test]
fn draining_backend_gets_no_flows() {
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(&[one.clone(), listed_backend(2, "desk", REMOTE_CENTRE, 2)]);
    router.apply_rows(clock_at(100), &[draining_row(&one, 3)]);
    for port in 0..20 {
        assert_eq!(open_flow(&mut router, 100, flow_key(1, 1_000 + port)), Some(2));
    }
}

#[test]
fn refuses_the_first_packet_when_all_backends_drain() {
    // Every backend server is draining: the caller is refused at its first packet.
    let one = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&one));
    router.apply_rows(clock_at(100), &[draining_row(&one, 3)]);
    let decision = router.on_packet(clock_at(110), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn first_matching_route_decides() {
    let mut second = route_row("b", 443, "other", 1);
    if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut second.value {
        route.position = 9_999;
    }
    let mut router = empty_router();
    let rows = [
        limits_row(1, 1),
        second,
        route_row("a", 443, "desk", 1),
        listed_backend(1, "desk", LOCAL_CENTRE, 1),
        listed_backend(2, "other", LOCAL_CENTRE, 1),
    ];
    router.apply_rows(clock_at(0), &rows);
    assert_eq!(open_flow(&mut router, 10, flow_key(1, 1)), Some(1));
    // When the first route is removed, the second decides.
    router.apply_rows(clock_at(20), &[removed_row(&rows[2], 5, 0)]);
    assert_eq!(open_flow(&mut router, 30, flow_key(1, 2)), Some(2));
}

#[test]
fn answer_ends_the_running_request() {
    // An answer frees the slot that its request took.
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    let key = flow_key(1, 1);
    open_flow(&mut router, 0, key);
    router.on_packet(clock_at(10), &data_packet(key, 1, 1, 1));
    assert_eq!(router.backends().map(|one| one.running_requests).sum::<u32>(), 1);
    let mut answered = flow_packet(key, PacketKind::Continue, 1);
    answered.acknowledged = 900;
    router.on_packet(clock_at(40), &answered);
    assert_eq!(router.backends().map(|one| one.running_requests).sum::<u32>(), 0);
    let latencies = router.drain_latencies();
    assert_eq!(latencies.len(), 1);
    assert_eq!(latencies[0].as_millis(), 30);
    router.on_packet(clock_at(50), &flow_packet(key, PacketKind::Finish, 1));
    assert_eq!(router.tracked_flow_count(), 0);
}
