//! Answer times of backend servers.

use std::time::Duration;

use foxledge_core::time::ClockTime;

/// Weight of one response in the mean. At ten responses a second per instance, the last half second
/// dominates.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum number of responses before the mean is used.
const MIN_RESPONSES: u32 = 4;
/// Time, in milliseconds, after which the excess of a mean without new responses counts half, so
/// that a backend server that was slow receives flows again.
const HALF_LIFE_MS: u64 = 2_000;

/// Moving average of response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyGauge {
    mean_us: f64,
    response_count: u32,
    updated_at: ClockTime,
}

impl LatencyGauge {
    /// Records the latency of one response.
    pub fn record_response(&mut self, now: ClockTime, latency: Duration) {
        let sample = latency.as_micros() as f64;
        // The older the mean is, the greater the weight of a new response.
        let weight = 1.0 - (1.0 - SAMPLE_WEIGHT) * self.remaining_weight(now);
        self.mean_us = match self.response_count {
            0 => sample,
            _ => self.mean_us + weight * (sample - self.mean_us),
        };
        self.response_count = self.response_count.saturating_add(1);
        self.updated_at = now;
    }

    /// Returns the mean in microseconds, or `None` with too few responses.
    pub fn mean_us(&self) -> Option<f64> {
        (self.response_count >= MIN_RESPONSES).then_some(self.mean_us)
    }

    /// Returns the response time as a multiple of `median_us`, at least 1.
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

/// Returns the median of the mean response times of a service's backend servers, in microseconds.
pub fn median_latency_us(means: impl Iterator<Item = f64>) -> f64 {
    let mut means: Vec<f64> = means.collect();
    if means.is_empty() {
        return 0.0;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
