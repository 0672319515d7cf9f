//! Relaying of callers' packets to other instances.

mod common;

use common::settled_fleet;
use foxledge_gossip::MAX_MESSAGE_BYTES;

/// Maximum size of a caller's packet, in bytes.
const LARGEST_PACKET: usize = 1_232;

// Any instance of the same data centre that has the list may receive a packet, and it arrives
// unchanged.
#[test]
fn handed_on_whole() {
    let mut fleet = settled_fleet(&[3, 3], 1);
    let packet: Vec<_> = (0..LARGEST_PACKET).map(|index| index as u8).collect();
    for _ in 0..20 {
        assert!(fleet.relay_packet(0, &packet));
    }
    fleet.run(50);
    let got = fleet.instances.iter().map(|seat| seat.relayed_packets.len());
    assert_eq!(got.sum::<usize>(), 20);
    assert!(fleet.instances[0].relayed_packets.is_empty());
    assert!(
        fleet.instances[1..3].iter().all(|seat| !seat.relayed_packets.is_empty()),
        "those nearby"
    );
    assert!(
        fleet.instances.iter().flat_map(|seat| &seat.relayed_packets).all(|got| *got == packet)
    );
    assert!(fleet.max_datagram_bytes <= MAX_MESSAGE_BYTES);
}

#[test]
fn nobody_known() {
    let mut fleet = settled_fleet(&[1], 1);
    assert!(!fleet.relay_packet(0, &[1, 2, 3]));
}
