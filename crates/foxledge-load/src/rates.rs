//! Rates of events.

use foxledge_core::time::ClockTime;

/// Time over which an event's weight decays by the factor e, in seconds.
const DECAY_S: f64 = 0.25;

/// `RateGauge` is the present rate of events: a mean that decays over 250 ms.
///
/// It answers bursts: 200 ms after a step in the load, 55% of the step is shown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateGauge {
    /// Events a second, as of `as_of`.
    rate: f64,
    as_of: ClockTime,
}

impl RateGauge {
    /// A gauge that has counted nothing.
    pub fn new() -> RateGauge {
        RateGauge::default()
    }

    /// Counts an event.
    pub fn record_event(&mut self, now: ClockTime) {
        self.rate = self.events_per_s(now) + 1.0 / DECAY_S;
        self.as_of = self.as_of.max(now);
    }

    /// Events a second.
    pub fn events_per_s(&self, now: ClockTime) -> f64 {
        self.rate * (-now.since(self.as_of).as_secs_f64() / DECAY_S).exp()
    }
}
