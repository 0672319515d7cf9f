//! Messages that no instance sends: random bytes, and real messages with some bytes changed.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};

use common::{VirtualFleet, settled_fleet};
use foxledge_gossip::{FleetEffect, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

/// Maximum number of messages in response to one, so that a flood isn't amplified.
const MAX_RESPONSES: usize = 12;

const SENDER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 9_999);

/// Creates a fleet whose recent datagrams include heartbeats, requests and pages.
fn busy_fleet() -> VirtualFleet {
    let mut fleet = settled_fleet(&[3, 2], 1);
    fleet.store.publish(2, 60);
    fleet.answer_watches();
    fleet.run(300);
    fleet.kill(4);
    fleet.start(4);
    fleet.run(40);
    fleet
}

/// Passes a datagram to a member and checks its effects; returns true if it was accepted.
fn handle_checked(fleet: &mut VirtualFleet, bytes: &[u8]) -> Result<bool, TestCaseError> {
    let now = fleet.now();
    let member = fleet.instances[0].member.as_mut().expect("is running");
    let is_accepted = member.handle_datagram(now, SENDER, bytes);
    let mut sent = 0;
    for effect in member.drain_effects() {
        if let FleetEffect::SendDatagram { bytes, .. } = effect {
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            sent += 1;
        }
    }
    prop_assert!(sent <= MAX_RESPONSES, "{sent} messages");
    let _ = member.next_timer_at(now);
    member.handle_timers(now);
    Ok(is_accepted)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20261203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rejects_random_bytes(
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 100)
    ) {
        let mut fleet = busy_fleet();
        for datagram in &datagrams {
            prop_assert!(!handle_checked(&mut fleet, datagram)?);
        }
    }

    // One datagram that is corrupted on its way could name a revision that was never published.
    // Passed on, it would make all instances ignore newer rows until all are restarted.
    #[test]
    fn rejects_corrupted_messages(
        changes in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>()),
            400
        )
    ) {
        let mut fleet = busy_fleet();
        let datagrams: Vec<_> = fleet.recent_datagrams.iter().cloned().collect();
        for (datagram, position, value) in &changes {
            let mut bytes = datagram.get(&datagrams).clone();
            let offset = position.index(bytes.len());
            let is_changed = bytes[offset] != *value;
            bytes[offset] = *value;
            prop_assert_eq!(handle_checked(&mut fleet, &bytes)?, !is_changed);
        }
    }
}
