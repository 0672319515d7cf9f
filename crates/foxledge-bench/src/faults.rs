//! What is done to a run.

use std::time::Duration;

use rand::Rng;

use crate::{
    events::SimEvent,
    fault_plan::FaultStep,
    places::INSTANCES,
    tally::WorkOutcome,
    targets::SimTarget,
    world::{CALLER_RESEND, CALLER_WAY, FORWARD_WAIT, SimDesk, SimWorld},
};

/// How long a replaced target stays cold.
pub const COLD_TIME: Duration = Duration::from_secs(5);

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
