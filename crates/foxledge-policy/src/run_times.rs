//! Mean run times of requests.

use std::time::Duration;

use foxledge_core::traffic::TrafficKind;

// The run time assumed before the first request has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);
// The weight of a new run time in the mean after the first 64 runs.
const MEAN_GAIN: f64 = 1.0 / 64.0;
// The run time that costs one unit in the fair queue.
const COST_UNIT: Duration = Duration::from_micros(100);
const MAX_COST: u64 = 100_000;

/// The mean run time of each kind of request, and of all requests.
#[derive(Clone, Debug)]
pub struct RunTimes {
    bids: MeanTime,
    uploads: MeanTime,
    requests: MeanTime,
}

/// An exponential moving average of run times.
#[derive(Clone, Copy, Debug)]
struct MeanTime {
    seconds: f64,
    runs: u32,
}

impl RunTimes {
    /// Creates run times of which all are at the initial assumption.
    pub fn new() -> RunTimes {
        let initial = MeanTime { seconds: INITIAL_RUN_TIME.as_secs_f64(), runs: 0 };
        RunTimes { bids: initial, uploads: initial, requests: initial }
    }

    /// Records a run time and returns its ratio to the mean of its kind; 1 for feeds.
    pub fn record_run(&mut self, kind: TrafficKind, run: Duration) -> f64 {
        let mean = match kind {
            TrafficKind::Feed => return 1.0,
            TrafficKind::Bid => &mut self.bids,
            TrafficKind::Upload => &mut self.uploads,
        };
        mean.record(run);
        let ratio = run.as_secs_f64() / mean.seconds.max(1e-6);
        self.requests.record(run);
        ratio
    }

    /// Returns the mean run time of a kind of traffic; zero for feeds.
    pub fn mean_run_time(&self, kind: TrafficKind) -> Duration {
        match kind {
            TrafficKind::Feed => Duration::ZERO,
            TrafficKind::Bid => self.bids.mean(),
            TrafficKind::Upload => self.uploads.mean(),
        }
    }

    /// Returns the mean time for which a request occupies a slot.
    pub fn mean_slot_time(&self) -> Duration {
        self.requests.mean()
    }

    /// Returns the cost of a work item of this kind in the fair queue.
    ///
    /// The cost is proportional to the mean run time. If each item had the same cost, a member's
    /// uploads, which hold a slot for long, would take most of the slots in their turns.
    pub fn queue_cost(&self, kind: TrafficKind) -> u64 {
        if kind == TrafficKind::Feed {
            return 1;
        }
        let units = self.mean_run_time(kind).as_micros() / COST_UNIT.as_micros();
        (units as u64).clamp(1, MAX_COST)
    }
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes::new()
    }
}

impl MeanTime {
    fn record(&mut self, run: Duration) {
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.runs + 1));
        self.seconds += (run.as_secs_f64() - self.seconds) * gain;
        self.runs = self.runs.saturating_add(1);
    }

    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
