//! Many backend servers that die at the same moment: when all instances know, and the bytes that
//! this takes.

mod common;

use std::collections::HashMap;

use common::{VirtualFleet, settled_fleet};
use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, HealthState, ObservationKind};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// First number of the backend servers that die.
const FIRST_NUMBER: u64 = 10_000;

/// Maximum time in milliseconds from the second observation of a death until instances know it.
struct DelayLimit {
    median: u64,
    maximum: u64,
}

/// Limits within one data centre: callers give up after a second or more, and send their request
/// again.
const LOCAL_LIMIT: DelayLimit = DelayLimit { median: 300, maximum: 1_000 };
/// Limits for all data centres.
const GLOBAL_LIMIT: DelayLimit = DelayLimit { median: 500, maximum: 1_500 };
/// Maximum bytes a second that one instance may send however many backend servers die: 6% of a link
/// of 20 Mbit/s for evidence, plus its other traffic.
const MAX_BYTES_PER_S: u64 = 170_000;

/// Observations by time in milliseconds and observing instance.
type ObservationPlan = Vec<(u64, usize, HealthObservation)>;

/// Health states that instances infer from all that they observe and receive.
struct HealthModel {
    states: HashMap<(usize, u64), HealthState>,
    /// Number of observations of each instance that have been applied.
    applied: Vec<usize>,
    /// When two observations of each death had been made.
    provable_at: HashMap<u64, ClockTime>,
    /// Number of observations of unanswered packets by backend server.
    unanswered: HashMap<u64, u32>,
    /// When each instance knew each death.
    known_at: HashMap<(usize, u64), ClockTime>,
}

impl HealthModel {
    fn new(fleet: &VirtualFleet) -> HealthModel {
        HealthModel {
            states: HashMap::new(),
            applied: vec![0; fleet.instances.len()],
            provable_at: HashMap::new(),
            unanswered: HashMap::new(),
            known_at: HashMap::new(),
        }
    }

    fn apply(&mut self, now: ClockTime, index: usize, observation: &HealthObservation) {
        let state = self.states.entry((index, observation.number)).or_default();
        state.on_observation(now, observation, 0);
        if state.is_dead(now) {
            self.known_at.entry((index, observation.number)).or_insert(now);
        }
    }

    /// Applies an observation that an instance made itself.
    fn observe(&mut self, now: ClockTime, index: usize, observation: &HealthObservation) {
        self.apply(now, index, observation);
        if !matches!(
            observation.kind,
            ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered
        ) {
            return;
        }
        let unanswered = self.unanswered.entry(observation.number).or_default();
        *unanswered += 1;
        if *unanswered == 2 {
            self.provable_at.insert(observation.number, now);
        }
    }

    /// Applies the observations that instances have received since the last call.
    fn apply_received(&mut self, fleet: &VirtualFleet) {
        for (index, instance) in fleet.instances.iter().enumerate() {
            let applied = std::mem::replace(&mut self.applied[index], instance.observations.len());
            for observation in &instance.observations[applied..] {
                self.apply(fleet.now(), index, observation);
            }
        }
    }

    /// Returns, in ascending order, the milliseconds from the time at which a death could be known
    /// until each of some instances knew it; none for instances that never did.
    fn delays(&self, instances: std::ops::Range<usize>) -> Vec<Option<u64>> {
        let mut delays = Vec::new();
        for (number, provable_at) in &self.provable_at {
            for index in instances.clone() {
                let known_at = self.known_at.get(&(index, *number));
                delays.push(known_at.map(|time| time.since(*provable_at).as_millis() as u64));
            }
        }
        delays.sort_by_key(|delay| delay.unwrap_or(u64::MAX));
        delays
    }
}

/// Returns observations of some backend servers that die at once, made by instances of a range.
/// With four requests a second at each backend server, hardly more than four instances observe
/// something within a second.
fn deaths(
    numbers: std::ops::Range<u64>,
    instances: std::ops::Range<usize>,
    seed: u64,
) -> ObservationPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = ObservationPlan::new();
    let kinds = [
        ObservationKind::Suspect,
        ObservationKind::OpeningUnanswered,
        ObservationKind::DataUnanswered,
        ObservationKind::DataUnanswered,
    ];
    for number in numbers {
        let opened = rng.random_range(40..300);
        let data_unanswered = rng.random_range(600..900);
        let times =
            [opened, opened + 160, data_unanswered, data_unanswered + rng.random_range(0..200)];
        for (time_ms, kind) in times.into_iter().zip(kinds) {
            let instance = rng.random_range(instances.clone());
            let observation =
                HealthObservation { number, incarnation: 1, kind, observed_at: ClockTime::ZERO };
            plan.push((time_ms, instance, observation));
        }
    }
    plan.sort_by_key(|(time_ms, instance, observation)| (*time_ms, *instance, observation.number));
    plan
}

/// Simulates observations for some milliseconds.
fn simulate(fleet: &mut VirtualFleet, model: &mut HealthModel, plan: ObservationPlan, millis: u64) {
    let mut plan = plan.into_iter().peekable();
    for millis in 0..millis {
        while let Some((_, instance, mut observation)) =
            plan.next_if(|(time_ms, ..)| *time_ms <= millis)
        {
            observation.observed_at = fleet.now();
            model.observe(observation.observed_at, instance, &observation);
            fleet.share_observation(instance, observation);
        }
        fleet.run(1);
        model.apply_received(fleet);
    }
}

fn assert_delays(
    model: &HealthModel,
    instances: std::ops::Range<usize>,
    limit: &DelayLimit,
    case: &str,
) {
    let delays = model.delays(instances);
    let unknown = delays.iter().filter(|delay| delay.is_none()).count();
    let median = delays[delays.len() / 2];
    let maximum = delays.iter().flatten().max().copied().unwrap_or(0);
    println!(
        "{case}: median {median:?} ms, maximum {maximum} ms, {unknown} of {} unknown",
        delays.len()
    );
    assert_eq!(unknown, 0, "{case}: some instances never know a death");
    assert!(median.is_some_and(|median| median <= limit.median), "{case}: median {median:?} ms");
    assert!(maximum <= limit.maximum, "{case}: maximum {maximum} ms");
}

/// Simulates observations and bounds the bytes of the busiest instance.
fn simulate_bounded(fleet: &mut VirtualFleet, plan: ObservationPlan) -> HealthModel {
    fleet.run(6_000);
    let quiet_bytes = fleet.remote_bytes;
    fleet.run(3_000);
    println!("quiet: {} bytes to other data centres in 3 s", fleet.remote_bytes - quiet_bytes);
    let before: Vec<_> = fleet.instances.iter().map(|instance| instance.sent_bytes).collect();
    let remote = fleet.remote_bytes;
    let mut model = HealthModel::new(fleet);
    simulate(fleet, &mut model, plan, 3_000);
    let sent =
        fleet.instances.iter().zip(before).map(|(instance, before)| instance.sent_bytes - before);
    let (total, max_bytes) =
        sent.fold((0, 0), |(total, max_bytes), bytes| (total + bytes, bytes.max(max_bytes)));
    let count = fleet.instances.len() as u64;
    let remote = fleet.remote_bytes - remote;
    println!(
        "bytes in 3 s: {} per instance, {max_bytes} by the busiest, {remote} to other data centres",
        total / count
    );
    assert!(max_bytes <= 3 * MAX_BYTES_PER_S, "{max_bytes} bytes");
    model
}

// Guards against callers that wait on flows to dead backend servers, and against new flows sent to
// them, for seconds after a hall has failed. A hundred die at the same moment, and each instance
// sends what it observes of it. A message had space for a limited number of observations, chosen by
// a random id, and those with large ids were sent by no instance.
#[test]
fn hall_failure_is_known_in_time() {
    let mut fleet = settled_fleet(&[50; 6], 1);
    let model = simulate_bounded(&mut fleet, deaths(FIRST_NUMBER..FIRST_NUMBER + 120, 0..50, 1));
    assert_delays(&model, 0..50, &LOCAL_LIMIT, "local");
    assert_delays(&model, 50..300, &GLOBAL_LIMIT, "remote");
}

#[test]
fn many_simultaneous_deaths_are_known_in_time() {
    let mut fleet = settled_fleet(&[73, 73, 73, 73, 73, 72], 2);
    let model = simulate_bounded(&mut fleet, deaths(FIRST_NUMBER..FIRST_NUMBER + 600, 0..437, 2));
    assert_delays(&model, 0..437, &GLOBAL_LIMIT, "all");
}

#[test]
fn overlapping_mass_deaths_are_known_in_time() {
    let mut fleet = settled_fleet(&[50; 6], 3);
    let mut plan = deaths(FIRST_NUMBER..FIRST_NUMBER + 120, 0..50, 3);
    let later = deaths(FIRST_NUMBER + 200..FIRST_NUMBER + 320, 0..300, 4);
    plan.extend(
        later
            .into_iter()
            .map(|(time_ms, instance, observation)| (time_ms + 700, instance, observation)),
    );
    plan.sort_by_key(|(time_ms, instance, observation)| (*time_ms, *instance, observation.number));
    let model = simulate_bounded(&mut fleet, plan);
    assert_delays(&model, 0..300, &GLOBAL_LIMIT, "all");
}

#[test]
fn deaths_are_known_over_lossy_links() {
    let mut fleet = settled_fleet(&[50; 6], 5);
    fleet.loss_rate = 0.03;
    let model = simulate_bounded(&mut fleet, deaths(FIRST_NUMBER..FIRST_NUMBER + 120, 0..50, 5));
    assert_delays(&model, 0..50, &LOCAL_LIMIT, "local");
    assert_delays(&model, 50..300, &GLOBAL_LIMIT, "remote");
}

// Two data centres can't reach each other, but both reach the others.
#[test]
fn deaths_are_known_around_a_cut_between_data_centres() {
    let mut fleet = settled_fleet(&[50; 6], 6);
    for first in 0..50 {
        for second in 50..100 {
            fleet.cut_links.insert((first, second));
            fleet.cut_links.insert((second, first));
        }
    }
    let model = simulate_bounded(&mut fleet, deaths(FIRST_NUMBER..FIRST_NUMBER + 120, 0..50, 6));
    assert_delays(&model, 0..50, &LOCAL_LIMIT, "local");
    assert_delays(&model, 50..300, &GLOBAL_LIMIT, "remote");
}

// Instances that start while the deaths are disseminated learn them from the peers that answer
// them.
#[test]
fn starting_instances_learn_of_deaths() {
    let mut fleet = settled_fleet(&[50; 6], 7);
    (40..50).for_each(|index| fleet.kill(index));
    fleet.run(200);
    let mut model = HealthModel::new(&fleet);
    let (first, mut remaining): (ObservationPlan, ObservationPlan) =
        deaths(FIRST_NUMBER..FIRST_NUMBER + 120, 0..40, 7)
            .into_iter()
            .partition(|(time_ms, ..)| *time_ms < 900);
    simulate(&mut fleet, &mut model, first, 900);
    (40..50).for_each(|index| fleet.start(index));
    remaining.iter_mut().for_each(|(time_ms, ..)| *time_ms -= 900);
    simulate(&mut fleet, &mut model, remaining, 1_600);
    for index in 40..50 {
        let known = model.known_at.keys().filter(|(instance, _)| *instance == index).count();
        assert_eq!(known, 120, "instance {index}");
    }
}
