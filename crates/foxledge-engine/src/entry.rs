//! The entry role: routes callers' packets.

use std::net::SocketAddr;

use foxledge_core::{
    lists::{FlowTraits, FlowTreatment, ServeTreatment},
    names::InstanceName,
    time::ClockTime,
};
use foxledge_seal::{
    Error as SealError,
    seals::{open_ticket, open_token, reseal_token, seal_path},
    verify_credential,
};
use foxledge_wire::{
    convert::traffic_kind,
    flow::{FlowToken, Packet, PacketKind, RefusalReason, ReturnPath, Ticket},
};

use crate::{
    engine::FlowEngine,
    forwarding::MAX_HOPS,
    forwards::{ForwardRoute, PendingForward},
    packets::{DEFAULT_RETRY_DELAY, not_run_refusal, unknown_refusal},
    placement::{ShardKey, shard_for_flow},
    schedulers::shard_count,
};

impl FlowEngine {
    /// Routes a packet that the network fabric delivered to this instance.
    pub(crate) fn on_caller_packet(&mut self, now: ClockTime, from: SocketAddr, packet: Packet) {
        if self.list.version.revision == 0 {
            // Without a list there are no keys and no rules, so nothing can be decided. A packet
            // with neither a ticket nor a token can't have started any work yet, so "not run" is
            // true for it.
            let outcome = if packet.ticket.is_empty() && packet.token.is_empty() {
                not_run_refusal(RefusalReason::NotReady, DEFAULT_RETRY_DELAY)
            } else {
                unknown_refusal(RefusalReason::NotReady, DEFAULT_RETRY_DELAY)
            };
            return self.send_refusal(now, from, &packet, outcome);
        }
        if !packet.token.is_empty() {
            return self.route_by_token(now, from, packet);
        }
        match packet.kind() {
            PacketKind::Work | PacketKind::Cancel if !packet.ticket.is_empty() => {
                self.route_by_ticket(now, from, packet, 0);
            }
            PacketKind::Work | PacketKind::TicketRequest => {
                self.route_by_rank(now, from, packet, 0);
            }
            // Polls and cancels need a token or a ticket that identifies the backend server.
            _ => self.counters.malformed += 1,
        }
    }

    /// Sends a packet to the backend server in its flow token.
    ///
    /// The token carries all the routing state, so every instance can continue every flow,
    /// including an instance that has just started.
    fn route_by_token(&mut self, now: ClockTime, from: SocketAddr, packet: Packet) {
        let token = match open_token(&self.key_ring, &packet.token) {
            Ok(token) => token,
            Err(_) => {
                let refusal = unknown_refusal(RefusalReason::BadToken, DEFAULT_RETRY_DELAY);
                return self.send_refusal(now, from, &packet, refusal);
            }
        };
        if !token_matches(&token, &packet) {
            let refusal = unknown_refusal(RefusalReason::BadToken, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, from, &packet, refusal);
        }
        if packet.kind() == PacketKind::Work && token.request != packet.request {
            // A new request in an existing flow is admitted as new work.
            let packet = Packet { token: Vec::new(), ..packet };
            return self.on_caller_packet(now, from, packet);
        }
        if let Some(reason) = self.token_refusal_reason(&token) {
            self.counters.target_changed += 1;
            let refusal = unknown_refusal(reason, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, from, &packet, refusal);
        }
        self.counters.by_token += 1;
        self.send_by_token(from, packet, &token);
    }

    /// Returns the reason why the token's backend server can't be used, or none if it can.
    fn token_refusal_reason(&self, token: &FlowToken) -> Option<RefusalReason> {
        let Ok(address) = token.target_address.parse::<SocketAddr>() else {
            return Some(RefusalReason::BadToken);
        };
        if !self.is_centre_reachable(&token.data_centre) {
            return Some(RefusalReason::CentreUnreachable);
        }
        if !self.options.trial.check_target_owner {
            return None;
        }
        // The address may have been reassigned to a backend server of another service since the
        // token was sealed. Without this check, a bidder's packet would reach the wrong service and
        // the caller would get answers from it.
        let (key, published) = self.target_owners.get(&address)?;
        let is_same = key.service.as_str() == token.service
            && published.incarnation == token.target_incarnation;
        if is_same { None } else { Some(RefusalReason::WrongTarget) }
    }

    fn is_centre_reachable(&self, centre: &str) -> bool {
        centre == self.me.data_centre.as_str()
            || self.view.reachable_centres.is_empty()
            || self.view.reachable_centres.iter().any(|reachable| reachable.as_str() == centre)
    }

    fn send_by_token(&mut self, from: SocketAddr, packet: Packet, token: &FlowToken) {
        let Ok(address) = token.target_address.parse::<SocketAddr>() else { return };
        let resealed = reseal_token(&self.key_ring, &packet.token).ok().flatten();
        self.counters.tokens_resealed += u64::from(resealed.is_some());
        let path = ReturnPath {
            caller_address: from.to_string(),
            token: resealed.unwrap_or_default(),
            by_token: true,
        };
        let Ok(return_path) = seal_path(&self.key_ring, &path) else { return };
        let packet = Packet {
            service: token.service.clone(),
            target_incarnation: token.target_incarnation,
            dispatch: token.dispatch,
            return_path,
            token: Vec::new(),
            ticket: Vec::new(),
            credential: Vec::new(),
            ..packet
        };
        self.send_data(address, &packet);
    }

    /// Forwards a packet to the process that issued its ticket.
    pub(crate) fn route_by_ticket(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        let ticket = match open_ticket(&self.key_ring, &packet.ticket) {
            Ok(ticket) => ticket,
            Err(error) => return self.refuse_ticket(now, from, &packet, &error),
        };
        if !ticket_matches(&ticket, &packet) {
            // The result depends only on the packet's contents, so every instance refuses every
            // copy and "not run" is true.
            let refusal = not_run_refusal(RefusalReason::BadTicket, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, from, &packet, refusal);
        }
        if self.is_own_ticket(&ticket) {
            return self.handle_as_home(now, from, packet, hops);
        }
        if !self.options.trial.run_once {
            return self.route_by_rank(now, from, packet, hops);
        }
        // A packet that has been forwarded this often has a ticket with a wrong home address: each
        // forward would be acknowledged and forwarded again without end.
        if self.is_home_gone(&ticket) || hops >= MAX_HOPS {
            let refusal = unknown_refusal(RefusalReason::HomeLost, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, from, &packet, refusal);
        }
        self.forward_to_issuer(now, from, packet, &ticket, hops);
    }

    /// Forwards a packet to the instance that issued its ticket, or to a relay while that instance
    /// is unresponsive.
    fn forward_to_issuer(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        ticket: &Ticket,
        hops: u32,
    ) {
        let home = InstanceName::new(&ticket.home);
        let needs_relay = packet.takes_resend && self.unresponsive_homes.contains(&home, now);
        let Ok(home_address) = ticket.home_address.parse() else {
            let refusal = not_run_refusal(RefusalReason::BadTicket, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, from, &packet, refusal);
        };
        let forward = PendingForward {
            packet,
            caller: from,
            route: ForwardRoute::ByTicket { home_address },
            tried_instances: vec![home],
            ack_deadline: now.after(self.options.forward_timeout),
            hops,
        };
        if needs_relay {
            return self.forward_via_relay(now, forward);
        }
        self.send_forward(home_address, forward);
    }

    /// Refuses a packet whose ticket can't be opened.
    ///
    /// A ticket under an unknown key may still be valid at an instance with an older or newer list,
    /// where a copy of the packet may run, so "not run" could be false. An invalid MAC under a
    /// known key is invalid at every instance.
    fn refuse_ticket(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: &Packet,
        error: &SealError,
    ) {
        let refusal = match error {
            SealError::UnknownKey(_) | SealError::NoKey => {
                unknown_refusal(RefusalReason::BadTicket, DEFAULT_RETRY_DELAY)
            }
            SealError::InvalidMac | SealError::Malformed => {
                not_run_refusal(RefusalReason::BadTicket, DEFAULT_RETRY_DELAY)
            }
        };
        self.send_refusal(now, from, packet, refusal);
    }

    pub(crate) fn is_own_ticket(&self, ticket: &Ticket) -> bool {
        ticket.home == self.me.name.as_str() && ticket.home_incarnation == self.me.incarnation
    }

    /// Returns true when the process that issued the ticket is known to have ended.
    fn is_home_gone(&self, ticket: &Ticket) -> bool {
        if ticket.home == self.me.name.as_str() {
            // The ticket is from an earlier process of this instance.
            return true;
        }
        let Some(home) = self.view.find(&ticket.home) else { return false };
        home.incarnation > ticket.home_incarnation
            || (home.incarnation == ticket.home_incarnation
                && home.state == foxledge_core::peers::PeerState::Dead)
    }

    /// Forwards a packet to the highest-ranked home of its service that isn't unresponsive.
    pub(crate) fn route_by_rank(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        let treatment = match self.decide_treatment(&packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                let refusal = self.untracked_refusal(&packet, reason);
                return self.send_refusal(now, from, &packet, refusal);
            }
        };
        let key = self.shard_key(&packet, &treatment);
        self.forward_to_next_home(
            now,
            &key,
            PendingForward {
                packet,
                caller: from,
                route: ForwardRoute::ByRank,
                tried_instances: Vec::new(),
                ack_deadline: now.after(self.options.forward_timeout),
                hops,
            },
        );
    }

    /// Checks the caller's credential and returns how the rules serve a packet that opens new work.
    pub(crate) fn decide_treatment(
        &self,
        packet: &Packet,
    ) -> Result<ServeTreatment, RefusalReason> {
        let member =
            self.list.members.get(packet.member.as_str()).ok_or(RefusalReason::BadCredential)?;
        let has_valid_credential = member.secret.is_empty()
            || !packet.ticket.is_empty()
            || verify_credential(&member.secret, &packet.member, packet.caller, &packet.credential);
        if !has_valid_credential {
            return Err(RefusalReason::BadCredential);
        }
        let kind = traffic_kind(packet.work()).ok_or(RefusalReason::NoRule)?;
        let traits = FlowTraits {
            address: &packet.address,
            member: &packet.member,
            data_centre: &self.me.data_centre,
            kind,
        };
        let rule = self.rule_index.first_match(&traits).ok_or_else(|| {
            let is_known_address = self
                .list
                .services
                .values()
                .any(|s| s.addresses.iter().any(|a| a.as_str() == packet.address));
            if is_known_address { RefusalReason::NoRule } else { RefusalReason::UnknownAddress }
        })?;
        match &rule.then {
            FlowTreatment::Deny => Err(RefusalReason::Denied),
            FlowTreatment::Serve(treatment) => Ok(treatment.clone()),
        }
    }

    /// Returns the shard whose scheduler admits the packet.
    pub(crate) fn shard_key(&self, packet: &Packet, treatment: &ServeTreatment) -> ShardKey {
        let shards = self.list.services.get(&treatment.service).map_or(1, |service| {
            shard_count(service, &self.me.data_centre, self.placement.as_ref())
        });
        ShardKey { service: treatment.service.clone(), shard: shard_for_flow(packet.flow, shards) }
    }

    /// Returns the refusal of a packet without a ticket.
    ///
    /// No single process tracks idempotent work: a copy may run through another home while this one
    /// refuses it. "Not run" is guaranteed only for work that can't run without a ticket.
    pub(crate) fn untracked_refusal(
        &self,
        packet: &Packet,
        reason: RefusalReason,
    ) -> foxledge_wire::flow::Refusal {
        if packet.idempotent {
            unknown_refusal(reason, DEFAULT_RETRY_DELAY)
        } else {
            not_run_refusal(reason, DEFAULT_RETRY_DELAY)
        }
    }
}

fn token_matches(token: &FlowToken, packet: &Packet) -> bool {
    token.address == packet.address
        && token.flow == packet.flow
        && token.caller == packet.caller
        && (token.request == packet.request || packet.kind() == PacketKind::Work)
}

fn ticket_matches(ticket: &Ticket, packet: &Packet) -> bool {
    ticket.address == packet.address
        && ticket.caller == packet.caller
        && ticket.member == packet.member
}
