//! Delays that spread the trials of many instances over time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::health::TRIAL_SLOT_MS;

/// Delays with which instances send trial flows to an ejected backend server.
///
/// There is no coordinator: each instance draws its own delay for each backend server, from a range
/// that grows with the number of instances it knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialDelays {
    seed: u64,
    peer_count: u64,
}

impl TrialDelays {
    /// Creates the delays of an instance. `seed` must differ between instances.
    pub fn new(seed: u64) -> TrialDelays {
        TrialDelays { seed, peer_count: 0 }
    }

    /// Sets the number of other instances.
    pub fn set_peer_count(&mut self, peer_count: usize) {
        self.peer_count = peer_count as u64;
    }

    /// Returns the delay of this instance's trial at a backend server, in milliseconds after the
    /// earliest possible one.
    pub fn delay_ms(&self, backend: u64) -> u64 {
        xxh3_64_with_seed(&backend.to_be_bytes(), self.seed) % (self.peer_count * TRIAL_SLOT_MS + 1)
    }
}
