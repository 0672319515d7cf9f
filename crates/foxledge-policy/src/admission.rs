//! Submission, queueing and dispatch of work items.

use std::{sync::Arc, time::Duration};

use foxledge_core::{lists::FullAction, names::MemberName, time::ClockTime, traffic::TrafficKind};
use rand::Rng;

use crate::{
    demand::WorkTier,
    dispatches::{CallerState, DispatchPhase, RunningDispatch, SlotState},
    effects::{RefuseReason, RunState, SchedulerEffect, WorkRefusal},
    policies::TargetState,
    scheduler::{ShardScheduler, WorkClass},
    targets::{TargetSample, WaitEstimate, exclude_tried_targets},
    work::{PendingWork, WorkItem},
};

// Bounds of the retry delay that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
// Without an open target there is no service rate to derive the delay from.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
// A work item is refused on submission when its expected wait times this factor
// exceeds its time left. The estimate is rough, so only clear cases are refused.
const WAIT_ESTIMATE_FACTOR: f64 = 0.5;
// The mean run times that must be left before the deadline when a work item starts.
// With exponential run times, 98 in 100 items then end in time.
const RESERVED_RUN_TIMES: u32 = 4;
// The fraction of the open slots that is closed to excess work.
const RESERVED_SLOT_FRACTION: f64 = 0.04;

impl ShardScheduler {
    /// Submits a work item, which is dispatched, queued or refused at once.
    ///
    /// An item whose id is already queued or dispatched is ignored.
    pub fn submit(&mut self, now: ClockTime, item: WorkItem) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        if self.contains(&item) {
            return effects;
        }
        self.counters.offered += 1;
        let latest_start =
            item.latest_start(now, self.times.mean_run_time(item.kind) * RESERVED_RUN_TIMES);
        let tier = self.tier_of(now, &item);
        let pending = PendingWork::new(item, latest_start, tier);
        let refusal_reason = self.refusal_reason(now, &pending);
        // `refuse` decrements the count of the member, so it is incremented first.
        self.add_outstanding(&pending.item);
        if let Some(reason) = refusal_reason {
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
            return effects;
        }
        let item = &pending.item;
        let (work, kind, when_full) = (item.id, item.kind, item.when_full);
        self.enqueue(pending, &mut effects);
        self.dispatch_queued(now, &mut effects);
        if when_full == FullAction::Refuse
            && let Some(pending) = self.queue_of(kind).remove(work)
        {
            let reason = RefuseReason::QueueFull;
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
        }
        effects
    }

    /// Cancels a work item whose caller gave up: a queued item is refused, a running one cancelled
    /// at its target.
    pub fn cancel(&mut self, now: ClockTime, work: u64) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let queued = self.request_queue.remove(work).or_else(|| self.feed_queue.remove(work));
        if let Some(pending) = queued {
            let reason = RefuseReason::Cancelled;
            self.refuse(&pending, RunState::NotRun, reason, &mut effects);
            return effects;
        }
        let Some(&dispatch) = self.dispatch_by_work.get(&work) else {
            return effects;
        };
        self.send_cancel(now, dispatch, CallerState::Cancelled, &mut effects);
        effects
    }

    /// Dispatches queued work items until the queues are empty or no target has capacity.
    pub(crate) fn dispatch_queued(&mut self, now: ClockTime, effects: &mut Vec<SchedulerEffect>) {
        self.refuse_expired(now, effects);
        while self.dispatch_next(now, TrafficKind::Bid, effects) {}
        while self.dispatch_next(now, TrafficKind::Feed, effects) {}
    }

    /// Refuses the queued work items whose latest start has passed.
    pub(crate) fn refuse_expired(&mut self, now: ClockTime, effects: &mut Vec<SchedulerEffect>) {
        let expired = self.request_queue.drain_expired(now).into_iter();
        for pending in expired.chain(self.feed_queue.drain_expired(now)).collect::<Vec<_>>() {
            let reason = RefuseReason::DeadlinePassed;
            self.refuse(&pending, RunState::NotRun, reason, effects);
        }
    }

    /// Sends the final refusal of a work item and stops counting it for its member.
    pub(crate) fn refuse(
        &mut self,
        pending: &PendingWork,
        run_state: RunState,
        reason: RefuseReason,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let item = &pending.item;
        self.remove_outstanding(item);
        let run_state = run_state.max(pending.run_state);
        *self.counters.refused.entry(reason).or_default() += 1;
        let retry_after = self.retry_after(pending, run_state, reason);
        let refusal = WorkRefusal { run_state, reason, retry_after };
        effects.push(SchedulerEffect::Refuse { work: item.id, refusal });
    }

    fn add_outstanding(&mut self, item: &WorkItem) {
        *self.outstanding.entry(outstanding_key(item)).or_default() += 1;
    }

    /// Stops counting a work item against the limit of its member.
    pub(crate) fn remove_outstanding(&mut self, item: &WorkItem) {
        let key = outstanding_key(item);
        if let Some(count) = self.outstanding.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.outstanding.remove(&key);
            }
        }
    }

    // The network duplicates datagrams, so the same item may be submitted twice.
    fn contains(&self, item: &WorkItem) -> bool {
        self.dispatch_by_work.contains_key(&item.id)
            || self.request_queue.contains(item.id)
            || self.feed_queue.contains(item.id)
    }

    fn refusal_reason(&self, now: ClockTime, pending: &PendingWork) -> Option<RefuseReason> {
        let item = &pending.item;
        if pending.latest_start.is_past(now) {
            return Some(RefuseReason::DeadlinePassed);
        }
        if !self.table.has_open_target() {
            return Some(RefuseReason::NoTarget);
        }
        let outstanding = self.outstanding.get(&outstanding_key(item)).copied().unwrap_or(0);
        if item.member_limit > 0 && outstanding >= item.member_limit {
            return Some(RefuseReason::Limit);
        }
        if !item.is_feed()
            && self.expected_wait(pending).mul_f64(WAIT_ESTIMATE_FACTOR)
                > pending.latest_start.remaining(now)
        {
            return Some(RefuseReason::DeadlinePassed);
        }
        None
    }

    fn enqueue(&mut self, pending: PendingWork, effects: &mut Vec<SchedulerEffect>) {
        let limit = self.options.queue_limit as usize;
        let queue = self.queue_of(pending.item.kind);
        if queue.len() < limit.max(1) {
            queue.push_back(pending);
            return;
        }
        let displaced = queue.displace_for(&pending);
        let refused = match displaced {
            Some(displaced) => {
                queue.push_back(pending);
                displaced
            }
            None => pending,
        };
        let reason = RefuseReason::QueueFull;
        self.refuse(&refused, RunState::NotRun, reason, effects);
    }

    // Dispatches the next queued work item of a kind. Returns whether one was dispatched.
    fn dispatch_next(
        &mut self,
        now: ClockTime,
        kind: TrafficKind,
        effects: &mut Vec<SchedulerEffect>,
    ) -> bool {
        let estimate = self.wait_estimate(kind);
        if self.queue_of(kind).is_empty() {
            return false;
        }
        let sample = TargetSample { size: self.policy.sample_size(), offset: self.random.random() };
        let mut states = self.table.candidates(now, kind, estimate, sample, &self.options);
        let max_tier = self.max_tier(&states, kind);
        let Some(pending) = self.queue_of(kind).peek(max_tier).cloned() else {
            return false;
        };
        exclude_tried_targets(&mut states, &pending);
        let Some(picked) = self.policy.pick(now, &states, &pending.item) else {
            return false;
        };
        let Some(state) = states.get(picked) else {
            return false;
        };
        let cost = self.times.queue_cost(pending.item.kind);
        let Some(pending) = self.queue_of(kind).pop(max_tier, cost) else {
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
        let dispatch = self.new_dispatch_id();
        let Some(entry) = self.table.get_mut(state.id) else {
            return;
        };
        let target = Arc::clone(&entry.spec);
        self.table.occupy(state.id, pending.item.kind);
        if pending.tried_targets.is_empty() {
            self.budget.deposit();
            self.counters.dispatched += 1;
        } else {
            self.counters.retried += 1;
        }
        let work = pending.item.id;
        let running = RunningDispatch {
            lease_deadline: pending.item.deadline.after(self.options.lease_grace),
            pending,
            target_id: state.id,
            spec: Arc::clone(&target),
            phase: DispatchPhase::Sent,
            caller: CallerState::Waiting,
            slot: SlotState::Held,
            unanswered_sends: 0,
            send_count: 1,
            sent_at: now,
            next_check_at: now.after(self.options.ack_timeout),
            resend_deadline: now.after(self.options.resend_window),
        };
        self.dispatch_by_work.insert(work, dispatch);
        self.dispatches.insert(dispatch, running);
        effects.push(SchedulerEffect::Dispatch { work, dispatch, target });
    }

    // Returns the highest tier that may be dispatched: the last free slots are reserved for
    // the fair tier.
    //
    // If excess work could take every slot, each fair request would wait for a slot to become
    // free, and those of the lowest priority for several. Reserving a few slots avoids that
    // (trunk reservation, Key, "Optimal control and trunk reservation in loss networks",
    // Probability in the Engineering and Informational Sciences 4(2), 1990).
    fn max_tier(&self, states: &[TargetState], kind: TrafficKind) -> WorkTier {
        if kind == TrafficKind::Feed {
            return WorkTier::Excess;
        }
        let free: u32 = states.iter().map(TargetState::free_slots).sum();
        let reserved =
            ((f64::from(self.table.open_slots()) * RESERVED_SLOT_FRACTION) as u32).max(1);
        // `states` may be a sample of the targets, which need not have the whole reserve free.
        if free > reserved.min(states.len() as u32) { WorkTier::Excess } else { WorkTier::Fair }
    }

    fn wait_estimate(&self, kind: TrafficKind) -> WaitEstimate {
        let mean_run_time = match kind {
            TrafficKind::Feed => Duration::ZERO,
            TrafficKind::Bid | TrafficKind::Upload => self.times.mean_slot_time(),
        };
        WaitEstimate { queue_wait: self.expected_queue_wait(), mean_run_time }
    }

    // Returns the expected wait of a work item that is queued now, in fair order.
    fn expected_wait(&self, pending: &PendingWork) -> Duration {
        self.slot_release_interval().mul_f64(self.request_queue.expected_ahead_of(pending))
    }

    fn tier_of(&mut self, now: ClockTime, item: &WorkItem) -> WorkTier {
        if item.is_feed() {
            return WorkTier::Fair;
        }
        let mean_run_time = self.times.mean_slot_time();
        let kind_run_time = self.times.mean_run_time(item.kind).as_secs_f64();
        let cost = kind_run_time / mean_run_time.as_secs_f64().max(f64::EPSILON);
        self.demand.classify(now, &item.member, item.weight, cost, mean_run_time)
    }

    fn retry_after(
        &self,
        pending: &PendingWork,
        run_state: RunState,
        reason: RefuseReason,
    ) -> Duration {
        if run_state == RunState::Unknown || reason == RefuseReason::Cancelled {
            return Duration::ZERO;
        }
        if reason == RefuseReason::NoTarget {
            return NO_TARGET_RETRY_AFTER;
        }
        self.expected_wait(pending).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn outstanding_key(item: &WorkItem) -> (MemberName, WorkClass) {
    let class = if item.is_feed() { WorkClass::Feed } else { WorkClass::Request };
    (item.member.clone(), class)
}
