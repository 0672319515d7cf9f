//! Responses of targets to dispatches, and timeouts without a response.

use std::sync::Arc;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};

use crate::{
    dispatches::{CallerState, DispatchPhase, RunningDispatch, SlotState},
    effects::{RefuseReason, RunState, SchedulerEffect, TargetLoad, TargetSignal},
    health::HealthDecision,
    scheduler::ShardScheduler,
};

// The age, in multiples of the mean run time, from which a request is presumed to have ended: with
// exponential run times, one in 3,000 is longer.
const PRESUMED_END_RUN_TIMES: u32 = 8;

impl ShardScheduler {
    /// Handles the state of a dispatch reported by its target, with the load of the target if
    /// the response carries it.
    ///
    /// A response to a dispatch that is no longer in the table is ignored.
    pub fn on_signal(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        signal: TargetSignal,
        load: Option<TargetLoad>,
    ) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let Some(target_id) = self.dispatches.get(dispatch).map(|running| running.target_id) else {
            return effects;
        };
        if let Some(entry) = self.table.get_mut(target_id) {
            entry.health.on_response(now);
        }
        if let Some(load) = load {
            self.apply_load_report(now, target_id, load, &mut effects);
        }
        match signal {
            TargetSignal::Accepted => self.on_accepted(now, dispatch),
            TargetSignal::Ended => self.on_ended(now, dispatch),
            TargetSignal::NotRun(reason) => self.on_not_run(now, dispatch, reason, &mut effects),
            TargetSignal::Unknown => self.on_unknown(now, dispatch, &mut effects),
        }
        self.dispatch_queued(now, &mut effects);
        effects
    }

    /// Handles the dispatches whose next deadline has passed.
    pub(crate) fn handle_due_dispatches(
        &mut self,
        now: ClockTime,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        for dispatch in self.dispatches.due_dispatches(now) {
            let Some(running) = self.dispatches.get(dispatch) else {
                continue;
            };
            if running.lease_deadline.is_past(now) {
                self.expire_lease(dispatch, effects);
            } else if running.is_overdue(now) {
                self.send_cancel(now, dispatch, CallerState::Overdue, effects);
            } else if running.unanswered_sends >= self.options.max_retransmissions {
                self.record_loss(now, running.target_id, effects);
                self.on_lost(now, dispatch, effects);
            } else if running.phase == DispatchPhase::Sent && running.resend_deadline.is_past(now) {
                // This process was suspended for a long time. The target may no longer know
                // the dispatch and would run a retransmission as new work, so none is sent.
                // The loss doesn't count against the target either.
                self.on_lost(now, dispatch, effects);
            } else {
                self.retransmit(now, dispatch, effects);
            }
        }
    }

    fn on_accepted(&mut self, now: ClockTime, dispatch: u64) {
        let options = &self.options;
        self.dispatches.update(dispatch, |running| {
            if running.caller == CallerState::Answered {
                return;
            }
            let kind = running.kind();
            if kind == TrafficKind::Feed {
                // The deadline of a feed applies to its opening; then it stays open.
                running.lease_deadline = ClockTime::MAX;
            }
            running.resend_deadline = now.after(options.resend_window);
            running.phase = DispatchPhase::Accepted;
            running.unanswered_sends = 0;
            running.next_check_at = options.next_check_at(now, kind);
        });
    }

    fn on_ended(&mut self, now: ClockTime, dispatch: u64) {
        let Some(running) = self.remove_dispatch(dispatch) else {
            return;
        };
        let ratio = self.times.record_run(running.kind(), running.elapsed(now));
        if !running.pending.item.is_feed()
            && let Some(entry) = self.table.get_mut(running.target_id)
        {
            entry.health.on_run_ended(now, ratio);
        }
        if running.caller != CallerState::Answered {
            self.counters.ended += 1;
            self.remove_outstanding(&running.pending.item);
        }
    }

    fn on_not_run(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let Some(running) = self.remove_dispatch(dispatch) else {
            return;
        };
        if reason == RefuseReason::TargetShed
            && let Some(entry) = self.table.get_mut(running.target_id)
        {
            entry.health.on_shed(now, self.times.mean_slot_time(), &self.options);
        }
        if reason == RefuseReason::WrongTarget {
            self.record_loss(now, running.target_id, effects);
        }
        if reason == RefuseReason::WrongTarget && !self.proves_not_run(now, &running) {
            self.retry_or_refuse_unknown(now, running, RefuseReason::TargetLost, effects);
            return;
        }
        match running.caller {
            CallerState::Answered => {}
            CallerState::Cancelled => {
                let reason = RefuseReason::Cancelled;
                self.refuse(&running.pending, RunState::NotRun, reason, effects);
            }
            CallerState::Overdue => {
                let reason = RefuseReason::DeadlinePassed;
                self.refuse(&running.pending, RunState::NotRun, reason, effects);
            }
            CallerState::Waiting => self.retry_or_refuse(now, running, reason, effects),
        }
    }

    // Returns whether the response "wrong target" proves that the work item did not run.
    //
    // A new process at the same address answers "wrong target" to a retransmission, although
    // the former process may have run the work. The response is therefore a proof only if one
    // packet was sent, and so recently that no process can have been replaced in between.
    // Otherwise the run state is unknown.
    fn proves_not_run(&self, now: ClockTime, running: &RunningDispatch) -> bool {
        let replaceable_at = running.sent_at.after(self.options.ack_timeout);
        running.send_count == 1
            && running.phase == DispatchPhase::Sent
            && !replaceable_at.is_past(now)
    }

    fn on_unknown(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        if let Some(running) = self.remove_dispatch(dispatch) {
            self.retry_or_refuse_unknown(now, running, RefuseReason::TargetLost, effects);
        }
    }

    // The work item may have run, so only an idempotent one is retried.
    fn retry_or_refuse_unknown(
        &mut self,
        now: ClockTime,
        running: RunningDispatch,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let pending = &running.pending;
        match running.caller {
            CallerState::Answered => {}
            CallerState::Cancelled => {
                let reason = RefuseReason::Cancelled;
                self.refuse(pending, RunState::Unknown, reason, effects);
            }
            CallerState::Overdue => {
                let reason = RefuseReason::DeadlinePassed;
                self.refuse(pending, RunState::Unknown, reason, effects);
            }
            CallerState::Waiting
                if pending.item.idempotent && self.try_acquire_retry(now, &running) =>
            {
                self.requeue(running, RunState::Unknown);
            }
            CallerState::Waiting => self.refuse(pending, RunState::Unknown, reason, effects),
        }
    }

    // The work item did not run, so it may be retried even if it is not idempotent.
    fn retry_or_refuse(
        &mut self,
        now: ClockTime,
        running: RunningDispatch,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        if reason != RefuseReason::DeadlinePassed && self.try_acquire_retry(now, &running) {
            self.requeue(running, RunState::NotRun);
            return;
        }
        self.refuse(&running.pending, RunState::NotRun, reason, effects);
    }

    // Takes a retry out of the budget if the work item may be sent to another target.
    fn try_acquire_retry(&mut self, now: ClockTime, running: &RunningDispatch) -> bool {
        let attempts = running.pending.tried_targets.len() as u32 + 1;
        // The opening packet of accepted work is available for a retry only if the state of
        // accepted work is queried.
        let has_packet = running.phase == DispatchPhase::Sent || self.options.checks_requests();
        let in_time = !running.pending.latest_start.is_past(now);
        attempts < self.options.max_attempts
            && has_packet
            && in_time
            && self.table.has_open_target()
            && self.budget.withdraw()
    }

    fn requeue(&mut self, running: RunningDispatch, run_state: RunState) {
        let mut pending = running.pending;
        pending.run_state = pending.run_state.max(run_state);
        pending.tried_targets.push(running.target_id);
        self.queue_of(pending.item.kind).push_front(pending);
    }

    /// Cancels a dispatch at its target, because the caller no longer waits for it.
    ///
    /// For work in the target's own queue, the target then reports at once that it did not
    /// run, and not only when its turn comes.
    pub(crate) fn send_cancel(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        caller: CallerState,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let next_check_at = now.after(self.options.ack_timeout);
        self.dispatches.update(dispatch, |running| {
            running.caller = caller;
            running.unanswered_sends = 0;
            running.send_count += 1;
            running.next_check_at = next_check_at;
            let target = Arc::clone(&running.spec);
            effects.push(SchedulerEffect::Cancel { dispatch, target });
        });
    }

    // Sends a packet of the same dispatch to the same target again. The target ignores
    // duplicates of a dispatch, so this is safe for non-idempotent work.
    fn retransmit(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let next_check_at = now.after(self.options.ack_timeout);
        self.dispatches.update(dispatch, |running| {
            running.unanswered_sends += 1;
            running.send_count += 1;
            running.next_check_at = next_check_at;
            let target = Arc::clone(&running.spec);
            let work = running.pending.item.id;
            effects.push(match running.caller {
                CallerState::Waiting if running.phase == DispatchPhase::Accepted => {
                    SchedulerEffect::Check { work, dispatch, target }
                }
                CallerState::Waiting => SchedulerEffect::Resend { work, dispatch, target },
                CallerState::Cancelled | CallerState::Overdue | CallerState::Answered => {
                    SchedulerEffect::Cancel { dispatch, target }
                }
            });
        });
        self.counters.resent += 1;
    }

    // Handles a dispatch whose target stopped responding. The work item is retried or refused
    // at once; the slot stays occupied for a while, as the work may still be running.
    fn on_lost(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(mut running) = self.remove_dispatch(dispatch) else {
            return;
        };
        if running.caller == CallerState::Answered {
            return;
        }
        // The caller of an open feed notices the loss itself and reopens the feed. Opening it
        // at another target on its behalf would deliver the feed twice.
        if running.pending.item.is_feed() && running.phase == DispatchPhase::Accepted {
            self.counters.ended += 1;
            self.remove_outstanding(&running.pending.item);
            effects.push(SchedulerEffect::Discard { work: running.pending.item.id });
            return;
        }
        effects.push(SchedulerEffect::Cancel { dispatch, target: Arc::clone(&running.spec) });
        let lost = running.clone();
        self.retry_or_refuse_unknown(now, lost, RefuseReason::TargetLost, effects);
        running.caller = CallerState::Answered;
        running.next_check_at = ClockTime::MAX;
        running.lease_deadline = running.lease_deadline.min(now.after(self.options.lost_slot_hold));
        if running.slot == SlotState::Held {
            self.table.occupy(running.target_id, running.kind());
            self.dispatches.insert(dispatch, running);
        }
    }

    // Releases the slot once the caller's deadline and the grace time have passed. Otherwise
    // work whose final response was lost would occupy it indefinitely.
    fn expire_lease(&mut self, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(running) = self.remove_dispatch(dispatch) else {
            return;
        };
        if running.caller == CallerState::Answered {
            return;
        }
        effects.push(SchedulerEffect::Cancel { dispatch, target: Arc::clone(&running.spec) });
        let reason = RefuseReason::DeadlinePassed;
        self.refuse(&running.pending, RunState::Unknown, reason, effects);
    }

    /// Releases the slots of old requests whose target reports fewer busy slots than are
    /// counted.
    ///
    /// If the report of an end is lost, the slot would stay occupied until the caller's
    /// deadline, and a loss of one datagram in a hundred would cost more than half of all
    /// slots. A wrong load report costs little: a target without capacity sheds the surplus
    /// work, which is then "not run".
    pub(crate) fn reclaim_ended_slots(&mut self, now: ClockTime, target_id: u64, load: TargetLoad) {
        let Some(entry) = self.table.get_mut(target_id) else {
            return;
        };
        let busy = load.busy_slots + load.queued;
        let excess = entry.ledger.busy().saturating_sub(busy);
        // The report of a target that was observed to be slow or to shed isn't trusted.
        let is_trusted = entry.health.trusted_report(now, &self.options).is_some();
        if excess == 0 || !is_trusted || !entry.health.try_start_reconcile(now) {
            return;
        }
        let mean_run_time =
            self.times.mean_slot_time().mul_f64(entry.health.run_time_ratio().max(1.0));
        let min_age_us =
            self.options.presumed_end_age.max(mean_run_time * PRESUMED_END_RUN_TIMES).as_micros();
        let sent_before = ClockTime::from_micros(now.as_micros().saturating_sub(min_age_us as u64));
        let old_requests = self.dispatches.requests_sent_before(target_id, sent_before);
        for dispatch in old_requests.into_iter().take(excess as usize) {
            self.dispatches.update(dispatch, |running| running.slot = SlotState::Reclaimed);
            self.table.release(target_id, TrafficKind::Bid);
        }
    }

    fn record_loss(&mut self, now: ClockTime, target_id: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(entry) = self.table.get_mut(target_id) else {
            return;
        };
        if entry.health.on_loss(&self.options) == HealthDecision::Eject {
            let change = self.table.eject(now, target_id, "dispatches unanswered", &self.options);
            effects.extend(change.map(SchedulerEffect::Audit));
        }
    }

    // Removes a dispatch from the table and releases its slot.
    fn remove_dispatch(&mut self, dispatch: u64) -> Option<RunningDispatch> {
        let running = self.dispatches.remove(dispatch)?;
        if running.slot == SlotState::Held {
            self.table.release(running.target_id, running.kind());
        }
        if running.caller != CallerState::Answered {
            self.dispatch_by_work.remove(&running.pending.item.id);
        }
        Some(running)
    }
}
