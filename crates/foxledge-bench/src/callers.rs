//! Callers and the entry instances that take their requests.

use std::time::Duration;

use foxledge_core::{
    lists::{FullAction, PaidPriority},
    time::ClockTime,
};
use foxledge_policy::{RefuseReason, RunState, WorkItem, WorkRefusal};
use rand::Rng;

use crate::{
    arrivals::RequestArrival,
    events::SimEvent,
    places::INSTANCES,
    tally::{WorkOutcome, WorkRecord},
    workloads::{LoadVariant, MEMBER_PRIORITIES},
    world::{CALLER_RESEND, CALLER_WAY, CENTRE_WAY, FORWARD_WAIT, PassedOver, SimWorld},
};

/// How long a home that said nothing is then passed over.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// How long after its death every instance's view names a home dead.
const SEEN_DEAD: Duration = Duration::from_secs(3);
/// How long a ticket admits.
const TICKET_LIFE: Duration = Duration::from_secs(4);
/// Times that a refused caller asks in all.
const CALLER_ASKS: u32 = 2;

impl SimWorld {
    pub(crate) fn next_arrival(&mut self) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        let work = self.add_work(arrival, arrival.at, 1);
        self.events.push(arrival.at, SimEvent::Ask(work));
    }

    pub(crate) fn add_work(
        &mut self,
        arrival: RequestArrival,
        asked_at: ClockTime,
        asks: u32,
    ) -> u64 {
        let work = self.works.len() as u64;
        let priority = match self.plan.variant {
            LoadVariant::OnePriority => 0,
            _ => MEMBER_PRIORITIES[arrival.member % MEMBER_PRIORITIES.len()],
        };
        let deadline = asked_at.after(self.plan.load.patience);
        self.works.push(WorkRecord::new(arrival, priority, asked_at, deadline, asks));
        work
    }

    pub(crate) fn ask(&mut self, work: u64) {
        let record = &self.works[work as usize];
        if record.asks == 1 && record.arrival.at == self.now {
            self.next_arrival();
        }
        let entry = self.random.random_range(0..INSTANCES);
        if self.is_dead(entry) {
            // Nobody answers: the caller sends again, to any instance.
            self.events.push(self.now.after(CALLER_RESEND), SimEvent::Ask(work));
            return;
        }
        let flow = self.works[work as usize].arrival.flow;
        let first = self.plan.place.desk_for(flow, entry, self.plan.load.targets);
        let (desk, wait) = self.route(first, entry);
        let at = self.now.after(CENTRE_WAY).after(wait);
        self.events.push(at, SimEvent::Offer { work, desk });
    }

    // The desk that an entry instance sends to, and what it waits before.
    pub(crate) fn route(&mut self, first: usize, entry: usize) -> (usize, Duration) {
        let Some(&second) = self.successors.get(&first) else {
            return (first, Duration::ZERO);
        };
        if self.split && self.desks[first].is_alive {
            let desk = if entry.is_multiple_of(2) { first } else { second };
            return (desk, Duration::ZERO);
        }
        if self.desks[first].is_alive {
            return (first, Duration::ZERO);
        }
        let seen_dead = self.killed_at.is_some_and(|at| at.after(SEEN_DEAD).is_past(self.now));
        if seen_dead || self.passed_over[entry].holds_at(self.now) {
            return (second, Duration::ZERO);
        }
        // The entry instance only knows after its wait; what comes before then waits too.
        if self.passed_over[entry].until.is_past(self.now) {
            let from = self.now.after(FORWARD_WAIT);
            self.passed_over[entry] = PassedOver { from, until: from.after(PASSED_OVER) };
        }
        (second, FORWARD_WAIT)
    }

    pub(crate) fn is_dead(&self, instance: usize) -> bool {
        self.killed_at.is_some() && instance == 0
    }

    pub(crate) fn offer(&mut self, work: u64, desk: usize) {
        let now = self.now;
        if !self.desks[desk].is_alive {
            // On its way when the home died: the entry instance gets no ack.
            let Some(&second) = self.successors.get(&desk) else {
                self.events.push(now.after(CALLER_RESEND), SimEvent::Ask(work));
                return;
            };
            self.events.push(now.after(FORWARD_WAIT), SimEvent::Offer { work, desk: second });
            return;
        }
        let record = &mut self.works[work as usize];
        record.offered_at.get_or_insert(now);
        record.desk = desk;
        let item = WorkItem {
            id: work,
            flow: record.arrival.flow,
            member: self.members[record.arrival.member].clone(),
            kind: self.plan.load.kind,
            priority: PaidPriority(record.priority),
            weight: 1,
            member_limit: 0,
            when_full: FullAction::Queue,
            idempotent: false,
            deadline: record.deadline,
            start_deadline: now.after(TICKET_LIFE.max(self.plan.load.patience)),
        };
        self.on_desk(desk, |home| home.submit(now, item));
    }

    pub(crate) fn refuse(&mut self, work: u64, refusal: WorkRefusal) {
        let record = &mut self.works[work as usize];
        if refusal.run_state == RunState::Unknown {
            self.end_work(work, WorkOutcome::Unknown);
            return;
        }
        let gave_up_at = match refusal.reason {
            RefuseReason::DeadlinePassed => record.deadline.min(self.now),
            _ => self.now,
        };
        let delay = self.now.since(gave_up_at);
        self.report.add_refusal(refusal.reason, delay);
        let record = &mut self.works[work as usize];
        // Callers that were refused together don't come back together.
        let spread = refusal.retry_after.mul_f64(self.random.random::<f64>() * 0.5);
        let again_at = self.now.after(refusal.retry_after).after(spread).after(CALLER_WAY * 2);
        let asks_again = record.asks < CALLER_ASKS && again_at < record.deadline;
        self.end_work(work, WorkOutcome::NotRun);
        if asks_again {
            let record = &self.works[work as usize];
            let (arrival, asked_at, asks) = (record.arrival, record.asked_at, record.asks + 1);
            let flow = self.random.random();
            let again = self.add_work(RequestArrival { flow, ..arrival }, asked_at, asks);
            self.works[work as usize].followed = true;
            self.events.push(again_at, SimEvent::Ask(again));
        }
    }
}
