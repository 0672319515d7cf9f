//! What this instance sees of one service's load.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_load::{PriorityLoad, RateGauge};

/// Time over which work times are collected before they count, in milliseconds.
///
/// A view shows a burst up to 300 ms late. Answers of the last span and the present one are
/// discarded then, so that none that waited in a queue was learned.
const SPAN_MS: u64 = 300;
/// Answers that the mean work time remembers: of 20 a second, those of some ten seconds.
const MEMORY: f64 = 200.0;
/// Arrivals a second below which nothing is told: less than a load message can say.
const LEAST_PER_S: f64 = 0.001;

/// `ServiceCounters` is what arrived for one service, and how long its work takes, by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceCounters {
    priorities: BTreeMap<u32, PriorityCounters>,
}

#[derive(Clone, Debug, Default)]
struct PriorityCounters {
    arrivals: RateGauge,
    work: WorkGauge,
}

impl ServiceCounters {
    /// Counts a request that began, or an opening that was refused for want of slots.
    pub fn arrived(&mut self, now: ClockTime, priority: u32) {
        self.priorities.entry(priority).or_default().arrivals.record_event(now);
    }

    /// Takes the time of an answer.
    pub fn answered(&mut self, priority: u32, work: Duration) {
        if let Some(counters) = self.priorities.get_mut(&priority) {
            counters.work.take(work.as_micros() as f64);
        }
    }

    /// Learns what was collected, or discards it while answers may have waited.
    pub fn settle(&mut self, now: ClockTime, learning: WorkLearning) {
        for counters in self.priorities.values_mut() {
            counters.work.settle(now, learning);
        }
    }

    /// The load by priority; priorities of which nothing arrives are left out.
    pub fn loads(&self, now: ClockTime) -> BTreeMap<u32, PriorityLoad> {
        let loads = self.priorities.iter().map(|(priority, counters)| {
            let arrivals_per_s = counters.arrivals.events_per_s(now);
            (*priority, PriorityLoad { arrivals_per_s, work_us: counters.work.mean_us })
        });
        loads.filter(|(_, load)| load.arrivals_per_s >= LEAST_PER_S).collect()
    }
}

/// `WorkLearning` is whether answer times tell the work of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkLearning {
    /// Slots are free, so that requests don't wait.
    Learned,
    /// Requests may wait, or nobody knows.
    Frozen,
}

/// `WorkGauge` is the mean work time of requests, in microseconds; 0 while it is unknown.
#[derive(Clone, Copy, Debug, Default)]
struct WorkGauge {
    mean_us: f64,
    known: f64,
    present: WorkSpan,
    former: WorkSpan,
    span_ends_at: ClockTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkSpan {
    sum_us: f64,
    count: f64,
}

impl WorkGauge {
    fn take(&mut self, work_us: f64) {
        self.present.sum_us += work_us;
        self.present.count += 1.0;
    }

    fn settle(&mut self, now: ClockTime, learning: WorkLearning) {
        if learning == WorkLearning::Frozen {
            (self.present, self.former) = (WorkSpan::default(), WorkSpan::default());
            return;
        }
        if !self.span_ends_at.is_past(now) {
            return;
        }
        let span = std::mem::replace(&mut self.former, std::mem::take(&mut self.present));
        self.span_ends_at = now.after_millis(SPAN_MS);
        if span.count == 0.0 {
            return;
        }
        let known = self.known + span.count;
        self.mean_us += (span.sum_us - span.count * self.mean_us) / known;
        self.known = known.min(MEMORY);
    }
}
