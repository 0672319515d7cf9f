//! Backend servers that answer slowly.
//!
//! The load: bids, one flow each, at a rate that leaves most slots free, and one of four backend
//! servers that takes five times as long. Evenly spread, a quarter of the bids would be late.

mod common;

use common::*;
use foxledge_flows::{FlowRouter, PacketKind};

/// Answer time, in milliseconds, of a usual and of a slow backend server.
const USUAL_ANSWER_MS: u64 = 20;
const SLOW_ANSWER_MS: u64 = 100;

/// Runs bids `interval_ms` milliseconds apart, and returns how many each backend server got.
fn run_bids(
    router: &mut FlowRouter,
    start: u64,
    count: u16,
    interval_ms: u64,
    slow: u64,
) -> Vec<u64> {
    let mut ends: Vec<(u64, u16, u64)> = Vec::new();
    let mut counts = vec![0; 5];
    for index in 0..count {
        let now = start + u64::from(index) * interval_ms;
        ends.sort_unstable();
        while let Some((end, port, number)) = ends.first().copied().filter(|end| end.0 <= now) {
            let mut finish = flow_packet(flow_key(1, port), PacketKind::Finish, number as u32);
            finish.acknowledged = 700;
            router.on_packet(clock_at(end), &finish);
            ends.remove(0);
        }
        let port = 1_024 + (start as u16) + index;
        let number = open_flow(router, now, flow_key(1, port)).expect("the flow is placed");
        router.on_packet(clock_at(now + 7), &data_packet(flow_key(1, port), number as u32, 1, 1));
        let answer_ms = if number == slow { SLOW_ANSWER_MS } else { USUAL_ANSWER_MS };
        ends.push((now + 7 + answer_ms, port, number));
        counts[number as usize] += 1;
    }
    counts
}

fn four_backends() -> FlowRouter {
    let backends: Vec<_> =
        (1..=4).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    listed_router(&backends)
}

// Guards against late bids while three backend servers are nearly idle: a backend server that takes
// five times as long must not be chosen just because it runs no more requests than the others.
#[test]
fn slow_backend_gets_few_flows() {
    let mut router = four_backends();
    let counts = run_bids(&mut router, 0, 400, 10, 3);
    assert!(counts[3] <= 30, "{counts:?}");
    assert!(counts[1] >= 100 && counts[2] >= 100 && counts[4] >= 100, "{counts:?}");
}

#[test]
fn equally_fast_backends_share_evenly() {
    let mut router = four_backends();
    let counts = run_bids(&mut router, 0, 400, 10, 0);
    assert!(counts[1..].iter().all(|count| (90..=110).contains(count)), "{counts:?}");
}

#[test]
fn recovered_backend_gets_its_share_again() {
    let mut router = four_backends();
    run_bids(&mut router, 0, 400, 10, 3);
    // It is as fast as the others again, and has its share after some seconds.
    let counts = run_bids(&mut router, 8_000, 800, 10, 0);
    assert!(counts[3] >= 150, "{counts:?}");
}
