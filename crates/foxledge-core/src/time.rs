//! Points in time on a process's monotonic clock.

use std::{fmt, time::Duration};

/// A point on the monotonic clock of one process, in microseconds.
///
/// Values of two processes cannot be compared. Messages carry the remaining time, which the
/// receiver converts to a deadline with [`ClockTime::after`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the process's clock.
    pub const ZERO: ClockTime = ClockTime(0);
    /// The latest representable time.
    pub const MAX: ClockTime = ClockTime(u64::MAX);

    /// Creates a time from the microseconds since the clock's start.
    pub fn from_micros(micros: u64) -> ClockTime {
        ClockTime(micros)
    }

    /// Returns the microseconds since the clock's start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time `span` later, saturating at [`ClockTime::MAX`].
    pub fn after(self, span: Duration) -> ClockTime {
        ClockTime(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the time `millis` milliseconds later, saturating at [`ClockTime::MAX`].
    pub fn after_millis(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_add(millis.saturating_mul(1000)))
    }

    /// Returns the time `millis` milliseconds earlier, saturating at the clock's start.
    pub fn before_millis(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_sub(millis.saturating_mul(1000)))
    }

    /// Returns `true` if a deadline at `self` has been reached at `now`.
    pub fn is_past(self, now: ClockTime) -> bool {
        self <= now
    }

    /// Returns the time remaining until `self`; zero if it has passed.
    pub fn remaining(self, now: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(now.0))
    }

    /// Returns the whole milliseconds remaining until `self`, for use in messages.
    pub fn remaining_millis(self, now: ClockTime) -> u32 {
        u32::try_from(self.remaining(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the time elapsed since `earlier`; zero if that is in the future.
    pub fn since(self, earlier: ClockTime) -> Duration {
        earlier.elapsed_until(self)
    }

    fn elapsed_until(self, later: ClockTime) -> Duration {
        Duration::from_micros(later.0.saturating_sub(self.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
