//! Points in time on one process's monotonic clock.

use std::{fmt, time::Duration};

/// `ClockTime` is a point on the monotonic clock of one process, in microseconds.
///
/// Two processes' values can't be compared: what travels is the time left,
/// which the receiver turns into a deadline with [`ClockTime::after`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: ClockTime = ClockTime(0);
    /// Later than every other point.
    pub const MAX: ClockTime = ClockTime(u64::MAX);

    /// Makes a point from microseconds since the clock's start.
    pub fn from_micros(micros: u64) -> ClockTime {
        ClockTime(micros)
    }

    /// Microseconds since the clock's start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The point `span` later; saturates at [`ClockTime::FAR`].
    pub fn after(self, span: Duration) -> ClockTime {
        ClockTime(self.0.saturating_add(span.as_micros() as u64))
    }

    /// The point `millis` milliseconds later.
    pub fn after_millis(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_add(millis.saturating_mul(1000)))
    }

    /// The point `millis` milliseconds earlier; the clock's start when that lies before it.
    pub fn before_millis(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_sub(millis.saturating_mul(1000)))
    }

    /// True when a deadline at `self` has passed at `now`.
    pub fn is_past(self, now: ClockTime) -> bool {
        self <= now
    }

    /// Time left until `self`; zero when it has passed.
    pub fn remaining(self, now: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(now.0))
    }

    /// Whole milliseconds left until `self`, as they travel in messages.
    pub fn remaining_millis(self, now: ClockTime) -> u32 {
        u32::try_from(self.remaining(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// Time since `earlier`; zero when that lies ahead.
    pub fn since(self, earlier: ClockTime) -> Duration {
        earlier.left_from(self)
    }

    fn left_from(self, later: ClockTime) -> Duration {
        Duration::from_micros(later.0.saturating_sub(self.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
