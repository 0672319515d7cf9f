//! A home's desk: the only place that counts a service shard's slots.

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
    targets::{TargetEntry, TargetStand, TargetTable},
};

/// `ShardScheduler` admits work for one service shard: it counts the slots of its
/// targets, keeps the queue in fair order, and waits for what it sent out.
///
/// Invariants: every work that was offered ends in exactly one of ended and
/// refused; a work is in the queue or under one dispatch whose caller waits,
/// never both; non-idempotent work is dispatched again only after the former
/// dispatch was answered "not run".
pub struct ShardScheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) policy: Box<dyn TargetPolicy>,
    pub(crate) random: StdRng,
    pub(crate) requests: FairQueue,
    pub(crate) feeds: FairQueue,
    pub(crate) table: TargetTable,
    pub(crate) dispatches: DispatchTable,
    // The dispatch of each work that is out and whose caller waits.
    pub(crate) out: HashMap<u64, u64>,
    pub(crate) held: HashMap<(MemberName, WorkClass), u32>,
    pub(crate) demand: DemandMeter,
    pub(crate) budget: RetryBudget,
    pub(crate) times: RunTimes,
    pub(crate) counters: SchedulerCounters,
}

/// `WorkClass` is what a member's limit is counted over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WorkClass {
    Request,
    Feed,
}

impl ShardScheduler {
    /// Makes a desk without targets.
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
            requests: FairQueue::new(),
            feeds: FairQueue::new(),
            table: TargetTable::default(),
            dispatches: DispatchTable::default(),
            out: HashMap::new(),
            held: HashMap::new(),
            demand: DemandMeter::new(),
            budget,
            times: RunTimes::new(),
            counters: SchedulerCounters::default(),
        }
    }

    /// Takes the published targets over.
    ///
    /// Dispatches at a target that is no longer published go on; an address
    /// under a new incarnation is another target.
    pub fn set_targets(
        &mut self,
        now: ClockTime,
        specs: Vec<Arc<TargetSpec>>,
    ) -> Vec<SchedulerEffect> {
        self.table.replace(now, specs, &self.options);
        let mut effects = Vec::new();
        self.refuse_hopeless(&mut effects);
        self.pump(now, &mut effects);
        effects
    }

    /// Sets how much may wait.
    pub fn set_queue_limit(&mut self, limit: u32) {
        self.options.queue_limit = limit;
    }

    /// Takes a target's report of its load.
    pub fn on_load_report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        load: TargetLoad,
    ) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let Some((id, _)) = self.table.find_mut(target) else {
            return effects;
        };
        self.take_load(now, id, load, &mut effects);
        self.presume_ended(now, id, load);
        self.pump(now, &mut effects);
        effects
    }

    /// Does what became due: refuses, resends, gives leases back, probes.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        self.refuse_expired(now, &mut effects);
        self.check_dispatches(now, &mut effects);
        let probe = |spec: &Arc<TargetSpec>| {
            effects.push(SchedulerEffect::Probe { target: Arc::clone(spec) });
        };
        let changes = self.table.tend(now, &self.options, probe);
        effects.extend(changes.into_iter().map(SchedulerEffect::Audit));
        self.table.drop_unused();
        self.pump(now, &mut effects);
        effects
    }

    /// True when some target can be expected to take work.
    pub fn has_responsive_target(&self) -> bool {
        self.table.has_answering()
    }

    /// Works that still need this desk: what waits, and requests that run.
    ///
    /// Open feeds don't count, as they go on without it.
    pub fn unfinished_count(&self) -> usize {
        let runs = self.dispatches.iter().filter(|running| {
            running.caller == CallerState::Waiting && !running.pending.item.is_feed()
        });
        self.queued() + runs.count()
    }

    /// The desk at this moment.
    pub fn status(&self, now: ClockTime) -> SchedulerStatus {
        let shares = self.requests.shares().into_iter().chain(self.feeds.shares());
        let waiting = shares.map(|share| WaitingStatus {
            priority: share.priority,
            tier: share.tier,
            member: share.member,
            queued: share.queued,
        });
        SchedulerStatus {
            policy: self.policy.name(),
            queued: self.queued(),
            queue_limit: self.options.queue_limit,
            waiting: waiting.collect(),
            running: self.out.len(),
            expected_wait_us: self.queue_wait().as_micros() as u64,
            retries_left: self.budget.left(),
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
            state: state_word(now, entry),
            run_time_ratio: entry.health.pace(),
            warmup_progress: entry.health.warmth(now, &self.options),
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.requests.len() + self.feeds.len()
    }

    /// Expected wait of a request behind all that wait.
    pub(crate) fn queue_wait(&self) -> Duration {
        self.drain_interval() * self.requests.len() as u32
    }

    /// Expected time between two slots that become free.
    pub(crate) fn drain_interval(&self) -> Duration {
        self.times.usual_slot() / self.table.open_slots().max(1)
    }

    pub(crate) fn queue_of(&mut self, kind: TrafficKind) -> &mut FairQueue {
        match kind {
            TrafficKind::Feed => &mut self.feeds,
            TrafficKind::Bid | TrafficKind::Upload => &mut self.requests,
        }
    }

    // Takes over what a target said of itself, with its answer or by probe.
    pub(crate) fn take_load(
        &mut self,
        now: ClockTime,
        id: u64,
        load: TargetLoad,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let was_leaving = entry.health.reports_draining();
        let was_doubtful = entry.health.is_doubtful(now);
        entry.health.on_report(now, load, &self.options);
        if was_doubtful != entry.health.is_doubtful(now) {
            self.table.sum_up(now);
        }
        if was_leaving == load.draining {
            return;
        }
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let words = if load.draining { ("open", "draining") } else { ("draining", "open") };
        let change = AuditChange::new(AuditKind::TargetDraining, entry.spec.name.as_str())
            .with_values(words.0, words.1)
            .with_cause("reported", "observation");
        effects.push(SchedulerEffect::Audit(change));
        self.table.sum_up(now);
        self.refuse_hopeless(effects);
    }

    // When no target takes work, what waits is refused at once: its callers
    // would otherwise wait for nothing until their deadlines.
    fn refuse_hopeless(&mut self, effects: &mut Vec<SchedulerEffect>) {
        if self.table.takes_work() {
            return;
        }
        let waiting = self.requests.take_all().into_iter().chain(self.feeds.take_all());
        for pending in waiting.collect::<Vec<_>>() {
            self.refuse(&pending, RunState::NotRun, RefuseReason::NoTarget, effects);
        }
    }

    /// A dispatch id that is random, not 0 and not in use.
    pub(crate) fn new_dispatch(&mut self) -> u64 {
        loop {
            let dispatch = self.random.random();
            if dispatch != 0 && !self.dispatches.contains(dispatch) {
                return dispatch;
            }
        }
    }
}

fn state_word(now: ClockTime, entry: &TargetEntry) -> &'static str {
    if entry.stand == TargetStand::Retired {
        "retired"
    } else if !entry.is_open() {
        "draining"
    } else if entry.health.is_ejected() {
        "ejected"
    } else if entry.health.is_held(now) {
        "shedding"
    } else {
        "open"
    }
}
