//! Invariants of a scheduler under random orders of events.
//!
//! The tests check for wrong slot counts, second runs, false "not run" refusals and work that
//! neither ends nor is refused. The network delays, drops, duplicates and reorders datagrams;
//! targets shed, report wrong loads, are replaced and drained.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use common::{
    bid,
    fake_target::{FakeTarget, StartResult},
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
const REPLACEMENT_MS: u16 = 150;

#[derive(Clone, Debug)]
enum RandomStep {
    Submit {
        member: u8,
        priority: u8,
        idempotent: bool,
        millis: u16,
    },
    Cancel(Index),
    /// The network delivers, drops or duplicates a datagram.
    Deliver(Index, NetworkFault),
    /// The run of a dispatch at a target ends.
    End(Index),
    Shed(usize, bool),
    Replace(usize),
    Drain(usize, bool),
    Report(usize, u8),
    Advance(u16),
}

/// Whether the scheduler queries the state of accepted work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateQueries {
    On,
    Off,
}

#[derive(Clone, Copy, Debug)]
enum NetworkFault {
    None,
    Drop,
    Duplicate,
}

#[derive(Clone, Debug)]
enum Datagram {
    Open { work: u64, dispatch: u64, target: Arc<TargetSpec>, deadline: ClockTime },
    Cancel { dispatch: u64, target: Arc<TargetSpec> },
    Check { dispatch: u64, target: Arc<TargetSpec> },
    Signal { dispatch: u64, signal: TargetSignal },
}

struct RandomWorld {
    scheduler: ShardScheduler,
    now: ClockTime,
    next_work: u64,
    items: BTreeMap<u64, (bool, ClockTime)>,
    targets: Vec<FakeTarget>,
    specs: Vec<TargetSpec>,
    in_flight: Vec<Datagram>,
    run_counts: BTreeMap<u64, u32>,
    // The work item of each dispatch, and the dispatches that were reported as "not run".
    work_by_dispatch: BTreeMap<u64, u64>,
    not_run_dispatches: BTreeSet<u64>,
    ended_work: BTreeSet<u64>,
    refusals: BTreeMap<u64, RunState>,
}

impl RandomWorld {
    fn new(seed: u64, queries: StateQueries) -> RandomWorld {
        let mut options = SchedulerOptions::new().queue_limit(8).retry_burst(5.0);
        if queries == StateQueries::On {
            options = options.request_check_interval(Duration::from_millis(300));
        }
        let policy = policy_by_name("freest", seed).expect("known policy");
        let mut world = RandomWorld {
            scheduler: ShardScheduler::new(options, policy, seed),
            now: ClockTime::from_micros(5_000_000),
            next_work: 1,
            items: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| FakeTarget::new(1)).collect(),
            specs: (0..TARGETS).map(target_spec).collect(),
            in_flight: Vec::new(),
            run_counts: BTreeMap::new(),
            work_by_dispatch: BTreeMap::new(),
            not_run_dispatches: BTreeSet::new(),
            ended_work: BTreeSet::new(),
            refusals: BTreeMap::new(),
        };
        world.publish();
        world
    }

    fn apply_step(&mut self, step: RandomStep) {
        match step {
            RandomStep::Submit { member, priority, idempotent, millis } => {
                self.submit(member, priority, idempotent, millis);
            }
            RandomStep::Cancel(index) => {
                let work = 1 + index.index(self.next_work as usize) as u64;
                let effects = self.scheduler.cancel(self.now, work);
                self.apply_effects(effects);
            }
            RandomStep::Deliver(index, fault) => self.deliver(index, fault),
            RandomStep::End(index) => self.end_run(index),
            RandomStep::Shed(target_index, sheds) => self.targets[target_index].sheds = sheds,
            RandomStep::Replace(target_index) => {
                // A replacement takes at least as long as the start of the new process.
                self.advance(REPLACEMENT_MS);
                self.specs[target_index].incarnation += 1;
                self.targets[target_index] = FakeTarget::new(self.specs[target_index].incarnation);
                self.publish();
            }
            RandomStep::Drain(target_index, draining) => {
                self.specs[target_index].draining = draining;
                self.publish();
            }
            RandomStep::Report(target_index, busy) => self.report(target_index, busy),
            RandomStep::Advance(millis) => self.advance(millis),
        }
    }

    fn submit(&mut self, member: u8, priority: u8, idempotent: bool, millis: u16) {
        let harness = common::SchedulerHarness::new(SchedulerOptions::new(), 0);
        let mut item = bid(&harness, self.next_work, &format!("m{member}"));
        item.priority = PaidPriority(priority);
        item.idempotent = idempotent;
        item.deadline = self.now.after_millis(u64::from(millis));
        self.items.insert(item.id, (idempotent, item.deadline));
        self.next_work += 1;
        let effects = self.scheduler.submit(self.now, item);
        self.apply_effects(effects);
    }

    fn publish(&mut self) {
        let specs = self.specs.iter().cloned().map(Arc::new).collect();
        let effects = self.scheduler.set_targets(self.now, specs);
        self.apply_effects(effects);
    }

    fn report(&mut self, target_index: usize, busy: u8) {
        let busy_slots = u32::from(busy);
        let load = TargetLoad { busy_slots, healthy: busy != 1, ..TargetLoad::default() };
        let name = self.specs[target_index].name.clone();
        let effects = self.scheduler.on_load_report(self.now, &name, load);
        self.apply_effects(effects);
    }

    fn advance(&mut self, millis: u16) {
        self.now = self.now.after_millis(u64::from(millis));
        let effects = self.scheduler.on_tick(self.now);
        self.apply_effects(effects);
    }

    fn deliver(&mut self, index: Index, fault: NetworkFault) {
        if self.in_flight.is_empty() {
            return;
        }
        self.deliver_at(index.index(self.in_flight.len()), fault);
    }

    fn deliver_at(&mut self, index: usize, fault: NetworkFault) {
        let datagram = match fault {
            NetworkFault::Duplicate => self.in_flight[index].clone(),
            NetworkFault::None | NetworkFault::Drop => self.in_flight.remove(index),
        };
        if matches!(fault, NetworkFault::Drop) {
            return;
        }
        match datagram {
            Datagram::Open { work, dispatch, target, deadline } => {
                let now = self.now;
                let (signal, result) =
                    self.target_mut(&target).open(now, dispatch, &target, deadline);
                if result == StartResult::Started {
                    *self.run_counts.entry(work).or_default() += 1;
                }
                self.in_flight.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Cancel { dispatch, target } => {
                let signal = self.target_mut(&target).cancel(dispatch, &target);
                self.in_flight.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Check { dispatch, target } => {
                let signal = self.target_mut(&target).check(dispatch, &target);
                self.in_flight.push(Datagram::Signal { dispatch, signal });
            }
            Datagram::Signal { dispatch, signal } => self.signal(dispatch, signal),
        }
    }

    fn target_mut(&mut self, target: &TargetSpec) -> &mut FakeTarget {
        let target_index: usize = target.name[1..].parse().expect("a number");
        &mut self.targets[target_index]
    }

    fn signal(&mut self, dispatch: u64, signal: TargetSignal) {
        let work = self.work_by_dispatch[&dispatch];
        let before = self.scheduler.status(self.now).counters.ended;
        if matches!(signal, TargetSignal::NotRun(_)) {
            self.not_run_dispatches.insert(dispatch);
        }
        let effects = self.scheduler.on_signal(self.now, dispatch, signal, None);
        if self.scheduler.status(self.now).counters.ended > before {
            assert!(self.ended_work.insert(work), "work {work} ended twice");
            assert!(!self.refusals.contains_key(&work), "refused work {work} ended");
        }
        self.apply_effects(effects);
    }

    fn end_run(&mut self, index: Index) {
        let mut running = Vec::new();
        for (target_index, target) in self.targets.iter().enumerate() {
            running.extend(target.running().map(|dispatch| (target_index, dispatch)));
        }
        if running.is_empty() {
            return;
        }
        let (target_index, dispatch) = running[index.index(running.len())];
        self.targets[target_index].end_run(dispatch);
        self.in_flight.push(Datagram::Signal { dispatch, signal: TargetSignal::Ended });
    }

    fn apply_effects(&mut self, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Dispatch { work, dispatch, target } => {
                    self.record_dispatch(work, dispatch, target);
                }
                SchedulerEffect::Resend { work, dispatch, target } => {
                    assert_eq!(self.work_by_dispatch[&dispatch], work);
                    let deadline = self.items[&work].1;
                    self.in_flight.push(Datagram::Open { work, dispatch, target, deadline });
                }
                SchedulerEffect::Refuse { work, refusal } => {
                    self.record_refusal(work, refusal.run_state)
                }
                SchedulerEffect::Cancel { dispatch, target } => {
                    self.in_flight.push(Datagram::Cancel { dispatch, target });
                }
                SchedulerEffect::Check { dispatch, target, .. } => {
                    self.in_flight.push(Datagram::Check { dispatch, target });
                }
                SchedulerEffect::Discard { work } => {
                    self.ended_work.insert(work);
                }
                SchedulerEffect::Probe { .. } | SchedulerEffect::Audit(_) => {}
            }
        }
        self.check_slots();
    }

    fn record_dispatch(&mut self, work: u64, dispatch: u64, target: Arc<TargetSpec>) {
        assert_ne!(dispatch, 0);
        assert!(!target.draining, "work {work} sent to a draining target");
        let (idempotent, deadline) = self.items[&work];
        assert!(!deadline.is_past(self.now), "work {work} sent after its deadline");
        assert!(!self.refusals.contains_key(&work), "refused work {work} was sent");
        let mut earlier = self.work_by_dispatch.iter().filter(|(_, other)| **other == work);
        let all_not_run = earlier.all(|(id, _)| self.not_run_dispatches.contains(id));
        assert!(idempotent || all_not_run, "work {work} sent twice");
        assert!(self.work_by_dispatch.insert(dispatch, work).is_none(), "a dispatch id twice");
        self.in_flight.push(Datagram::Open { work, dispatch, target, deadline });
    }

    fn record_refusal(&mut self, work: u64, run_state: RunState) {
        assert!(!self.ended_work.contains(&work), "ended work {work} was refused");
        assert!(self.refusals.insert(work, run_state).is_none(), "work {work} refused twice");
    }

    fn check_slots(&self) {
        for target in self.scheduler.status(self.now).targets {
            assert!(target.busy <= target.slots, "{} holds {}", target.name, target.busy);
        }
    }

    fn check_runs(&self) {
        for (work, runs) in &self.run_counts {
            assert!(self.items[work].0 || *runs <= 1, "work {work} ran {runs} times");
            let run_state = self.refusals.get(work);
            assert_ne!(
                run_state,
                Some(&RunState::NotRun),
                "work {work} ran and was refused NOT_RUN"
            );
        }
    }

    // After enough time, all work has ended or been refused, whatever happened before.
    fn run_to_end(&mut self) {
        for _ in 0..400 {
            self.advance(50);
        }
        for work in 1..self.next_work {
            let ends = usize::from(self.ended_work.contains(&work))
                + usize::from(self.refusals.contains_key(&work));
            assert_eq!(ends, 1, "work {work} ended or was refused {ends} times");
        }
        assert_eq!(self.scheduler.unfinished_count(), 0);
        let occupied: u32 =
            self.scheduler.status(self.now).targets.iter().map(|target| target.busy).sum();
        assert_eq!(occupied, 0, "slots are still occupied");
        // Delivers the datagrams that are still in flight.
        while let Some(datagram) = self.in_flight.pop() {
            if !matches!(datagram, Datagram::Signal { .. }) {
                self.in_flight.push(datagram);
                self.deliver_at(self.in_flight.len() - 1, NetworkFault::None);
            }
        }
        self.check_runs();
    }
}

fn any_fault() -> impl Strategy<Value = NetworkFault> {
    prop_oneof![
        6 => Just(NetworkFault::None),
        1 => Just(NetworkFault::Drop),
        1 => Just(NetworkFault::Duplicate),
    ]
}

fn any_step() -> impl Strategy<Value = RandomStep> {
    let target_index = 0..TARGETS;
    prop_oneof![
        6 => (0..3u8, 0..8u8, any::<bool>(), 20..4000u16).prop_map(
            |(member, priority, idempotent, millis)| RandomStep::Submit {
                member, priority, idempotent, millis
            }
        ),
        1 => any::<Index>().prop_map(RandomStep::Cancel),
        12 => (any::<Index>(), any_fault())
            .prop_map(|(index, fault)| RandomStep::Deliver(index, fault)),
        4 => any::<Index>().prop_map(RandomStep::End),
        1 => (target_index.clone(), any::<bool>())
            .prop_map(|(index, sheds)| RandomStep::Shed(index, sheds)),
        1 => target_index.clone().prop_map(RandomStep::Replace),
        1 => (target_index.clone(), any::<bool>())
            .prop_map(|(index, draining)| RandomStep::Drain(index, draining)),
        1 => (target_index, 0..4u8).prop_map(|(index, busy)| RandomStep::Report(index, busy)),
        5 => (1..150u16).prop_map(RandomStep::Advance),
        1 => (2000..40_000u16).prop_map(RandomStep::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn keeps_the_invariants_under_random_events(
        seed in any::<u64>(),
        queries in prop_oneof![Just(StateQueries::On), Just(StateQueries::Off)],
        steps in proptest::collection::vec(any_step(), 1..160),
    ) {
        let mut world = RandomWorld::new(seed, queries);
        for step in steps {
            world.apply_step(step);
            world.check_runs();
        }
        world.run_to_end();
    }
}
