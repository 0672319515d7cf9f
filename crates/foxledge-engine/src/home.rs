//! The home role: tickets, admission and dispatch.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{
    lists::ServeTreatment,
    names::{MemberName, ServiceAddress, ServiceName},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_policy::WorkItem;
use foxledge_seal::seals::{open_ticket, seal_ticket};
use foxledge_wire::{
    TICKET_PADDING,
    convert::{traffic_kind, work_kind},
    flow::{Packet, PacketKind, Refusal, RefusalReason, Ticket},
};
use rand::Rng;

use crate::{
    effects::EnginePhase,
    engine::FlowEngine,
    ledger::{RequestKey, RequestState},
    packets::{DEFAULT_RETRY, not_run, reply_to, unknown},
    placement::DeskKey,
};

/// Longest deadline that a caller's packet may ask for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(120);
/// Deadline of a packet that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// `RunTracking` is what the home can say of a request that it refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunTracking {
    /// Runs through this process only, by ticket: "not run" can be said.
    ByTicket,
    /// Idempotent: a copy may run through another home.
    Untracked,
}

/// `HomeWork` is one request or feed that was opened at this home.
#[derive(Debug)]
pub struct HomeWork {
    /// Which request.
    pub key: RequestKey,
    /// The service address that its caller wants.
    pub address: ServiceAddress,
    /// The member it is counted for.
    pub member: MemberName,
    /// Its desk.
    pub desk: DeskKey,
    /// The opening packet; an open feed keeps none.
    pub packet: Option<Box<Packet>>,
    /// Where its caller was last seen.
    pub caller: SocketAddr,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// What can be said when it is refused.
    pub tracking: RunTracking,
    /// When the caller gives up.
    pub deadline: ClockTime,
    /// When it arrived here.
    pub arrived: ClockTime,
    /// Until when the ledger has to know it.
    pub forget_at: ClockTime,
    /// Its present dispatch; 0 while it waits.
    pub dispatch: u64,
}

impl HomeWork {
    /// True for a long-lived connection.
    pub fn is_feed(&self) -> bool {
        self.kind == TrafficKind::Feed
    }
}

impl FlowEngine {
    /// Takes a packet as the home of its service.
    pub(crate) fn take_as_home(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        self.counters.home_taken += 1;
        if self.is_new_work(&packet)
            && let Ok(treatment) = self.decide(&packet)
            && self.send_elsewhere(now, caller, &packet, &treatment, hops)
        {
            return;
        }
        match packet.kind() {
            PacketKind::TicketRequest => self.grant_ticket(now, caller, &packet),
            PacketKind::Cancel => self.cancel_request(now, &packet),
            PacketKind::Work if !packet.ticket.is_empty() => {
                self.take_ticketed(now, caller, packet);
            }
            PacketKind::Work if packet.idempotent || !self.options.trial.run_once => {
                self.take_untracked(now, caller, packet);
            }
            // Non-idempotent work without a ticket runs nowhere, so that a copy
            // at another home can't run either. Its caller gets a ticket, if its
            // packet is large enough to be answered by one.
            PacketKind::Work if packet.payload.len() >= TICKET_PADDING => {
                self.grant_ticket(now, caller, &packet);
            }
            PacketKind::Work => {
                let refusal = not_run(RefusalReason::BadTicket, Duration::ZERO);
                self.refuse(now, caller, &packet, refusal);
            }
            _ => self.counters.malformed += 1,
        }
    }

    /// True for a packet that any home may answer: no ticket, and unknown here.
    fn is_new_work(&self, packet: &Packet) -> bool {
        let opens = matches!(packet.kind(), PacketKind::TicketRequest | PacketKind::Work);
        opens && packet.ticket.is_empty() && self.ledger.find(&RequestKey::of(packet)).is_none()
    }

    fn grant_ticket(&mut self, now: ClockTime, caller: SocketAddr, packet: &Packet) {
        let treatment = match self.decide(packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                return self.refuse(now, caller, packet, not_run(reason, DEFAULT_RETRY));
            }
        };
        if self.phase == EnginePhase::Leaving {
            let refusal = not_run(RefusalReason::Leaving, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        if !self.can_serve(now, packet, &treatment) {
            let refusal = not_run(RefusalReason::NoTarget, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        let Some(ticket) = self.make_ticket(now, packet, &treatment.service) else { return };
        let reply = Packet {
            ticket,
            time_left_ms: self.options.ticket_life.as_millis() as u32,
            parts: self.options.ticket_count,
            ..reply_to(packet, PacketKind::TicketGrant)
        };
        self.send_data(caller, &reply);
    }

    /// Seals a ticket for the packet's caller; none when no key is published.
    pub(crate) fn make_ticket(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        service: &ServiceName,
    ) -> Option<Vec<u8>> {
        let start_deadline = now.after(self.options.ticket_life);
        let ticket = Ticket {
            address: packet.address.clone(),
            service: service.to_string(),
            member: packet.member.clone(),
            caller: packet.caller,
            home: self.me.name.to_string(),
            home_incarnation: self.me.incarnation,
            serial: self.rng.random(),
            start_deadline_us: start_deadline.as_micros(),
            count: self.options.ticket_count,
            home_address: self.me.peer_address.to_string(),
        };
        let sealed = seal_ticket(&self.ring, &ticket).ok()?;
        self.tickets_until = self.tickets_until.max(start_deadline);
        self.counters.tickets_issued += 1;
        Some(sealed)
    }

    /// Takes a request by a ticket of this process: it runs here or nowhere.
    fn take_ticketed(&mut self, now: ClockTime, caller: SocketAddr, packet: Packet) {
        let key = RequestKey::of(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.take_copy(now, caller, &packet, state);
        }
        let Ok(ticket) = open_ticket(&self.ring, &packet.ticket) else { return };
        let start_deadline = ClockTime::from_micros(ticket.start_deadline_us);
        let forget_at = start_deadline.after(self.options.ledger_keep);
        if forget_at.is_past(now) {
            // The ledger may have forgotten a run of it.
            let refusal = unknown(RefusalReason::TicketExpired, DEFAULT_RETRY);
            return self.refuse(now, caller, &packet, refusal);
        }
        if start_deadline.is_past(now) && self.options.trial.run_once {
            // Not in the ledger, so it wasn't started, and it can't be any more.
            let refusal = not_run(RefusalReason::TicketExpired, Duration::ZERO);
            return self.refuse(now, caller, &packet, refusal);
        }
        let tracking = RunTracking::ByTicket;
        if !self.ledger.use_ticket(ticket.serial, ticket.count, forget_at) {
            let reason = RefusalReason::Limit;
            return self.refuse_for_good(now, caller, &packet, tracking, reason, forget_at);
        }
        self.open_request(now, caller, packet, tracking, start_deadline, forget_at);
    }

    /// Takes idempotent work.
    fn take_untracked(&mut self, now: ClockTime, caller: SocketAddr, packet: Packet) {
        let key = RequestKey::of(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.take_copy(now, caller, &packet, state);
        }
        let forget_at = now.after(self.options.ledger_keep);
        let tracking = RunTracking::Untracked;
        self.open_request(now, caller, packet, tracking, ClockTime::FAR, forget_at);
    }

    /// Answers a copy of a known request; it starts nothing.
    fn take_copy(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        state: RequestState,
    ) {
        self.counters.copies_seen += 1;
        match state {
            RequestState::Queued(work) => {
                if let Some(work) = self.works.get_mut(&work) {
                    work.caller = caller;
                }
            }
            RequestState::Dispatched { dispatch, target } => {
                self.send_to_target(now, caller, packet, dispatch, &target);
            }
            RequestState::Refused(refusal) => self.refuse(now, caller, packet, refusal),
        }
    }

    fn open_request(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
        tracking: RunTracking,
        start_deadline: ClockTime,
        forget_at: ClockTime,
    ) {
        let treatment = match self.decide(&packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                return self.refuse_for_good(now, caller, &packet, tracking, reason, forget_at);
            }
        };
        if tracking == RunTracking::ByTicket && !self.can_serve(now, &packet, &treatment) {
            // The ticket was issued while a target could serve. Its caller gets
            // another one, perhaps of another data centre, and asks anew.
            let reason = RefusalReason::NoTarget;
            return self.refuse_for_good(now, caller, &packet, tracking, reason, forget_at);
        }
        if self.ledger.is_full() {
            // Nothing is recorded, so a copy may be admitted later: the home
            // can't promise that it never runs.
            let refusal = unknown(RefusalReason::Limit, DEFAULT_RETRY);
            return self.refuse(now, caller, &packet, refusal);
        }
        let Some(kind) = traffic_kind(packet.work()) else { return };
        self.counters.requests_opened += 1;
        self.last_work += 1;
        let id = self.last_work;
        let deadline = now.after(wanted_span(&packet));
        let desk = self.desk_key(&packet, &treatment);
        let member = self.shared_member(&packet.member);
        let item = work_item(id, &packet, &treatment, kind, deadline, start_deadline, member);
        let key = RequestKey::of(&packet);
        let member = item.member.clone();
        let address = self.shared_address(&packet.address, &treatment);
        self.ledger.record(key, RequestState::Queued(id), forget_at);
        match kind {
            TrafficKind::Feed => self.opening_feeds += 1,
            TrafficKind::Bid | TrafficKind::Upload => self.open_requests += 1,
        }
        self.works.insert(
            id,
            HomeWork {
                key,
                address,
                member,
                desk: desk.clone(),
                packet: Some(Box::new(packet)),
                caller,
                kind,
                tracking,
                deadline,
                arrived: now,
                forget_at,
                dispatch: 0,
            },
        );
        self.obtain_desk(now, &desk);
        let Some(home_desk) = self.desks.find(&desk) else { return };
        let effects = home_desk.offer(now, item);
        self.carry_out(now, &desk, effects);
    }

    /// The member's name, sharing the list's text: one copy per member, not per flow.
    fn shared_member(&self, text: &str) -> MemberName {
        let known = self.list.members.get_key_value(text);
        known.map_or_else(|| MemberName::new(text), |(name, _)| name.clone())
    }

    /// The service address, sharing the list's text.
    fn shared_address(&self, text: &str, treatment: &ServeTreatment) -> ServiceAddress {
        let service = self.list.services.get(&treatment.service);
        service
            .and_then(|service| service.addresses.iter().find(|known| known.as_str() == text))
            .map_or_else(|| ServiceAddress::new(text), ServiceAddress::clone)
    }

    /// Refuses a request and remembers it, so that no copy is decided otherwise.
    ///
    /// A new list could let a copy in that arrives a moment later. Its caller
    /// had been told "not run"; one would notice a refused bid that ran.
    fn refuse_for_good(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        tracking: RunTracking,
        reason: RefusalReason,
        forget_at: ClockTime,
    ) {
        let refusal = match tracking {
            RunTracking::ByTicket => not_run(reason, DEFAULT_RETRY),
            RunTracking::Untracked => self.untracked_refusal(packet, reason),
        };
        if self.ledger.is_full() {
            let refusal = unknown(RefusalReason::Limit, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        self.remember_refusal(RequestKey::of(packet), refusal, forget_at);
        self.refuse(now, caller, packet, refusal);
    }

    pub(crate) fn remember_refusal(
        &mut self,
        key: RequestKey,
        refusal: Refusal,
        forget_at: ClockTime,
    ) {
        if self.options.trial.remember_refusals {
            self.ledger.record(key, RequestState::Refused(refusal), forget_at);
        }
    }

    fn cancel_request(&mut self, now: ClockTime, packet: &Packet) {
        let key = RequestKey::of(packet);
        let id = match self.ledger.find(&key) {
            Some(RequestState::Queued(id)) => *id,
            Some(RequestState::Dispatched { dispatch, .. }) => {
                let Some(id) = self.dispatches.get(dispatch) else { return };
                *id
            }
            _ => return,
        };
        let Some(work) = self.works.get(&id) else { return };
        let desk = work.desk.clone();
        let Some(home_desk) = self.desks.find(&desk) else { return };
        let effects = home_desk.cancel(now, id);
        self.carry_out(now, &desk, effects);
    }
}

pub(crate) fn wanted_span(packet: &Packet) -> Duration {
    match packet.time_left_ms {
        0 => DEFAULT_DEADLINE,
        millis => Duration::from_millis(u64::from(millis)).min(LONGEST_DEADLINE),
    }
}

fn work_item(
    id: u64,
    packet: &Packet,
    treatment: &ServeTreatment,
    kind: TrafficKind,
    deadline: ClockTime,
    start_deadline: ClockTime,
    member: MemberName,
) -> WorkItem {
    WorkItem {
        id,
        flow: packet.flow,
        member,
        kind,
        priority: treatment.priority,
        weight: treatment.weight,
        member_limit: treatment.member_limit,
        when_full: treatment.when_full,
        idempotent: packet.idempotent,
        deadline,
        start_deadline,
    }
}

/// As much of the opening packet as replies and tickets need.
pub(crate) fn bare_packet(work: &HomeWork) -> Packet {
    Packet {
        caller: work.key.caller,
        flow: work.key.flow,
        request: work.key.request,
        address: work.address.to_string(),
        member: work.member.to_string(),
        work: work_kind(work.kind).into(),
        ..Packet::default()
    }
}
