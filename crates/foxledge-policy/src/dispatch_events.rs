//! What targets say of dispatches, and what happens when they say nothing.

use std::sync::Arc;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};

use crate::{
    dispatches::{CallerState, DispatchPhase, RunningDispatch, SlotHold},
    effects::{RefuseReason, RunState, SchedulerEffect, TargetLoad, TargetSignal},
    health::HealthVerdict,
    scheduler::ShardScheduler,
};

// Work that took this many usual runs has most likely ended: of exponential
// ones one in 3,000 is longer.
const PRESUMED_RUNS: u32 = 8;

impl ShardScheduler {
    /// Takes what a target said of a dispatch; a dispatch that the desk
    /// doesn't hold any more is ignored.
    pub fn on_signal(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        signal: TargetSignal,
        load: Option<TargetLoad>,
    ) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let Some(target) = self.dispatches.get(dispatch).map(|running| running.target) else {
            return effects;
        };
        if let Some(entry) = self.table.get_mut(target) {
            entry.health.on_answer(now);
        }
        if let Some(load) = load {
            self.take_load(now, target, load, &mut effects);
        }
        match signal {
            TargetSignal::Accepted => self.on_accepted(now, dispatch),
            TargetSignal::Ended => self.on_ended(now, dispatch),
            TargetSignal::NotRun(reason) => self.on_not_run(now, dispatch, reason, &mut effects),
            TargetSignal::Unknown => self.on_unknown(now, dispatch, &mut effects),
        }
        self.pump(now, &mut effects);
        effects
    }

    /// Looks at the dispatches whose deadlines have passed.
    pub(crate) fn check_dispatches(&mut self, now: ClockTime, effects: &mut Vec<SchedulerEffect>) {
        for dispatch in self.dispatches.due(now) {
            let Some(running) = self.dispatches.get(dispatch) else {
                continue;
            };
            if running.lease_deadline.is_past(now) {
                self.end_lease(dispatch, effects);
            } else if running.is_overdue(now) {
                self.tell_target(now, dispatch, CallerState::Overdue, effects);
            } else if running.unanswered >= self.options.max_retransmissions {
                self.blame(now, running.target, effects);
                self.on_lost(now, dispatch, effects);
            } else if running.phase == DispatchPhase::Sent && running.resend_deadline.is_past(now) {
                // This process was paused for long. The target may have
                // forgotten the dispatch and would run a copy as new work, so
                // it isn't asked; nor is it to blame.
                self.on_lost(now, dispatch, effects);
            } else {
                self.ask_again(now, dispatch, effects);
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
                // A feed's deadline is for its opening; it then stays open.
                running.lease_deadline = ClockTime::MAX;
            }
            running.resend_deadline = now.after(options.resend_window);
            running.phase = DispatchPhase::Accepted;
            running.unanswered = 0;
            running.check_at = options.next_check(now, kind);
        });
    }

    fn on_ended(&mut self, now: ClockTime, dispatch: u64) {
        let Some(running) = self.take_out(dispatch) else {
            return;
        };
        let ratio = self.times.on_run(running.kind(), running.run_time(now));
        if !running.pending.item.is_feed()
            && let Some(entry) = self.table.get_mut(running.target)
        {
            entry.health.on_run(now, ratio);
        }
        if running.caller != CallerState::Answered {
            self.counters.ended += 1;
            self.release_member(&running.pending.item);
        }
    }

    fn on_not_run(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let Some(running) = self.take_out(dispatch) else {
            return;
        };
        if reason == RefuseReason::TargetShed
            && let Some(entry) = self.table.get_mut(running.target)
        {
            entry.health.on_shed(now, self.times.usual_slot(), &self.options);
        }
        if reason == RefuseReason::WrongTarget {
            self.blame(now, running.target, effects);
        }
        if reason == RefuseReason::WrongTarget && !self.believes_wrong_target(now, &running) {
            self.give_up_unknown(now, running, RefuseReason::TargetLost, effects);
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

    // Another process that took the address over answers a copy by "wrong
    // target" although the former process may have run the work. So the word
    // counts only for a single sending, and only so soon after it that no
    // process can have been replaced in between; later it means "unknown".
    fn believes_wrong_target(&self, now: ClockTime, running: &RunningDispatch) -> bool {
        let replaced_by = running.sent_at.after(self.options.ack_timeout);
        running.sendings == 1 && running.phase == DispatchPhase::Sent && !replaced_by.is_past(now)
    }

    fn on_unknown(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        if let Some(running) = self.take_out(dispatch) {
            self.give_up_unknown(now, running, RefuseReason::TargetLost, effects);
        }
    }

    // The work may have run: only idempotent work goes on elsewhere.
    fn give_up_unknown(
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
            CallerState::Waiting if pending.item.idempotent && self.may_retry(now, &running) => {
                self.try_elsewhere(running, RunState::Unknown);
            }
            CallerState::Waiting => self.refuse(pending, RunState::Unknown, reason, effects),
        }
    }

    fn retry_or_refuse(
        &mut self,
        now: ClockTime,
        running: RunningDispatch,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        if reason != RefuseReason::DeadlinePassed && self.may_retry(now, &running) {
            self.try_elsewhere(running, RunState::NotRun);
            return;
        }
        self.refuse(&running.pending, RunState::NotRun, reason, effects);
    }

    fn may_retry(&mut self, now: ClockTime, running: &RunningDispatch) -> bool {
        let tries = running.pending.tried.len() as u32 + 1;
        // The opening packet of accepted work is only kept where it is asked about.
        let is_kept = running.phase == DispatchPhase::Sent || self.options.checks_runs();
        let in_time = !running.pending.start_by.is_past(now);
        tries < self.options.max_attempts
            && is_kept
            && in_time
            && self.table.takes_work()
            && self.budget.spend()
    }

    fn try_elsewhere(&mut self, running: RunningDispatch, ran: RunState) {
        let mut pending = running.pending;
        pending.ran = pending.ran.max(ran);
        pending.tried.push(running.target);
        self.queue_of(pending.item.kind).push_again(pending);
    }

    /// Tells a target that nobody waits for a dispatch any more.
    ///
    /// Work that waits in the target's own queue is then known not to run at
    /// once, instead of when the target comes to it.
    pub(crate) fn tell_target(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        caller: CallerState,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let check_at = now.after(self.options.ack_timeout);
        self.dispatches.update(dispatch, |running| {
            running.caller = caller;
            running.unanswered = 0;
            running.sendings += 1;
            running.check_at = check_at;
            let target = Arc::clone(&running.spec);
            effects.push(SchedulerEffect::Cancel { dispatch, target });
        });
    }

    // Sends the same dispatch to the same target again; a copy starts nothing
    // there, so this is safe for non-idempotent work.
    fn ask_again(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let check_at = now.after(self.options.ack_timeout);
        self.dispatches.update(dispatch, |running| {
            running.unanswered += 1;
            running.sendings += 1;
            running.check_at = check_at;
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

    // The target says nothing any more. The caller is answered at once; the
    // slot stays taken for a while, as the work may still be running there.
    fn on_lost(&mut self, now: ClockTime, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(mut running) = self.take_out(dispatch) else {
            return;
        };
        if running.caller == CallerState::Answered {
            return;
        }
        // The caller of an open feed notices the silence itself and reopens it;
        // opening it elsewhere on its behalf would feed it twice.
        if running.pending.item.is_feed() && running.phase == DispatchPhase::Accepted {
            self.counters.ended += 1;
            self.release_member(&running.pending.item);
            effects.push(SchedulerEffect::Discard { work: running.pending.item.id });
            return;
        }
        effects.push(SchedulerEffect::Cancel { dispatch, target: Arc::clone(&running.spec) });
        let lost = running.clone();
        self.give_up_unknown(now, lost, RefuseReason::TargetLost, effects);
        running.caller = CallerState::Answered;
        running.check_at = ClockTime::MAX;
        running.lease_deadline = running.lease_deadline.min(now.after(self.options.lost_slot_hold));
        if running.hold == SlotHold::Held {
            self.table.take(running.target, running.kind());
            self.dispatches.insert(dispatch, running);
        }
    }

    // The caller's deadline and the grace have passed: the slot is given back,
    // or work whose end was lost would hold it for good.
    fn end_lease(&mut self, dispatch: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(running) = self.take_out(dispatch) else {
            return;
        };
        if running.caller == CallerState::Answered {
            return;
        }
        effects.push(SchedulerEffect::Cancel { dispatch, target: Arc::clone(&running.spec) });
        let reason = RefuseReason::DeadlinePassed;
        self.refuse(&running.pending, RunState::Unknown, reason, effects);
    }

    /// Gives the slots of old requests back when their target reports fewer in
    /// use than are counted.
    ///
    /// When an end gets lost its slot would stay taken until the caller's
    /// deadline, and one lost datagram in a hundred would cost more than half
    /// of all slots. A report that misleads costs little: a target without
    /// room sheds what is sent too much, which is then "not run".
    pub(crate) fn presume_ended(&mut self, now: ClockTime, target: u64, load: TargetLoad) {
        let Some(entry) = self.table.get_mut(target) else {
            return;
        };
        let busy = load.busy_slots + load.queued;
        let excess = entry.ledger.busy().saturating_sub(busy);
        // What was seen speaks against the report of a target that is slow or sheds.
        let is_trusted = entry.health.trusted_report(now, &self.options).is_some();
        if excess == 0 || !is_trusted || !entry.health.review_due(now) {
            return;
        }
        let usual_run = self.times.usual_slot().mul_f64(entry.health.pace().max(1.0));
        let age = self.options.presumed_end_age.max(usual_run * PRESUMED_RUNS).as_micros();
        let sent_before = ClockTime::from_micros(now.as_micros().saturating_sub(age as u64));
        let old = self.dispatches.old_requests(target, sent_before);
        for dispatch in old.into_iter().take(excess as usize) {
            self.dispatches.update(dispatch, |running| running.hold = SlotHold::Presumed);
            self.table.give(target, TrafficKind::Bid);
        }
    }

    fn blame(&mut self, now: ClockTime, target: u64, effects: &mut Vec<SchedulerEffect>) {
        let Some(entry) = self.table.get_mut(target) else {
            return;
        };
        if entry.health.on_loss(&self.options) == HealthVerdict::Eject {
            let change = self.table.eject(now, target, "dispatches unanswered", &self.options);
            effects.extend(change.map(SchedulerEffect::Audit));
        }
    }

    // Takes a dispatch out of the table and gives its slot back.
    fn take_out(&mut self, dispatch: u64) -> Option<RunningDispatch> {
        let running = self.dispatches.remove(dispatch)?;
        if running.hold == SlotHold::Held {
            self.table.give(running.target, running.kind());
        }
        if running.caller != CallerState::Answered {
            self.out.remove(&running.pending.item.id);
        }
        Some(running)
    }
}
