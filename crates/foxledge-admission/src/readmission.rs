//! The order of readmission: callers are hashed to positions on a ring, and a rotating window
//! covers those that are admitted.

use std::net::Ipv4Addr;

use foxledge_core::time::ClockTime;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash seed of ring positions, which differs from the one of client accounts.
const RING_SEED: u64 = 1;
/// The rotation time of the window if no latency target is set, in milliseconds.
const DEFAULT_ROTATION_MS: u64 = 1000;
/// The rotation time of the window as a multiple of the latency target.
const ROTATION_FACTOR: u64 = 2;

/// The position of the window of admitted callers on the ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadmissionWindow {
    /// A reading of the clock that all instances share, in microseconds.
    clock_us: u64,
    /// When the clock was read.
    read_at: ClockTime,
    /// The rotation time in microseconds; 0 before the first plan.
    rotation_us: u64,
}

impl ReadmissionWindow {
    /// Creates the window for a service with this latency target; `clock_ms` is the reading of the
    /// clock shared by all instances at `now`.
    pub fn new(now: ClockTime, clock_ms: u32, latency_target_ms: u64) -> ReadmissionWindow {
        let rotation_ms = if latency_target_ms == 0 {
            DEFAULT_ROTATION_MS
        } else {
            latency_target_ms * ROTATION_FACTOR
        };
        ReadmissionWindow {
            clock_us: u64::from(clock_ms) * 1000,
            read_at: now,
            rotation_us: rotation_ms.saturating_mul(1000),
        }
    }

    /// Returns `true` if a window that covers `share` of the ring covers the caller at `now`.
    ///
    /// During a shortage the window passes every caller once per rotation, at the same time on all
    /// instances.
    pub fn covers(&self, now: ClockTime, caller: Ipv4Addr, share: f64) -> bool {
        if share >= 1.0 || self.rotation_us == 0 {
            return true;
        }
        (ring_position(caller) - self.start(now)).rem_euclid(1.0) < share
    }

    /// Returns the start of the window at `now`, as a fraction of the ring.
    fn start(&self, now: ClockTime) -> f64 {
        let clock_us = self.clock_us + now.since(self.read_at).as_micros() as u64;
        (clock_us % self.rotation_us) as f64 / self.rotation_us as f64
    }
}

/// Returns a caller's position on the ring, from 0 inclusive to 1 exclusive.
fn ring_position(caller: Ipv4Addr) -> f64 {
    // A floating-point number holds 53 bits exactly.
    let hash = xxh3_64_with_seed(&caller.octets(), RING_SEED) >> 11;
    hash as f64 / (1u64 << 53) as f64
}
