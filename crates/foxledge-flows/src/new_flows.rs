//! New flows: where their opening packets go, and when they are refused.

use std::sync::Arc;

use foxledge_core::{names::ServiceName, time::ClockTime};

use crate::{
    backends::REMOVAL_GRACE_MS,
    candidates::{FlowPlacement, NewFlow, PlacementBarrier},
    decisions::{DropReason, FlowDecision, OpenReason, RefuseReason},
    health::UnansweredPacket,
    mechanisms::RouterMechanism,
    packet::FlowPacket,
    router::FlowRouter,
};

/// Age of a first opening packet, in milliseconds, up to which a retransmission goes to the same
/// backend server.
///
/// Callers retransmit after 200 ms. After a pause of this process, the first packet and its
/// retransmissions wait in the socket and are read together. Sent to several backend servers, they
/// would open the flow twice, and the caller would mix the token of one with the sequence numbers
/// of another.
const EARLY_RETRANSMISSION_MS: u64 = 150;

impl FlowRouter {
    /// Places, refuses or drops an opening packet; `attempt` is 0 for the first one of a flow.
    pub(crate) fn handle_opening(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        attempt: u32,
    ) -> FlowDecision {
        let Some(route) = self.routes.find(&packet.key.service).cloned() else {
            return self.refuse_or_drop(now, RefuseReason::NoRoute);
        };
        if attempt > 0 {
            self.counters.retransmitted_openings += 1;
        }
        let reason = |rank, candidates| OpenReason {
            route: Arc::from(route.name.as_str()),
            route_revision: route.revision,
            attempt,
            rank,
            candidates,
            overflow_to: None,
        };
        let previous = self.openings.get(&packet.key).copied();
        if let Some(opening) = previous {
            let is_early = !opening.sent_at.after_millis(EARLY_RETRANSMISSION_MS).is_past(now);
            if is_early && self.has_mechanism(RouterMechanism::RetransmissionWindow) {
                let has_quota = self.backends.get(opening.backend).is_none_or(|backend| {
                    self.has_cold_quota(now, backend, self.cold_quota(&backend.service))
                });
                if !has_quota {
                    return FlowDecision::Drop(DropReason::ColdLimit);
                }
                self.record_cold_flow(now, opening.backend);
                return FlowDecision::Open { backend: opening.backend, reason: reason(None, 1) };
            }
            self.openings.remove(&packet.key);
            self.count_remote_timeout(opening.backend);
            self.observe_health(now, opening.backend, |health, trial_delay_ms| {
                health.on_unanswered(
                    now,
                    opening.sent_at,
                    UnansweredPacket::Opening,
                    trial_delay_ms,
                )
            });
        }
        let service = route.service_for(&packet.key).clone();
        let unresponsive_backend = previous.map(|opening| opening.backend);
        if previous.is_none()
            && let Some(reason) = self.load_refusal(now, packet, &route, &service)
        {
            return FlowDecision::Refuse(reason);
        }
        let flow =
            NewFlow { key: &packet.key, route: &route, service: &service, unresponsive_backend };
        let FlowPlacement { choice, candidates, barrier, overflow_to } =
            self.place_flow(now, &flow);
        let Some((index, rank)) = choice else {
            return self.refuse_without_backend(now, &service, barrier);
        };
        self.record_cold_flow(now, index);
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

    /// Refuses an opening packet of a service without a usable backend server.
    ///
    /// The entries of backend servers expire while the store is unreachable, and are written again
    /// within about two seconds after it recovers. An instance that started in between has never
    /// seen them. As a refusal is final for the caller, the packet is dropped during that time, and
    /// a retransmission may find the missing entries.
    fn refuse_without_backend(
        &self,
        now: ClockTime,
        service: &ServiceName,
        barrier: Option<PlacementBarrier>,
    ) -> FlowDecision {
        if let Some(barrier) = barrier {
            return self.refuse_or_drop(now, RefuseReason::from_barrier(barrier));
        }
        let is_unlisted = self.backends.service_indexes(service).is_empty();
        let is_list_incomplete = self
            .first_confirmed_at
            .is_none_or(|at| !at.after_millis(REMOVAL_GRACE_MS).is_past(now));
        if is_unlisted && is_list_incomplete {
            return FlowDecision::Drop(DropReason::MaybeStale);
        }
        self.refuse_or_drop(now, RefuseReason::NoBackend)
    }

    /// Counts a new flow against the quota of its backend server while that is cold.
    fn record_cold_flow(&mut self, now: ClockTime, index: usize) {
        if let Some(backend) = self.backends.get_mut(index).filter(|one| one.is_cold(now)) {
            backend.cold_flows.record_flow(now);
        }
    }

    /// Counts an unanswered opening if its backend server is in another data centre.
    fn count_remote_timeout(&mut self, index: usize) {
        let backend = self.backends.get(index);
        if backend.is_some_and(|backend| backend.data_centre != self.options.data_centre) {
            self.remote_timeouts = self.remote_timeouts.saturating_add(1);
        }
    }

    /// Refuses an opening packet, or drops it while the list may be out of date.
    ///
    /// A refusal is final for the caller, so an instance refuses only when the store has recently
    /// confirmed that its list is the newest. Otherwise it drops the packet: a retransmission may
    /// find the entry that is missing here, or may already have opened the flow at another
    /// instance.
    fn refuse_or_drop(&self, now: ClockTime, reason: RefuseReason) -> FlowDecision {
        match self.list_doubt(now) {
            Some(doubt) => FlowDecision::Drop(doubt),
            None => FlowDecision::Refuse(reason),
        }
    }

    /// Returns why the list may not be the newest, or `None` when it is confirmed.
    pub(crate) fn list_doubt(&self, now: ClockTime) -> Option<DropReason> {
        let Some(confirmed) = self.confirmed_at else { return Some(DropReason::NoList) };
        let is_old = confirmed.after_millis(self.options.max_list_age_ms).is_past(now);
        (self.is_awaiting_confirmation || self.is_catching_up || is_old)
            .then_some(DropReason::MaybeStale)
    }
}
