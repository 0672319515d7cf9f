//! Ends of open flows whose backend server is dead.
//!
//! A caller that keeps its flow open asks on it for as long as the flow is open. Once the
//! backend server is dead, each request there fails at its deadline: what may be repeated
//! could be answered by others, and what may not is lost. Callers whose flow is ended
//! before they ask again open a new one, and lose nothing.
//!
//! A false alarm breaks a flow that lives. Each end here takes evidence of its own kind:
//!
//! | what is ended | evidence |
//! |---|---|
//! | a request that waits | its data sent thrice, and something else there unanswered, or several backend servers of its data centre silent and none seen alive since |
//! | one that may be repeated, or a flow at rest | a dead backend server ([`HealthState::is_dead`]), and another that answers this instance |
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

/// Most flows ended in one look: 2,500 a second, so that a full backend server's 2,000 take
/// less than a second, and the openings that follow come no faster than one instance of a
/// twentieth of a core sends them on.
const MOST_ENDS: usize = 50;

/// Copies of a request's data that must stay unanswered where packets are lost on all ways:
/// one more than elsewhere. With three packets in ten lost, nine in a thousand requests get
/// as far as that.
const LOSSY_COPIES: u32 = 3;

/// Backend servers of a data centre that must be silent for a flow there to be ended that is
/// alone with its own.
const CENTRE_SILENCES: usize = 4;

/// `UnansweredState` is what is known of a backend server that has left something unanswered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredState {
    silent_at: ClockTime,
    is_dead: bool,
}

impl FlowRouter {
    /// Flows whose backend server is surely dead, some at a time; they count as ended from
    /// now on.
    ///
    /// Of the requests lost to dead backend servers where callers keep their flows for
    /// requests that may not be repeated, seven in ten were asked later than a second after
    /// the death, on flows that had been at rest. Callers that wait there and may ask again
    /// do so 0.2 to 0.8 s sooner than by their next copy.
    pub fn drain_flow_resets(&mut self, now: ClockTime) -> Vec<FlowReset> {
        let mut dying = self.dead_backends.drain_due(now);
        dying.retain(|index| self.unanswered_state(now, *index).is_some_and(|known| known.is_dead));
        // What waited during a pause may hold signs of life.
        let is_sure = !self.is_catching_up && !self.is_awaiting_confirmation;
        let is_sure =
            is_sure && !self.is_lossy() && self.has_mechanism(RouterMechanism::IdleResets);
        let mut ends = Vec::new();
        for index in dying.iter().filter(|_| is_sure) {
            ends.extend(self.dead_ends_of(now, *index, MOST_ENDS - ends.len()));
        }
        dying.into_iter().for_each(|index| self.dead_backends.add(index));
        for end in &ends {
            self.end_track(now, &end.key);
        }
        ends
    }

    /// Why a flow that stalls is ended, if it is; `known` is what else was found unanswered by
    /// its backend server.
    pub(crate) fn stalled_reset_reason(
        &self,
        now: ClockTime,
        index: usize,
        stall: FlowStall,
        known: Option<UnansweredState>,
    ) -> Option<ResetReason> {
        // What is read after a pause was sent nobody knows when.
        if self.is_catching_up || !self.has_mechanism(RouterMechanism::StalledResets) {
            return None;
        }
        if self.is_lossy() && stall.retransmissions < LOSSY_COPIES {
            return None;
        }
        let Some(mut known) = known else { return self.end_in_silent_centre(now, index, stall) };
        known.is_dead &= self.has_own_way(index, known.silent_at);
        loss(now, stall, known)
    }

    /// Why a flow that is alone with its backend server is ended: nothing else was sent there, but
    /// others of its data centre are silent too, and none has answered here since.
    ///
    /// A data centre that loses its power kills more backend servers than callers have flows to
    /// each. Their requests, each the only one at its backend server, would wait for the fourth
    /// copy, 1.4 s, and often for their deadline, as the next copy comes 1.6 s later.
    fn end_in_silent_centre(
        &self,
        now: ClockTime,
        index: usize,
        stall: FlowStall,
    ) -> Option<ResetReason> {
        if !stall.is_lost || !self.has_mechanism(RouterMechanism::CentreResets) {
            return None;
        }
        let silent_backends = self.silent_around(now, index);
        let waited_ms = stall.waited_ms;
        (silent_backends >= CENTRE_SILENCES)
            .then_some(ResetReason::CentreSilent { waited_ms, silent_backends })
    }

    /// Other backend servers of a data centre that were found silent lately, here or by peers;
    /// none where one of them was seen alive since.
    fn silent_around(&self, now: ClockTime, index: usize) -> usize {
        let Some(own) = self.backends.get(index) else { return 0 };
        let is_around =
            |other: &&Backend| other.data_centre == own.data_centre && other.number != own.number;
        let around = || self.backends.iter().filter(is_around);
        let silences = around().filter_map(|other| other.health.recent_unanswered_since(now));
        let (count, first) = silences
            .fold((0, ClockTime::MAX), |(count, first), silent| (count + 1, first.min(silent)));
        let is_alive = around().any(|other| other.answered_at.is_some_and(|seen| seen > first));
        if is_alive { 0 } else { count }
    }

    fn dead_ends_of(&self, now: ClockTime, index: usize, most: usize) -> Vec<FlowReset> {
        let Some(silent_at) = self.unanswered_state(now, index).map(|known| known.silent_at) else {
            return Vec::new();
        };
        if !self.has_own_way(index, silent_at) {
            return Vec::new();
        }
        let time_of = |key: &FlowKey| self.request_time(key);
        let held = self.tracks.held_flows(now, index, time_of);
        let may_end = |flow: &OpenFlow| match flow.state {
            FlowState::Idle => true,
            FlowState::Waiting => {
                self.has_mechanism(RouterMechanism::WaitingResets) && self.may_repeat(&flow.key)
            }
        };
        let mut flows: Vec<OpenFlow> = held.filter(may_end).collect();
        // Callers that may not ask again lose most, then those that wait.
        let rank = |flow: &OpenFlow| {
            (self.may_repeat(&flow.key), flow.state == FlowState::Idle, flow.since)
        };
        flows.sort_by_key(rank);
        flows.truncate(most);
        let millis = |at: ClockTime| now.since(at).as_millis() as u64;
        let (silent_ms, end) = (millis(silent_at), |flow: OpenFlow, reason| FlowReset {
            key: flow.key,
            received: flow.received,
            backend: index,
            reason,
        });
        let reason = |flow: &OpenFlow| match flow.state {
            FlowState::Idle => ResetReason::IdleAtDead { idle_ms: millis(flow.since), silent_ms },
            FlowState::Waiting => {
                ResetReason::WaitingAtDead { waited_ms: millis(flow.since), silent_ms }
            }
        };
        flows.into_iter().map(|flow| end(flow, reason(&flow))).collect()
    }

    /// True when another backend server has answered this instance since `silent_at`: the
    /// silence isn't that of its own link.
    fn has_own_way(&self, index: usize, silent_at: ClockTime) -> bool {
        let silent = self.backends.get(index).map(|backend| backend.number);
        self.backends.iter().any(|other| {
            Some(other.number) != silent && other.answered_at.is_some_and(|seen| seen > silent_at)
        })
    }

    /// Time in milliseconds after which a request on a flow is over for its caller.
    fn request_time(&self, key: &FlowKey) -> u64 {
        let told = self.routes.find(&key.service).map(|route| route.timeout_ms);
        told.filter(|millis| *millis > 0).unwrap_or(self.idle_timeout_ms)
    }

    fn may_repeat(&self, key: &FlowKey) -> bool {
        self.routes.find(&key.service).is_some_and(|route| route.idempotent)
    }

    /// What is known of a backend server's silence.
    pub(crate) fn unanswered_state(&self, now: ClockTime, index: usize) -> Option<UnansweredState> {
        let health = &self.backends.get(index)?.health;
        let silent_at = health.unanswered_since()?;
        Some(UnansweredState { silent_at, is_dead: health.is_dead(now) })
    }
}

/// Why a flow that stalls is lost, if that is sure; `known` is what else was found unanswered
/// by its backend server.
///
/// Without this, requests on flows to a dead backend server fail at their deadline,
/// though others could answer them. A false alarm breaks a flow that lives. It takes the
/// loss of an opening packet and its caller's copy, or of three copies of a flow's data,
/// of every sign of life since, and of this flow's data: of three copies, or of two if
/// the silence had lasted for [`DATA_LOSS_MS`] before or told of a death. A flow that is alone
/// with its backend server ends by the fourth copy, as the third speaks for the silence.
fn loss(now: ClockTime, stall: FlowStall, known: UnansweredState) -> Option<ResetReason> {
    let silent_ms = now.since(known.silent_at).as_millis() as u64;
    let is_old_silence = silent_ms >= stall.waited_ms + DATA_LOSS_MS;
    if !stall.is_lost && !is_old_silence && !known.is_dead {
        return None;
    }
    Some(ResetReason::BackendSilent { waited_ms: stall.waited_ms, silent_ms })
}
