//! When a process that starts may serve.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_daemon::start_gate::{StartGate, StartSource};

const DEADLINE: ClockTime = ClockTime::ZERO;

fn peer(port: u16) -> StartSource {
    StartSource::Peer(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn gate() -> (StartGate, ClockTime) {
    let deadline = DEADLINE.after_millis(3000);
    (StartGate::new([StartSource::Platform, peer(1), peer(2)], deadline), deadline)
}

/// Symptom: a restarted instance treats requests by rules that were replaced long ago.
/// Sequence: a stale platform answers first, and peers that know better a moment later.
/// Cause: serving with the first list that comes to hand.
#[test]
fn waits_for_every_source() {
    let (mut gate, _) = gate();
    let now = ClockTime::from_micros(1);
    gate.heard(StartSource::Platform);
    assert!(!gate.is_open(now, 4, 4));
    gate.heard(peer(1));
    assert!(!gate.is_open(now, 4, 4));
    gate.heard(peer(2));
    assert!(!gate.is_open(now, 4, 7), "a peer has told of revision 7");
    assert!(gate.is_open(now, 7, 7));
}

/// Symptom: an isolated instance never serves.
/// Sequence: neither the platform nor any seed answers.
/// Cause: a wait without a deadline.
#[test]
fn deadline_opens_with_any_list() {
    let (gate, deadline) = gate();
    assert!(!gate.is_open(ClockTime::from_micros(1), 4, 4));
    assert!(gate.is_open(deadline, 4, 9));
    assert!(!gate.is_open(deadline, 0, 0), "without any list it can't serve");
}

#[test]
fn learnt_sources_are_waited_for_and_bounded() {
    let (mut gate, _) = gate();
    gate.expect((10..100).map(peer));
    for source in [StartSource::Platform, peer(1), peer(2)] {
        gate.heard(source);
    }
    let now = ClockTime::from_micros(1);
    assert!(!gate.is_open(now, 1, 1));
    for port in 10..15 {
        gate.heard(peer(port));
    }
    assert!(gate.is_open(now, 1, 1), "five of the ninety are waited for");
}
