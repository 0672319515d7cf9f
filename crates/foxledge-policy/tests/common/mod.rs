//! A scheduler with a simulated clock, for the tests of this crate.
#![allow(dead_code)]

pub mod fake_target;

use std::{collections::BTreeMap, sync::Arc};

use foxledge_core::{
    lists::{FullAction, PaidPriority, TargetSpec},
    names::{MemberName, TargetName},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_policy::{
    SchedulerEffect, SchedulerOptions, ShardScheduler, TargetLoad, TargetSignal, WorkItem,
    WorkRefusal, policy_by_name,
};

/// A scheduler under test, its time, and its effects so far.
pub struct SchedulerHarness {
    pub scheduler: ShardScheduler,
    pub now: ClockTime,
    /// The work item, dispatch and target of each dispatch, in order.
    pub dispatched: Vec<(u64, u64, String)>,
    pub refusals: BTreeMap<u64, WorkRefusal>,
    pub resent: Vec<u64>,
    pub queried: Vec<u64>,
    pub discarded: Vec<u64>,
    pub cancelled: Vec<u64>,
    pub probed: Vec<String>,
    pub audited: Vec<String>,
}

impl SchedulerHarness {
    pub fn new(options: SchedulerOptions, targets: usize) -> SchedulerHarness {
        let policy = policy_by_name("freest", 1).expect("known policy");
        let mut harness = SchedulerHarness {
            scheduler: ShardScheduler::new(options, policy, 1),
            now: ClockTime::from_micros(1_000_000),
            dispatched: Vec::new(),
            refusals: BTreeMap::new(),
            resent: Vec::new(),
            queried: Vec::new(),
            discarded: Vec::new(),
            cancelled: Vec::new(),
            probed: Vec::new(),
            audited: Vec::new(),
        };
        harness.publish((0..targets).map(target_spec).collect());
        harness
    }

    pub fn publish(&mut self, specs: Vec<TargetSpec>) {
        let specs = specs.into_iter().map(Arc::new).collect();
        let effects = self.scheduler.set_targets(self.now, specs);
        self.record_effects(effects);
    }

    pub fn submit(&mut self, item: WorkItem) {
        let effects = self.scheduler.submit(self.now, item);
        self.record_effects(effects);
    }

    pub fn signal(&mut self, dispatch: u64, signal: TargetSignal) {
        let effects = self.scheduler.on_signal(self.now, dispatch, signal, None);
        self.record_effects(effects);
    }

    pub fn report_load(&mut self, target: &str, load: TargetLoad) {
        let effects = self.scheduler.on_load_report(self.now, &TargetName::new(target), load);
        self.record_effects(effects);
    }

    pub fn cancel(&mut self, work: u64) {
        let effects = self.scheduler.cancel(self.now, work);
        self.record_effects(effects);
    }

    /// Advances the time in ticks of 10 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now.after_millis(10);
            let effects = self.scheduler.on_tick(self.now);
            self.record_effects(effects);
        }
    }

    /// Returns the last dispatch of a work item.
    pub fn dispatch_of(&self, work: u64) -> u64 {
        self.last_dispatch_of(work).map(|sent| sent.1).expect("the work was dispatched")
    }

    /// Returns the last target of a work item.
    pub fn target_of(&self, work: u64) -> String {
        self.last_dispatch_of(work).map(|sent| sent.2.clone()).expect("the work was dispatched")
    }

    pub fn dispatch_count(&self, work: u64) -> usize {
        self.dispatched.iter().filter(|sent| sent.0 == work).count()
    }

    fn last_dispatch_of(&self, work: u64) -> Option<&(u64, u64, String)> {
        self.dispatched.iter().rev().find(|sent| sent.0 == work)
    }

    fn record_effects(&mut self, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Dispatch { work, dispatch, target } => {
                    self.dispatched.push((work, dispatch, target.name.to_string()));
                }
                SchedulerEffect::Resend { dispatch, .. } => self.resent.push(dispatch),
                SchedulerEffect::Check { dispatch, .. } => self.queried.push(dispatch),
                SchedulerEffect::Discard { work } => self.discarded.push(work),
                SchedulerEffect::Refuse { work, refusal } => {
                    let earlier = self.refusals.insert(work, refusal);
                    assert_eq!(earlier, None, "work {work} was refused twice");
                }
                SchedulerEffect::Cancel { dispatch, .. } => self.cancelled.push(dispatch),
                SchedulerEffect::Probe { target } => self.probed.push(target.name.to_string()),
                SchedulerEffect::Audit(change) => {
                    self.audited.push(format!("{} {}", change.subject, change.new));
                }
            }
        }
    }
}

pub fn target_spec(number: usize) -> TargetSpec {
    TargetSpec {
        name: TargetName::new(&format!("t{number}")),
        address: format!("127.0.0.1:{}", 9000 + number).parse().expect("an address"),
        incarnation: 1,
        data_centre: "toledo".into(),
        slots: 2,
        connections: 2000,
        draining: false,
    }
}

/// Returns a non-idempotent bid of `member` with a deadline in 10 s.
pub fn bid(harness: &SchedulerHarness, id: u64, member: &str) -> WorkItem {
    WorkItem {
        id,
        flow: id,
        member: MemberName::new(member),
        kind: TrafficKind::Bid,
        priority: PaidPriority(0),
        weight: 1,
        member_limit: 0,
        when_full: FullAction::Queue,
        idempotent: false,
        deadline: harness.now.after_millis(10_000),
        start_deadline: ClockTime::MAX,
    }
}
