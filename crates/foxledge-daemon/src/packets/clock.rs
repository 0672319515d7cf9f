//! A clock that goes on while the machine is suspended.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use nix::time::{ClockId, clock_gettime};

/// Where the clock starts, in microseconds. Ages that others tell reach back to
/// before this process began, and points in time can't be negative.
const CLOCK_ORIGIN_US: u64 = 3_600_000_000;

/// Shortest wait before another look at a time that has not passed yet.
pub const MIN_RECHECK_DELAY: Duration = Duration::from_millis(2);

/// `BootClock` is the source of every `ClockTime` of the packets' tree.
///
/// The monotonic clock stands still while the machine is suspended. An instance
/// that wakes would hold a list confirmed a moment ago that is many seconds old,
/// refuse flows for which there has long been a route, and go on as a reader
/// whom others have replaced.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// Starts the clock.
    pub fn start() -> BootClock {
        BootClock { start_us: boot_us() }
    }

    /// The time now.
    pub fn now(&self) -> ClockTime {
        ClockTime::from_micros(CLOCK_ORIGIN_US + boot_us().saturating_sub(self.start_us))
    }
}

fn boot_us() -> u64 {
    // Linux has had this clock since 2.6.39; without it time would stand still.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
    time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
}
