//! How loaded the server is, and what it says of that.

use std::{collections::VecDeque, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::LoadReport;

use super::orders::LoadSaying;
use crate::report::{BUSY_WINDOW_MS, BusyWindows};

const MAX_HISTORY: usize = 65_536;
const MAX_WINDOWS: usize = 100_000;
const WINDOW_US: u64 = BUSY_WINDOW_MS * 1000;

/// `LoadGauge` follows the load, integrates busy time over windows, and gives the report that
/// the server is ordered to give, which may lag or lie.
pub struct LoadGauge {
    origin_us: u64,
    present: LoadReport,
    changed_at: ClockTime,
    history: VecDeque<(ClockTime, LoadReport)>,
    first_window: u64,
    busy_us: Vec<u64>,
    peak_connections: u32,
    saying: LoadSaying,
    lag: Duration,
}

impl LoadGauge {
    /// Makes an idle gauge; `origin_us` is the wall-clock time at the clock's start.
    pub fn new(origin_us: u64) -> LoadGauge {
        LoadGauge {
            origin_us,
            present: LoadReport { healthy: true, ..LoadReport::default() },
            changed_at: ClockTime::ZERO,
            history: VecDeque::new(),
            first_window: origin_us / WINDOW_US,
            busy_us: Vec::new(),
            peak_connections: 0,
            saying: LoadSaying::Truth,
            lag: Duration::ZERO,
        }
    }

    /// Takes the load as it is from now on.
    pub fn set(&mut self, now: ClockTime, load: LoadReport) {
        self.integrate(now);
        self.peak_connections = self.peak_connections.max(load.connections);
        if load == self.present {
            return;
        }
        self.present = load;
        self.history.push_back((now, load));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Chooses what reports say.
    pub fn say(&mut self, saying: LoadSaying) {
        self.saying = saying;
    }

    /// Chooses how old reports are.
    pub fn lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Most connections at once so far.
    pub fn peak_connections(&self) -> u32 {
        self.peak_connections
    }

    /// The report that goes into datagrams.
    pub fn report(&self, now: ClockTime) -> LoadReport {
        match self.saying {
            LoadSaying::HealthyIdle => LoadReport { healthy: true, ..LoadReport::default() },
            LoadSaying::Unhealthy => LoadReport { healthy: false, ..self.lagging(now) },
            LoadSaying::Truth => self.lagging(now),
        }
    }

    /// Busy slots averaged over windows of wall-clock time.
    pub fn windows(&mut self, now: ClockTime) -> BusyWindows {
        self.integrate(now);
        let busy = self.busy_us.iter().map(|micros| *micros as f64 / WINDOW_US as f64).collect();
        BusyWindows { first: self.first_window, busy }
    }

    fn lagging(&self, now: ClockTime) -> LoadReport {
        if self.lag.is_zero() {
            return self.present;
        }
        let seen = |at: ClockTime| at.after(self.lag) <= now;
        let report = self.history.iter().rev().find(|(at, _)| seen(*at)).map(|(_, load)| *load);
        report.unwrap_or(LoadReport { healthy: true, ..LoadReport::default() })
    }

    fn integrate(&mut self, now: ClockTime) {
        let busy = u64::from(self.present.busy_slots);
        let end = self.origin_us + now.as_micros();
        let mut start = self.origin_us + self.changed_at.as_micros();
        // One step per window that the span touches.
        while start < end {
            let window = start / WINDOW_US;
            let stop = end.min((window + 1) * WINDOW_US);
            self.add(window, busy * (stop - start));
            start = stop;
        }
        self.changed_at = self.changed_at.max(now);
    }

    fn add(&mut self, window: u64, micros: u64) {
        let index = (window - self.first_window) as usize;
        if index >= MAX_WINDOWS {
            return;
        }
        if self.busy_us.len() <= index {
            self.busy_us.resize(index + 1, 0);
        }
        self.busy_us[index] += micros;
    }
}
