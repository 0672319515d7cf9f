//! Measurement of event rates.

use foxledge_core::time::ClockTime;

/// The time constant of the exponential decay, in seconds.
const DECAY_S: f64 = 0.25;

/// An exponentially decaying mean rate of events, with a time constant of 250 ms.
///
/// It follows bursts quickly: 200 ms after a step in the load, 55% of the step is visible.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateGauge {
    /// Events per second at `as_of`.
    rate_per_s: f64,
    /// When the rate was last updated.
    as_of: ClockTime,
}

impl RateGauge {
    /// Creates a gauge without events.
    pub fn new() -> RateGauge {
        RateGauge::default()
    }

    /// Records one event.
    pub fn record_event(&mut self, now: ClockTime) {
        self.rate_per_s = self.events_per_s(now) + 1.0 / DECAY_S;
        self.as_of = self.as_of.max(now);
    }

    /// Returns the rate at `now`, in events per second.
    pub fn events_per_s(&self, now: ClockTime) -> f64 {
        self.rate_per_s * (-now.since(self.as_of).as_secs_f64() / DECAY_S).exp()
    }
}
