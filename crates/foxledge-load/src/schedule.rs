//! Timing of the load reports of one instance.

use foxledge_core::time::ClockTime;

/// The load, in requests per slot, from which a data centre counts as loaded.
const LOADED_THRESHOLD: f64 = 0.6;
/// How long an instance keeps the fast pace after the last trigger, in milliseconds.
const FAST_PACE_HOLD_MS: u64 = 2000;
/// How long an instance keeps the fast pace after another data centre announced that it is loaded,
/// in milliseconds.
const LOADED_HOLD_MS: u64 = 2000;
/// The interval between reports at the slow pace, in milliseconds.
const SLOW_INTERVAL_MS: u64 = 1000;
/// The interval between reports at the fast pace, in milliseconds.
const FAST_INTERVAL_MS: u64 = 100;
/// The change of the local running requests since the last report above which the pace becomes
/// fast, if [`MIN_CHANGE_FRACTION`] is exceeded too.
const MIN_CHANGE_REQUESTS: f64 = 3.0;
/// The change as a fraction of the running requests in the last report, above which the pace
/// becomes fast if [`MIN_CHANGE_REQUESTS`] is exceeded too.
const MIN_CHANGE_FRACTION: f64 = 0.5;

/// How often an instance reports its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportPace {
    /// Once per second, to instances of the same data centre only.
    Slow,
    /// Every 100 ms, also to other data centres.
    Fast,
}

impl ReportPace {
    /// Returns `true` if the pace is [`ReportPace::Fast`].
    pub fn is_fast(self) -> bool {
        self == ReportPace::Fast
    }
}

/// Decides when the next report of the local load is sent.
///
/// The start of a burst is reported immediately, while an idle fleet exchanges few messages.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    next_report_at: ClockTime,
    /// The earliest time of the next report at the fast pace.
    next_fast_report_at: ClockTime,
    fast_until: ClockTime,
    running: f64,
    reported_running: f64,
    load_ratio: f64,
}

impl ReportSchedule {
    /// Creates a schedule at the slow pace whose first report is sent immediately.
    pub fn new(now: ClockTime) -> ReportSchedule {
        ReportSchedule {
            next_report_at: now,
            next_fast_report_at: now,
            fast_until: ClockTime::ZERO,
            running: 0.0,
            reported_running: 0.0,
            load_ratio: 0.0,
        }
    }

    /// Updates the running requests of this instance and the highest load ratio of any service in
    /// the local data centre, in requests per slot. A high or changed load switches to the fast
    /// pace and moves the next report forward.
    pub fn update_local_load(&mut self, now: ClockTime, running: f64, load_ratio: f64) {
        self.running = running;
        self.load_ratio = load_ratio;
        if self.is_loaded() || self.has_changed() {
            self.use_fast_pace(now, now.after_millis(FAST_PACE_HOLD_MS));
        }
    }

    /// Records that another data centre announced that it is loaded.
    pub fn record_loaded_centre(&mut self, now: ClockTime) {
        self.use_fast_pace(now, now.after_millis(LOADED_HOLD_MS + FAST_PACE_HOLD_MS));
    }

    /// Returns `true` if the local data centre was loaded at the last
    /// [`ReportSchedule::update_local_load`].
    pub fn is_loaded(&self) -> bool {
        self.load_ratio >= LOADED_THRESHOLD
    }

    /// Returns the pace at `now`.
    pub fn pace(&self, now: ClockTime) -> ReportPace {
        if self.fast_until.is_past(now) { ReportPace::Slow } else { ReportPace::Fast }
    }

    /// Returns the time of the next report.
    pub fn next_report_at(&self) -> ClockTime {
        self.next_report_at
    }

    /// Records that the local load was sent, and schedules the next report.
    pub fn record_report_sent(&mut self, now: ClockTime) {
        self.reported_running = self.running;
        self.next_fast_report_at = now.after_millis(FAST_INTERVAL_MS);
        self.next_report_at = match self.pace(now) {
            ReportPace::Slow => now.after_millis(SLOW_INTERVAL_MS),
            ReportPace::Fast => self.next_fast_report_at,
        };
    }

    /// Returns `true` if the running requests have changed enough since the last report for the
    /// fast pace.
    fn has_changed(&self) -> bool {
        let change = (self.running - self.reported_running).abs();
        change > MIN_CHANGE_REQUESTS && change > MIN_CHANGE_FRACTION * self.reported_running
    }

    fn use_fast_pace(&mut self, now: ClockTime, until: ClockTime) {
        self.fast_until = self.fast_until.max(until);
        self.next_report_at = self.next_report_at.min(self.next_fast_report_at.max(now));
    }
}
