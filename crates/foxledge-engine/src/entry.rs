//! The entry role: where a caller's packet goes.

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
    desks::shard_count,
    engine::FlowEngine,
    forwards::{ForwardRoute, PendingForward},
    homes::MAX_HOPS,
    packets::{DEFAULT_RETRY, not_run, unknown},
    placement::{DeskKey, shard_of},
};

impl FlowEngine {
    /// Takes a packet that the fabric handed to this instance.
    pub(crate) fn on_caller_packet(&mut self, now: ClockTime, from: SocketAddr, packet: Packet) {
        if self.list.version.revision == 0 {
            // No list means no keys and no rules: nothing could be decided, and
            // nothing here has been started.
            let outcome = if packet.ticket.is_empty() && packet.token.is_empty() {
                not_run(RefusalReason::NotReady, DEFAULT_RETRY)
            } else {
                unknown(RefusalReason::NotReady, DEFAULT_RETRY)
            };
            return self.refuse(now, from, &packet, outcome);
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
            // A poll or cancel that names no backend server reaches none.
            _ => self.counters.malformed += 1,
        }
    }

    /// Sends a packet to the backend server that its flow token names.
    ///
    /// No table is needed, so every instance continues every flow, one that was
    /// started a moment ago included.
    fn route_by_token(&mut self, now: ClockTime, from: SocketAddr, packet: Packet) {
        let token = match open_token(&self.ring, &packet.token) {
            Ok(token) => token,
            Err(_) => {
                let refusal = unknown(RefusalReason::BadToken, DEFAULT_RETRY);
                return self.refuse(now, from, &packet, refusal);
            }
        };
        if !token_fits(&token, &packet) {
            let refusal = unknown(RefusalReason::BadToken, DEFAULT_RETRY);
            return self.refuse(now, from, &packet, refusal);
        }
        if packet.kind() == PacketKind::Work && token.request != packet.request {
            // A new request in an old flow is new work.
            let packet = Packet { token: Vec::new(), ..packet };
            return self.on_caller_packet(now, from, packet);
        }
        if let Some(reason) = self.token_hindrance(&token) {
            self.counters.target_changed += 1;
            let refusal = unknown(reason, DEFAULT_RETRY);
            return self.refuse(now, from, &packet, refusal);
        }
        self.counters.by_token += 1;
        self.send_by_token(from, packet, &token);
    }

    /// Why the token's backend server can't be used, if it can't.
    fn token_hindrance(&self, token: &FlowToken) -> Option<RefusalReason> {
        let Ok(address) = token.target_address.parse::<SocketAddr>() else {
            return Some(RefusalReason::BadToken);
        };
        if !self.centre_is_reachable(&token.data_centre) {
            return Some(RefusalReason::CentreUnreachable);
        }
        if !self.options.trial.check_target_owner {
            return None;
        }
        // The address may have been given to another service's target since the
        // token was sealed. Sending there would hand a bidder's packet to a
        // stranger; one would notice answers of the wrong service.
        let (key, owner) = self.owners.get(&address)?;
        let is_same =
            key.service.as_str() == token.service && owner.incarnation == token.target_incarnation;
        if is_same { None } else { Some(RefusalReason::WrongTarget) }
    }

    fn centre_is_reachable(&self, centre: &str) -> bool {
        centre == self.me.data_centre.as_str()
            || self.view.reachable_centres.is_empty()
            || self.view.reachable_centres.iter().any(|known| known.as_str() == centre)
    }

    fn send_by_token(&mut self, from: SocketAddr, packet: Packet, token: &FlowToken) {
        let Ok(address) = token.target_address.parse::<SocketAddr>() else { return };
        let resealed = reseal_token(&self.ring, &packet.token).ok().flatten();
        self.counters.tokens_resealed += u64::from(resealed.is_some());
        let path = ReturnPath {
            caller_address: from.to_string(),
            token: resealed.unwrap_or_default(),
            by_token: true,
        };
        let Ok(return_path) = seal_path(&self.ring, &path) else { return };
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

    /// Sends a packet to the one process that issued its ticket.
    pub(crate) fn route_by_ticket(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        let ticket = match open_ticket(&self.ring, &packet.ticket) {
            Ok(ticket) => ticket,
            Err(error) => return self.refuse_ticket(now, from, &packet, &error),
        };
        if !ticket_fits(&ticket, &packet) {
            // The contents decide, so every instance gives the same verdict on
            // every copy: it can run nowhere.
            let refusal = not_run(RefusalReason::BadTicket, DEFAULT_RETRY);
            return self.refuse(now, from, &packet, refusal);
        }
        if self.is_my_ticket(&ticket) {
            return self.take_as_home(now, from, packet, hops);
        }
        if !self.options.trial.run_once {
            return self.route_by_rank(now, from, packet, hops);
        }
        // A packet that went round too often has a ticket whose address leads
        // nowhere: each forwarding would be acknowledged and go on for ever.
        if self.home_is_gone(&ticket) || hops >= MAX_HOPS {
            let refusal = unknown(RefusalReason::HomeLost, DEFAULT_RETRY);
            return self.refuse(now, from, &packet, refusal);
        }
        self.forward_to_issuer(now, from, packet, &ticket, hops);
    }

    /// Forwards a packet to the instance that issued its ticket, or to one that may reach it.
    fn forward_to_issuer(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        ticket: &Ticket,
        hops: u32,
    ) {
        let home = InstanceName::new(&ticket.home);
        let goes_round = packet.takes_resend && self.silent.is_silent(&home, now);
        let Ok(home_address) = ticket.home_address.parse() else {
            let refusal = not_run(RefusalReason::BadTicket, DEFAULT_RETRY);
            return self.refuse(now, from, &packet, refusal);
        };
        let forward = PendingForward {
            packet,
            caller: from,
            route: ForwardRoute::ByTicket { home_address },
            tried: vec![home],
            deadline: now.after(self.options.forward_wait),
            hops,
        };
        if goes_round {
            return self.go_round_silent(now, forward);
        }
        self.send_forward(home_address, forward);
    }

    /// Refuses a packet whose ticket doesn't open.
    ///
    /// A ticket under an unknown key may be good at an instance that has an
    /// older or newer list, where a copy of the packet may run. "Not run" would
    /// then be false. A wrong code under a known key opens nowhere.
    fn refuse_ticket(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: &Packet,
        error: &SealError,
    ) {
        let refusal = match error {
            SealError::UnknownKey(_) | SealError::NoKey => {
                unknown(RefusalReason::BadTicket, DEFAULT_RETRY)
            }
            SealError::InvalidMac | SealError::Malformed => {
                not_run(RefusalReason::BadTicket, DEFAULT_RETRY)
            }
        };
        self.refuse(now, from, packet, refusal);
    }

    pub(crate) fn is_my_ticket(&self, ticket: &Ticket) -> bool {
        ticket.home == self.me.name.as_str() && ticket.home_incarnation == self.me.incarnation
    }

    /// True when the process that issued the ticket is known to be no more.
    fn home_is_gone(&self, ticket: &Ticket) -> bool {
        if ticket.home == self.me.name.as_str() {
            // This is another process of the same instance.
            return true;
        }
        let Some(home) = self.view.find(&ticket.home) else { return false };
        home.incarnation > ticket.home_incarnation
            || (home.incarnation == ticket.home_incarnation
                && home.state == foxledge_core::peers::PeerState::Dead)
    }

    /// Sends a packet to the best home of its service that isn't silent.
    pub(crate) fn route_by_rank(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        let treatment = match self.decide(&packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                let refusal = self.untracked_refusal(&packet, reason);
                return self.refuse(now, from, &packet, refusal);
            }
        };
        let key = self.desk_key(&packet, &treatment);
        self.try_homes(
            now,
            &key,
            PendingForward {
                packet,
                caller: from,
                route: ForwardRoute::ByRank,
                tried: Vec::new(),
                deadline: now.after(self.options.forward_wait),
                hops,
            },
        );
    }

    /// What the rules decide for a packet that opens something.
    pub(crate) fn decide(&self, packet: &Packet) -> Result<ServeTreatment, RefusalReason> {
        let member =
            self.list.members.get(packet.member.as_str()).ok_or(RefusalReason::BadCredential)?;
        let is_vouched = member.secret.is_empty()
            || !packet.ticket.is_empty()
            || verify_credential(&member.secret, &packet.member, packet.caller, &packet.credential);
        if !is_vouched {
            return Err(RefusalReason::BadCredential);
        }
        let kind = traffic_kind(packet.work()).ok_or(RefusalReason::NoRule)?;
        let traits = FlowTraits {
            address: &packet.address,
            member: &packet.member,
            data_centre: &self.me.data_centre,
            kind,
        };
        let rule = self.index.first_match(&traits).ok_or_else(|| {
            let is_known = self
                .list
                .services
                .values()
                .any(|s| s.addresses.iter().any(|a| a.as_str() == packet.address));
            if is_known { RefusalReason::NoRule } else { RefusalReason::UnknownAddress }
        })?;
        match &rule.then {
            FlowTreatment::Deny => Err(RefusalReason::Denied),
            FlowTreatment::Serve(treatment) => Ok(treatment.clone()),
        }
    }

    /// The desk that admits the packet.
    pub(crate) fn desk_key(&self, packet: &Packet, treatment: &ServeTreatment) -> DeskKey {
        let shards = self.list.services.get(&treatment.service).map_or(1, |service| {
            shard_count(service, &self.me.data_centre, self.placement.as_ref())
        });
        DeskKey { service: treatment.service.clone(), shard: shard_of(packet.flow, shards) }
    }

    /// The refusal of a packet without a ticket.
    ///
    /// Idempotent work is tracked by no single process: a copy may run through
    /// another home while this one refuses. Only work that can't run without a
    /// ticket is truthfully called "not run".
    pub(crate) fn untracked_refusal(
        &self,
        packet: &Packet,
        reason: RefusalReason,
    ) -> foxledge_wire::flow::Refusal {
        if packet.idempotent {
            unknown(reason, DEFAULT_RETRY)
        } else {
            not_run(reason, DEFAULT_RETRY)
        }
    }
}

fn token_fits(token: &FlowToken, packet: &Packet) -> bool {
    token.address == packet.address
        && token.flow == packet.flow
        && token.caller == packet.caller
        && (token.request == packet.request || packet.kind() == PacketKind::Work)
}

fn ticket_fits(ticket: &Ticket, packet: &Packet) -> bool {
    ticket.address == packet.address
        && ticket.caller == packet.caller
        && ticket.member == packet.member
}
