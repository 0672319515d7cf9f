//! Local load of one service.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_load::{PriorityLoad, RateGauge};

/// Time, in milliseconds, for which work times are collected before they count.
///
/// A view shows a burst up to 300 ms late. The responses of the current and the previous window
/// are discarded then, so that no waiting time in a queue is counted as work.
const WORK_WINDOW_MS: u64 = 300;
/// Maximum number of responses in the mean work time. At 20 a second, those of some ten seconds.
const MAX_MEAN_RESPONSES: f64 = 200.0;
/// Arrivals per second below which nothing is reported: load messages can't express less.
const MIN_ARRIVALS_PER_S: f64 = 0.001;

/// Arrivals and work times of one service, by priority.
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
    /// Counts a request that was forwarded, or an opening that was refused for lack of slots.
    pub fn record_arrival(&mut self, now: ClockTime, priority: u32) {
        self.priorities.entry(priority).or_default().arrivals.record_event(now);
    }

    /// Records the latency of a response.
    pub fn record_response(&mut self, priority: u32, work: Duration) {
        if let Some(counters) = self.priorities.get_mut(&priority) {
            counters.work.record_response(work.as_micros() as f64);
        }
    }

    /// Adds the collected work times to the mean, or discards them while requests may have waited
    /// in a queue.
    pub fn update_work(&mut self, now: ClockTime, learning: WorkLearning) {
        for counters in self.priorities.values_mut() {
            counters.work.update(now, learning);
        }
    }

    /// Returns the load by priority, without priorities that have no arrivals.
    pub fn loads(&self, now: ClockTime) -> BTreeMap<u32, PriorityLoad> {
        let loads = self.priorities.iter().map(|(priority, counters)| {
            let arrivals_per_s = counters.arrivals.events_per_s(now);
            (*priority, PriorityLoad { arrivals_per_s, work_us: counters.work.mean_us })
        });
        loads.filter(|(_, load)| load.arrivals_per_s >= MIN_ARRIVALS_PER_S).collect()
    }
}

/// Whether response times show the work of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkLearning {
    /// Slots are free, so requests don't wait.
    Enabled,
    /// Requests may wait, or the load is unknown.
    Paused,
}

/// Mean work time of requests, in microseconds; 0 while unknown.
#[derive(Clone, Copy, Debug, Default)]
struct WorkGauge {
    mean_us: f64,
    response_count: f64,
    current: WorkWindow,
    previous: WorkWindow,
    window_ends_at: ClockTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkWindow {
    sum_us: f64,
    count: f64,
}

impl WorkGauge {
    fn record_response(&mut self, work_us: f64) {
        self.current.sum_us += work_us;
        self.current.count += 1.0;
    }

    fn update(&mut self, now: ClockTime, learning: WorkLearning) {
        if learning == WorkLearning::Paused {
            (self.current, self.previous) = (WorkWindow::default(), WorkWindow::default());
            return;
        }
        if !self.window_ends_at.is_past(now) {
            return;
        }
        let window = std::mem::replace(&mut self.previous, std::mem::take(&mut self.current));
        self.window_ends_at = now.after_millis(WORK_WINDOW_MS);
        if window.count == 0.0 {
            return;
        }
        let response_count = self.response_count + window.count;
        self.mean_us += (window.sum_us - window.count * self.mean_us) / response_count;
        self.response_count = response_count.min(MAX_MEAN_RESPONSES);
    }
}
