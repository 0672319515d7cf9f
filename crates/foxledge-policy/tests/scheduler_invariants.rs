//! Random orders of events at one desk, its targets and the network between.
//!
//! Symptom looked for: a slot counted wrongly, a second run, a false "not
//! run", work without an end. Sequence: any. The network delays, drops,
//! copies and reorders; targets shed, lie, are replaced and drained.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use common::{
    bid,
    fake_target::{FakeTarget, RunStart},
    target_spec,
};
use foxledge_core::{
    lists::{PaidPriority, TargetSpec},
    time::ClockTime,
};
use foxledge_policy::{
    RunState, SchedulerEffect, SchedulerOptions, ShardScheduler, TargetLoad, TargetSignal,
    policy_by_name,
};
use proptest::{prelude::*, sample::Index};

const TARGETS: usize = 3;
const REPLACE_MILLIS: u16 = 150;

#[derive(Clone, Debug)]
enum SweepStep {
    Offer {
        member: u8,
        priority: u8,
        idempotent: bool,
        millis: u16,
    },
    Cancel(Index),
    /// The network hands a datagram over, or what it does instead.
    Deliver(Index, NetworkFault),
    /// A run at a target ends.
    End(Index),
    Shed(usize, bool),
    Replace(usize),
    Drain(usize, bool),
    Report(usize, u8),
    Pass(u16),
}

/// `RunChecks` is whether the desk asks about accepted work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunChecks {
    On,
    Off,
}

#[derive(Clone, Copy, Debug)]
enum NetworkFault {
    None,
    Drop,
    Copy,
}

#[derive(Clone, Debug)]
enum Datagram {
    Open { work: u64, dispatch: u64, target: Arc<TargetSpec>, give_up: ClockTime },
    Cancel { dispatch: u64, target: Arc<TargetSpec> },
    Check { dispatch: u64, target: Arc<TargetSpec> },
    Signal { dispatch: u64, signal: TargetSignal },
}

struct SweepWorld {
    desk: ShardScheduler,
    now: ClockTime,
    next_work: u64,
    items: BTreeMap<u64, (bool, ClockTime)>,
    targets: Vec<FakeTarget>,
    specs: Vec<TargetSpec>,
    network: Vec<Datagram>,
    runs: BTreeMap<u64, u32>,
    // Work by dispatch, and the dispatches that were answered "not run" or are open.
    sent: BTreeMap<u64, u64>,
    not_run: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    refused: BTreeMap<u64, RunState>,
}

impl SweepWorld {
    fn new(seed: u64, checks: RunChecks) -> SweepWorld {
        let mut options = SchedulerOptions::new().queue_limit(8).retry_burst(5.0);
        if checks == RunChecks::On {
            options = options.request_check_interval(Duration::from_millis(300));
        }
        let policy = policy_by_name("freest", seed).expect("known policy");
        let mut world = SweepWorld {
            desk: ShardScheduler::new(options, policy, seed),
            now: ClockTime::from_micros(5_000_000),
            next_work: 1,
            items: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| FakeTarget::new(1)).collect(),
            specs: (0..TARGETS).map(target_spec).collect(),
            network: Vec::new(),
            runs: BTreeMap::new(),
            sent: BTreeMap::new(),
            not_run: BTreeSet::new(),
            ended: BTreeSet::new(),
            refused: BTreeMap::new(),
        };
        world.publish();
        world
    }

    fn take_step(&mut self, step: SweepStep) {
        match step {
            SweepStep::Offer { member, priority, idempotent, millis } => {
                self.offer(member, priority, idempotent, millis);
            }
            SweepStep::Cancel(index) => {
                let work = 1 + index.index(self.next_work as usize) as u64;
                let effects = self.desk.cancel(self.now, work);
                self.carry_out(effects);
            }
            SweepStep::Deliver(index, fault) => self.deliver(index, fault),
            SweepStep::End(index) => self.end_run(index),
            SweepStep::Shed(number, sheds) => self.targets[number].sheds = sheds,
            SweepStep::Replace(number) => {
                // Between two processes at one address lies the start of the second.
                self.pass(REPLACE_MILLIS);
                self.specs[number].incarnation += 1;
                self.targets[number] = FakeTarget::new(self.specs[number].incarnation);
                self.publish();
            }
            SweepStep::Drain(number, draining) => {
                self.specs[number].draining = draining;
                self.publish();
            }
            SweepStep::Report(number, busy) => self.report(number, busy),
            SweepStep::Pass(millis) => self.pass(millis),
        }
    }

    fn offer(&mut self, member: u8, priority: u8, idempotent: bool, millis: u16) {
        let trial = common::DeskTrial::new(SchedulerOptions::new(), 0);
        let mut item = bid(&trial, self.next_work, &format!("m{member}"));
        item.priority = PaidPriority(priority);
        item.idempotent = idempotent;
        item.deadline = self.now.after_millis(u64::from(millis));
        self.items.insert(item.id, (idempotent, item.deadline));
        self.next_work += 1;
        let effects = self.desk.submit(self.now, item);
        self.carry_out(effects);
    }

    fn publish(&mut self) {
        let specs = self.specs.iter().cloned().map(Arc::new).collect();
        let effects = self.desk.set_targets(self.now, specs);
        self.carry_out(effects);
    }

    fn report(&mut self, number: usize, busy: u8) {
        let busy_slots = u32::from(busy);
        let load = TargetLoad { busy_slots, healthy: busy != 1, ..TargetLoad::default() };
        let name = self.specs[number].name.clone();
        let effects = self.desk.on_load_report(self.now, &name, load);
        self.carry_out(effects);
    }

    fn pass(&mut self, millis: u16) {
        self.now = self.now.after_millis(u64::from(millis));
        let effects = self.desk.on_tick(self.now);
        self.carry_out(effects);
    }

    fn deliver(&mut self, index: Index, fault: NetworkFault) {
        if self.network.is_empty() {
            return;
        }
        self.hand_over(index.index(self.network.len()), fault);
    }

    fn hand_over(&mut self, at: usize, fault: NetworkFault) {
        let datagram = match fault {
            NetworkFault::Copy => self.network[at].clone(),
            NetworkFault::None | NetworkFault::Drop => self.network.remove(at),
        };
        if matches!(fault, NetworkFault::Drop) {
            return;
        }
        match datagram {
            Datagram::Open { work, dispatch, target, give_up } => {
                let now = self.now;
                let (signal, start) = self.fake_of(&target).open(now, dispatch, &target, give_up);
                if start == RunStart::New {
                    *self.runs.entry(work).or_default() += 1;
                }
                self.network.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Cancel { dispatch, target } => {
                let signal = self.fake_of(&target).cancel(dispatch, &target);
                self.network.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Check { dispatch, target } => {
                let signal = self.fake_of(&target).check(dispatch, &target);
                self.network.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Signal { dispatch, signal } => self.signal(dispatch, signal),
        }
    }

    fn fake_of(&mut self, target: &TargetSpec) -> &mut FakeTarget {
        let number: usize = target.name[1..].parse().expect("a number");
        &mut self.targets[number]
    }

    fn signal(&mut self, dispatch: u64, signal: TargetSignal) {
        let work = self.sent[&dispatch];
        let before = self.desk.status(self.now).counters.ended;
        if matches!(signal, TargetSignal::NotRun(_)) {
            self.not_run.insert(dispatch);
        }
        let effects = self.desk.on_signal(self.now, dispatch, signal, None);
        if self.desk.status(self.now).counters.ended > before {
            assert!(self.ended.insert(work), "work {work} ended twice");
            assert!(!self.refused.contains_key(&work), "refused work {work} ended");
        }
        self.carry_out(effects);
    }

    fn end_run(&mut self, index: Index) {
        let mut running = Vec::new();
        for (number, fake) in self.targets.iter().enumerate() {
            running.extend(fake.running().map(|dispatch| (number, dispatch)));
        }
        if running.is_empty() {
            return;
        }
        let (number, dispatch) = running[index.index(running.len())];
        self.targets[number].end(dispatch);
        self.network.push(Datagram::Signal { dispatch, signal: TargetSignal::Ended });
    }

    fn carry_out(&mut self, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Dispatch { work, dispatch, target } => {
                    self.note_dispatch(work, dispatch, target);
                }
                SchedulerEffect::Resend { work, dispatch, target } => {
                    assert_eq!(self.sent[&dispatch], work);
                    let give_up = self.items[&work].1;
                    self.network.push(Datagram::Open { work, dispatch, target, give_up });
                }
                SchedulerEffect::Refuse { work, refusal } => {
                    self.note_refusal(work, refusal.run_state)
                }
                SchedulerEffect::Cancel { dispatch, target } => {
                    self.network.push(Datagram::Cancel { dispatch, target });
                }
                SchedulerEffect::Check { dispatch, target, .. } => {
                    self.network.push(Datagram::Check { dispatch, target });
                }
                SchedulerEffect::Discard { work } => {
                    self.ended.insert(work);
                }
                SchedulerEffect::Probe { .. } | SchedulerEffect::Audit(_) => {}
            }
        }
        self.check_slots();
    }

    fn note_dispatch(&mut self, work: u64, dispatch: u64, target: Arc<TargetSpec>) {
        assert_ne!(dispatch, 0);
        assert!(!target.draining, "work {work} sent to a draining target");
        let (idempotent, give_up) = self.items[&work];
        assert!(!give_up.is_past(self.now), "work {work} sent after its deadline");
        assert!(!self.refused.contains_key(&work), "refused work {work} was sent");
        let mut earlier = self.sent.iter().filter(|(_, other)| **other == work);
        let all_not_run = earlier.all(|(id, _)| self.not_run.contains(id));
        assert!(idempotent || all_not_run, "work {work} sent twice");
        assert!(self.sent.insert(dispatch, work).is_none(), "a dispatch id twice");
        self.network.push(Datagram::Open { work, dispatch, target, give_up });
    }

    fn note_refusal(&mut self, work: u64, ran: RunState) {
        assert!(!self.ended.contains(&work), "ended work {work} was refused");
        assert!(self.refused.insert(work, ran).is_none(), "work {work} refused twice");
    }

    fn check_slots(&self) {
        for target in self.desk.status(self.now).targets {
            assert!(target.busy <= target.slots, "{} holds {}", target.name, target.busy);
        }
    }

    fn check_runs(&self) {
        for (work, runs) in &self.runs {
            assert!(self.items[work].0 || *runs <= 1, "work {work} ran {runs} times");
            let refused = self.refused.get(work);
            assert_ne!(refused, Some(&RunState::NotRun), "work {work} ran and was refused NOT_RUN");
        }
    }

    // Whatever happened, time alone ends everything.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.pass(50);
        }
        for work in 1..self.next_work {
            let ends = usize::from(self.ended.contains(&work))
                + usize::from(self.refused.contains_key(&work));
            assert_eq!(ends, 1, "work {work} has {ends} ends");
        }
        assert_eq!(self.desk.unfinished_count(), 0);
        let held: u32 = self.desk.status(self.now).targets.iter().map(|target| target.busy).sum();
        assert_eq!(held, 0, "slots are still held");
        // Datagrams that were still under way come last.
        while let Some(datagram) = self.network.pop() {
            if !matches!(datagram, Datagram::Signal { .. }) {
                self.network.push(datagram);
                self.hand_over(self.network.len() - 1, NetworkFault::None);
            }
        }
        self.check_runs();
    }
}

fn any_fault() -> impl Strategy<Value = NetworkFault> {
    prop_oneof![
        6 => Just(NetworkFault::None),
        1 => Just(NetworkFault::Drop),
        1 => Just(NetworkFault::Copy),
    ]
}

fn any_step() -> impl Strategy<Value = SweepStep> {
    let number = 0..TARGETS;
    prop_oneof![
        6 => (0..3u8, 0..8u8, any::<bool>(), 20..4000u16).prop_map(
            |(member, priority, idempotent, millis)| SweepStep::Offer {
                member, priority, idempotent, millis
            }
        ),
        1 => any::<Index>().prop_map(SweepStep::Cancel),
        12 => (any::<Index>(), any_fault()).prop_map(|(at, fault)| SweepStep::Deliver(at, fault)),
        4 => any::<Index>().prop_map(SweepStep::End),
        1 => (number.clone(), any::<bool>()).prop_map(|(at, sheds)| SweepStep::Shed(at, sheds)),
        1 => number.clone().prop_map(SweepStep::Replace),
        1 => (number.clone(), any::<bool>()).prop_map(|(at, drains)| SweepStep::Drain(at, drains)),
        1 => (number, 0..4u8).prop_map(|(at, busy)| SweepStep::Report(at, busy)),
        5 => (1..150u16).prop_map(SweepStep::Pass),
        1 => (2000..40_000u16).prop_map(SweepStep::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_events_keeps_the_promises(
        seed in any::<u64>(),
        checks in prop_oneof![Just(RunChecks::On), Just(RunChecks::Off)],
        steps in proptest::collection::vec(any_step(), 1..160),
    ) {
        let mut world = SweepWorld::new(seed, checks);
        for step in steps {
            world.take_step(step);
            world.check_runs();
        }
        world.settle();
    }
}
