//! Slots, the short queue before them, and the end of requests.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::{Refusal, RefusalReason, RunOutcome, WorkKind};
use rand::Rng;

use super::{
    content::answer_payloads,
    dispatches::DispatchState,
    sends::refusal_of,
    state::{BackendState, WakeCause},
};

/// How long an answer is kept for resends, in milliseconds.
pub const KEEP_ANSWER_MS: u64 = 30_000;
/// Requests that may wait for each slot.
pub const QUEUE_PER_SLOT: u32 = 2;
/// How much longer an upload runs than a bid.
const UPLOAD_FACTOR: f64 = 5.0;
/// How much slower a cold server is.
const COLD_FACTOR: f64 = 5.0;

impl BackendState {
    pub(super) fn is_full(&self) -> bool {
        let room = (self.options.slots * QUEUE_PER_SLOT) as usize;
        self.running >= self.options.slots && self.queue.len() >= room
    }

    pub(super) fn queue_if_whole(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get_mut(&dispatch) else { return };
        if entry.state != DispatchState::Receiving || !entry.is_whole() {
            return;
        }
        entry.state = DispatchState::Queued;
        if self.is_full() {
            return self.refuse(now, dispatch, RefusalReason::TargetShed);
        }
        self.queue.push_back(dispatch);
        self.start_queued(now);
    }

    pub(super) fn start_queued(&mut self, now: ClockTime) {
        while self.running < self.options.slots {
            let Some(dispatch) = self.queue.pop_front() else { return };
            self.start_run(now, dispatch);
        }
    }

    fn start_run(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get_mut(&dispatch) else { return };
        if entry.deadline.is_past(now) {
            return self.refuse(now, dispatch, RefusalReason::DeadlinePassed);
        }
        entry.state = DispatchState::Running;
        let (id, work) = (entry.id(), entry.work());
        let idempotent = entry.opening.idempotent;
        self.runs.record(id, idempotent);
        self.running += 1;
        let span = self.service_time(now, work);
        self.wakes.insert((now.after(span), WakeCause::RunEnds(dispatch)));
    }

    /// Exponential around the mean, by inversion.
    fn service_time(&mut self, now: ClockTime, work: WorkKind) -> Duration {
        let mut mean_ms = self.options.work_ms as f64 * self.slow_factor;
        if work == WorkKind::Upload {
            mean_ms *= UPLOAD_FACTOR;
        }
        if !self.cold_until.is_past(now) {
            mean_ms *= COLD_FACTOR;
        }
        let uniform: f64 = self.generator.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() * mean_ms / 1000.0)
    }

    pub(super) fn end_run(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get_mut(&dispatch) else { return };
        if entry.state != DispatchState::Running {
            return;
        }
        let id = entry.id();
        let digest = entry.digest();
        let payloads = answer_payloads(&self.options.service, id.flow, id.request, digest);
        entry.state = DispatchState::Answered(payloads);
        self.running -= 1;
        self.note_end(now, dispatch);
        self.send_answer(now, dispatch, &[]);
        self.send_done(now, dispatch);
        self.start_queued(now);
    }

    pub(super) fn miss_start(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get(&dispatch) else { return };
        if !matches!(entry.state, DispatchState::Receiving | DispatchState::Queued) {
            return;
        }
        self.queue.retain(|queued| *queued != dispatch);
        self.refuse(now, dispatch, RefusalReason::DeadlinePassed);
    }

    pub(super) fn refuse(&mut self, now: ClockTime, dispatch: u64, reason: RefusalReason) {
        *self.counts.refused.entry(super::reason_word(reason)).or_default() += 1;
        let mut refusal = refusal_of(RunOutcome::NotRun, reason);
        refusal.retry_after_ms = u32::try_from(self.options.work_ms).unwrap_or(u32::MAX);
        self.end_refused(now, dispatch, refusal);
    }

    pub(super) fn end_refused(&mut self, now: ClockTime, dispatch: u64, refusal: Refusal) {
        let Some(entry) = self.entries.get_mut(&dispatch) else { return };
        let route = entry.route.clone();
        let opening = entry.opening.clone();
        let accepted = entry.accepted;
        entry.state = DispatchState::Refused(refusal);
        self.note_end(now, dispatch);
        self.send_refusal(now, &opening, &route, refusal);
        if accepted {
            self.send_done(now, dispatch);
        }
    }

    pub(super) fn note_end(&mut self, now: ClockTime, dispatch: u64) {
        if let Some(entry) = self.entries.get_mut(&dispatch) {
            entry.drop_parts();
            self.connections -= u32::from(entry.accepted);
        }
        self.last_end = now;
        self.wakes.insert((now.after_millis(KEEP_ANSWER_MS), WakeCause::Forget(dispatch)));
    }
}
