//! One run of one service in virtual time.

use std::{collections::HashMap, time::Duration};

use foxledge_core::{
    hash::digest_of,
    lists::TargetSpec,
    names::{MemberName, TargetName},
    time::ClockTime,
};
use foxledge_policy::{SchedulerEffect, ShardScheduler};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    arrivals::ArrivalSource,
    events::{EventQueue, SimEvent},
    fault_plan::fault_plan,
    places::{INSTANCES, PlaceKind},
    report::RunResult,
    run_plan::RunPlan,
    tally::{RunTally, WorkOutcome, WorkRecord},
    targets::{SimTarget, TargetJob},
    workloads::ServiceLoad,
};

/// One way between a caller and an instance.
pub(crate) const CALLER_WAY: Duration = Duration::from_millis(3);
/// One way inside a data centre.
pub(crate) const CENTRE_WAY: Duration = Duration::from_micros(100);
/// How long an entry instance waits for a home's word.
pub(crate) const FORWARD_WAIT: Duration = Duration::from_millis(150);
/// A caller without any answer sends again after this time.
pub(crate) const CALLER_RESEND: Duration = Duration::from_millis(200);
/// Period of a daemon's tick.
const TICK: Duration = Duration::from_millis(10);
/// How long after the last deadline a run goes on.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Window over which imbalance is taken.
const WINDOW: Duration = Duration::from_millis(100);
/// What comes before isn't measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// `SimWorld` is a data centre's instances, one service and its callers.
pub struct SimWorld {
    pub(crate) plan: RunPlan,
    pub(crate) now: ClockTime,
    pub(crate) events: EventQueue<SimEvent>,
    pub(crate) arrivals: ArrivalSource,
    pub(crate) random: StdRng,
    pub(crate) desks: Vec<SimDesk>,
    // The desk that stands in for one that was lost, or the second home.
    pub(crate) successors: HashMap<usize, usize>,
    pub(crate) split: bool,
    pub(crate) killed_at: Option<ClockTime>,
    pub(crate) passed_over: [PassedOver; INSTANCES],
    pub(crate) specs: Vec<TargetSpec>,
    // Every process that ever was; `current` holds the one of each target.
    pub(crate) processes: Vec<SimTarget>,
    pub(crate) current: Vec<usize>,
    pub(crate) works: Vec<WorkRecord>,
    pub(crate) members: Vec<MemberName>,
    pub(crate) report: RunTally,
}

/// `SimDesk` is a desk and whether its process lives.
pub(crate) struct SimDesk {
    pub(crate) desk: ShardScheduler,
    pub(crate) instance: usize,
    // The desk whose targets it has: itself, or the one that it stands in for.
    pub(crate) origin: usize,
    pub(crate) is_alive: bool,
}

/// `PassedOver` is when an entry instance passes a silent home over.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PassedOver {
    pub(crate) from: ClockTime,
    pub(crate) until: ClockTime,
}

impl PassedOver {
    pub(crate) fn holds_at(&self, now: ClockTime) -> bool {
        self.from.is_past(now) && !self.until.is_past(now)
    }
}

/// Makes the run.
pub fn run_plan(plan: RunPlan) -> RunResult {
    let mut world = SimWorld::new(plan);
    world.run();
    world.finish()
}

impl SimWorld {
    pub(crate) fn new(plan: RunPlan) -> SimWorld {
        let load = plan.load;
        // Services differ in their arrivals also where their loads are alike.
        let seed = plan.seed ^ digest_of(load.service.as_bytes());
        let specs: Vec<_> = (0..load.targets).map(|number| target_spec(&load, number)).collect();
        let queue_limit = plan.place.target_queue(load.targets);
        let new_target = |_| SimTarget::new(1, load.slots, queue_limit, ClockTime::ZERO);
        let desks = (0..plan.place.desks(load.targets)).map(|number| SimDesk {
            desk: plan.place.make_desk(number, &specs, plan.seed),
            instance: number % INSTANCES,
            origin: number,
            is_alive: true,
        });
        SimWorld {
            now: ClockTime::ZERO,
            events: EventQueue::new(),
            arrivals: ArrivalSource::new(load, plan.level, plan.variant, seed),
            random: StdRng::seed_from_u64(!seed),
            desks: desks.collect(),
            successors: HashMap::new(),
            split: false,
            killed_at: None,
            passed_over: [PassedOver::default(); INSTANCES],
            processes: (0..load.targets).map(new_target).collect(),
            current: (0..load.targets).collect(),
            specs,
            works: Vec::new(),
            members: (0..load.members).map(|number| format!("m{number}").as_str().into()).collect(),
            report: RunTally::new(plan),
            plan,
        }
    }

    pub(crate) fn run(&mut self) {
        let end = ClockTime::ZERO.after(self.plan.load.length);
        self.events.push(ClockTime::ZERO.after(TICK), SimEvent::Tick);
        self.events.push(ClockTime::ZERO.after(WINDOW), SimEvent::Window);
        for (at, step) in fault_plan(self.plan.variant, &self.plan.load) {
            self.events.push(at, SimEvent::Fault(step));
        }
        self.next_arrival();
        // Callers that still wait get their patience after the last arrival.
        let last = end.after(self.plan.load.patience).after(SETTLE_TIME);
        while let Some((at, event)) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.take_event(event, end);
        }
    }

    pub(crate) fn finish(mut self) -> RunResult {
        for desk in &self.desks {
            self.report.add_counters(&desk.desk.status(self.now).counters);
        }
        self.report.finish(&self.works)
    }

    pub(crate) fn take_event(&mut self, event: SimEvent, end: ClockTime) {
        match event {
            SimEvent::Ask(work) => self.ask(work),
            SimEvent::Offer { work, desk } => self.offer(work, desk),
            SimEvent::Open { desk, target, incarnation, job } => {
                self.open(desk, target, incarnation, job);
            }
            SimEvent::Cancel { desk, target, incarnation, dispatch } => {
                self.cancel(desk, target, incarnation, dispatch);
            }
            SimEvent::RunEnd { process, job } => self.end_run(process, job),
            SimEvent::Signal { desk, dispatch, signal, load } => {
                self.signal(desk, dispatch, signal, load);
            }
            SimEvent::Report { desk, target, load } => {
                let name = self.specs[target].name.clone();
                let now = self.now;
                self.on_desk(desk, |home| home.on_load_report(now, &name, load));
            }
            SimEvent::Tick => self.tick(end),
            SimEvent::Window => self.end_window(end),
            SimEvent::Fault(step) => self.take_fault(step),
            SimEvent::HomeLost(work) => self.end_work(work, WorkOutcome::Unknown),
        }
    }

    pub(crate) fn on_desk(
        &mut self,
        desk: usize,
        act: impl FnOnce(&mut ShardScheduler) -> Vec<SchedulerEffect>,
    ) {
        if !self.desks[desk].is_alive {
            return;
        }
        for effect in act(&mut self.desks[desk].desk) {
            self.carry_out(desk, effect);
        }
    }

    pub(crate) fn carry_out(&mut self, desk: usize, effect: SchedulerEffect) {
        let at = self.now.after(CENTRE_WAY);
        match effect {
            SchedulerEffect::Dispatch { work, dispatch, target }
            | SchedulerEffect::Resend { work, dispatch, target } => {
                let record = &self.works[work as usize];
                let (run, deadline) = (record.arrival.run, record.deadline);
                let job = TargetJob { dispatch, work, run, deadline };
                let (number, incarnation) = (number_of(&target), target.incarnation);
                self.events.push(at, SimEvent::Open { desk, target: number, incarnation, job });
            }
            SchedulerEffect::Refuse { work, refusal } => self.refuse(work, refusal),
            SchedulerEffect::Cancel { dispatch, target } => {
                let (number, incarnation) = (number_of(&target), target.incarnation);
                let event = SimEvent::Cancel { desk, target: number, incarnation, dispatch };
                self.events.push(at, event);
            }
            SchedulerEffect::Probe { target } => {
                let number = number_of(&target);
                let load = self.processes[self.current[number]].report();
                let answered_at = at.after(CENTRE_WAY);
                self.events.push(answered_at, SimEvent::Report { desk, target: number, load });
            }
            // Nothing is asked about accepted work here, and there are no feeds.
            SchedulerEffect::Check { .. }
            | SchedulerEffect::Discard { .. }
            | SchedulerEffect::Audit(_) => {}
        }
    }

    pub(crate) fn tick(&mut self, end: ClockTime) {
        let now = self.now;
        for desk in 0..self.desks.len() {
            self.on_desk(desk, |home| home.on_tick(now));
        }
        if now < end.after(self.plan.load.patience).after(SETTLE_TIME) {
            self.events.push(now.after(TICK), SimEvent::Tick);
        }
    }

    pub(crate) fn end_work(&mut self, work: u64, outcome: WorkOutcome) {
        let record = &mut self.works[work as usize];
        record.outcomes += 1;
        if record.outcome == WorkOutcome::Open {
            record.outcome = outcome;
        }
    }

    pub(crate) fn end_window(&mut self, end: ClockTime) {
        let now = self.now;
        let mut busy = vec![0u64; self.specs.len()];
        for (target, &process) in self.current.iter().enumerate() {
            busy[target] = self.processes[process].take_area(now);
            self.processes[process].sample(now);
        }
        let measured = now > ClockTime::ZERO.after(WARM_UP) && now <= end;
        if measured {
            let open = |target: &usize| {
                !self.specs[*target].draining && !self.processes[self.current[*target]].sheds
            };
            let busy: Vec<_> = (0..busy.len()).filter(open).map(|target| busy[target]).collect();
            self.report.add_window(&busy);
            let mut slots = 0.0;
            for &process in &self.current {
                let target = &self.processes[process];
                if !target.draining && !target.sheds {
                    slots += f64::from(self.plan.load.slots) / target.slowness(now);
                }
            }
            self.report.add_capacity(slots * WINDOW.as_secs_f64());
        }
        if self.plan.place == PlaceKind::TwoChoices {
            self.spread_reports();
        }
        if now < end {
            self.events.push(now.after(WINDOW), SimEvent::Window);
        }
    }

    pub(crate) fn spread_reports(&mut self) {
        for desk in 0..self.desks.len() {
            for target in 0..self.specs.len() {
                let load = self.processes[self.current[target]].report();
                self.events.push(self.now, SimEvent::Report { desk, target, load });
            }
        }
    }
}

fn target_spec(load: &ServiceLoad, number: usize) -> TargetSpec {
    let port = 9000 + number as u16;
    TargetSpec {
        name: TargetName::new(&format!("t{number}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: 1,
        data_centre: "toledo".into(),
        slots: load.slots,
        connections: 2000,
        draining: false,
    }
}

fn number_of(target: &TargetSpec) -> usize {
    usize::from(target.address.port()) - 9000
}
