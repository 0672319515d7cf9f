//! New flows in the moment after several backend servers crashed.
//!
//! The load: one in six of a service crashes; callers whose flows are reset ask again at once, and
//! may do so twice.

mod common;

use common::*;
use foxledge_flows::{FlowPacket, FlowRouter, PacketKind};

const BACKENDS: u64 = 30;

/// One in six, as they come.
fn is_dead(number: u64) -> bool {
    number % 6 == 1
}

fn finish(router: &mut FlowRouter, now: u64, caller: u8, port: u16, number: u64) {
    let last = flow_packet(flow_key(caller, port), PacketKind::Abort, number as u32);
    router.on_packet(clock_at(now), &last);
}

// Symptom: callers are failed though five in six backend servers live and are idle.
// Sequence: a crash resets all flows there; their callers ask again on new flows, which the dead
//   backend servers reset as well, twice, all within 40 ms.
// Cause: without flows the dead ones have the fewest of all, and get every new flow.
#[test]
fn retries_find_the_living() {
    let rows: Vec<_> =
        (1..=BACKENDS).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut router = listed_router(&rows);
    // Two kept flows at each, at rest.
    let mut held = Vec::new();
    for port in 0..2 * BACKENDS as u16 {
        let number =
            open_flow(&mut router, 10 * u64::from(port), flow_key(1, port)).expect("placed");
        let asked = data_packet(flow_key(1, port), number as u32, 500, 1);
        router.on_packet(clock_at(10 * u64::from(port) + 8), &asked);
        let answered = FlowPacket { acknowledged: 300, length: 0, ..asked };
        router.on_packet(clock_at(10 * u64::from(port) + 9), &answered);
        held.push((port, number));
    }
    let crash = 2_000;
    router.set_confirmed_at(clock_at(crash));
    for (port, number) in held.iter().filter(|(_, number)| is_dead(*number)) {
        finish(&mut router, crash, 1, *port, *number);
    }
    let mut failed = 0;
    for caller in 2..14_u8 {
        let asked = crash + 3 * u64::from(caller);
        let is_served = (0..3).any(|attempt| {
            let flow = flow_key(caller, 1_000 + attempt as u16);
            let decision = router.on_packet(clock_at(asked + attempt), &opening_packet(flow, 0));
            let number = decided_backend(&router, &decision).expect("is placed");
            if !is_dead(number) {
                let request = data_packet(flow, number as u32, 500, 1);
                router.on_packet(clock_at(asked + attempt + 1), &request);
            }
            !is_dead(number)
        });
        failed += usize::from(!is_served);
    }
    assert_eq!(failed, 0, "callers whose three tries all went to dead backend servers");
}

// A backend server whose flows have ended in order is as good as others after a moment.
#[test]
fn former_flows_fade() {
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
