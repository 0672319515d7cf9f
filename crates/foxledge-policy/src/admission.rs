//! Work comes in, waits and is sent out.

use std::{sync::Arc, time::Duration};

use foxledge_core::{lists::FullAction, names::MemberName, time::ClockTime, traffic::TrafficKind};
use rand::Rng;

use crate::{
    demand::WorkTier,
    dispatches::{CallerState, DispatchPhase, RunningDispatch, SlotHold},
    effects::{RefuseReason, RunState, SchedulerEffect, WorkRefusal},
    policies::TargetState,
    scheduler::{ShardScheduler, WorkClass},
    targets::{SlowWait, TargetSample, leave_out_tried},
    work::{PendingWork, WorkItem},
};

// Bounds of what callers are told to wait before they come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(5);
// When no target takes work there is no drain rate to go by.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
// Work is refused at the door when this part of its expected wait is longer
// than its time left; the estimate is rough, so only clear cases count.
const SURE_PART: f64 = 0.5;
// Usual run times that must be left at the start: of exponential ones, 98 in
// 100 then end in time.
const RESERVE_RUNS: u32 = 4;
// Part of the slots that is kept free of excess work.
const RESERVED_PART: f64 = 0.04;

impl ShardScheduler {
    /// Takes work; it is dispatched, queued or refused at once.
    pub fn submit(&mut self, now: ClockTime, item: WorkItem) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        if self.holds(&item) {
            return effects;
        }
        self.counters.offered += 1;
        let start_by = item.start_by(now, self.times.usual(item.kind) * RESERVE_RUNS);
        let tier = self.tier_of(now, &item);
        let pending = PendingWork::new(item, start_by, tier);
        let refused = self.reason_against(now, &pending);
        // Refusing counts one less for the member, so it is counted first.
        self.hold_member(&pending.item);
        if let Some(reason) = refused {
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
            return effects;
        }
        let item = &pending.item;
        let (work, kind, when_full) = (item.id, item.kind, item.when_full);
        self.enqueue(pending, &mut effects);
        self.pump(now, &mut effects);
        if when_full == FullAction::Refuse
            && let Some(pending) = self.queue_of(kind).remove(work)
        {
            let reason = RefuseReason::QueueFull;
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
        }
        effects
    }

    /// The caller gave up.
    pub fn cancel(&mut self, now: ClockTime, work: u64) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let queued = self.requests.remove(work).or_else(|| self.feeds.remove(work));
        if let Some(pending) = queued {
            let reason = RefuseReason::Cancelled;
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
            return effects;
        }
        let Some(&dispatch) = self.out.get(&work) else {
            return effects;
        };
        self.tell_target(now, dispatch, CallerState::Cancelled, &mut effects);
        effects
    }

    /// Sends out what waits while targets have room.
    pub(crate) fn pump(&mut self, now: ClockTime, effects: &mut Vec<SchedulerEffect>) {
        self.refuse_expired(now, effects);
        while self.dispatch_next(now, TrafficKind::Bid, effects) {}
        while self.dispatch_next(now, TrafficKind::Feed, effects) {}
    }

    /// Refuses what waits and can't be started any more.
    pub(crate) fn refuse_expired(&mut self, now: ClockTime, effects: &mut Vec<SchedulerEffect>) {
        let expired = self.requests.take_expired(now).into_iter();
        for pending in expired.chain(self.feeds.take_expired(now)).collect::<Vec<_>>() {
            let reason = RefuseReason::DeadlinePassed;
            self.refuse(&pending, RunState::NotRun, reason, effects);
        }
    }

    /// Gives the final answer to work that the desk holds.
    pub(crate) fn refuse(
        &mut self,
        pending: &PendingWork,
        ran: RunState,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let item = &pending.item;
        self.release_member(item);
        let ran = ran.max(pending.ran);
        *self.counters.refused.entry(reason).or_default() += 1;
        let retry_after = self.retry_after(pending, ran, reason);
        let refusal = WorkRefusal { run_state: ran, reason, retry_after };
        effects.push(SchedulerEffect::Refuse { work: item.id, refusal });
    }

    fn hold_member(&mut self, item: &WorkItem) {
        *self.held.entry(held_key(item)).or_default() += 1;
    }

    /// The work no longer counts for its member.
    pub(crate) fn release_member(&mut self, item: &WorkItem) {
        let key = held_key(item);
        if let Some(count) = self.held.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.held.remove(&key);
            }
        }
    }

    // The same offer may come twice, as the network makes copies.
    fn holds(&self, item: &WorkItem) -> bool {
        self.out.contains_key(&item.id)
            || self.requests.contains(item.id)
            || self.feeds.contains(item.id)
    }

    fn reason_against(&self, now: ClockTime, pending: &PendingWork) -> Option<RefuseReason> {
        let item = &pending.item;
        if pending.start_by.is_past(now) {
            return Some(RefuseReason::DeadlinePassed);
        }
        if !self.table.takes_work() {
            return Some(RefuseReason::NoTarget);
        }
        let held = self.held.get(&held_key(item)).copied().unwrap_or(0);
        if item.member_limit > 0 && held >= item.member_limit {
            return Some(RefuseReason::Limit);
        }
        if !item.is_feed()
            && self.expected_wait(pending).mul_f64(SURE_PART) > pending.start_by.remaining(now)
        {
            return Some(RefuseReason::DeadlinePassed);
        }
        None
    }

    fn enqueue(&mut self, pending: PendingWork, effects: &mut Vec<SchedulerEffect>) {
        let limit = self.options.queue_limit as usize;
        let queue = self.queue_of(pending.item.kind);
        if queue.len() < limit.max(1) {
            queue.push(pending);
            return;
        }
        let displaced = queue.displace_for(&pending);
        let refused = match displaced {
            Some(displaced) => {
                queue.push(pending);
                displaced
            }
            None => pending,
        };
        let reason = RefuseReason::QueueFull;
        self.refuse(&refused, RunState::NotRun, reason, effects);
    }

    // True when something was dispatched.
    fn dispatch_next(
        &mut self,
        now: ClockTime,
        kind: TrafficKind,
        effects: &mut Vec<SchedulerEffect>,
    ) -> bool {
        let wait = self.slow_wait(kind);
        if self.queue_of(kind).is_empty() {
            return false;
        }
        let sample = TargetSample { size: self.policy.sample_size(), start: self.random.random() };
        let mut states = self.table.candidates(now, kind, wait, sample, &self.options);
        let last = self.last_tier(&states, kind);
        let Some(pending) = self.queue_of(kind).peek(last).cloned() else {
            return false;
        };
        leave_out_tried(&mut states, &pending);
        let Some(picked) = self.policy.pick(now, &states, &pending.item) else {
            return false;
        };
        let Some(state) = states.get(picked) else {
            return false;
        };
        let cost = self.times.cost(pending.item.kind);
        let Some(pending) = self.queue_of(kind).pop(last, cost) else {
            return false;
        };
        self.dispatch(now, pending, state, effects);
        true
    }

    fn dispatch(
        &mut self,
        now: ClockTime,
        pending: PendingWork,
        state: &TargetState,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let dispatch = self.new_dispatch();
        let Some(entry) = self.table.get_mut(state.id) else {
            return;
        };
        let target = Arc::clone(&entry.spec);
        self.table.take(state.id, pending.item.kind);
        if pending.tried.is_empty() {
            self.budget.earn();
            self.counters.dispatched += 1;
        } else {
            self.counters.retried += 1;
        }
        let work = pending.item.id;
        let running = RunningDispatch {
            lease_deadline: pending.item.deadline.after(self.options.lease_grace),
            pending,
            target: state.id,
            spec: Arc::clone(&target),
            phase: DispatchPhase::Sent,
            caller: CallerState::Waiting,
            hold: SlotHold::Held,
            unanswered: 0,
            sendings: 1,
            sent_at: now,
            check_at: now.after(self.options.ack_timeout),
            resend_deadline: now.after(self.options.resend_window),
        };
        self.out.insert(work, dispatch);
        self.dispatches.insert(dispatch, running);
        effects.push(SchedulerEffect::Dispatch { work, dispatch, target });
    }

    // The last free slots are kept for fair parts.
    //
    // With excess in every slot each fair request has to wait for one to become
    // free, and those of the lowest priority for several. A few slots kept free
    // make up for that (trunk reservation, Key, "Optimal control and trunk
    // reservation in loss networks", Probability in the Engineering and
    // Informational Sciences 4(2), 1990).
    fn last_tier(&self, states: &[TargetState], kind: TrafficKind) -> WorkTier {
        if kind == TrafficKind::Feed {
            return WorkTier::Excess;
        }
        let free: u32 = states.iter().map(TargetState::free_slots).sum();
        let reserved = ((f64::from(self.table.open_slots()) * RESERVED_PART) as u32).max(1);
        // Of a sample of the targets only its part of the reserve is asked.
        if free > reserved.min(states.len() as u32) { WorkTier::Excess } else { WorkTier::Fair }
    }

    fn slow_wait(&self, kind: TrafficKind) -> SlowWait {
        let usual_run = match kind {
            TrafficKind::Feed => Duration::ZERO,
            TrafficKind::Bid | TrafficKind::Upload => self.times.usual_slot(),
        };
        SlowWait { queue: self.queue_wait(), usual_run }
    }

    // Expected wait of that work if it came now, in fair order.
    fn expected_wait(&self, pending: &PendingWork) -> Duration {
        self.drain_interval().mul_f64(self.requests.ahead_of(pending))
    }

    fn tier_of(&mut self, now: ClockTime, item: &WorkItem) -> WorkTier {
        if item.is_feed() {
            return WorkTier::Fair;
        }
        let usual_run = self.times.usual_slot();
        let own_run = self.times.usual(item.kind).as_secs_f64();
        let cost = own_run / usual_run.as_secs_f64().max(f64::EPSILON);
        self.demand.classify(now, &item.member, item.weight, cost, usual_run)
    }

    fn retry_after(&self, pending: &PendingWork, ran: RunState, reason: RefuseReason) -> Duration {
        if ran == RunState::Unknown || reason == RefuseReason::Cancelled {
            return Duration::ZERO;
        }
        if reason == RefuseReason::NoTarget {
            return NO_TARGET_RETRY_AFTER;
        }
        self.expected_wait(pending).clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
    }
}

fn held_key(item: &WorkItem) -> (MemberName, WorkClass) {
    let class = if item.is_feed() { WorkClass::Feed } else { WorkClass::Request };
    (item.member.clone(), class)
}
