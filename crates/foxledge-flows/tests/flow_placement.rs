//! Where new flows go.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, PacketKind, RefuseReason};

#[test]
fn near_first() {
    let mut router = desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", FAR, 2)]);
    for port in 0..20 {
        assert_eq!(open_flow(&mut router, u64::from(port) * 10, key(1, 1_000 + port)), Some(1));
    }
}

#[test]
fn busy_leaves_centre() {
    // A request is left running on the near backend server for each flow. Once
    // its slots and as many places again are taken, the far one gets the rest.
    let mut router = desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", FAR, 2)]);
    let mut numbers = Vec::new();
    for port in 0..10 {
        let key = key(1, 1_000 + port);
        let number = open_flow(&mut router, 0, key).expect("is placed");
        router.on_packet(at(8), &data(key, number as u32, 1, 1));
        numbers.push(number);
    }
    assert_eq!(&numbers[..4], &[1, 1, 1, 1]);
    assert!(numbers[4..].contains(&2));
}

#[test]
fn even_spread() {
    let backends: Vec<_> = (1..=4).map(|number| backend(number, "desk", NEAR, 2)).collect();
    let mut router = desk_router(&backends);
    let mut counts = [0; 5];
    for port in 0..400 {
        let number = open_flow(&mut router, u64::from(port), key(1, 1_000 + port));
        counts[number.expect("is placed") as usize] += 1;
    }
    assert_eq!(&counts[1..], &[100, 100, 100, 100]);
}

#[test]
fn cold_waits() {
    // A backend server that has just started takes 1.6 times as long.
    let mut spec = backend_spec(1, "desk", NEAR);
    spec.warm_in_ms = 2_000;
    let mut router = desk_router(&[backend_row(spec, 2), backend(2, "desk", NEAR, 2)]);
    assert_eq!(open_flow(&mut router, 10, key(1, 1)), Some(2));
    assert_eq!(open_flow(&mut router, 20, key(1, 2)), Some(2));
    assert_eq!(open_flow(&mut router, 2_500, key(1, 3)), Some(1));
}

#[test]
fn draining_gets_none() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(&[one.clone(), backend(2, "desk", FAR, 2)]);
    router.take_rows(at(100), &[draining(&one, 3)]);
    for port in 0..20 {
        assert_eq!(open_flow(&mut router, 100, key(1, 1_000 + port)), Some(2));
    }
}

#[test]
fn none_refused_at_once() {
    // Every backend server is leaving: the caller learns it with the first packet.
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.take_rows(at(100), &[draining(&one, 3)]);
    let decision = router.on_packet(at(110), &opening(key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoBackend));
}

#[test]
fn first_route_decides() {
    let mut second = route("b", 443, "other", 1);
    if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut second.value {
        route.position = 9_999;
    }
    let mut router = router();
    let rows = [
        limits(1, 1),
        second,
        route("a", 443, "desk", 1),
        backend(1, "desk", NEAR, 1),
        backend(2, "other", NEAR, 1),
    ];
    router.take_rows(at(0), &rows);
    assert_eq!(open_flow(&mut router, 10, key(1, 1)), Some(1));
    // The first goes, the second decides.
    router.take_rows(at(20), &[removed(&rows[2], 5, 0)]);
    assert_eq!(open_flow(&mut router, 30, key(1, 2)), Some(2));
}

#[test]
fn load_returns() {
    // An answer frees the place that its request took.
    let mut router = desk_router(&[backend(1, "desk", NEAR, 2)]);
    let key = key(1, 1);
    open_flow(&mut router, 0, key);
    router.on_packet(at(10), &data(key, 1, 1, 1));
    assert_eq!(router.backends().map(|one| one.running).sum::<u32>(), 1);
    let mut answered = packet(key, PacketKind::Continue, 1);
    answered.acknowledged = 900;
    router.on_packet(at(40), &answered);
    assert_eq!(router.backends().map(|one| one.running).sum::<u32>(), 0);
    let latencies = router.take_latencies();
    assert_eq!(latencies.len(), 1);
    assert_eq!(latencies[0].as_millis(), 30);
    router.on_packet(at(50), &packet(key, PacketKind::Finish, 1));
    assert_eq!(router.tracked_flows(), 0);
}
