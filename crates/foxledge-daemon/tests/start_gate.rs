//! The decision when a starting process may begin to serve.

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

/// Returns the gate of an instance with `peers` seeds and a platform.
fn gate(peers: u16) -> StartGate {
    let mut gate = StartGate::new(PlatformContact::Pending, deadline());
    gate.add_peers((1..=peers).map(peer));
    gate
}

/// Guards against a restarted instance that applies outdated rules, because it serves with the
/// first list: that of a stale platform, which responds before the peers.
#[test]
fn waits_for_platform_and_two_peers() {
    let mut gate = gate(5);
    gate.record_platform_contact();
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_answer(peer(1));
    gate.record_answer(peer(1));
    assert!(!gate.is_open(NOW, 4, 4), "one peer may have an old list");
    gate.record_answer(peer(9));
    assert!(!gate.is_open(NOW, 4, 7), "a peer has reported revision 7");
    assert!(gate.is_open(NOW, 7, 7));
}

/// Guards against an instance that goes back to a peer's older list, because it restarts while the
/// platform is slow and doesn't wait for its response.
#[test]
fn waits_for_platform_after_peers_responded() {
    let mut gate = gate(2);
    gate.record_answer(peer(1));
    gate.record_answer(peer(2));
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_platform_contact();
    assert!(gate.is_open(NOW, 4, 4));
}

#[test]
fn opens_without_peers_after_platform_responded() {
    let mut gate = gate(0);
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_platform_contact();
    assert!(gate.is_open(NOW, 4, 4));
}

/// Guards against a late start of the last live instance of a data centre, because it waits for
/// two responses while all seeds but one refuse connections.
#[test]
fn does_not_wait_for_failed_peers() {
    let mut gate = gate(3);
    gate.record_platform_contact();
    gate.record_failure(peer(1));
    gate.record_failure(peer(2));
    assert!(!gate.is_open(NOW, 4, 4));
    gate.record_answer(peer(3));
    assert!(gate.is_open(NOW, 4, 4));
}

/// Guards against an isolated instance that never serves, because it waits without a deadline for
/// a platform and seeds that don't respond.
#[test]
fn opens_at_deadline_with_any_list() {
    let gate = gate(3);
    assert!(!gate.is_open(NOW, 4, 4));
    assert!(gate.is_open(deadline(), 4, 9));
    assert!(!gate.is_open(deadline(), 0, 0), "without any list it can't serve");
}
