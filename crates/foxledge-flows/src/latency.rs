//! Answer times of backend servers.

use std::time::Duration;

use foxledge_core::time::ClockTime;

/// Weight of one answer in the mean. At ten answers a second per instance, the last half second
/// dominates.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Answers needed before the mean is used.
const MIN_ANSWERS: u32 = 4;
/// Time, in milliseconds, after which the excess of a mean without new answers counts half, so that
/// a backend server that was slow is tried again.
const HALF_LIFE_MS: u64 = 2_000;

/// Moving mean of answer times.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGauge {
    mean_us: f64,
    answer_count: u32,
    updated_at: ClockTime,
}

impl LatencyGauge {
    /// Records the time of one answer.
    pub fn record_answer(&mut self, now: ClockTime, latency: Duration) {
        let sample = latency.as_micros() as f64;
        // The older the mean is, the more a new answer weighs.
        let weight = 1.0 - (1.0 - SAMPLE_WEIGHT) * self.remaining_weight(now);
        self.mean_us = match self.answer_count {
            0 => sample,
            _ => self.mean_us + weight * (sample - self.mean_us),
        };
        self.answer_count = self.answer_count.saturating_add(1);
        self.updated_at = now;
    }

    /// Returns the mean in microseconds, or `None` with too few answers.
    pub fn mean_us(&self) -> Option<f64> {
        (self.answer_count >= MIN_ANSWERS).then_some(self.mean_us)
    }

    /// Returns the answer time as a multiple of `median_us`, at least 1.
    pub fn slowness(&self, now: ClockTime, median_us: f64) -> f64 {
        let Some(mean) = self.mean_us() else { return 1.0 };
        let excess = (mean / median_us.max(1.0) - 1.0).max(0.0);
        1.0 + excess * self.remaining_weight(now)
    }

    /// Returns the weight that the mean still has at `now`, from 0 to 1.
    fn remaining_weight(&self, now: ClockTime) -> f64 {
        let age_ms = now.since(self.updated_at).as_millis() as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS as f64)
    }
}

/// Returns the median of the mean answer times of a service's backend servers, in microseconds.
pub fn median_latency_us(means: impl Iterator<Item = f64>) -> f64 {
    let mut means: Vec<f64> = means.collect();
    if means.is_empty() {
        return 0.0;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
