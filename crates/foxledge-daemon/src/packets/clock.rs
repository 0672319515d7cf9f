//! A clock that advances while the machine is suspended.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use nix::time::{ClockId, clock_gettime};

/// Reading of the clock when the process starts, in microseconds. Ages that other
/// instances report may reach back to before the start, and `ClockTime` can't be negative.
const CLOCK_ORIGIN_US: u64 = 3_600_000_000;

/// Minimum delay before a deadline that has not passed yet is checked again.
pub const MIN_RECHECK_DELAY: Duration = Duration::from_millis(2);

/// The source of every `ClockTime` of the packet path.
///
/// It reads `CLOCK_BOOTTIME`, as the monotonic clock stops while the machine is
/// suspended. By the monotonic clock, a resumed instance would treat a list that is
/// many seconds old as just confirmed, refuse flows that have had a route for long,
/// and go on as a reader although others have replaced it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// Starts the clock.
    pub fn start() -> BootClock {
        BootClock { start_us: boot_us() }
    }

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        ClockTime::from_micros(CLOCK_ORIGIN_US + boot_us().saturating_sub(self.start_us))
    }
}

fn boot_us() -> u64 {
    // Linux provides this clock since 2.6.39; a fallback value would stop the time.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}
