//! Forwarding to homes: the next one when one is silent.

use std::net::SocketAddr;

use foxledge_core::{names::InstanceName, peers::PeerInfo, time::ClockTime};
use foxledge_wire::flow::{
    Forward, ForwardAck, Packet, PacketKind, RefusalReason, peer_datagram::Body,
};

use crate::{
    effects::EnginePhase,
    engine::FlowEngine,
    forwards::{ForwardRoute, PendingForward},
    packets::{DEFAULT_RETRY_DELAY, reply_to, unknown_refusal},
    placement::ShardKey,
};

/// Forwardings after which a packet is taken where it is.
///
/// Two instances with different views may each think the other is the home.
/// Without the bound a packet would circle between them; one would notice peer
/// traffic that grows while nothing is admitted.
pub(crate) const MAX_HOPS: u32 = 3;

/// Sends of a ticketed packet to the ticket's home before it counts as lost.
const MAX_TICKET_FORWARDS: usize = 3;

/// Attempt of a caller at which a home that can't be reached is final.
const MAX_RESEND_ATTEMPT: u32 = 4;

impl FlowEngine {
    /// Goes on to the next home that hasn't been tried; the last resort is here.
    pub(crate) fn forward_to_next_home(
        &mut self,
        now: ClockTime,
        key: &ShardKey,
        mut forward: PendingForward,
    ) {
        let ranked = self.placement.ranked_homes(key, &self.me.name, &self.view);
        let next = ranked.into_iter().find(|peer| {
            !forward.tried_instances.contains(&peer.name)
                && !self.unresponsive_homes.contains(&peer.name, now)
        });
        let is_here = next.is_none_or(|peer| peer.name == self.me.name);
        if is_here || forward.hops >= MAX_HOPS {
            return self.handle_as_home(now, forward.caller, forward.packet, forward.hops);
        }
        let Some(peer) = next else { return };
        let (name, address) = (peer.name.clone(), peer.peer_address);
        forward.tried_instances.push(name);
        forward.ack_deadline = now.after(self.options.forward_timeout);
        self.send_forward(address, forward);
    }

    pub(crate) fn send_forward(&mut self, to: SocketAddr, forward: PendingForward) {
        self.counters.forwarded += 1;
        let message = Forward {
            forward_id: 0,
            caller_address: forward.caller.to_string(),
            packet: Some(forward.packet.clone()),
            hops: forward.hops + 1,
            entry_address: self.me.peer_address.to_string(),
            from_other_centre: forward.route == ForwardRoute::OtherCentre,
        };
        let forward_id = self.forwards.add(forward);
        self.send_peer(to, Body::Forward(Forward { forward_id, ..message }));
    }

    /// Goes on with forwardings that no home acknowledged.
    pub(crate) fn retry_forwards(&mut self, now: ClockTime) {
        while let Some(forward) = self.forwards.pop_expired(now) {
            self.counters.forward_silent += 1;
            match forward.route.clone() {
                ForwardRoute::ByRank => self.retry_by_rank(now, forward),
                ForwardRoute::OtherCentre => self.refuse_unreachable_centre(now, forward),
                ForwardRoute::ByTicket { home_address } => {
                    self.retry_by_ticket(now, forward, home_address);
                }
            }
        }
    }

    fn retry_by_rank(&mut self, now: ClockTime, forward: PendingForward) {
        if !self.options.trial.skip_unresponsive_homes {
            let retry = PendingForward { tried_instances: Vec::new(), ..forward };
            return self.route_by_rank(now, retry.caller, retry.packet, retry.hops);
        }
        if let Some(unresponsive) = forward.tried_instances.last() {
            self.unresponsive_homes
                .insert(unresponsive.clone(), now.after(self.options.home_backoff));
        }
        match self.decide_treatment(&forward.packet) {
            Ok(treatment) => {
                let key = self.shard_key(&forward.packet, &treatment);
                self.forward_to_next_home(now, &key, forward);
            }
            Err(reason) => {
                // A silent home may still have taken an earlier forwarding.
                let refusal = unknown_refusal(reason, DEFAULT_RETRY_DELAY);
                self.send_refusal(now, forward.caller, &forward.packet, refusal);
            }
        }
    }

    /// Tries the ticket's home again, by way of another instance if there is one.
    ///
    /// The way to the home may be cut in one place only. When it stays silent
    /// the request is given up: it may have been started, so its caller is told
    /// at once that nobody knows.
    fn retry_by_ticket(
        &mut self,
        now: ClockTime,
        mut forward: PendingForward,
        home_address: SocketAddr,
    ) {
        if let Some(unresponsive) = forward.tried_instances.last()
            && self.options.trial.skip_unresponsive_homes
        {
            self.unresponsive_homes
                .insert(unresponsive.clone(), now.after(self.options.home_backoff));
        }
        if forward.tried_instances.len() >= MAX_TICKET_FORWARDS || forward.hops > 0 {
            return self.handle_unreachable_home(now, forward.caller, &forward.packet);
        }
        let home = forward.tried_instances[0].clone();
        let relay = self.find_relay(now, &forward);
        let (name, address) = relay.unwrap_or((home, home_address));
        forward.tried_instances.push(name);
        forward.ack_deadline = now.after(self.options.forward_timeout);
        self.send_forward(address, forward);
    }

    /// Sends a packet whose ticket's home was silent a moment ago by way of another instance.
    ///
    /// Only the way from here may be cut. If the packet were given up at once, one
    /// would notice bids that end unknown though their home lives and a third
    /// instance reaches it.
    pub(crate) fn forward_via_relay(&mut self, now: ClockTime, mut forward: PendingForward) {
        match self.find_relay(now, &forward) {
            Some((name, address)) if forward.hops == 0 => {
                forward.tried_instances.push(name);
                self.send_forward(address, forward);
            }
            _ => self.handle_unreachable_home(now, forward.caller, &forward.packet),
        }
    }

    /// An instance that hasn't been tried and wasn't silent lately.
    fn find_relay(
        &self,
        now: ClockTime,
        forward: &PendingForward,
    ) -> Option<(InstanceName, SocketAddr)> {
        let can_relay = |peer: &&PeerInfo| {
            peer.state.can_be_home()
                && peer.name != self.me.name
                && !forward.tried_instances.contains(&peer.name)
                && !self.unresponsive_homes.contains(&peer.name, now)
        };
        let relay = self.view.peers.iter().find(can_relay)?;
        Some((relay.name.clone(), relay.peer_address))
    }

    /// Gives up on reaching the home of a packet's ticket.
    ///
    /// Under a cut between instances another one may still reach it, and the
    /// fabric may hand it the next copy; so the caller is asked to send again, a
    /// few times. After that its request is final: nobody knows.
    pub(crate) fn handle_unreachable_home(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
    ) {
        if packet.takes_resend && packet.attempt < MAX_RESEND_ATTEMPT {
            self.counters.resends_asked += 1;
            return self.send_data(caller, &reply_to(packet, PacketKind::Resend));
        }
        self.send_refusal(
            now,
            caller,
            packet,
            unknown_refusal(RefusalReason::HomeLost, DEFAULT_RETRY_DELAY),
        );
    }

    /// A home has the packet.
    pub(crate) fn on_forward_ack(&mut self, forward_id: u64) {
        let Some(forward) = self.forwards.acknowledge(forward_id) else { return };
        if let Some(home) = forward.tried_instances.last() {
            self.unresponsive_homes.remove(home);
        }
    }

    /// Takes a packet that another instance forwarded.
    pub(crate) fn on_forward(&mut self, now: ClockTime, from: SocketAddr, forward: Forward) {
        let Ok(caller) = forward.caller_address.parse::<SocketAddr>() else { return };
        let Some(packet) = forward.packet else { return };
        let ack = ForwardAck { forward_id: forward.forward_id };
        let entry = forward.entry_address.parse().unwrap_or(from);
        self.send_peer(entry, Body::Ack(ack));
        if !packet.ticket.is_empty() {
            return self.route_by_ticket(now, caller, packet, forward.hops);
        }
        if forward.from_other_centre {
            return self.route_by_rank(now, caller, packet, forward.hops);
        }
        // The forwarder took this instance for the home. Unless it is leaving,
        // it admits, so that a packet never circles.
        if self.phase == EnginePhase::Leaving {
            return self.route_by_rank(now, caller, packet, forward.hops);
        }
        self.handle_as_home(now, caller, packet, forward.hops);
    }
}
