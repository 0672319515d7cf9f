//! Forwards packets to homes and retries with other instances when a home is unresponsive.

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

/// The number of forwards after which the instance that has the packet handles it itself.
///
/// Two instances with different peer views may each consider the other the home. Without this limit
/// a packet would be forwarded between them in a loop: peer traffic would grow while nothing is
/// admitted.
pub(crate) const MAX_HOPS: u32 = 3;

/// The number of times a packet is forwarded towards its ticket's home before the home counts as
/// unreachable.
const MAX_TICKET_FORWARDS: usize = 3;

/// The caller's attempt from which an unreachable home leads to a final refusal instead of another
/// resend request.
const FINAL_ATTEMPT: u32 = 4;

impl FlowEngine {
    /// Forwards a packet to the highest-ranked home that hasn't been tried and isn't unresponsive.
    /// Handles it locally when there is no such home, when this instance is that home or when the
    /// packet has been forwarded too often.
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
        let is_local = next.is_none_or(|peer| peer.name == self.me.name);
        if is_local || forward.hops >= MAX_HOPS {
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

    /// Retries forwards that weren't acknowledged in time.
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
                // The unresponsive home may still have received the earlier forward.
                let refusal = unknown_refusal(reason, DEFAULT_RETRY_DELAY);
                self.send_refusal(now, forward.caller, &forward.packet, refusal);
            }
        }
    }

    /// Forwards a packet to its ticket's home again, through a relay if another instance is
    /// available.
    ///
    /// The link to the home may be cut at one point only. If the home remains unresponsive, the
    /// request may have been started, so it is refused at once with an unknown outcome.
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

    /// Forwards a packet through a relay because its ticket's home was recently unresponsive.
    ///
    /// Possibly only the link from this instance to the home is cut. Without a relay, requests
    /// such as bids would end with an unknown outcome although their home is alive and a third
    /// instance can reach it.
    pub(crate) fn forward_via_relay(&mut self, now: ClockTime, mut forward: PendingForward) {
        match self.find_relay(now, &forward) {
            Some((name, address)) if forward.hops == 0 => {
                forward.tried_instances.push(name);
                self.send_forward(address, forward);
            }
            _ => self.handle_unreachable_home(now, forward.caller, &forward.packet),
        }
    }

    /// Returns another instance that can be a home, hasn't been tried and isn't unresponsive.
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

    /// Handles a packet whose ticket's home can't be reached.
    ///
    /// During a partition another instance may still reach the home, and the network fabric may
    /// deliver the next copy to that instance. The caller is therefore asked to resend. From
    /// its attempt [`FINAL_ATTEMPT`] on, the request is refused with an unknown outcome.
    pub(crate) fn handle_unreachable_home(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
    ) {
        if packet.takes_resend && packet.attempt < FINAL_ATTEMPT {
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

    /// Handles the acknowledgement of a forward.
    pub(crate) fn on_forward_ack(&mut self, forward_id: u64) {
        let Some(forward) = self.forwards.acknowledge(forward_id) else { return };
        if let Some(home) = forward.tried_instances.last() {
            self.unresponsive_homes.remove(home);
        }
    }

    /// Acknowledges and handles a packet that another instance forwarded.
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
        // The sender considers this instance the home. Unless it is leaving, it admits the packet
        // here, so that no packet is forwarded in a loop.
        if self.phase == EnginePhase::Leaving {
            return self.route_by_rank(now, caller, packet, forward.hops);
        }
        self.handle_as_home(now, caller, packet, forward.hops);
    }
}
