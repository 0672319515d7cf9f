//! Trials of an ejected backend server by many instances.

mod common;

use common::*;
use foxledge_core::names::CentreName;
use foxledge_flows::{FlowRouter, HealthClass, HealthObservation, RouterOptions};

/// Time, in milliseconds, until an observation has reached all instances.
const OBSERVATION_DELAY_MS: u64 = 5;
const INSTANCES: usize = 64;

/// Routers with a local and a remote backend server.
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

/// Returns, for each second, the flows placed at backend server 1, which answers none until
/// `alive_at`.
fn trials_by_second(alive_at: u64) -> Vec<usize> {
    let mut routers = fleet();
    let mut observations: Vec<(u64, HealthObservation)> = Vec::new();
    let mut placed = vec![0; 12];
    for now in (0..12_000).step_by(5) {
        for (_, observation) in observations.iter().filter(|(arrives_at, _)| *arrives_at == now) {
            routers
                .iter_mut()
                .for_each(|router| router.apply_observation(clock_at(now), observation));
        }
        observations.retain(|(arrives_at, _)| *arrives_at > now);
        for (index, router) in routers.iter_mut().enumerate() {
            router.report_overdue_openings(clock_at(now));
            // Each instance opens one flow every 50 ms.
            if (now / 5) as usize % 10 == index % 10 {
                let flow = flow_key(index as u8 + 1, 1_024 + (now / 5) as u16);
                let decision = router.on_packet(clock_at(now), &opening_packet(flow, 0));
                let number = decided_backend(router, &decision).expect("the flow is placed");
                placed[(now / 1_000) as usize] += usize::from(number == 1);
                if number == 2 || now >= alive_at {
                    router.on_packet(clock_at(now), &data_packet(flow, number as u32, 1_000, 1));
                }
            }
            observations.extend(
                router
                    .drain_observations()
                    .into_iter()
                    .map(|observation| (now + OBSERVATION_DELAY_MS, observation)),
            );
        }
    }
    let healthy = routers.iter().filter(|router| {
        let health = &router.backend_by_number(1).expect("the entry is known").health;
        health.class(clock_at(12_000)) == HealthClass::Healthy
    });
    assert_eq!(healthy.count(), if alive_at < 12_000 { INSTANCES } else { 0 });
    placed
}

// Guards against hundreds of callers that wait for 200 ms as long as a backend server is dead: all
// 64 instances eject it for one, two, then four seconds, and each sends a trial flow at the end,
// before the first failure can reach the others.
#[test]
fn few_trials_while_a_backend_is_dead() {
    let placed = trials_by_second(u64::MAX);
    // No instance knows before the first opening is overdue.
    let later: usize = placed[1..].iter().sum();
    assert!(later <= 20, "{placed:?}");
}

// Guards against a recovered backend server without flows, because instances wait for their distant
// trial though others have been answered.
#[test]
fn first_answered_trial_ends_the_ejection_everywhere() {
    let placed = trials_by_second(1_000);
    assert!(placed[3] > 100, "{placed:?}");
}
