//! Many backend servers that die at the same moment: when all instances know, and the bytes that
//! this takes.

mod common;

use std::collections::HashMap;

use common::{VirtualFleet, settled_fleet};
use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, HealthState, ObservationKind};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// First number of the backend servers that die.
const FIRST: u64 = 10_000;

/// Maximum time in milliseconds from the second observation of a death until instances know it.
struct DelayAim {
    middle: u64,
    last: u64,
}

/// Limits within one data centre: callers give up after a second or more, and open a new flow.
const NEAR: DelayAim = DelayAim { middle: 300, last: 1_000 };
/// Limits for all data centres.
const FAR: DelayAim = DelayAim { middle: 500, last: 1_500 };
/// Maximum bytes a second that one instance may send however many backend servers die: 6% of a link
/// of 20 Mbit/s for evidence, and its other traffic.
const MOST_BYTES: u64 = 170_000;

/// Observations by time in milliseconds and observing instance.
type Plan = Vec<(u64, usize, HealthObservation)>;

/// Health states that instances infer from all that they observe and receive.
struct Beliefs {
    states: HashMap<(usize, u64), HealthState>,
    /// Number of observations of each instance that have been applied.
    taken: Vec<usize>,
    /// When each death could be known, and when each instance knew it.
    known_at: HashMap<u64, ClockTime>,
    signs: HashMap<u64, u32>,
    learned: HashMap<(usize, u64), ClockTime>,
}

impl Beliefs {
    fn new(fleet: &VirtualFleet) -> Beliefs {
        Beliefs {
            states: HashMap::new(),
            taken: vec![0; fleet.instances.len()],
            known_at: HashMap::new(),
            signs: HashMap::new(),
            learned: HashMap::new(),
        }
    }

    fn take(&mut self, now: ClockTime, index: usize, note: &HealthObservation) {
        let state = self.states.entry((index, note.number)).or_default();
        state.on_observation(now, note, 0);
        if state.is_dead(now) {
            self.learned.entry((index, note.number)).or_insert(now);
        }
    }

    /// Applies an observation that an instance made itself.
    fn observe(&mut self, now: ClockTime, index: usize, note: &HealthObservation) {
        self.take(now, index, note);
        if !matches!(
            note.kind,
            ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered
        ) {
            return;
        }
        let signs = self.signs.entry(note.number).or_default();
        *signs += 1;
        if *signs == 2 {
            self.known_at.insert(note.number, now);
        }
    }

    /// Applies the observations that instances have received since the last call.
    fn hear(&mut self, fleet: &VirtualFleet) {
        for (index, seat) in fleet.instances.iter().enumerate() {
            let taken = std::mem::replace(&mut self.taken[index], seat.observations.len());
            for note in &seat.observations[taken..] {
                self.take(fleet.now(), index, note);
            }
        }
    }

    /// Returns, in ascending order, the milliseconds from the time at which a death could be known
    /// until each of some instances knew it; none for instances that never did.
    fn delays(&self, seats: std::ops::Range<usize>) -> Vec<Option<u64>> {
        let mut delays = Vec::new();
        for (number, known) in &self.known_at {
            for index in seats.clone() {
                let learned = self.learned.get(&(index, *number));
                delays.push(learned.map(|at| at.since(*known).as_millis() as u64));
            }
        }
        delays.sort_by_key(|delay| delay.unwrap_or(u64::MAX));
        delays
    }
}

/// Returns observations of some backend servers that die at once, made by instances of a range.
/// With four requests a second at each backend server, hardly more than four instances observe
/// something within a second.
fn deaths(numbers: std::ops::Range<u64>, seats: std::ops::Range<usize>, seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Plan::new();
    let kinds = [
        ObservationKind::Suspect,
        ObservationKind::OpeningUnanswered,
        ObservationKind::DataUnanswered,
        ObservationKind::DataUnanswered,
    ];
    for number in numbers {
        let opened = rng.random_range(40..300);
        let asked = rng.random_range(600..900);
        let times = [opened, opened + 160, asked, asked + rng.random_range(0..200)];
        for (at, kind) in times.into_iter().zip(kinds) {
            let seat = rng.random_range(seats.clone());
            let note =
                HealthObservation { number, incarnation: 1, kind, observed_at: ClockTime::ZERO };
            plan.push((at, seat, note));
        }
    }
    plan.sort_by_key(|(at, seat, note)| (*at, *seat, note.number));
    plan
}

/// Simulates observations for some milliseconds.
fn play(fleet: &mut VirtualFleet, beliefs: &mut Beliefs, plan: Plan, millis: u64) {
    let mut plan = plan.into_iter().peekable();
    for millis in 0..millis {
        while let Some((_, seat, mut note)) = plan.next_if(|(at, ..)| *at <= millis) {
            note.observed_at = fleet.now();
            beliefs.observe(note.observed_at, seat, &note);
            fleet.share_observation(seat, note);
        }
        fleet.run(1);
        beliefs.hear(fleet);
    }
}

fn check(beliefs: &Beliefs, seats: std::ops::Range<usize>, aim: &DelayAim, what: &str) {
    let delays = beliefs.delays(seats);
    let unknown = delays.iter().filter(|delay| delay.is_none()).count();
    let middle = delays[delays.len() / 2];
    let last = delays.iter().flatten().max().copied().unwrap_or(0);
    println!("{what}: middle {middle:?} ms, last {last} ms, {unknown} of {} unknown", delays.len());
    assert_eq!(unknown, 0, "{what}: never known");
    assert!(middle.is_some_and(|middle| middle <= aim.middle), "{what}: middle {middle:?} ms");
    assert!(last <= aim.last, "{what}: last {last} ms");
}

/// Simulates observations and bounds the bytes of the busiest instance.
fn play_bounded(fleet: &mut VirtualFleet, plan: Plan) -> Beliefs {
    fleet.run(6_000);
    let quiet = fleet.remote_bytes;
    fleet.run(3_000);
    println!("quiet: {} far in 3 s", fleet.remote_bytes - quiet);
    let before: Vec<_> = fleet.instances.iter().map(|seat| seat.sent_bytes).collect();
    let far = fleet.remote_bytes;
    let mut beliefs = Beliefs::new(fleet);
    play(fleet, &mut beliefs, plan, 3_000);
    let sent = fleet.instances.iter().zip(before).map(|(seat, before)| seat.sent_bytes - before);
    let (sum, most) = sent.fold((0, 0), |(sum, most), bytes| (sum + bytes, bytes.max(most)));
    let count = fleet.instances.len() as u64;
    let far = fleet.remote_bytes - far;
    println!("bytes of 3 s: {} an instance, {most} the busiest, {far} far", sum / count);
    assert!(most <= 3 * MOST_BYTES, "{most} bytes");
    beliefs
}

// Guards against callers that wait on flows to dead backend servers, and against new flows sent to
// them, for seconds after a hall has failed. A hundred die at the same moment, and each instance
// sends what it observes of it. A message had space for a limited number of observations, chosen by
// a random id, and those with large ids were sent by no instance.
#[test]
fn hall_dies() {
    let mut fleet = settled_fleet(&[50; 6], 1);
    let beliefs = play_bounded(&mut fleet, deaths(FIRST..FIRST + 120, 0..50, 1));
    check(&beliefs, 0..50, &NEAR, "near");
    check(&beliefs, 50..300, &FAR, "far");
}

#[test]
fn many_die() {
    let mut fleet = settled_fleet(&[73, 73, 73, 73, 73, 72], 2);
    let beliefs = play_bounded(&mut fleet, deaths(FIRST..FIRST + 600, 0..437, 2));
    check(&beliefs, 0..437, &FAR, "all");
}

#[test]
fn more_die_meanwhile() {
    let mut fleet = settled_fleet(&[50; 6], 3);
    let mut plan = deaths(FIRST..FIRST + 120, 0..50, 3);
    let later = deaths(FIRST + 200..FIRST + 320, 0..300, 4);
    plan.extend(later.into_iter().map(|(at, seat, note)| (at + 700, seat, note)));
    plan.sort_by_key(|(at, seat, note)| (*at, *seat, note.number));
    let beliefs = play_bounded(&mut fleet, plan);
    check(&beliefs, 0..300, &FAR, "all");
}

#[test]
fn lossy_links_tell() {
    let mut fleet = settled_fleet(&[50; 6], 5);
    fleet.loss_rate = 0.03;
    let beliefs = play_bounded(&mut fleet, deaths(FIRST..FIRST + 120, 0..50, 5));
    check(&beliefs, 0..50, &NEAR, "near");
    check(&beliefs, 50..300, &FAR, "far");
}

// Two data centres can't reach each other, but both reach the others.
#[test]
fn cut_goes_round() {
    let mut fleet = settled_fleet(&[50; 6], 6);
    for one in 0..50 {
        for other in 50..100 {
            fleet.cut_links.insert((one, other));
            fleet.cut_links.insert((other, one));
        }
    }
    let beliefs = play_bounded(&mut fleet, deaths(FIRST..FIRST + 120, 0..50, 6));
    check(&beliefs, 0..50, &NEAR, "near");
    check(&beliefs, 50..300, &FAR, "far");
}

// Instances that start while the deaths are disseminated learn them from the peers that answer
// them.
#[test]
fn starters_hear() {
    let mut fleet = settled_fleet(&[50; 6], 7);
    (40..50).for_each(|index| fleet.kill(index));
    fleet.run(200);
    let mut beliefs = Beliefs::new(&fleet);
    let (first, mut rest): (Plan, Plan) =
        deaths(FIRST..FIRST + 120, 0..40, 7).into_iter().partition(|(at, ..)| *at < 900);
    play(&mut fleet, &mut beliefs, first, 900);
    (40..50).for_each(|index| fleet.start(index));
    rest.iter_mut().for_each(|(at, ..)| *at -= 900);
    play(&mut fleet, &mut beliefs, rest, 1_600);
    for index in 40..50 {
        let known = beliefs.learned.keys().filter(|(seat, _)| *seat == index).count();
        assert_eq!(known, 120, "instance {index}");
    }
}
