//! Trials of an ejected backend server by many instances.

mod common;

use common::*;
use foxledge_core::names::CentreName;
use foxledge_flows::{FlowRouter, HealthClass, HealthObservation, RouterOptions};

/// Time in milliseconds until a note has gone round.
const NOTE_MS: u64 = 5;
const INSTANCES: usize = 64;

/// Routers that know a backend server near and another far away.
fn fleet() -> Vec<FlowRouter> {
    let rows = [
        limits_row(1, 1),
        route_row("r", 443, "desk", 1),
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
    ];
    let router = |seed: usize| {
        let options = RouterOptions::new(CentreName::new(LOCAL_CENTRE)).seed(seed as u64);
        let mut router = FlowRouter::new(options);
        router.apply_rows(clock_at(0), &rows);
        router.set_confirmed_at(clock_at(0));
        router.set_peer_count(INSTANCES - 1);
        router
    };
    (0..INSTANCES).map(router).collect()
}

/// Flows placed at backend server 1, which answers none until `alive_at`, in each second.
fn trials(alive_at: u64) -> Vec<usize> {
    let mut routers = fleet();
    let mut notes: Vec<(u64, HealthObservation)> = Vec::new();
    let mut placed = vec![0; 12];
    for now in (0..12_000).step_by(5) {
        for (_, note) in notes.iter().filter(|(due, _)| *due == now) {
            routers.iter_mut().for_each(|router| router.apply_observation(clock_at(now), note));
        }
        notes.retain(|(due, _)| *due > now);
        for (index, router) in routers.iter_mut().enumerate() {
            router.report_overdue_openings(clock_at(now));
            // One flow in 50 ms at each instance.
            if (now / 5) as usize % 10 == index % 10 {
                let flow = flow_key(index as u8 + 1, 1_024 + (now / 5) as u16);
                let decision = router.on_packet(clock_at(now), &opening_packet(flow, 0));
                let number = decided_backend(router, &decision).expect("is placed");
                placed[(now / 1_000) as usize] += usize::from(number == 1);
                if number == 2 || now >= alive_at {
                    router.on_packet(clock_at(now), &data_packet(flow, number as u32, 1_000, 1));
                }
            }
            notes.extend(router.drain_observations().into_iter().map(|note| (now + NOTE_MS, note)));
        }
    }
    let healthy = routers.iter().filter(|router| {
        let health = &router.backend_by_number(1).expect("is known").health;
        health.class(clock_at(12_000)) == HealthClass::Healthy
    });
    assert_eq!(healthy.count(), if alive_at < 12_000 { INSTANCES } else { 0 });
    placed
}

// Symptom: for as long as a backend server is dead, hundreds of callers wait for 200 ms.
// Sequence: it is ejected by all 64 instances for a second, for two, for four; at the end
//   of each, every instance tries it with one flow.
// Cause: all try at once, before the first can tell the others that it fails.
#[test]
fn failing_trials_few() {
    let placed = trials(u64::MAX);
    // Until the first opening is overdue nobody knows.
    let later: usize = placed[1..].iter().sum();
    assert!(later <= 20, "{placed:?}");
}

// Symptom: a backend server that is back gets no flows.
// Cause: instances wait for a turn that is far away, though others have been answered.
#[test]
fn first_success_ends_all() {
    let placed = trials(1_000);
    assert!(placed[3] > 100, "{placed:?}");
}
