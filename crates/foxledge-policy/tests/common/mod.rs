//! A desk with a clock, for the tests of this crate.
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

/// A desk under test, its time, and what it wanted done so far.
pub struct DeskTrial {
    pub desk: ShardScheduler,
    pub now: ClockTime,
    /// (work, dispatch, target) in order.
    pub sent: Vec<(u64, u64, String)>,
    pub refused: BTreeMap<u64, WorkRefusal>,
    pub resent: Vec<u64>,
    pub checked: Vec<u64>,
    pub forgotten: Vec<u64>,
    pub cancelled: Vec<u64>,
    pub probed: Vec<String>,
    pub audited: Vec<String>,
}

impl DeskTrial {
    pub fn new(options: SchedulerOptions, targets: usize) -> DeskTrial {
        let policy = policy_by_name("freest", 1).expect("known policy");
        let mut trial = DeskTrial {
            desk: ShardScheduler::new(options, policy, 1),
            now: ClockTime::from_micros(1_000_000),
            sent: Vec::new(),
            refused: BTreeMap::new(),
            resent: Vec::new(),
            checked: Vec::new(),
            forgotten: Vec::new(),
            cancelled: Vec::new(),
            probed: Vec::new(),
            audited: Vec::new(),
        };
        trial.publish((0..targets).map(target_spec).collect());
        trial
    }

    pub fn publish(&mut self, specs: Vec<TargetSpec>) {
        let specs = specs.into_iter().map(Arc::new).collect();
        let effects = self.desk.set_targets(self.now, specs);
        self.note(effects);
    }

    pub fn offer(&mut self, item: WorkItem) {
        let effects = self.desk.submit(self.now, item);
        self.note(effects);
    }

    pub fn signal(&mut self, dispatch: u64, signal: TargetSignal) {
        let effects = self.desk.on_signal(self.now, dispatch, signal, None);
        self.note(effects);
    }

    pub fn load(&mut self, target: &str, load: TargetLoad) {
        let effects = self.desk.on_load_report(self.now, &TargetName::new(target), load);
        self.note(effects);
    }

    pub fn cancel(&mut self, work: u64) {
        let effects = self.desk.cancel(self.now, work);
        self.note(effects);
    }

    /// Moves the time on in ticks of 10 ms.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now = self.now.after_millis(10);
            let effects = self.desk.on_tick(self.now);
            self.note(effects);
        }
    }

    /// The last dispatch of that work.
    pub fn dispatch_of(&self, work: u64) -> u64 {
        self.last_of(work).map(|sent| sent.1).expect("the work was dispatched")
    }

    /// The last target of that work.
    pub fn target_of(&self, work: u64) -> String {
        self.last_of(work).map(|sent| sent.2.clone()).expect("the work was dispatched")
    }

    pub fn times_sent(&self, work: u64) -> usize {
        self.sent.iter().filter(|sent| sent.0 == work).count()
    }

    fn last_of(&self, work: u64) -> Option<&(u64, u64, String)> {
        self.sent.iter().rev().find(|sent| sent.0 == work)
    }

    fn note(&mut self, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Dispatch { work, dispatch, target } => {
                    self.sent.push((work, dispatch, target.name.to_string()));
                }
                SchedulerEffect::Resend { dispatch, .. } => self.resent.push(dispatch),
                SchedulerEffect::Check { dispatch, .. } => self.checked.push(dispatch),
                SchedulerEffect::Discard { work } => self.forgotten.push(work),
                SchedulerEffect::Refuse { work, refusal } => {
                    let earlier = self.refused.insert(work, refusal);
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

/// A bid of `member` that isn't idempotent and has 10 s.
pub fn bid(trial: &DeskTrial, id: u64, member: &str) -> WorkItem {
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
        deadline: trial.now.after_millis(10_000),
        start_deadline: ClockTime::MAX,
    }
}
