//! When a process that starts may serve.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_daemon::start_gate::{PlatformContact, StartGate};

const NOW: ClockTime = ClockTime::ZERO;

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn deadline() -> ClockTime {
    NOW.after_millis(3000)
}

/// The gate of an instance that has `peers` seeds and a platform.
fn gate(peers: u16) -> StartGate {
    let mut gate = StartGate::new(PlatformContact::Pending, deadline());
    gate.add_peers((1..=peers).map(peer));
    gate
}

/// Symptom: a restarted instance treats requests by rules that were replaced long ago.
/// Sequence: a stale platform answers first, and peers that know better a moment later.
/// Cause: serving with the first list that comes to hand.
#[test]
fn waits_for_platform_and_two_peers() {
    let mut gate = gate(5);
    gate.record_platform_contact();
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_answer(peer(1));
    gate.record_answer(peer(1));
    assert!(!gate.is_open(NOW, 4, 4), "one peer may lag");
    gate.record_answer(peer(9));
    assert!(!gate.is_open(NOW, 4, 7), "a peer has told of revision 7");
    assert!(gate.is_open(NOW, 7, 7));
}

/// Symptom: an instance that restarts while the platform is slow goes back to a peer's older list.
/// Sequence: peers answer before the platform does.
/// Cause: peers taken for enough.
#[test]
fn peers_alone_are_not_enough() {
    let mut gate = gate(2);
    gate.record_answer(peer(1));
    gate.record_answer(peer(2));
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_platform_contact();
    assert!(gate.is_open(NOW, 4, 4));
}

#[test]
fn first_instance_needs_no_peers() {
    let mut gate = gate(0);
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_platform_contact();
    assert!(gate.is_open(NOW, 4, 4));
}

/// Symptom: the last living instance of a data centre starts late after each restart.
/// Sequence: its seeds refuse connections, all but one.
/// Cause: waiting for two answers when only one can come.
#[test]
fn failed_peers_are_not_waited_for() {
    let mut gate = gate(3);
    gate.record_platform_contact();
    gate.record_failure(peer(1));
    gate.record_failure(peer(2));
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_answer(peer(3));
    assert!(gate.is_open(NOW, 4, 4));
}

/// Symptom: an isolated instance never serves.
/// Sequence: neither the platform nor any seed answers.
/// Cause: a wait without a deadline.
#[test]
fn deadline_opens_with_any_list() {
    let gate = gate(3);
    assert!(!gate.is_open(NOW, 4, 4));
    assert!(gate.is_open(deadline(), 4, 9));
    assert!(!gate.is_open(deadline(), 0, 0), "without any list it can't serve");
}
