//! The scheduler of a service shard, which alone counts the slots of the shard.

use std::{collections::HashMap, sync::Arc, time::Duration};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::TargetSpec,
    names::{MemberName, TargetName},
    time::ClockTime,
    traffic::TrafficKind,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    demand::DemandMeter,
    dispatches::{CallerState, DispatchTable},
    effects::{RefuseReason, RunState, SchedulerEffect, TargetLoad},
    options::SchedulerOptions,
    policies::TargetPolicy,
    queue::FairQueue,
    retries::RetryBudget,
    run_times::RunTimes,
    status::{SchedulerCounters, SchedulerStatus, TargetStatus, WaitingStatus},
    targets::{TargetEntry, TargetListing, TargetTable},
};

/// Admits and dispatches the work of one service shard.
///
/// It counts the occupied slots of the targets, queues work items in fair order, and tracks each
/// dispatch until it ends. It does no I/O: methods take the time and return the effects that are
/// to be carried out.
///
/// Invariants: every submitted work item either ends or is refused, exactly once. A work item is
/// either queued or has one dispatch whose caller waits, never both. A non-idempotent work item
/// is dispatched again only after its target reported "not run" for the former dispatch.
pub struct ShardScheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) policy: Box<dyn TargetPolicy>,
    pub(crate) random: StdRng,
    pub(crate) request_queue: FairQueue,
    pub(crate) feed_queue: FairQueue,
    pub(crate) table: TargetTable,
    pub(crate) dispatches: DispatchTable,
    // The dispatch of each dispatched work item whose caller waits, by the id of the work item.
    pub(crate) dispatch_by_work: HashMap<u64, u64>,
    pub(crate) outstanding: HashMap<(MemberName, WorkClass), u32>,
    pub(crate) demand: DemandMeter,
    pub(crate) budget: RetryBudget,
    pub(crate) times: RunTimes,
    pub(crate) counters: SchedulerCounters,
}

/// The class of work items over which the limit of a member is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WorkClass {
    Request,
    Feed,
}

impl ShardScheduler {
    /// Creates a scheduler without targets.
    pub fn new(
        options: SchedulerOptions,
        policy: Box<dyn TargetPolicy>,
        seed: u64,
    ) -> ShardScheduler {
        let budget = RetryBudget::new(options.retry_ratio, options.retry_burst);
        ShardScheduler {
            options,
            policy,
            random: StdRng::seed_from_u64(seed),
            request_queue: FairQueue::new(),
            feed_queue: FairQueue::new(),
            table: TargetTable::default(),
            dispatches: DispatchTable::default(),
            dispatch_by_work: HashMap::new(),
            outstanding: HashMap::new(),
            demand: DemandMeter::new(),
            budget,
            times: RunTimes::new(),
            counters: SchedulerCounters::default(),
        }
    }

    /// Applies a published list of targets.
    ///
    /// Dispatches at a target that is no longer published continue. An address with a new
    /// incarnation is another target.
    pub fn set_targets(
        &mut self,
        now: ClockTime,
        specs: Vec<Arc<TargetSpec>>,
    ) -> Vec<SchedulerEffect> {
        self.table.replace_targets(now, specs, &self.options);
        let mut effects = Vec::new();
        self.refuse_if_no_target(&mut effects);
        self.dispatch_queued(now, &mut effects);
        effects
    }

    /// Sets the maximum of queued requests, and of queued feeds.
    pub fn set_queue_limit(&mut self, limit: u32) {
        self.options.queue_limit = limit;
    }

    /// Handles a load report that a target sent on its own or in response to a probe.
    pub fn on_load_report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        load: TargetLoad,
    ) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let Some((id, _)) = self.table.find_listed_mut(target) else {
            return effects;
        };
        self.apply_load_report(now, id, load, &mut effects);
        self.reclaim_ended_slots(now, id, load);
        self.dispatch_queued(now, &mut effects);
        effects
    }

    /// Handles all deadlines that have passed: expired work items, retransmissions, slot leases
    /// and probes.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        self.refuse_expired(now, &mut effects);
        self.handle_due_dispatches(now, &mut effects);
        let probe = |spec: &Arc<TargetSpec>| {
            effects.push(SchedulerEffect::Probe { target: Arc::clone(spec) });
        };
        let changes = self.table.check_targets(now, &self.options, probe);
        effects.extend(changes.into_iter().map(SchedulerEffect::Audit));
        self.table.remove_unused();
        self.dispatch_queued(now, &mut effects);
        effects
    }

    /// Returns whether a target is in service and answers its probes.
    pub fn has_responsive_target(&self) -> bool {
        self.table.has_responsive_target()
    }

    /// Returns the number of work items that still need this scheduler: those queued, and
    /// dispatched requests whose caller waits.
    ///
    /// Dispatched feeds don't count, as open feeds continue without the scheduler.
    pub fn unfinished_count(&self) -> usize {
        let requests = self.dispatches.iter().filter(|running| {
            running.caller == CallerState::Waiting && !running.pending.item.is_feed()
        });
        self.queued_count() + requests.count()
    }

    /// Returns a snapshot for operators.
    pub fn status(&self, now: ClockTime) -> SchedulerStatus {
        let backlogs = self.request_queue.backlogs().into_iter().chain(self.feed_queue.backlogs());
        let waiting = backlogs.map(|backlog| WaitingStatus {
            priority: backlog.priority,
            tier: backlog.tier,
            member: backlog.member,
            queued: backlog.queued,
        });
        SchedulerStatus {
            policy: self.policy.name(),
            queued: self.queued_count(),
            queue_limit: self.options.queue_limit,
            waiting: waiting.collect(),
            running: self.dispatch_by_work.len(),
            expected_wait_us: self.expected_queue_wait().as_micros() as u64,
            retries_left: self.budget.remaining(),
            counters: self.counters.clone(),
            targets: self.table.iter().map(|entry| self.target_status(now, entry)).collect(),
        }
    }

    fn target_status(&self, now: ClockTime, entry: &TargetEntry) -> TargetStatus {
        TargetStatus {
            name: entry.spec.name.clone(),
            incarnation: entry.spec.incarnation,
            busy: entry.ledger.busy(),
            slots: entry.spec.slots,
            connections: entry.ledger.connections(),
            state: state_name(now, entry),
            run_time_ratio: entry.health.run_time_ratio(),
            warmup_progress: entry.health.warmup_progress(now, &self.options),
        }
    }

    pub(crate) fn queued_count(&self) -> usize {
        self.request_queue.len() + self.feed_queue.len()
    }

    /// Returns the expected wait of a request behind all queued ones.
    pub(crate) fn expected_queue_wait(&self) -> Duration {
        self.slot_release_interval() * self.request_queue.len() as u32
    }

    /// Returns the expected time between the releases of two slots.
    pub(crate) fn slot_release_interval(&self) -> Duration {
        self.times.mean_slot_time() / self.table.open_slots().max(1)
    }

    pub(crate) fn queue_of(&mut self, kind: TrafficKind) -> &mut FairQueue {
        match kind {
            TrafficKind::Feed => &mut self.feed_queue,
            TrafficKind::Bid | TrafficKind::Upload => &mut self.request_queue,
        }
    }

    // Applies a load report of a target, which came with a response or from a probe.
    pub(crate) fn apply_load_report(
        &mut self,
        now: ClockTime,
        id: u64,
        load: TargetLoad,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let was_draining = entry.health.reports_draining();
        let was_suspect = entry.health.is_suspect(now);
        entry.health.on_report(now, load, &self.options);
        if was_suspect != entry.health.is_suspect(now) {
            self.table.update_summary(now);
        }
        if was_draining == load.draining {
            return;
        }
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let states = if load.draining { ("open", "draining") } else { ("draining", "open") };
        let change = AuditChange::new(AuditKind::TargetDraining, entry.spec.name.as_str())
            .with_values(states.0, states.1)
            .with_cause("reported", "observation");
        effects.push(SchedulerEffect::Audit(change));
        self.table.update_summary(now);
        self.refuse_if_no_target(effects);
    }

    // Refuses all queued work items if no target is open. Otherwise their callers would wait
    // until their deadlines without a response.
    fn refuse_if_no_target(&mut self, effects: &mut Vec<SchedulerEffect>) {
        if self.table.has_open_target() {
            return;
        }
        let waiting = self.request_queue.drain_all().into_iter().chain(self.feed_queue.drain_all());
        for pending in waiting.collect::<Vec<_>>() {
            self.refuse(&pending, RunState::NotRun, RefuseReason::NoTarget, effects);
        }
    }

    /// Returns a random dispatch id that is not 0 and not in use.
    pub(crate) fn new_dispatch_id(&mut self) -> u64 {
        loop {
            let dispatch = self.random.random();
            if dispatch != 0 && !self.dispatches.contains(dispatch) {
                return dispatch;
            }
        }
    }
}

fn state_name(now: ClockTime, entry: &TargetEntry) -> &'static str {
    if entry.listing == TargetListing::Unlisted {
        "retired"
    } else if !entry.is_open() {
        "draining"
    } else if entry.health.is_ejected() {
        "ejected"
    } else if entry.health.is_backing_off(now) {
        "shedding"
    } else {
        "open"
    }
}
