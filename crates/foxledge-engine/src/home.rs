//! The home role: what is admitted, and what is answered to copies.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{
    lists::ServeTreatment,
    names::{MemberName, ServiceAddress},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_policy::WorkItem;
use foxledge_wire::{
    TICKET_PADDING,
    convert::{traffic_kind, work_kind},
    flow::{Packet, PacketKind, Refusal, RefusalReason},
};

use crate::{
    engine::FlowEngine,
    ledger::{RequestKey, RequestState},
    packets::{DEFAULT_RETRY, not_run, unknown},
    work::{HomeWork, RunTracking},
};

/// Longest deadline that a caller's packet may ask for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(120);
/// Deadline of a packet that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// `RunTerms` is on what terms a request may run here.
#[derive(Clone, Copy, Debug)]
pub struct RunTerms {
    /// What can be said when it is refused.
    pub tracking: RunTracking,
    /// Until when it may be started.
    pub start_deadline: ClockTime,
    /// Until when the ledger has to know it.
    pub forget_at: ClockTime,
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

    /// Takes idempotent work.
    fn take_untracked(&mut self, now: ClockTime, caller: SocketAddr, packet: Packet) {
        let key = RequestKey::of(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.take_copy(now, caller, &packet, state);
        }
        let terms = RunTerms {
            tracking: RunTracking::Untracked,
            start_deadline: ClockTime::MAX,
            forget_at: now.after(self.options.ledger_retention),
        };
        self.open_request(now, caller, packet, terms);
    }

    /// Answers a copy of a known request; it starts nothing.
    pub(crate) fn take_copy(
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

    /// Admits a request that isn't known yet, or refuses it.
    pub(crate) fn open_request(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
        terms: RunTerms,
    ) {
        let treatment = match self.admit(now, &packet, terms.tracking) {
            Ok(treatment) => treatment,
            Err(reason) => return self.refuse_for_good(now, caller, &packet, terms, reason),
        };
        if self.ledger.is_full() {
            // Nothing is recorded, so a copy may be admitted later: the home
            // can't promise that it never runs.
            let refusal = unknown(RefusalReason::Limit, DEFAULT_RETRY);
            return self.refuse(now, caller, &packet, refusal);
        }
        let Some(mut work) = self.home_work(now, caller, &packet, &treatment, terms) else {
            return;
        };
        self.counters.requests_opened += 1;
        self.last_work += 1;
        let id = self.last_work;
        let item = work_item(id, &work, &packet, &treatment, terms.start_deadline);
        work.packet = Some(Box::new(packet));
        let desk = work.desk.clone();
        self.ledger.record(work.key, RequestState::Queued(id), terms.forget_at);
        match work.kind {
            TrafficKind::Feed => self.opening_feeds += 1,
            TrafficKind::Bid | TrafficKind::Upload => self.open_requests += 1,
        }
        self.works.insert(id, work);
        self.obtain_desk(now, &desk);
        let Some(home_desk) = self.desks.find(&desk) else { return };
        let effects = home_desk.submit(now, item);
        self.carry_out(now, &desk, effects);
    }

    /// How a request is served here, or why it isn't.
    fn admit(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        tracking: RunTracking,
    ) -> Result<ServeTreatment, RefusalReason> {
        let treatment = self.decide(packet)?;
        if tracking == RunTracking::ByTicket && !self.can_serve(now, packet, &treatment) {
            // The ticket was issued while a target could serve. Its caller gets
            // another one, perhaps of another data centre, and asks anew.
            return Err(RefusalReason::NoTarget);
        }
        Ok(treatment)
    }

    /// What the home keeps of a request, without its opening packet; none of unknown work.
    fn home_work(
        &self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        treatment: &ServeTreatment,
        terms: RunTerms,
    ) -> Option<HomeWork> {
        Some(HomeWork {
            key: RequestKey::of(packet),
            address: self.shared_address(&packet.address, treatment),
            member: self.shared_member(&packet.member),
            desk: self.desk_key(packet, treatment),
            packet: None,
            caller,
            kind: traffic_kind(packet.work())?,
            tracking: terms.tracking,
            deadline: now.after(wanted_span(packet)),
            arrived: now,
            forget_at: terms.forget_at,
            dispatch: 0,
        })
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
    pub(crate) fn refuse_for_good(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        terms: RunTerms,
        reason: RefusalReason,
    ) {
        let refusal = match terms.tracking {
            RunTracking::ByTicket => not_run(reason, DEFAULT_RETRY),
            RunTracking::Untracked => self.untracked_refusal(packet, reason),
        };
        if self.ledger.is_full() {
            let refusal = unknown(RefusalReason::Limit, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        self.remember_refusal(RequestKey::of(packet), refusal, terms.forget_at);
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

/// What the desk has to know of a request.
fn work_item(
    id: u64,
    work: &HomeWork,
    packet: &Packet,
    treatment: &ServeTreatment,
    start_deadline: ClockTime,
) -> WorkItem {
    WorkItem {
        id,
        flow: packet.flow,
        member: work.member.clone(),
        kind: work.kind,
        priority: treatment.priority,
        weight: treatment.weight,
        member_limit: treatment.member_limit,
        when_full: treatment.when_full,
        idempotent: packet.idempotent,
        deadline: work.deadline,
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
