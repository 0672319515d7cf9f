//! How long a backend server takes for an answer.

use std::time::Duration;

use foxledge_core::time::ClockTime;

/// Weight of one answer in the mean: of ten answers a second and instance, the
/// last half second decides.
const WEIGHT: f64 = 0.2;
/// Answers before the mean says anything.
const FEWEST: u32 = 4;
/// Time after which a mean without new answers counts half, in milliseconds, so
/// that a backend server that was slow is tried again.
const HALF_LIFE_MS: u64 = 2_000;

/// `LatencyGauge` is a moving mean of answer times.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGauge {
    mean_us: f64,
    count: u32,
    at: ClockTime,
}

impl LatencyGauge {
    /// Takes the time of one answer.
    pub fn record_answer(&mut self, now: ClockTime, latency: Duration) {
        let sample = latency.as_micros() as f64;
        // What was learned long ago counts less against a new answer.
        let weight = 1.0 - (1.0 - WEIGHT) * self.remains(now);
        self.mean_us = match self.count {
            0 => sample,
            _ => self.mean_us + weight * (sample - self.mean_us),
        };
        self.count = self.count.saturating_add(1);
        self.at = now;
    }

    /// The mean in microseconds; none while too little is known.
    pub fn mean_us(&self) -> Option<f64> {
        (self.count >= FEWEST).then_some(self.mean_us)
    }

    /// How many times as long as `usual_us` an answer takes, from 1 up.
    pub fn slowness(&self, now: ClockTime, usual_us: f64) -> f64 {
        let Some(mean) = self.mean_us() else { return 1.0 };
        let excess = (mean / usual_us.max(1.0) - 1.0).max(0.0);
        1.0 + excess * self.remains(now)
    }

    /// The part of what is known that still counts at `now`.
    fn remains(&self, now: ClockTime) -> f64 {
        let silent_ms = now.since(self.at).as_millis() as f64;
        0.5_f64.powf(silent_ms / HALF_LIFE_MS as f64)
    }
}

/// The usual answer time among backend servers of a service: the median of their means.
pub fn usual_us(means: impl Iterator<Item = f64>) -> f64 {
    let mut means: Vec<f64> = means.collect();
    if means.is_empty() {
        return 0.0;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
