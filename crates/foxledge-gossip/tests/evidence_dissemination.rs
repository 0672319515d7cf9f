//! Dissemination of evidence about one backend server: observations add up, count once, and are
//! refuted by alive observations.

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

/// Returns the state of the backend server after all observations that an instance received.
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

// Guards against callers that wait on flows to a backend server although two instances have
// observed its death. Each has a single observation, and nobody combined the two.
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
    // A suspicion that comes after the first one has expired counts as a first one.
    fleet.run(3_500);
    share(&mut fleet, 0, ObservationKind::Suspect);
    fleet.run(400);
    share(&mut fleet, 4, ObservationKind::Suspect);
    fleet.run(300);
    assert_eq!(kinds(&fleet, 1)[2..], [ObservationKind::Suspect, ObservationKind::Suspect]);
}

// Guards against a backend server that serves again and still receives no new flows, while its open
// flows end. Two instances observe its death, a third one receives an answer from it, and copies of
// the earlier messages arrive afterwards: observations from before the alive observation must not
// count again.
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

// Guards against new flows that go to a backend server known to be dead, and against one
// observation that is logged a thousand times. The backend server was seen alive shortly before it
// died, and a late copy of that observation seems to be of after the death: it was taken for a
// newer observation.
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

// Guards against callers that are sent to a dead backend server again seconds after its death is
// known. It stays dead and is observed twice a second by one instance or another. The first
// observations expire, and later ones weren't disseminated.
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
    // Not every observation is forwarded: one changes nothing if another has just arrived.
    for seat in 0..9 {
        assert!(
            fleet.instances[seat].observations.len() <= 20,
            "{} notes",
            fleet.instances[seat].observations.len()
        );
    }
}

// Another incarnation under the same number is another process.
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

// Guards against live instances that are counted as lost while backend servers die. An instance
// that happens not to have been heard from for some seconds is sent evidence repeatedly; it was
// then expected to answer although no answer had been requested.
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
