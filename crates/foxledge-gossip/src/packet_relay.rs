//! Callers' packets that an instance can't place yet.
//!
//! An instance that has just started serves on a part of a large list, until it has all of it.
//! Packets of open flows mostly name backend servers that it doesn't know; dropped, each makes its
//! caller wait for 200 ms and more. Others know where they belong. A packet travels in a message,
//! so that who gets it knows that it was handed on once, and doesn't do so again.

use foxledge_core::time::ClockTime;

use crate::{
    member::FleetMember,
    messages::{MessageBody, RelayedPacket},
};

impl FleetMember {
    /// Hands a packet to an instance that has the list; false when none is known.
    pub fn relay_packet(&mut self, now: ClockTime, packet: &[u8]) -> bool {
        let holders = self.peers.pick_list_holders(&mut self.rng, now, 0, 1);
        let holder = holders.first().and_then(|peer| peer.descriptor.as_ref()?.address());
        let Some(address) = holder else { return false };
        let packet = RelayedPacket { bytes: packet.to_vec() };
        self.send_message(address, MessageBody::RelayedPacket(packet));
        true
    }
}
