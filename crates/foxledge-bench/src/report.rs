//! The figures of a run.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_policy::RefuseReason;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    tally::{RunTally, WARM_UP, WorkOutcome, WorkRecord},
    workloads::LoadVariant,
};

/// `RunResult` is what one run gave. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunResult {
    /// The user.
    pub workload: &'static str,
    /// The service.
    pub service: &'static str,
    /// Load relative to what the slots can carry.
    pub level: f64,
    /// What else was done.
    pub variant: LoadVariant,
    /// Where work was admitted.
    pub place: &'static str,
    /// The seed.
    pub seed: u64,
    /// Requests, without those that repeat one.
    pub asked: u64,
    /// Requests answered in time, also when asked again.
    pub served: u64,
    /// Requests whose last answer was "not run".
    pub refused: u64,
    /// Requests whose answer was "unknown".
    pub unknown: u64,
    /// Requests without a final answer.
    pub broken: u64,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Requests that ran and were refused as "not run".
    pub false_not_run: u64,
    /// Useful slot time as part of what the targets could give.
    pub goodput: f64,
    /// Busiest target over the mean, over windows of 100 ms.
    pub peak_to_mean: f64,
    /// Coefficient of variation of busy slots over targets, over the same windows.
    pub variation: f64,
    /// Wait from a desk to the start of the run.
    pub wait: TimeSpread,
    /// From the first asking to the answer.
    pub total: TimeSpread,
    /// The same without the first member, which is the greedy one.
    pub others_total: TimeSpread,
    /// Wait without the first member.
    pub others_wait: TimeSpread,
    /// By member.
    pub members: Vec<MemberResult>,
    /// Part of its requests that each priority got served.
    pub priorities: BTreeMap<u8, f64>,
    /// Second dispatches as part of first ones.
    pub retries: f64,
    /// Refusals by reason.
    pub refusals: BTreeMap<RefuseReason, u64>,
    /// Longest time from a deadline to its refusal.
    pub refusal_delay: f64,
    /// From the kill of an instance to the first run that a stand-in admitted.
    pub admission_gap: Option<f64>,
}

/// `TimeSpread` is the spread of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeSpread {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// `MemberResult` is what one member got.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberResult {
    /// Number of the member.
    pub member: usize,
    /// Requests, without those that repeat one.
    pub asked: u64,
    /// Answered in time.
    pub served: u64,
    /// Wait from a desk to the start of the run.
    pub wait: TimeSpread,
    /// From the first asking to the answer.
    pub total: TimeSpread,
}

// Longer times count as an hour.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// `TimeGauge` collects times.
struct TimeGauge {
    histogram: Histogram<u64>,
}

impl RunTally {
    /// Works the figures out.
    pub fn finish(self, works: &[WorkRecord]) -> RunResult {
        let plan = self.plan;
        let goodput = self.goodput(works);
        let measured = |work: &&WorkRecord| work.asked_at > ClockTime::ZERO.after(WARM_UP);
        let works: Vec<_> = works.iter().filter(measured).collect();
        let count =
            |is: &dyn Fn(&WorkRecord) -> bool| works.iter().filter(|work| is(work)).count() as u64;
        let windows = f64::from(self.windows.max(1));
        let gap = self.killed_at.zip(self.admitted_at);
        RunResult {
            workload: plan.load.workload,
            service: plan.load.service,
            level: plan.level,
            variant: plan.variant,
            place: plan.place.as_str(),
            seed: plan.seed,
            asked: count(&|work| work.asks == 1),
            served: count(&WorkRecord::is_served),
            refused: count(&|work| work.outcome == WorkOutcome::NotRun && !work.followed),
            unknown: count(&|work| work.outcome == WorkOutcome::Unknown),
            broken: count(&|work| work.outcome == WorkOutcome::Open),
            doubled: count(&|work| work.runs > 1),
            false_not_run: count(&|work| work.outcome == WorkOutcome::NotRun && work.runs > 0),
            goodput,
            peak_to_mean: self.peak / windows,
            variation: self.variation / windows,
            wait: wait_spread(&works, &|_| true),
            total: total_spread(&works, &|_| true),
            others_total: total_spread(&works, &|work| work.arrival.member > 0),
            others_wait: wait_spread(&works, &|work| work.arrival.member > 0),
            members: (0..plan.load.members).map(|member| member_result(&works, member)).collect(),
            priorities: priority_parts(&works),
            retries: self.counters.retried as f64 / self.counters.dispatched.max(1) as f64,
            refusals: self.refusals,
            refusal_delay: millis(self.refusal_delay),
            admission_gap: gap.map(|(killed_at, at)| millis(at.since(killed_at))),
        }
    }

    // Run time, as on a warm target, of the requests answered in time.
    fn goodput(&self, works: &[WorkRecord]) -> f64 {
        let from = ClockTime::ZERO.after(WARM_UP);
        let until = ClockTime::ZERO.after(self.plan.load.length);
        let is_useful = |work: &&WorkRecord| {
            work.is_served() && work.ended_at.is_some_and(|at| from < at && at <= until)
        };
        let useful: Duration = works.iter().filter(is_useful).map(|work| work.arrival.run).sum();
        useful.as_secs_f64() / self.capacity.max(f64::EPSILON)
    }
}

fn member_result(works: &[&WorkRecord], member: usize) -> MemberResult {
    let own = |work: &WorkRecord| work.arrival.member == member;
    MemberResult {
        member,
        asked: works.iter().filter(|work| own(work) && work.asks == 1).count() as u64,
        served: works.iter().filter(|work| own(work) && work.is_served()).count() as u64,
        wait: wait_spread(works, &own),
        total: total_spread(works, &own),
    }
}

fn priority_parts(works: &[&WorkRecord]) -> BTreeMap<u8, f64> {
    let mut counts: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
    for work in works {
        let (asked, served) = counts.entry(work.priority).or_default();
        *asked += u64::from(work.asks == 1);
        *served += u64::from(work.is_served());
    }
    let part = |(asked, served): (u64, u64)| served as f64 / asked.max(1) as f64;
    counts.into_iter().map(|(priority, counts)| (priority, part(counts))).collect()
}

fn wait_spread(works: &[&WorkRecord], of: &dyn Fn(&WorkRecord) -> bool) -> TimeSpread {
    let mut gauge = TimeGauge::new();
    for work in works.iter().filter(|work| of(work)) {
        if let (Some(offered_at), Some(started_at)) = (work.offered_at, work.started_at) {
            gauge.add(started_at.since(offered_at));
        }
    }
    gauge.spread()
}

fn total_spread(works: &[&WorkRecord], of: &dyn Fn(&WorkRecord) -> bool) -> TimeSpread {
    let mut gauge = TimeGauge::new();
    for work in works.iter().filter(|work| of(work)) {
        if let Some(ended_at) = work.ended_at {
            gauge.add(ended_at.since(work.asked_at));
        }
    }
    gauge.spread()
}

fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

impl TimeGauge {
    fn new() -> TimeGauge {
        let histogram =
            Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("these bounds are valid");
        TimeGauge { histogram }
    }

    fn add(&mut self, span: Duration) {
        self.histogram.saturating_record(span.as_micros() as u64);
    }

    fn spread(&self) -> TimeSpread {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1000.0;
        TimeSpread { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}
