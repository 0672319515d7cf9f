//! Whose turn it is, where all instances would do the same at once.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::health::TRIAL_SLOT_MS;

/// `TrialTurns` is the order in which instances try ejected backend servers again.
///
/// Nobody appoints it: each instance draws its own turn among as many as it knows, another
/// for each backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialDelays {
    seed: u64,
    others: u64,
}

impl TrialDelays {
    /// Turns of an instance that differs from others by its seed.
    pub fn new(seed: u64) -> TrialDelays {
        TrialDelays { seed, others: 0 }
    }

    /// Sets how many other instances there are.
    pub fn set_peer_count(&mut self, others: usize) {
        self.others = others as u64;
    }

    /// This instance's turn at a backend server, in milliseconds after the first.
    pub fn delay_ms(&self, backend: u64) -> u64 {
        xxh3_64_with_seed(&backend.to_be_bytes(), self.seed) % (self.others * TRIAL_SLOT_MS + 1)
    }
}
