//! How long work usually runs.

use std::time::Duration;

use foxledge_core::traffic::TrafficKind;

// Assumed before anything was seen.
const FIRST_GUESS: Duration = Duration::from_millis(50);
// Weight of a new run time once enough were seen.
const MEAN_GAIN: f64 = 1.0 / 64.0;
// Unit of the cost charged in the fair queue.
const COST_UNIT: Duration = Duration::from_micros(100);
const MOST_COST: u64 = 100_000;

/// `RunTimes` is the usual run time of each kind of request, and of all.
#[derive(Clone, Debug)]
pub struct RunTimes {
    bids: MeanTime,
    uploads: MeanTime,
    all: MeanTime,
}

/// `MeanTime` is a moving mean.
#[derive(Clone, Copy, Debug)]
struct MeanTime {
    seconds: f64,
    runs: u32,
}

impl RunTimes {
    /// Makes the first guess.
    pub fn new() -> RunTimes {
        let first = MeanTime { seconds: FIRST_GUESS.as_secs_f64(), runs: 0 };
        RunTimes { bids: first, uploads: first, all: first }
    }

    /// Takes a run into account and returns it as a multiple of the usual.
    pub fn on_run(&mut self, kind: TrafficKind, run: Duration) -> f64 {
        let mean = match kind {
            TrafficKind::Feed => return 1.0,
            TrafficKind::Bid => &mut self.bids,
            TrafficKind::Upload => &mut self.uploads,
        };
        mean.add(run);
        let ratio = run.as_secs_f64() / mean.seconds.max(1e-6);
        self.all.add(run);
        ratio
    }

    /// Usual run time of that kind; zero for feeds.
    pub fn usual(&self, kind: TrafficKind) -> Duration {
        match kind {
            TrafficKind::Feed => Duration::ZERO,
            TrafficKind::Bid => self.bids.get(),
            TrafficKind::Upload => self.uploads.get(),
        }
    }

    /// Usual time that a slot is taken for.
    pub fn usual_slot(&self) -> Duration {
        self.all.get()
    }

    /// What a work of that kind costs its member in the fair queue.
    ///
    /// By usual time and not by number, or a member's uploads, which hold a
    /// slot for long, would take most of the slots in their turns.
    pub fn cost(&self, kind: TrafficKind) -> u64 {
        if kind == TrafficKind::Feed {
            return 1;
        }
        let units = self.usual(kind).as_micros() / COST_UNIT.as_micros();
        (units as u64).clamp(1, MOST_COST)
    }
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes::new()
    }
}

impl MeanTime {
    fn add(&mut self, run: Duration) {
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.runs + 1));
        self.seconds += (run.as_secs_f64() - self.seconds) * gain;
        self.runs = self.runs.saturating_add(1);
    }

    fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
