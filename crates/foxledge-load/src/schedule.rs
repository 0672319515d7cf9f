//! When an instance tells its load.

use foxledge_core::time::ClockTime;

/// Requests a slot from which a data centre is pressed.
const PRESSED: f64 = 0.6;
/// Time for which an instance stays busy after the last reason, in milliseconds.
const BUSY_MS: u64 = 2000;
/// Time for which a data centre that said so counts as pressed, in milliseconds.
const PRESSED_MS: u64 = 2000;
/// Time between reports of a calm instance, in milliseconds.
const CALM_ROUND_MS: u64 = 1000;
/// Time between reports of a busy instance, in milliseconds.
const BUSY_ROUND_MS: u64 = 100;
/// Running requests by which the own load must differ from the reported one to make the
/// instance busy.
const CHANGE_REQUESTS: f64 = 3.0;
/// Share of the reported running requests by which the own load must differ from them.
const CHANGE_SHARE: f64 = 0.5;

/// `ReportPace` is how often an instance tells its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportPace {
    /// Once a second, near instances only.
    Slow,
    /// Every 100 ms, other data centres included.
    Fast,
}

impl ReportPace {
    /// True when the pace is [`ReportPace::Busy`].
    pub fn is_fast(self) -> bool {
        self == ReportPace::Fast
    }
}

/// `ReportSchedule` is when the next report of the own load is due.
///
/// It answers the start of a burst with a report at once, and calm days with few messages.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    next_report_at: ClockTime,
    /// When a report of a busy instance may follow the last one.
    busy_due_at: ClockTime,
    busy_until: ClockTime,
    running: f64,
    told_running: f64,
    pressure: f64,
}

impl ReportSchedule {
    /// A calm schedule whose first report is due.
    pub fn new(now: ClockTime) -> ReportSchedule {
        ReportSchedule {
            next_report_at: now,
            busy_due_at: now,
            busy_until: ClockTime::ZERO,
            running: 0.0,
            told_running: 0.0,
            pressure: 0.0,
        }
    }

    /// Takes the own running requests, and the largest load of a service in the own data centre
    /// in requests a slot. It may make the instance busy and a report due.
    pub fn update_local_load(&mut self, now: ClockTime, running: f64, pressure: f64) {
        self.running = running;
        self.pressure = pressure;
        if self.is_loaded() || self.has_changed() {
            self.stay_busy(now, now.after_millis(BUSY_MS));
        }
    }

    /// Takes that another data centre said that it is pressed.
    pub fn record_loaded_centre(&mut self, now: ClockTime) {
        self.stay_busy(now, now.after_millis(PRESSED_MS + BUSY_MS));
    }

    /// True when the own data centre is pressed, as of the last [`ReportSchedule::note_own`].
    pub fn is_loaded(&self) -> bool {
        self.pressure >= PRESSED
    }

    /// How often the instance tells its load.
    pub fn pace(&self, now: ClockTime) -> ReportPace {
        if self.busy_until.is_past(now) { ReportPace::Slow } else { ReportPace::Fast }
    }

    /// When the next report is due.
    pub fn next_report_at(&self) -> ClockTime {
        self.next_report_at
    }

    /// Takes that the own load was told.
    pub fn record_report_sent(&mut self, now: ClockTime) {
        self.told_running = self.running;
        self.busy_due_at = now.after_millis(BUSY_ROUND_MS);
        self.next_report_at = match self.pace(now) {
            ReportPace::Slow => now.after_millis(CALM_ROUND_MS),
            ReportPace::Fast => self.busy_due_at,
        };
    }

    fn has_changed(&self) -> bool {
        let change = (self.running - self.told_running).abs();
        change > CHANGE_REQUESTS && change > CHANGE_SHARE * self.told_running
    }

    fn stay_busy(&mut self, now: ClockTime, until: ClockTime) {
        self.busy_until = self.busy_until.max(until);
        self.next_report_at = self.next_report_at.min(self.busy_due_at.max(now));
    }
}
