//! What is told of one backend server: signs add up, count once, and are refuted by life.

mod common;

use common::{VirtualFleet, settled_fleet};
use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, HealthState, ObservationKind};

/// The backend server of these tests.
const NUMBER: u64 = 3;

fn share(fleet: &mut VirtualFleet, seat: usize, kind: ObservationKind) {
    let note = HealthObservation { number: NUMBER, incarnation: 1, kind, observed_at: fleet.now() };
    fleet.share_observation(seat, note);
}

fn kinds(fleet: &VirtualFleet, seat: usize) -> Vec<ObservationKind> {
    fleet.instances[seat].observations.iter().map(|note| note.kind).collect()
}

/// What an instance believes by what it has heard.
fn belief(fleet: &VirtualFleet, seat: usize) -> HealthState {
    let mut state = HealthState::default();
    for note in &fleet.instances[seat].observations {
        state.on_observation(note.observed_at, note, 0);
    }
    state
}

fn is_dead(fleet: &VirtualFleet, seat: usize, now: ClockTime) -> bool {
    belief(fleet, seat).is_dead(now)
}

// Symptom: callers wait on flows to a backend server that two instances have found dead.
// Cause: each has one sign, and nobody puts the two together.
#[test]
fn signs_add_up() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    fleet.run(300);
    share(&mut fleet, 8, ObservationKind::DataUnanswered);
    fleet.run(300);
    for seat in 1..8 {
        assert!(is_dead(&fleet, seat, fleet.now()), "instance {seat}: {:?}", kinds(&fleet, seat));
    }
}

#[test]
fn two_suspicions_eject() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::Suspect);
    fleet.run(100);
    share(&mut fleet, 4, ObservationKind::Suspect);
    fleet.run(300);
    for seat in [1, 2, 3, 5, 6, 7, 8] {
        assert_eq!(
            kinds(&fleet, seat),
            [ObservationKind::Suspect, ObservationKind::Ejected],
            "instance {seat}"
        );
    }
    // A suspicion that comes after the first has lapsed is a first one again.
    fleet.run(3_500);
    share(&mut fleet, 0, ObservationKind::Suspect);
    fleet.run(400);
    share(&mut fleet, 4, ObservationKind::Suspect);
    fleet.run(300);
    assert_eq!(kinds(&fleet, 1)[2..], [ObservationKind::Suspect, ObservationKind::Suspect]);
}

// Symptom: a backend server that serves again gets no new flows, and flows there end.
// Sequence: two instances find it dead, a third has an answer from it; messages of before
//   come late, by a way that was slow or sent again by somebody.
// Cause: signs from before the sign of life count anew.
#[test]
fn life_refutes() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    share(&mut fleet, 1, ObservationKind::DataUnanswered);
    fleet.run(20);
    let old: Vec<_> = fleet.recent_datagrams.iter().cloned().collect();
    fleet.run(500);
    share(&mut fleet, 2, ObservationKind::Alive);
    fleet.run(500);
    let before: Vec<_> = (3..6).map(|seat| kinds(&fleet, seat)).collect();
    for seat in 3..6 {
        assert_eq!(kinds(&fleet, seat).last(), Some(&ObservationKind::Alive), "instance {seat}");
        for message in &old {
            let from = fleet.instances[0].address;
            fleet.inject_datagram(seat, from, message.clone());
        }
    }
    fleet.run(1_000);
    for seat in 3..6 {
        assert_eq!(kinds(&fleet, seat), before[seat - 3], "instance {seat}");
        assert!(!is_dead(&fleet, seat, fleet.now()));
    }
}

// Symptom: seconds after a death is known everywhere, nearly all new flows go to the dead
//   backend server, and one observation is logged a thousand times.
// Sequence: it was seen alive shortly before it died; messages that tell so come late, and by
//   their ages the sign seems to be of after the death.
// Cause: the copy of a sign that is known is taken for a newer one.
#[test]
fn late_life_erases_nothing() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 2, ObservationKind::Alive);
    fleet.run(300);
    let old: Vec<_> = fleet.recent_datagrams.iter().cloned().collect();
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    share(&mut fleet, 1, ObservationKind::DataUnanswered);
    fleet.run(300);
    for seat in 3..6 {
        assert!(is_dead(&fleet, seat, fleet.now()), "instance {seat}: {:?}", kinds(&fleet, seat));
        for message in &old {
            let from = fleet.instances[0].address;
            fleet.inject_datagram(seat, from, message.clone());
        }
    }
    fleet.run(500);
    for seat in 3..6 {
        let known = kinds(&fleet, seat);
        assert_eq!(
            known.iter().filter(|kind| **kind == ObservationKind::Alive).count(),
            1,
            "{known:?}"
        );
        assert!(is_dead(&fleet, seat, fleet.now()), "instance {seat}: {known:?}");
    }
}

// Symptom: for seconds after a death is known, callers that come back are sent there again.
// Sequence: it stays dead; signs of it come twice a second, at one instance or another.
// Cause: the first signs grow too old to count, and later ones aren't told.
#[test]
fn long_death_known() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::OpeningUnanswered);
    let mut seen = [fleet.now(); 9];
    for step in 0..20 {
        seen[step % 9] = fleet.now();
        share(&mut fleet, step % 9, ObservationKind::DataUnanswered);
        fleet.run(500);
        for (seat, seen) in seen.iter().enumerate() {
            let heard = fleet.instances[seat].observations.iter().map(|note| note.observed_at);
            let newest = heard.chain([*seen]).max().expect("has seen something");
            let age = fleet.now().since(newest).as_millis();
            assert!(step < 2 || age <= 2_500, "instance {seat}: {age:?} ms");
        }
    }
    // Not every sign is passed on: one changes nothing where another has just come.
    for seat in 0..9 {
        assert!(
            fleet.instances[seat].observations.len() <= 20,
            "{} notes",
            fleet.instances[seat].observations.len()
        );
    }
}

// Another start under the same number is another process.
#[test]
fn starts_kept_apart() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    fleet.run(200);
    let note = HealthObservation {
        number: NUMBER,
        incarnation: 2,
        kind: ObservationKind::DataUnanswered,
        observed_at: fleet.now(),
    };
    fleet.share_observation(1, note);
    fleet.run(200);
    let heard: Vec<_> =
        fleet.instances[4].observations.iter().map(|note| note.incarnation).collect();
    assert_eq!(heard, [1, 2]);
}

// Symptom: instances that live are lost while backend servers die.
// Sequence: one nearby hasn't been heard of for some seconds, by chance; it is told of evidence,
//   and again.
// Cause: it counts as asked for a sign of life, though nobody asked.
#[test]
fn telling_asks_nobody() {
    let mut fleet = settled_fleet(&[60, 60], 1);
    fleet.instances.iter_mut().for_each(|seat| seat.events.clear());
    for step in 0..300 {
        let note = HealthObservation {
            number: step % 40,
            incarnation: step,
            kind: ObservationKind::DataUnanswered,
            observed_at: fleet.now(),
        };
        fleet.share_observation(step as usize % 120, note);
        fleet.run(50);
    }
    let events = fleet.instances.iter().flat_map(|seat| &seat.events);
    let lost = events.filter(|(_, event)| event.kind() == "peer_lost").count();
    assert_eq!(lost, 0);
}
