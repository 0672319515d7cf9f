//! Resets of open flows whose backend server is dead.
//!
//! A caller sends its requests on the same flow for as long as the flow is open. Once the backend
//! server is dead, each request fails at its deadline: an idempotent request could have been served
//! elsewhere, and another one is lost. A caller whose flow is reset before its next request opens a
//! new flow and loses nothing.
//!
//! A false alarm breaks a healthy flow. Each reset therefore requires evidence of its own:
//!
//! | reset flow | evidence |
//! |---|---|
//! | a flow with a waiting request | the request's data sent three times, and another unanswered packet to the same backend server, or several unresponsive backend servers in its data centre and no response from there since |
//! | a flow with an idempotent request, or an idle flow | a dead backend server ([`HealthState::is_dead`]), and a response from another one to this instance |
//!
//! [`HealthState::is_dead`]: crate::health::HealthState::is_dead

use foxledge_core::time::ClockTime;

use crate::{
    backends::Backend,
    decisions::{FlowReset, FlowStall, ResetReason},
    mechanisms::RouterMechanism,
    packet::FlowKey,
    router::FlowRouter,
    tracks::{DATA_LOSS_MS, FlowState, OpenFlow},
};

/// The maximum number of flows reset per check. It allows 2,500 resets a second, so that the 2,000
/// flows of a full backend server take less than a second, and the openings that follow don't
/// exceed what one instance can forward with a twentieth of a core.
const MAX_RESETS_PER_CHECK: usize = 50;

/// The number of retransmissions that must stay unanswered where packets are lost on all paths, one
/// more than elsewhere. At 30 % packet loss, nine in a thousand requests reach this number.
const MIN_LOSSY_RETRANSMISSIONS: u32 = 3;

/// The number of other unresponsive backend servers in a data centre that suffices to reset the
/// only flow of a backend server there.
const MIN_UNRESPONSIVE_BACKENDS: usize = 4;

/// Since when packets to a backend server stay unanswered, and whether it counts as dead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredState {
    unanswered_since: ClockTime,
    is_dead: bool,
}

impl FlowRouter {
    /// Returns the flows of dead backend servers that are to be reset now, a limited number at a
    /// time. They count as ended from now on.
    ///
    /// Where callers keep flows open for requests that aren't idempotent, seven in ten of the
    /// requests lost to dead backend servers were sent more than a second after the death, on flows
    /// that had been idle. Callers that wait there with an idempotent request can repeat it 0.2 to
    /// 0.8 s sooner than by a reset at their next retransmission.
    pub fn drain_flow_resets(&mut self, now: ClockTime) -> Vec<FlowReset> {
        let mut dead_backends = self.dead_backends.drain_due(now);
        dead_backends
            .retain(|index| self.unanswered_state(now, *index).is_some_and(|state| state.is_dead));
        // Packets that arrived during a pause may still prove that the backend server is alive.
        let is_certain = !self.is_catching_up && !self.is_awaiting_confirmation;
        let is_certain =
            is_certain && !self.is_lossy() && self.has_mechanism(RouterMechanism::IdleResets);
        let mut resets = Vec::new();
        for index in dead_backends.iter().filter(|_| is_certain) {
            resets.extend(self.dead_backend_resets(
                now,
                *index,
                MAX_RESETS_PER_CHECK - resets.len(),
            ));
        }
        dead_backends.into_iter().for_each(|index| self.dead_backends.add(index));
        for reset in &resets {
            self.end_track(now, &reset.key);
        }
        resets
    }

    /// Returns why a stalled flow is reset, if it is; `state` tells what else stayed unanswered at
    /// its backend server.
    pub(crate) fn stalled_reset_reason(
        &self,
        now: ClockTime,
        index: usize,
        stall: FlowStall,
        state: Option<UnansweredState>,
    ) -> Option<ResetReason> {
        // It is unknown when packets that are read after a pause were sent.
        if self.is_catching_up || !self.has_mechanism(RouterMechanism::StalledResets) {
            return None;
        }
        if self.is_lossy() && stall.retransmissions < MIN_LOSSY_RETRANSMISSIONS {
            return None;
        }
        let Some(mut state) = state else { return self.centre_reset_reason(now, index, stall) };
        state.is_dead &= self.has_response_elsewhere(index, state.unanswered_since);
        unresponsive_reset_reason(now, stall, state)
    }

    /// Returns why the only flow of a backend server is reset: no other packet was sent there, but
    /// other backend servers of its data centre are unresponsive, and none has responded to this
    /// instance since.
    ///
    /// A power failure in a data centre kills more backend servers than callers have flows to each.
    /// Their requests, each the only one at its backend server, would wait 1.4 s for the fourth
    /// transmission, and often until their deadline, as the next one follows 1.6 s later.
    fn centre_reset_reason(
        &self,
        now: ClockTime,
        index: usize,
        stall: FlowStall,
    ) -> Option<ResetReason> {
        if !stall.is_lost || !self.has_mechanism(RouterMechanism::CentreResets) {
            return None;
        }
        let silent_backends = self.unresponsive_neighbours(now, index);
        let waited_ms = stall.waited_ms;
        (silent_backends >= MIN_UNRESPONSIVE_BACKENDS)
            .then_some(ResetReason::CentreSilent { waited_ms, silent_backends })
    }

    /// Returns the number of other backend servers of a data centre that were recently found
    /// unresponsive, by this instance or by peers; 0 if one of them has responded since.
    fn unresponsive_neighbours(&self, now: ClockTime, index: usize) -> usize {
        let Some(backend) = self.backends.get(index) else { return 0 };
        let is_neighbour = |other: &&Backend| {
            other.data_centre == backend.data_centre && other.number != backend.number
        };
        let neighbours = || self.backends.iter().filter(is_neighbour);
        let unanswered = neighbours().filter_map(|other| other.health.recent_unanswered_since(now));
        let (count, first) = unanswered
            .fold((0, ClockTime::MAX), |(count, first), since| (count + 1, first.min(since)));
        let is_alive = neighbours().any(|other| {
            other.last_response_at.is_some_and(|last_response_at| last_response_at > first)
        });
        if is_alive { 0 } else { count }
    }

    fn dead_backend_resets(&self, now: ClockTime, index: usize, limit: usize) -> Vec<FlowReset> {
        let Some(unanswered_since) =
            self.unanswered_state(now, index).map(|state| state.unanswered_since)
        else {
            return Vec::new();
        };
        if !self.has_response_elsewhere(index, unanswered_since) {
            return Vec::new();
        }
        let timeout_of = |key: &FlowKey| self.request_timeout_ms(key);
        let flows = self.tracks.backend_flows(now, index, timeout_of);
        let may_reset = |flow: &OpenFlow| match flow.state {
            FlowState::Idle => true,
            FlowState::Waiting => {
                self.has_mechanism(RouterMechanism::WaitingResets) && self.is_repeatable(&flow.key)
            }
        };
        let mut flows: Vec<OpenFlow> = flows.filter(may_reset).collect();
        // Callers without idempotent requests lose most, followed by those that wait.
        let rank = |flow: &OpenFlow| {
            (self.is_repeatable(&flow.key), flow.state == FlowState::Idle, flow.since)
        };
        flows.sort_by_key(rank);
        flows.truncate(limit);
        let millis = |at: ClockTime| now.since(at).as_millis() as u64;
        let (silent_ms, reset) = (millis(unanswered_since), |flow: OpenFlow, reason| FlowReset {
            key: flow.key,
            received: flow.acknowledged,
            backend: index,
            reason,
        });
        let reason = |flow: &OpenFlow| match flow.state {
            FlowState::Idle => ResetReason::IdleAtDead { idle_ms: millis(flow.since), silent_ms },
            FlowState::Waiting => {
                ResetReason::WaitingAtDead { waited_ms: millis(flow.since), silent_ms }
            }
        };
        flows.into_iter().map(|flow| reset(flow, reason(&flow))).collect()
    }

    /// Returns true if another backend server has responded to this instance after
    /// `unanswered_since`, which excludes a failure of this instance's own link.
    fn has_response_elsewhere(&self, index: usize, unanswered_since: ClockTime) -> bool {
        let number = self.backends.get(index).map(|backend| backend.number);
        self.backends.iter().any(|other| {
            Some(other.number) != number
                && other
                    .last_response_at
                    .is_some_and(|last_response_at| last_response_at > unanswered_since)
        })
    }

    /// Returns the time, in milliseconds, after which a caller gives up a request on a flow.
    fn request_timeout_ms(&self, key: &FlowKey) -> u64 {
        let timeout_ms = self.routes.find(&key.service).map(|route| route.timeout_ms);
        timeout_ms.filter(|millis| *millis > 0).unwrap_or(self.idle_timeout_ms)
    }

    fn is_repeatable(&self, key: &FlowKey) -> bool {
        self.routes.find(&key.service).is_some_and(|route| route.idempotent)
    }

    /// Returns since when packets to a backend server stay unanswered, if any do.
    pub(crate) fn unanswered_state(&self, now: ClockTime, index: usize) -> Option<UnansweredState> {
        let health = &self.backends.get(index)?.health;
        let unanswered_since = health.unanswered_since()?;
        Some(UnansweredState { unanswered_since, is_dead: health.is_dead(now) })
    }
}

/// Returns why a stalled flow is reset, if its loss is certain; `state` tells what else stayed
/// unanswered at its backend server.
///
/// Without resets, requests on flows to a dead backend server fail at their deadline although
/// others could serve them. A false alarm breaks a healthy flow. For one to happen, all of these
/// must be lost: an opening packet and its retransmission, or three transmissions of another flow's
/// data; every response since; and this flow's data three times, or twice if the backend server had
/// been unresponsive for [`DATA_LOSS_MS`] before or counts as dead. The only flow of a backend
/// server is reset at the fourth transmission, as the third is the evidence against the backend
/// server.
fn unresponsive_reset_reason(
    now: ClockTime,
    stall: FlowStall,
    state: UnansweredState,
) -> Option<ResetReason> {
    let silent_ms = now.since(state.unanswered_since).as_millis() as u64;
    let is_old_evidence = silent_ms >= stall.waited_ms + DATA_LOSS_MS;
    if !stall.is_lost && !is_old_evidence && !state.is_dead {
        return None;
    }
    Some(ResetReason::BackendSilent { waited_ms: stall.waited_ms, silent_ms })
}
