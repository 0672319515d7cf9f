//! Random interleavings at three instances: what must always hold.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{NetFaults, TestNet, is_answered, refusals, work};
use foxledge_engine::EngineOptions;
use foxledge_wire::flow::{Packet, RunOutcome};
use proptest::prelude::*;
use rand::Rng;

#[derive(Clone, Copy, Debug)]
enum Step {
    Bid { caller: u64, instance: usize, copies: u8 },
    Resend { caller: u64, instance: usize },
    Wait { millis: u64 },
    Replace { instance: usize },
    Freeze { instance: usize },
    Wake { instance: usize },
    Split { alone: usize },
    Heal,
    Drain { target: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0usize..3;
    prop_oneof![
        6 => (1u64..5, instance.clone(), 1u8..4)
            .prop_map(|(caller, instance, copies)| Step::Bid { caller, instance, copies }),
        4 => (1u64..5, instance.clone())
            .prop_map(|(caller, instance)| Step::Resend { caller, instance }),
        4 => (1u64..600).prop_map(|millis| Step::Wait { millis }),
        1 => instance.clone().prop_map(|instance| Step::Replace { instance }),
        1 => instance.clone().prop_map(|instance| Step::Freeze { instance }),
        1 => instance.clone().prop_map(|instance| Step::Wake { instance }),
        1 => instance.prop_map(|alone| Step::Split { alone }),
        1 => Just(Step::Heal),
        1 => (0usize..2).prop_map(|target| Step::Drain { target }),
    ]
}

struct Sweep {
    net: TestNet,
    tickets: BTreeMap<u64, Vec<u8>>,
    last: BTreeMap<u64, Packet>,
    request: u64,
    not_run: BTreeSet<(u64, u64)>,
    answered: BTreeSet<(u64, u64)>,
    revision: u64,
}

impl Sweep {
    fn new(seed: u64) -> Sweep {
        let mut net = TestNet::new(3, seed, EngineOptions::default());
        net.faults = NetFaults { loss: 0.1, duplicate: 0.2, delay_ms: 40 };
        Sweep {
            net,
            tickets: BTreeMap::new(),
            last: BTreeMap::new(),
            request: 0,
            not_run: BTreeSet::new(),
            answered: BTreeSet::new(),
            revision: 1,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Bid { caller, instance, copies } => self.bid(caller, instance, copies),
            Step::Resend { caller, instance } => {
                if let Some(packet) = self.last.get(&caller).cloned() {
                    self.net.send(caller, instance, &Packet { attempt: 1, ..packet });
                }
            }
            Step::Wait { millis } => self.net.run(millis),
            Step::Replace { instance } => {
                self.net.kill(instance);
                self.net.start(instance);
                self.net.share_view();
            }
            Step::Freeze { instance } => self.net.freeze(instance),
            Step::Wake { instance } => self.net.wake(instance),
            Step::Split { alone } => {
                let rest: Vec<_> = (0..3).filter(|&i| i != alone).collect();
                self.net.show_view(&[alone], &[alone]);
                self.net.show_view(&rest, &rest);
            }
            Step::Heal => self.net.share_view(),
            Step::Drain { target } => self.drain(target),
        }
        self.collect();
    }

    fn bid(&mut self, caller: u64, instance: usize, copies: u8) {
        if !self.tickets.contains_key(&caller) {
            let ticket = self.net.obtain_ticket(caller, instance, "auction");
            let Some(ticket) = ticket else { return };
            self.tickets.insert(caller, ticket);
        }
        self.request += 1;
        let ticket = self.tickets[&caller].clone();
        let packet = Packet { ticket, ..work(caller, caller, self.request, "auction") };
        for _ in 0..copies {
            let to = self.net.rng.random_range(0..3);
            self.net.send(caller, to, &packet);
        }
        self.last.insert(caller, packet);
    }

    fn drain(&mut self, target: usize) {
        self.revision += 1;
        let is_draining = self.net.targets[target].spec.draining;
        self.net.targets[target].spec.draining = !is_draining;
        let list = self.net.list(self.revision);
        for instance in 0..3 {
            self.net.publish(instance, list.clone());
        }
    }

    fn collect(&mut self) {
        for caller in 1..5 {
            for answer in self.net.take_answers(caller) {
                let key = (caller, answer.request);
                if refusals(std::slice::from_ref(&answer)) == [RunOutcome::NotRun]
                    && answer.request > 0
                {
                    self.not_run.insert(key);
                    // The caller gets a fresh ticket for its next bid.
                    self.tickets.remove(&caller);
                }
                if is_answered(std::slice::from_ref(&answer)) {
                    self.answered.insert(key);
                    if !answer.ticket.is_empty() {
                        self.tickets.insert(caller, answer.ticket);
                    }
                }
            }
        }
    }

    fn check(&mut self) {
        for instance in 0..3 {
            self.net.wake(instance);
        }
        self.net.run(6_000);
        self.collect();
        let mut ran = BTreeMap::new();
        for target in &self.net.targets {
            for (&(caller, _, request), &count) in &target.runs {
                *ran.entry((caller, request)).or_insert(0) += count;
            }
        }
        for (key, count) in &ran {
            assert_eq!(*count, 1, "request {key:?} ran {count} times");
            assert!(!self.not_run.contains(key), "request {key:?} was called not run, but ran");
        }
        for key in &self.answered {
            assert!(ran.contains_key(key), "request {key:?} was answered, but never ran");
        }
        let intake = &self.net.targets[2];
        assert!(intake.runs.is_empty(), "an auction bid reached lot intake");
    }
}

fn sweep(seed: u64, steps: &[Step]) {
    let mut sweep = Sweep::new(seed);
    for &step in steps {
        sweep.apply(step);
    }
    sweep.check();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        // One seed, so that every run gives the same verdict.
        rng_seed: proptest::test_runner::RngSeed::Fixed(20261202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold(seed in any::<u64>(), steps in proptest::collection::vec(step(), 1..40)) {
        sweep(seed, &steps);
    }
}

#[test]
fn desk_remade() {
    // Symptom: a bid is answered but never ran (found by the sweep).
    // Sequence: a desk runs a bid, is dropped as idle upon a new view, and made anew; the next
    //   bid goes to the same target.
    // Cause: the new desk drew the same dispatch ids, so the target took the bid for a copy.
    let steps = [
        Step::Bid { caller: 1, instance: 1, copies: 1 },
        Step::Drain { target: 0 },
        Step::Bid { caller: 1, instance: 0, copies: 1 },
        Step::Bid { caller: 1, instance: 0, copies: 1 },
        Step::Heal,
        Step::Bid { caller: 2, instance: 0, copies: 1 },
        Step::Drain { target: 0 },
    ];
    for seed in 0..200 {
        sweep(seed, &steps);
    }
}
