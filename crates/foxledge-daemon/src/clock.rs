//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use foxledge_core::time::ClockTime;

/// `ProcessClock` is the source of every `ClockTime` of this process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> ProcessClock {
        ProcessClock { start: Instant::now() }
    }

    /// The time now, read from the operating system.
    ///
    /// The main loop's own time stands still while it works through a batch. A
    /// process that is frozen in mid-batch and wakes later would hold tickets
    /// good whose deadlines have passed, which one would notice as requests
    /// that run twice. Reading the clock for every decision prevents this, as
    /// the monotonic clock goes on while the process is frozen.
    pub fn now(&self) -> ClockTime {
        ClockTime::from_micros(self.start.elapsed().as_micros() as u64)
    }
}

/// An incarnation number for a process that starts now: microseconds of the wall clock.
///
/// A restart on the same instance gets a higher number as long as the wall
/// clock doesn't go back further than the process ran.
pub fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |span| span.as_micros() as u64)
}
