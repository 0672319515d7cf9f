//! The monotonic clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use foxledge_core::time::ClockTime;

/// The source of every `ClockTime` of the request path.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> ProcessClock {
        ProcessClock { start: Instant::now() }
    }

    /// Returns the current time, read from the operating system.
    ///
    /// The time of the main loop doesn't advance while a batch is handled. A process
    /// that is frozen within a batch and resumed later would accept tickets that have
    /// expired meanwhile, and requests could run twice. Reading the clock for every
    /// decision prevents this, as the monotonic clock advances while the process is
    /// frozen.
    pub fn now(&self) -> ClockTime {
        ClockTime::from_micros(self.start.elapsed().as_micros() as u64)
    }
}

/// Returns an incarnation number for a starting process: the wall-clock time in microseconds.
///
/// A restart of the same instance gets a higher number unless the wall clock was set
/// back by more than the run time of the process.
pub fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |span| span.as_micros() as u64)
}
