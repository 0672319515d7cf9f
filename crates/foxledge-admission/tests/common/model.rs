//! A simulation of callers with few tries, instances with delayed views and backend servers with
//! short queues.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use foxledge_admission::{AccountKey, AdmissionPolicy, FlowOpening, ServiceSnapshot};
use foxledge_core::time::ClockTime;
use foxledge_load::PriorityLoad;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    KindTally, LATENCY_TARGET_MS, ModelGate, ModelPlan, ModelTally, SLOTS, USUAL, caller,
    sample_of, standard_normal,
};

const SERVERS: usize = 120;
const SERVER_SLOTS: usize = 2;
const QUEUE: usize = 8;
const STEP_US: u64 = 50_000;
/// The standard deviation of a view's values, as a fraction of them.
const NOISE: f64 = 0.07;
/// The time constant with which reported arrivals decay.
const DECAY_US: f64 = 250_000.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Step,
    Arrival(usize),
    Try(usize),
    Served(usize, usize),
    NotRun(usize),
}

struct ModelRequest {
    kind: usize,
    caller: u32,
    demanded_at: u64,
    tries: u32,
    work_us: u64,
    instance: usize,
}

/// A simulation in progress.
pub struct QueueModel {
    plan: ModelPlan,
    gate: ModelGate,
    random: StdRng,
    now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    requests: Vec<ModelRequest>,
    /// Requests in the slots of each backend server, and those in its queue.
    busy: [usize; SERVERS],
    queues: Vec<VecDeque<usize>>,
    /// Forwarded requests without a response, by instance and in total.
    local_running: Vec<f64>,
    running: f64,
    /// When the running requests last fell below the slots.
    below_at: u64,
    /// Accounts of the openings since the last step, by instance.
    openings: Vec<Vec<u32>>,
    /// Arrivals per second by kind, up to the last step.
    rates: [f64; USUAL.len()],
    views: VecDeque<ServiceSnapshot>,
    tally: ModelTally,
}

impl QueueModel {
    pub fn run(plan: ModelPlan, gate: ModelGate) -> ModelTally {
        let mut model = QueueModel {
            random: StdRng::seed_from_u64(plan.seed),
            local_running: vec![0.0; plan.instances],
            now: 0,
            serial: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            busy: [0; SERVERS],
            queues: vec![VecDeque::new(); SERVERS],
            running: 0.0,
            below_at: 0,
            openings: vec![Vec::new(); plan.instances],
            rates: USUAL.map(|(_, per_s, _)| per_s),
            views: VecDeque::new(),
            tally: ModelTally::default(),
            plan,
            gate,
        };
        model.push(0, ModelEvent::Step);
        (0..USUAL.len()).for_each(|kind| model.push(0, ModelEvent::Arrival(kind)));
        let end = (model.plan.times.2 * 1e6) as u64;
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            model.now = at;
            match event {
                ModelEvent::Step if at < end => model.on_step(),
                ModelEvent::Arrival(kind) if at < end => model.on_arrival(kind),
                ModelEvent::Step | ModelEvent::Arrival(_) => {}
                ModelEvent::Try(request) => model.open_flow(request),
                ModelEvent::Served(server, request) => model.on_served(server, request),
                ModelEvent::NotRun(request) => {
                    model.finish_request(request);
                    model.retry_later(request, 0);
                }
            }
        }
        model.tally
    }

    fn push(&mut self, delay: u64, event: ModelEvent) {
        self.serial += 1;
        self.events.push(Reverse((self.now + delay, self.serial, event)));
    }

    fn is_burst(&self, at: u64) -> bool {
        let (begin, end, _) = self.plan.times;
        (begin..end).contains(&(at as f64 / 1e6))
    }

    /// Reports the load, and updates the policy of each instance with an older report.
    fn on_step(&mut self) {
        self.push(STEP_US, ModelEvent::Step);
        let now = ClockTime::from_micros(self.now);
        let load = |(kind, rate): (usize, &f64)| {
            let load = PriorityLoad { arrivals_per_s: *rate, work_us: USUAL[kind].2 };
            (USUAL[kind].0, load)
        };
        self.views.push_back(ServiceSnapshot {
            slots: SLOTS,
            running: self.running,
            priorities: self.rates.iter().enumerate().map(load).collect(),
            latency_target_ms: LATENCY_TARGET_MS,
            reported_at: now,
            is_reliable: true,
            ..ServiceSnapshot::default()
        });
        let decay = (-(STEP_US as f64) / DECAY_US).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        self.tally.loads.push(self.running / SLOTS);
        let samples: Vec<Vec<_>> = self.openings.iter_mut().map(sample_of).collect();
        if self.views.len() <= self.plan.view_steps {
            return;
        }
        let view = self.views.pop_front().unwrap();
        let ModelGate::Policies(policies) = &mut self.gate else { return };
        for (number, policy) in policies.iter_mut().enumerate() {
            let mut seen = view.clone();
            let mut noise = || 1.0 + NOISE * standard_normal(&mut self.random);
            seen.running *= noise();
            seen.priorities.values_mut().for_each(|load| load.arrivals_per_s *= noise());
            seen.sampled_arrivals_per_s =
                seen.priorities.values().map(|load| load.arrivals_per_s).sum();
            let is_received = |_: &&Vec<_>| self.random.random_bool(self.plan.received_fraction);
            seen.account_samples = samples.iter().filter(is_received).flatten().copied().collect();
            seen.is_reliable =
                !self.plan.unreliable.get(number).is_some_and(|is_unreliable| *is_unreliable);
            seen.fleet_clock_ms = (self.now / 1000) as u32;
            policy.update(now, &seen);
        }
    }

    fn on_arrival(&mut self, kind: usize) {
        let (priority, per_s, work_us) = USUAL[kind];
        let is_burst = self.is_burst(self.now);
        let factor = self.plan.burst.get(&priority).filter(|_| is_burst).unwrap_or(&1.0);
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / (per_s * factor);
        self.push((gap_s * 1e6) as u64, ModelEvent::Arrival(kind));
        // Lognormal, with the spread of the run times in the benchmark.
        let spread = (standard_normal(&mut self.random) * 0.47 - 0.11).exp();
        let draw = self.random.random_range(0.0..f64::from(self.plan.accounts) + self.plan.heavy);
        self.requests.push(ModelRequest {
            kind,
            caller: (draw as u32).min(self.plan.accounts),
            demanded_at: self.now,
            tries: 0,
            work_us: (work_us * spread) as u64,
            instance: 0,
        });
        if is_burst {
            self.tally_of(self.requests.len() - 1).demanded += 1.0;
        }
        self.open_flow(self.requests.len() - 1);
    }

    fn open_flow(&mut self, request: usize) {
        let instance = self.random.random_range(0..self.plan.instances);
        let one = &mut self.requests[request];
        one.tries += 1;
        one.instance = instance;
        let opening = FlowOpening { priority: USUAL[one.kind].0, caller: caller(one.caller) };
        self.rates[one.kind] += 1e6 / DECAY_US;
        self.openings[instance].push(AccountKey::from_address(opening.caller).0);
        let load = self.local_running[instance] * self.plan.instances as f64 / SLOTS;
        if !self.gate.admits(self.now, instance, load, &opening) {
            self.tally.refused += 1;
            self.tally.first_refusal.get_or_insert(self.now as f64 / 1e6);
            if self.running < SLOTS {
                let below_s = (self.now - self.below_at) as f64 / 1e6;
                self.tally.refused_below_one.push((self.now as f64 / 1e6, below_s));
            }
            return self.retry_later(request, self.plan.retry_delay_us);
        }
        self.running += 1.0;
        self.local_running[instance] += 1.0;
        // The less loaded of two backend servers, in place of deterministic subsets.
        let [first, second] = [(); 2].map(|()| self.random.random_range(0..SERVERS));
        let count = |server: usize| self.busy[server] + self.queues[server].len();
        let server = if count(first) <= count(second) { first } else { second };
        if self.busy[server] < SERVER_SLOTS {
            self.busy[server] += 1;
            self.push(self.requests[request].work_us, ModelEvent::Served(server, request));
        } else if self.queues[server].len() < QUEUE {
            self.queues[server].push_back(request);
        } else {
            let wait_us = self.random.random_range(100_000..212_000);
            self.push(wait_us, ModelEvent::NotRun(request));
        }
    }

    fn tally_of(&mut self, request: usize) -> &mut KindTally {
        let ModelRequest { kind, caller: from, .. } = self.requests[request];
        match from == self.plan.accounts {
            true => &mut self.tally.heavy,
            false => self.tally.kinds.entry(USUAL[kind].0).or_default(),
        }
    }

    fn retry_later(&mut self, request: usize, delay: u64) {
        if self.requests[request].tries < self.plan.tries {
            self.push(delay, ModelEvent::Try(request));
        }
    }

    fn finish_request(&mut self, request: usize) {
        let was_full = self.running >= SLOTS;
        self.running -= 1.0;
        self.below_at = if was_full { self.now } else { self.below_at };
        self.local_running[self.requests[request].instance] -= 1.0;
    }

    fn on_served(&mut self, server: usize, request: usize) {
        self.finish_request(request);
        let demanded_at = self.requests[request].demanded_at;
        if self.is_burst(demanded_at) && self.now - demanded_at <= LATENCY_TARGET_MS * 1000 {
            self.tally_of(request).in_time += 1.0;
        }
        match self.queues[server].pop_front() {
            Some(next) => self.push(self.requests[next].work_us, ModelEvent::Served(server, next)),
            None => self.busy[server] -= 1,
        }
    }
}
