//! What is done to a run, and when.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use rand::Rng;

use crate::{
    events::SimEvent,
    places::INSTANCES,
    tally::WorkOutcome,
    targets::SimTarget,
    workloads::{LoadVariant, ServiceLoad},
    world::{CALLER_RESEND, CALLER_WAY, FORWARD_WAIT, SimDesk, SimWorld},
};

/// How long a replaced target stays cold.
pub const COLD_TIME: Duration = Duration::from_secs(5);

/// `FaultStep` is one step of a variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// The first target becomes slow and reports to be idle.
    SlowTarget,
    /// A quarter of the targets is replaced by cold processes.
    ReplaceCold,
    /// A third of the targets drains.
    DrainThird,
    /// The drained targets are open again.
    OpenThird,
    /// Half of the targets shed everything and report to be idle.
    ShedHalf,
    /// They take work again.
    TakeHalf,
    /// The first instance is killed.
    KillInstance,
    /// Half of the instances hold another view.
    SplitViews,
    /// All hold the same view again.
    JoinViews,
}

/// The steps of a variant with their times: a third and two thirds into the run.
pub fn fault_plan(variant: LoadVariant, load: &ServiceLoad) -> Vec<(ClockTime, FaultStep)> {
    let third = ClockTime::ZERO.after(load.length / 3);
    let two_thirds = ClockTime::ZERO.after(load.length * 2 / 3);
    match variant {
        LoadVariant::Plain | LoadVariant::GreedyMember | LoadVariant::OnePriority => Vec::new(),
        LoadVariant::SlowTarget => vec![(ClockTime::ZERO, FaultStep::SlowTarget)],
        LoadVariant::ColdStart => vec![(third, FaultStep::ReplaceCold)],
        LoadVariant::ThirdDraining => {
            vec![(third, FaultStep::DrainThird), (two_thirds, FaultStep::OpenThird)]
        }
        LoadVariant::InstanceKilled => {
            // In the middle of a burst, where the workload has bursts.
            vec![(third.after(Duration::from_millis(100)), FaultStep::KillInstance)]
        }
        LoadVariant::HalfShedding => {
            vec![(third, FaultStep::ShedHalf), (two_thirds, FaultStep::TakeHalf)]
        }
        LoadVariant::SplitViews => {
            vec![(third, FaultStep::SplitViews), (two_thirds, FaultStep::JoinViews)]
        }
    }
}

impl SimWorld {
    pub(crate) fn take_fault(&mut self, step: FaultStep) {
        match step {
            FaultStep::SlowTarget => self.processes[self.current[0]].lies_idle = true,
            FaultStep::ReplaceCold => {
                for target in 0..self.specs.len().div_ceil(4) {
                    self.replace_cold(target);
                }
                self.publish();
            }
            FaultStep::DrainThird => self.set_draining(true),
            FaultStep::OpenThird => self.set_draining(false),
            FaultStep::ShedHalf => self.set_shedding(true),
            FaultStep::TakeHalf => self.set_shedding(false),
            FaultStep::KillInstance => self.kill_instance(),
            FaultStep::SplitViews => {
                self.split = true;
                for desk in 0..self.plan.place.desks(self.specs.len()) {
                    self.add_successor(desk);
                }
            }
            FaultStep::JoinViews => self.split = false,
        }
    }

    pub(crate) fn replace_cold(&mut self, target: usize) {
        self.specs[target].incarnation += 1;
        let incarnation = self.specs[target].incarnation;
        let queue_limit = self.plan.place.target_queue(self.specs.len());
        let slots = self.plan.load.slots;
        let mut process = SimTarget::new(incarnation, slots, queue_limit, self.now);
        process.cold_until = self.now.after(COLD_TIME);
        self.current[target] = self.processes.len();
        self.processes.push(process);
    }

    pub(crate) fn set_shedding(&mut self, sheds: bool) {
        for target in 0..self.specs.len() / 2 {
            self.processes[self.current[target]].sheds = sheds;
        }
    }

    pub(crate) fn set_draining(&mut self, draining: bool) {
        for target in 0..self.specs.len() / 3 {
            self.specs[target].draining = draining;
            self.processes[self.current[target]].draining = draining;
        }
        self.publish();
    }

    pub(crate) fn publish(&mut self) {
        let now = self.now;
        for desk in 0..self.desks.len() {
            let specs = self.plan.place.targets_of(self.desks[desk].origin, &self.specs);
            self.on_desk(desk, |home| home.set_targets(now, specs));
        }
    }

    pub(crate) fn kill_instance(&mut self) {
        self.killed_at = Some(self.now);
        self.report.killed_at = Some(self.now);
        for desk in 0..self.desks.len() {
            if self.desks[desk].instance != 0 {
                continue;
            }
            self.desks[desk].is_alive = false;
            if !self.plan.place.is_local() {
                self.add_successor(desk);
            }
        }
        self.lose_works();
    }

    // Callers of what waited at a lost home learn so when they send again; what
    // a target has is answered by the target.
    pub(crate) fn lose_works(&mut self) {
        for work in 0..self.works.len() {
            let record = &self.works[work];
            let is_open = record.outcome == WorkOutcome::Open && record.offered_at.is_some();
            if is_open && !record.is_accepted && !self.desks[record.desk].is_alive {
                let resend = CALLER_RESEND.mul_f64(self.random.random::<f64>());
                let learns_at = self.now.after(resend).after(FORWARD_WAIT).after(CALLER_WAY * 2);
                self.events.push(learns_at, SimEvent::HomeLost(work as u64));
            }
        }
    }

    pub(crate) fn add_successor(&mut self, desk: usize) {
        let next = self.desks.len();
        let seed = self.plan.seed ^ next as u64;
        let mut home = self.plan.place.make_desk(desk, &self.specs, seed);
        home.on_tick(self.now);
        let instance = (self.desks[desk].instance + 1) % INSTANCES;
        self.desks.push(SimDesk { desk: home, instance, origin: desk, is_alive: true });
        self.successors.insert(desk, next);
    }
}
