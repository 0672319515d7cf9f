//! Relaying of callers' packets that an instance can't map to a backend server yet.
//!
//! An instance that has just started uses the first part of a large list until it has all of it.
//! Packets of open flows mostly name backend servers that it doesn't know yet, but that its peers
//! know. Each dropped packet makes its caller wait 200 ms or more. A relayed packet travels inside
//! a message, so that its receiver knows that it was relayed and doesn't relay it again.

use foxledge_core::time::ClockTime;

use crate::{
    member::FleetMember,
    messages::{MessageBody, RelayedPacket},
};

impl FleetMember {
    /// Relays a packet to an instance that has the list; returns false if none is known.
    pub fn relay_packet(&mut self, now: ClockTime, packet: &[u8]) -> bool {
        let holders = self.peers.pick_list_holders(&mut self.rng, now, 0, 1);
        let holder = holders.first().and_then(|peer| peer.descriptor.as_ref()?.address());
        let Some(address) = holder else { return false };
        let packet = RelayedPacket { bytes: packet.to_vec() };
        self.send_message(address, MessageBody::RelayedPacket(packet));
        true
    }
}
