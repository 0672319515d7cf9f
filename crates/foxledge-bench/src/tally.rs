//! What a run is counted by while it goes on.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_policy::{RefuseReason, status::SchedulerCounters};

use crate::{arrivals::RequestArrival, run_plan::RunPlan};

/// What comes before isn't measured.
pub const WARM_UP: Duration = Duration::from_secs(2);

/// `WorkRecord` is one request of a caller and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct WorkRecord {
    /// The arrival; also of the request that it repeats.
    pub arrival: RequestArrival,
    /// Paid priority.
    pub priority: u8,
    /// When the caller asked first.
    pub asked_at: ClockTime,
    /// When the caller gives up.
    pub deadline: ClockTime,
    /// How often the caller asked, this one included.
    pub asks: u32,
    /// True when the caller asked again.
    pub followed: bool,
    /// When a desk got it.
    pub offered_at: Option<ClockTime>,
    /// The desk.
    pub desk: usize,
    /// True when a target has it.
    pub is_accepted: bool,
    /// When its first run began.
    pub started_at: Option<ClockTime>,
    /// When the answer reached the caller.
    pub ended_at: Option<ClockTime>,
    /// Runs.
    pub runs: u32,
    /// The first final answer.
    pub outcome: WorkOutcome,
    /// Final answers.
    pub outcomes: u32,
}

/// `WorkOutcome` is the final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// None yet.
    Open,
    /// Answered.
    Served,
    /// Refused, "not run".
    NotRun,
    /// Refused, "unknown".
    Unknown,
}

/// `RunTally` is what is counted besides the requests themselves.
#[derive(Clone, Debug)]
pub struct RunTally {
    /// The run.
    pub plan: RunPlan,
    /// Slot seconds that the targets could give in the time measured.
    pub capacity: f64,
    /// Coefficients of variation of busy slots, summed over windows.
    pub variation: f64,
    /// Ratios of the busiest target to the mean, summed over windows.
    pub peak: f64,
    /// Windows measured.
    pub windows: u32,
    /// Refusals by reason.
    pub refusals: BTreeMap<RefuseReason, u64>,
    /// Longest time from a deadline to its refusal.
    pub refusal_delay: Duration,
    /// Counters of all desks.
    pub counters: SchedulerCounters,
    /// When an instance was killed.
    pub killed_at: Option<ClockTime>,
    /// The first start that a stand-in admitted after it.
    pub admitted_at: Option<ClockTime>,
    /// Desks at the beginning; higher numbers stand in for them.
    pub first_desks: usize,
}

impl WorkRecord {
    /// Makes the record of a request that nobody has yet.
    pub fn new(
        arrival: RequestArrival,
        priority: u8,
        asked_at: ClockTime,
        deadline: ClockTime,
        asks: u32,
    ) -> WorkRecord {
        WorkRecord {
            arrival,
            priority,
            asked_at,
            deadline,
            asks,
            followed: false,
            offered_at: None,
            desk: 0,
            is_accepted: false,
            started_at: None,
            ended_at: None,
            runs: 0,
            outcome: WorkOutcome::Open,
            outcomes: 0,
        }
    }

    /// True when the caller got its answer in time.
    pub fn is_served(&self) -> bool {
        let in_time = self.ended_at.is_some_and(|at| at <= self.deadline);
        self.outcome == WorkOutcome::Served && in_time
    }
}

impl RunTally {
    /// Makes an empty tally.
    pub fn new(plan: RunPlan) -> RunTally {
        RunTally {
            first_desks: plan.place.desks(plan.load.targets),
            plan,
            capacity: 0.0,
            variation: 0.0,
            peak: 0.0,
            windows: 0,
            refusals: BTreeMap::new(),
            refusal_delay: Duration::ZERO,
            counters: SchedulerCounters::default(),
            killed_at: None,
            admitted_at: None,
        }
    }

    /// Counts a refusal, and how long after its deadline it came.
    pub fn add_refusal(&mut self, reason: RefuseReason, delay: Duration) {
        *self.refusals.entry(reason).or_default() += 1;
        self.refusal_delay = self.refusal_delay.max(delay);
    }

    /// Counts the slot seconds that the targets could give.
    pub fn add_capacity(&mut self, slot_seconds: f64) {
        self.capacity += slot_seconds;
    }

    /// Counts a window by the busy slots of each target.
    pub fn add_window(&mut self, busy: &[u64]) {
        let count = busy.len() as f64;
        let mean = busy.iter().sum::<u64>() as f64 / count;
        if mean == 0.0 {
            return;
        }
        let square = |value: &u64| (*value as f64 - mean).powi(2);
        let variance = busy.iter().map(square).sum::<f64>() / count;
        let most = busy.iter().copied().max().unwrap_or(0) as f64;
        self.variation += variance.sqrt() / mean;
        self.peak += most / mean;
        self.windows += 1;
    }

    /// Counts a run's start.
    pub fn note_start(&mut self, now: ClockTime, desk: usize) {
        if self.killed_at.is_some() && desk >= self.first_desks {
            self.admitted_at.get_or_insert(now);
        }
    }

    /// Adds the counters of a desk.
    pub fn add_counters(&mut self, counters: &SchedulerCounters) {
        self.counters.dispatched += counters.dispatched;
        self.counters.retried += counters.retried;
        self.counters.resent += counters.resent;
    }
}
