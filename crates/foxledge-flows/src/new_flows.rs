//! New flows: where their opening packets go, and when they are refused.

use std::sync::Arc;

use foxledge_core::{names::ServiceName, time::ClockTime};

use crate::{
    backends::REMOVAL_GRACE_MS,
    candidates::{FlowBarrier, FlowPlacement, NewFlow},
    decisions::{DropReason, FlowDecision, OpenReason, RefuseReason},
    health::UnansweredPacket,
    mechanisms::RouterMechanism,
    packet::FlowPacket,
    router::FlowRouter,
};

/// A copy of an opening packet that comes sooner than this after the first, in
/// milliseconds, goes to the same backend server.
///
/// Callers send copies after 200 ms. After a freeze the first packet and its
/// copies wait in the socket together and are read at once: sent to several
/// backend servers they would open the flow twice, and the caller would mix the
/// token of one with the sequence numbers of the other.
const COPY_MS: u64 = 150;

impl FlowRouter {
    pub(crate) fn open(&mut self, now: ClockTime, packet: &FlowPacket, copy: u32) -> FlowDecision {
        let Some(route) = self.routes.find(&packet.key.service).cloned() else {
            return self.refuse(now, RefuseReason::NoRoute);
        };
        if copy > 0 {
            self.counters.retransmitted_openings += 1;
        }
        let reason = |rank, candidates| OpenReason {
            route: Arc::from(route.name.as_str()),
            route_revision: route.revision,
            attempt: copy,
            rank,
            candidates,
            overflow_to: None,
        };
        let former = self.openings.get(&packet.key).copied();
        if let Some(opening) = former {
            let is_same = !opening.sent_at.after_millis(COPY_MS).is_past(now);
            if is_same && self.has_mechanism(RouterMechanism::RetransmissionWindow) {
                if !self.count_cold(now, opening.backend) {
                    return FlowDecision::Drop(DropReason::ColdLimit);
                }
                return FlowDecision::Open { backend: opening.backend, reason: reason(None, 1) };
            }
            self.openings.remove(&packet.key);
            self.note_far_silence(opening.backend);
            self.observe_health(now, opening.backend, |health, turn_ms| {
                health.on_unanswered(now, opening.sent_at, UnansweredPacket::Opening, turn_ms)
            });
        }
        let service = route.service_for(&packet.key).clone();
        let avoided = former.map(|opening| opening.backend);
        if former.is_none()
            && let Some(reason) = self.load_refusal(now, packet, &route, &service)
        {
            return FlowDecision::Refuse(reason);
        }
        let flow = NewFlow { key: &packet.key, route: &route, service: &service, avoided };
        let FlowPlacement { choice, candidates, barrier, overflow_to } = self.place(now, &flow);
        let Some((index, rank)) = choice else {
            return self.refuse_unserved(now, &service, barrier);
        };
        self.count_cold(now, index);
        self.placement_count += 1;
        let mut group = 0;
        if let Some(backend) = self.backends.get_mut(index) {
            backend.last_placement = self.placement_count;
            group = backend.group;
            self.evacuations.record_flow(&backend.data_centre);
        }
        match self.is_catching_up {
            true => self.openings.add_untimed(now, packet.key, index, group),
            false => self.openings.add(now, packet.key, index, group),
        }
        let reason = OpenReason { overflow_to, ..reason(Some(rank), candidates.len()) };
        FlowDecision::Open { backend: index, reason }
    }

    /// Refuses an opening packet to a service without backend servers.
    ///
    /// Entries lapse while the store is away, and are back some two seconds after its
    /// return. An instance that started in between knows nothing of them, and a refusal is
    /// final: for as long, the caller's copies may find what is missing now.
    fn refuse_unserved(
        &self,
        now: ClockTime,
        service: &ServiceName,
        barrier: Option<FlowBarrier>,
    ) -> FlowDecision {
        if let Some(barrier) = barrier {
            return self.refuse(now, RefuseReason::of_barrier(barrier));
        }
        let is_unknown = self.backends.service_indexes(service).is_empty();
        let is_new = self
            .first_confirmed_at
            .is_none_or(|at| !at.after_millis(REMOVAL_GRACE_MS).is_past(now));
        if is_unknown && is_new {
            return FlowDecision::Drop(DropReason::MaybeStale);
        }
        self.refuse(now, RefuseReason::NoBackend)
    }

    /// Counts a new flow against the quota of a cold backend server; false when it has none
    /// left.
    fn count_cold(&mut self, now: ClockTime, index: usize) -> bool {
        let Some(backend) = self.backends.get_mut(index).filter(|one| one.is_cold(now)) else {
            return true;
        };
        let limits = self.services.get(&backend.service);
        let Some(quota) = limits.and_then(|limits| self.options.cold.quota(limits)) else {
            return true;
        };
        if !backend.cold_flows.has_capacity(now, quota.flows) {
            return false;
        }
        backend.cold_flows.record_flow(now);
        true
    }

    /// Counts an opening that a backend server of another data centre left unanswered.
    fn note_far_silence(&mut self, index: usize) {
        let backend = self.backends.get(index);
        if backend.is_some_and(|backend| backend.data_centre != self.options.data_centre) {
            self.remote_timeouts = self.remote_timeouts.saturating_add(1);
        }
    }

    /// Refuses an opening packet, if this instance can be sure.
    ///
    /// A refusal is final for the caller, so only an instance that has heard
    /// lately that its list is the newest refuses. Others stay silent: a copy of
    /// the packet may find what is missing here, or has found it already.
    fn refuse(&self, now: ClockTime, reason: RefuseReason) -> FlowDecision {
        match self.list_doubt(now) {
            Some(doubt) => FlowDecision::Drop(doubt),
            None => FlowDecision::Refuse(reason),
        }
    }

    /// Why this instance can't be sure that its list is the newest; none when it can.
    pub(crate) fn list_doubt(&self, now: ClockTime) -> Option<DropReason> {
        let Some(confirmed) = self.confirmed_at else { return Some(DropReason::NoList) };
        let is_old = confirmed.after_millis(self.options.max_list_age_ms).is_past(now);
        (self.is_awaiting_confirmation || self.is_catching_up || is_old)
            .then_some(DropReason::MaybeStale)
    }
}
