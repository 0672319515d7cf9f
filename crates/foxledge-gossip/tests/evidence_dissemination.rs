//! Dissemination of evidence about one backend server: observations add up, count once, and are
//! refuted by alive observations.

mod common;

use common::{VirtualFleet, settled_fleet};
use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, HealthState, ObservationKind};

/// The backend server of these tests.
const NUMBER: u64 = 3;

fn share(fleet: &mut VirtualFleet, instance: usize, kind: ObservationKind) {
    let observed =
        HealthObservation { number: NUMBER, incarnation: 1, kind, observed_at: fleet.now() };
    fleet.share_observation(instance, observed);
}

fn kinds(fleet: &VirtualFleet, instance: usize) -> Vec<ObservationKind> {
    fleet.instances[instance].observations.iter().map(|observation| observation.kind).collect()
}

/// Returns the state of the backend server after all observations that an instance received.
fn resulting_health(fleet: &VirtualFleet, instance: usize) -> HealthState {
    let mut state = HealthState::default();
    for observation in &fleet.instances[instance].observations {
        state.on_observation(observation.observed_at, observation, 0);
    }
    state
}

fn is_dead(fleet: &VirtualFleet, instance: usize, now: ClockTime) -> bool {
    resulting_health(fleet, instance).is_dead(now)
}

// Guards against callers that wait on flows to a backend server although two instances have
// observed its death. Each has a single observation, and no instance combined the
// two.
#[test]
fn observations_of_two_instances_add_up_to_a_death() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    fleet.run(300);
    share(&mut fleet, 8, ObservationKind::DataUnanswered);
    fleet.run(300);
    for instance in 1..8 {
        assert!(
            is_dead(&fleet, instance, fleet.now()),
            "instance {instance}: {:?}",
            kinds(&fleet, instance)
        );
    }
}

#[test]
fn second_suspicion_before_expiry_ejects() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::Suspect);
    fleet.run(100);
    share(&mut fleet, 4, ObservationKind::Suspect);
    fleet.run(300);
    for instance in [1, 2, 3, 5, 6, 7, 8] {
        assert_eq!(
            kinds(&fleet, instance),
            [ObservationKind::Suspect, ObservationKind::Ejected],
            "instance {instance}"
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
fn alive_observation_refutes_older_observations() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    share(&mut fleet, 1, ObservationKind::DataUnanswered);
    fleet.run(20);
    let old_datagrams: Vec<_> = fleet.recent_datagrams.iter().cloned().collect();
    fleet.run(500);
    share(&mut fleet, 2, ObservationKind::Alive);
    fleet.run(500);
    let before: Vec<_> = (3..6).map(|instance| kinds(&fleet, instance)).collect();
    for instance in 3..6 {
        assert_eq!(
            kinds(&fleet, instance).last(),
            Some(&ObservationKind::Alive),
            "instance {instance}"
        );
        for message in &old_datagrams {
            let from = fleet.instances[0].address;
            fleet.inject_datagram(instance, from, message.clone());
        }
    }
    fleet.run(1_000);
    for instance in 3..6 {
        assert_eq!(kinds(&fleet, instance), before[instance - 3], "instance {instance}");
        assert!(!is_dead(&fleet, instance, fleet.now()));
    }
}

// Guards against new flows that go to a backend server known to be dead, and against one
// observation that is logged a thousand times. The backend server was seen alive shortly before it
// died, and a late copy of that observation seems to be of after the death: it was taken for a
// newer observation.
#[test]
fn late_copy_of_an_alive_observation_refutes_nothing() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 2, ObservationKind::Alive);
    fleet.run(300);
    let old_datagrams: Vec<_> = fleet.recent_datagrams.iter().cloned().collect();
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    share(&mut fleet, 1, ObservationKind::DataUnanswered);
    fleet.run(300);
    for instance in 3..6 {
        assert!(
            is_dead(&fleet, instance, fleet.now()),
            "instance {instance}: {:?}",
            kinds(&fleet, instance)
        );
        for message in &old_datagrams {
            let from = fleet.instances[0].address;
            fleet.inject_datagram(instance, from, message.clone());
        }
    }
    fleet.run(500);
    for instance in 3..6 {
        let known = kinds(&fleet, instance);
        assert_eq!(
            known.iter().filter(|kind| **kind == ObservationKind::Alive).count(),
            1,
            "{known:?}"
        );
        assert!(is_dead(&fleet, instance, fleet.now()), "instance {instance}: {known:?}");
    }
}

// Guards against callers that are sent to a dead backend server again seconds after its death is
// known. It stays dead and is observed twice a second by one instance or another. The first
// observations expire, and later ones weren't disseminated.
#[test]
fn evidence_of_a_lasting_death_is_renewed() {
    let mut fleet = settled_fleet(&[3, 3, 3], 1);
    share(&mut fleet, 0, ObservationKind::OpeningUnanswered);
    let mut seen = [fleet.now(); 9];
    for step in 0..20 {
        seen[step % 9] = fleet.now();
        share(&mut fleet, step % 9, ObservationKind::DataUnanswered);
        fleet.run(500);
        for (instance, seen) in seen.iter().enumerate() {
            let received = fleet.instances[instance]
                .observations
                .iter()
                .map(|observation| observation.observed_at);
            let newest = received.chain([*seen]).max().expect("has seen something");
            let age = fleet.now().since(newest).as_millis();
            assert!(step < 2 || age <= 2_500, "instance {instance}: {age:?} ms");
        }
    }
    // Not every observation is forwarded: one changes nothing if another has just arrived.
    for instance in 0..9 {
        assert!(
            fleet.instances[instance].observations.len() <= 20,
            "{} observations",
            fleet.instances[instance].observations.len()
        );
    }
}

// Another incarnation under the same number is another process.
#[test]
fn incarnations_have_separate_evidence() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    share(&mut fleet, 0, ObservationKind::DataUnanswered);
    fleet.run(200);
    let observation = HealthObservation {
        number: NUMBER,
        incarnation: 2,
        kind: ObservationKind::DataUnanswered,
        observed_at: fleet.now(),
    };
    fleet.share_observation(1, observation);
    fleet.run(200);
    let received: Vec<_> =
        fleet.instances[4].observations.iter().map(|observation| observation.incarnation).collect();
    assert_eq!(received, [1, 2]);
}

// Guards against live instances that are counted as lost while backend servers die. An instance
// that happens not to have been heard from for some seconds is sent evidence repeatedly; it was
// then expected to answer although no answer had been requested.
#[test]
fn instances_that_only_receive_evidence_are_not_lost() {
    let mut fleet = settled_fleet(&[60, 60], 1);
    fleet.instances.iter_mut().for_each(|instance| instance.events.clear());
    for step in 0..300 {
        let observation = HealthObservation {
            number: step % 40,
            incarnation: step,
            kind: ObservationKind::DataUnanswered,
            observed_at: fleet.now(),
        };
        fleet.share_observation(step as usize % 120, observation);
        fleet.run(50);
    }
    let events = fleet.instances.iter().flat_map(|instance| &instance.events);
    let lost = events.filter(|(_, event)| event.kind() == "peer_lost").count();
    assert_eq!(lost, 0);
}
