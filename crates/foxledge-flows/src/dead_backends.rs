//! Dead backend servers whose open flows are to be reset.

use foxledge_core::time::ClockTime;

/// The interval at which dead backend servers are checked for flows to reset, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// The indexes of dead backend servers that may have flows to reset.
#[derive(Debug, Default)]
pub struct DeadBackends {
    indexes: Vec<usize>,
    next_check_at: ClockTime,
}

impl DeadBackends {
    /// Adds a dead backend server.
    pub fn add(&mut self, index: usize) {
        if !self.indexes.contains(&index) {
            self.indexes.push(index);
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, index: usize) {
        self.indexes.retain(|other| *other != index);
    }

    /// Removes and returns all indexes if the next check is due; returns none otherwise.
    pub fn drain_due(&mut self, now: ClockTime) -> Vec<usize> {
        if self.indexes.is_empty() || !self.next_check_at.is_past(now) {
            return Vec::new();
        }
        self.next_check_at = now.after_millis(CHECK_INTERVAL_MS);
        std::mem::take(&mut self.indexes)
    }
}
