//! New flows just after several backend servers crashed.
//!
//! One in six backend servers of a service crashes. Callers whose flows are reset retry at once, up
//! to twice.

mod common;

use common::*;
use foxledge_flows::{FlowPacket, FlowRouter, PacketKind};

const BACKENDS: u64 = 30;

/// Every sixth backend server is dead.
fn is_dead(number: u64) -> bool {
    number % 6 == 1
}

fn finish(router: &mut FlowRouter, now: u64, caller: u8, port: u16, number: u64) {
    let last = flow_packet(flow_key(caller, port), PacketKind::Abort, number as u32);
    router.on_packet(clock_at(now), &last);
}

// Guards against failed callers while five in six backend servers are idle. A crash resets all
// flows of a backend server. Without open flows, the dead ones have the fewest of all and would get
// every retry, which they reset as well, all within 40 ms.
#[test]
fn retries_reach_live_backends_within_three_tries() {
    let rows: Vec<_> =
        (1..=BACKENDS).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut router = listed_router(&rows);
    // Two idle open flows at each backend server.
    let mut open_flows = Vec::new();
    for port in 0..2 * BACKENDS as u16 {
        let number =
            open_flow(&mut router, 10 * u64::from(port), flow_key(1, port)).expect("placed");
        let request = data_packet(flow_key(1, port), number as u32, 500, 1);
        router.on_packet(clock_at(10 * u64::from(port) + 8), &request);
        let response = FlowPacket { acknowledged: 300, length: 0, ..request };
        router.on_packet(clock_at(10 * u64::from(port) + 9), &response);
        open_flows.push((port, number));
    }
    let crashed_at = 2_000;
    router.set_confirmed_at(clock_at(crashed_at));
    for (port, number) in open_flows.iter().filter(|(_, number)| is_dead(*number)) {
        finish(&mut router, crashed_at, 1, *port, *number);
    }
    let mut failed = 0;
    for caller in 2..14_u8 {
        let retried_at = crashed_at + 3 * u64::from(caller);
        let is_served = (0..3).any(|attempt| {
            let flow = flow_key(caller, 1_000 + attempt as u16);
            let decision =
                router.on_packet(clock_at(retried_at + attempt), &opening_packet(flow, 0));
            let number = decided_backend(&router, &decision).expect("is placed");
            if !is_dead(number) {
                let request = data_packet(flow, number as u32, 500, 1);
                router.on_packet(clock_at(retried_at + attempt + 1), &request);
            }
            !is_dead(number)
        });
        failed += usize::from(!is_served);
    }
    assert_eq!(failed, 0, "callers whose three tries all went to dead backend servers");
}

// Guards against a lasting disadvantage of a backend server whose flows ended normally.
#[test]
fn ended_flows_stop_counting_after_a_second() {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", LOCAL_CENTRE, 2),
    ]);
    let first = open_flow(&mut router, 0, flow_key(1, 1)).expect("placed");
    router.on_packet(clock_at(8), &data_packet(flow_key(1, 1), first as u32, 500, 1));
    finish(&mut router, 100, 1, 1, first);
    let flows = |router: &FlowRouter, now: u64| {
        router.backend_by_number(first).map(|backend| backend.recent_flows(clock_at(now)))
    };
    assert_eq!([flows(&router, 1_000), flows(&router, 1_100)], [Some(1), Some(0)]);
}
