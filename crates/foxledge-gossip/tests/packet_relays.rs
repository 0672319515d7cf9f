//! Relaying of callers' packets to other instances.

mod common;

use common::settled_fleet;
use foxledge_gossip::MAX_MESSAGE_BYTES;

/// Maximum size of a caller's packet, in bytes.
const MAX_PACKET_BYTES: usize = 1_232;

// Any instance of the same data centre that has the list may receive a packet, and it arrives
// unchanged.
#[test]
fn relays_packets_unchanged() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    let packet: Vec<_> = (0..MAX_PACKET_BYTES).map(|index| index as u8).collect();
    for _ in 0..20 {
        assert!(fleet.relay_packet(0, &packet));
    }
    fleet.run(50);
    let received = fleet.instances.iter().map(|instance| instance.relayed_packets.len());
    assert_eq!(received.sum::<usize>(), 20);
    assert!(fleet.instances[0].relayed_packets.is_empty());
    assert!(
        fleet.instances[1..3].iter().all(|instance| !instance.relayed_packets.is_empty()),
        "an instance of the same data centre received no packet"
    );
    assert!(
        fleet
            .instances
            .iter()
            .flat_map(|instance| &instance.relayed_packets)
            .all(|received| *received == packet)
    );
    assert!(fleet.max_datagram_bytes <= MAX_MESSAGE_BYTES);
}

#[test]
fn refuses_to_relay_without_peers() {
    let mut fleet = settled_fleet(&[1], 1);
    assert!(!fleet.relay_packet(0, &[1, 2, 3]));
}
