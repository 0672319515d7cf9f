//! Backend servers that may have flows to end.

use foxledge_core::time::ClockTime;

/// Time between two looks for flows to end, in milliseconds.
const LOOK_MS: u64 = 20;

/// `DeadBackends` is backend servers that may have flows to end.
#[derive(Debug, Default)]
pub struct DeadBackends {
    indexes: Vec<usize>,
    look_at: ClockTime,
}

impl DeadBackends {
    /// Adds a backend server that is dead.
    pub fn add(&mut self, index: usize) {
        if !self.indexes.contains(&index) {
            self.indexes.push(index);
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, index: usize) {
        self.indexes.retain(|other| *other != index);
    }

    /// Takes all of them out when it is time for another look; none before.
    pub fn drain_due(&mut self, now: ClockTime) -> Vec<usize> {
        if self.indexes.is_empty() || !self.look_at.is_past(now) {
            return Vec::new();
        }
        self.look_at = now.after_millis(LOOK_MS);
        std::mem::take(&mut self.indexes)
    }
}
