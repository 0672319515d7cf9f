//! The home role: admits requests and answers duplicates.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{
    lists::ServeTreatment,
    names::{MemberName, ServiceAddress},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_policy::WorkItem;
use foxledge_wire::{
    MIN_TICKET_PADDING_BYTES,
    convert::{traffic_kind, work_kind},
    flow::{Packet, PacketKind, Refusal, RefusalReason},
};

use crate::{
    engine::FlowEngine,
    home_work::{HomeWork, RunTracking},
    ledger::{RequestKey, RequestState},
    packets::{DEFAULT_RETRY_DELAY, not_run_refusal, unknown_refusal},
};

/// The maximum time that a caller's packet may request until its deadline.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(120);
/// The time until the deadline of a packet that requests none.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_secs(2);

/// The conditions under which a request may run at this home.
#[derive(Clone, Copy, Debug)]
pub struct RunTerms {
    /// Whether "not run" is guaranteed when the request is refused.
    pub tracking: RunTracking,
    /// The time until which the request may be started.
    pub start_deadline: ClockTime,
    /// The time until which the ledger has to keep the request.
    pub expires_at: ClockTime,
}

impl FlowEngine {
    /// Handles a packet as the home of its service.
    pub(crate) fn handle_as_home(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
        hops: u32,
    ) {
        self.counters.home_taken += 1;
        if self.is_new_work(&packet)
            && let Ok(treatment) = self.decide_treatment(&packet)
            && self.forward_to_other_centre(now, caller, &packet, &treatment, hops)
        {
            return;
        }
        match packet.kind() {
            PacketKind::TicketRequest => self.grant_ticket(now, caller, &packet),
            PacketKind::Cancel => self.cancel_request(now, &packet),
            PacketKind::Work if !packet.ticket.is_empty() => {
                self.handle_ticketed_request(now, caller, packet);
            }
            PacketKind::Work if packet.idempotent || !self.options.trial.run_once => {
                self.handle_untracked_request(now, caller, packet);
            }
            // Non-idempotent work without a ticket isn't run anywhere, so that a copy at another
            // home can't run either. The caller gets a ticket instead, provided that its packet is
            // at least as large as the reply with the ticket.
            PacketKind::Work if packet.payload.len() >= MIN_TICKET_PADDING_BYTES => {
                self.grant_ticket(now, caller, &packet);
            }
            PacketKind::Work => {
                let refusal = not_run_refusal(RefusalReason::BadTicket, Duration::ZERO);
                self.send_refusal(now, caller, &packet, refusal);
            }
            _ => self.counters.malformed += 1,
        }
    }

    /// Returns true for a packet that any home may admit: it has no ticket and this home doesn't
    /// know its request.
    fn is_new_work(&self, packet: &Packet) -> bool {
        let is_opening = matches!(packet.kind(), PacketKind::TicketRequest | PacketKind::Work);
        is_opening
            && packet.ticket.is_empty()
            && self.ledger.find(&RequestKey::from_packet(packet)).is_none()
    }

    /// Handles idempotent work without a ticket.
    fn handle_untracked_request(&mut self, now: ClockTime, caller: SocketAddr, packet: Packet) {
        let key = RequestKey::from_packet(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.handle_duplicate(now, caller, &packet, state);
        }
        let terms = RunTerms {
            tracking: RunTracking::Untracked,
            start_deadline: ClockTime::MAX,
            expires_at: now.after(self.options.ledger_retention),
        };
        self.open_request(now, caller, packet, terms);
    }

    /// Handles a duplicate of a known request without starting the work again.
    pub(crate) fn handle_duplicate(
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
            RequestState::Refused(refusal) => self.send_refusal(now, caller, packet, refusal),
        }
    }

    /// Admits a new request or refuses it.
    pub(crate) fn open_request(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
        terms: RunTerms,
    ) {
        let treatment = match self.admit(now, &packet, terms.tracking) {
            Ok(treatment) => treatment,
            Err(reason) => return self.refuse_permanently(now, caller, &packet, terms, reason),
        };
        if self.ledger.is_full() {
            // The refusal isn't recorded, so a copy may be admitted later and "not run" can't be
            // guaranteed.
            let refusal = unknown_refusal(RefusalReason::Limit, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, caller, &packet, refusal);
        }
        let Some(mut work) = self.home_work(now, caller, &packet, &treatment, terms) else {
            return;
        };
        self.counters.requests_opened += 1;
        self.last_work_id += 1;
        let id = self.last_work_id;
        let item = work_item(id, &work, &packet, &treatment, terms.start_deadline);
        work.packet = Some(Box::new(packet));
        let shard = work.shard.clone();
        self.ledger.record(work.key, RequestState::Queued(id), terms.expires_at);
        match work.kind {
            TrafficKind::Feed => self.opening_feeds += 1,
            TrafficKind::Bid | TrafficKind::Upload => self.open_requests += 1,
        }
        self.works.insert(id, work);
        self.ensure_scheduler(now, &shard);
        let Some(scheduler) = self.schedulers.find(&shard) else { return };
        let effects = scheduler.submit(now, item);
        self.apply_scheduler_effects(now, &shard, effects);
    }

    /// Returns how the request is served, or the reason for its refusal.
    fn admit(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        tracking: RunTracking,
    ) -> Result<ServeTreatment, RefusalReason> {
        let treatment = self.decide_treatment(packet)?;
        if tracking == RunTracking::ByTicket && !self.has_local_target(now, packet, &treatment) {
            // The ticket was issued while a backend server was available. After the refusal the
            // caller requests another ticket, possibly of another data centre, and retries.
            return Err(RefusalReason::NoTarget);
        }
        Ok(treatment)
    }

    /// Creates the home's record of a request, without its opening packet. Returns none for an
    /// unknown kind of work.
    fn home_work(
        &self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        treatment: &ServeTreatment,
        terms: RunTerms,
    ) -> Option<HomeWork> {
        Some(HomeWork {
            key: RequestKey::from_packet(packet),
            address: self.interned_address(&packet.address, treatment),
            member: self.interned_member(&packet.member),
            shard: self.shard_key(packet, treatment),
            packet: None,
            caller,
            kind: traffic_kind(packet.work())?,
            tracking: terms.tracking,
            deadline: now.after(requested_time(packet)),
            arrived_at: now,
            expires_at: terms.expires_at,
            dispatch: 0,
        })
    }

    /// Returns the client account's name with the list's shared string, so that it is stored once
    /// per client account and not once per flow.
    fn interned_member(&self, text: &str) -> MemberName {
        let entry = self.list.members.get_key_value(text);
        entry.map_or_else(|| MemberName::new(text), |(name, _)| name.clone())
    }

    /// Returns the service address with the list's shared string.
    fn interned_address(&self, text: &str, treatment: &ServeTreatment) -> ServiceAddress {
        let service = self.list.services.get(&treatment.service);
        service
            .and_then(|service| service.addresses.iter().find(|address| address.as_str() == text))
            .map_or_else(|| ServiceAddress::new(text), ServiceAddress::clone)
    }

    /// Refuses a request and records the refusal, so that every copy is refused as well.
    ///
    /// Otherwise a new list could admit a copy that arrives a moment later, and a bid that was
    /// refused as "not run" would run.
    pub(crate) fn refuse_permanently(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        terms: RunTerms,
        reason: RefusalReason,
    ) {
        let refusal = match terms.tracking {
            RunTracking::ByTicket => not_run_refusal(reason, DEFAULT_RETRY_DELAY),
            RunTracking::Untracked => self.untracked_refusal(packet, reason),
        };
        if self.ledger.is_full() {
            let refusal = unknown_refusal(RefusalReason::Limit, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, caller, packet, refusal);
        }
        self.record_refusal(RequestKey::from_packet(packet), refusal, terms.expires_at);
        self.send_refusal(now, caller, packet, refusal);
    }

    pub(crate) fn record_refusal(
        &mut self,
        key: RequestKey,
        refusal: Refusal,
        expires_at: ClockTime,
    ) {
        if self.options.trial.remember_refusals {
            self.ledger.record(key, RequestState::Refused(refusal), expires_at);
        }
    }

    fn cancel_request(&mut self, now: ClockTime, packet: &Packet) {
        let key = RequestKey::from_packet(packet);
        let id = match self.ledger.find(&key) {
            Some(RequestState::Queued(id)) => *id,
            Some(RequestState::Dispatched { dispatch, .. }) => {
                let Some(id) = self.work_by_dispatch.get(dispatch) else { return };
                *id
            }
            _ => return,
        };
        let Some(work) = self.works.get(&id) else { return };
        let shard = work.shard.clone();
        let Some(scheduler) = self.schedulers.find(&shard) else { return };
        let effects = scheduler.cancel(now, id);
        self.apply_scheduler_effects(now, &shard, effects);
    }
}

pub(crate) fn requested_time(packet: &Packet) -> Duration {
    match packet.time_left_ms {
        0 => DEFAULT_REQUEST_TIME,
        millis => Duration::from_millis(u64::from(millis)).min(MAX_REQUEST_TIME),
    }
}

/// Creates the scheduler's work item for a request.
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

/// Returns a packet with only those fields of the opening packet that replies and tickets need.
pub(crate) fn reply_context(work: &HomeWork) -> Packet {
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
