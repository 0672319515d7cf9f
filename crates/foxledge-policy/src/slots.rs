//! Slots and connections that the dispatches of a scheduler occupy.

use foxledge_core::traffic::TrafficKind;

/// Counts the slots and connections of one target that the dispatches of this scheduler occupy.
///
/// Invariant: every dispatch in the dispatch table is counted exactly once, from its start until
/// it ended, its lease expired or its slot was reclaimed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLedger {
    busy: u32,
    connections: u32,
}

impl SlotLedger {
    /// Returns the number of occupied slots.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the number of occupied connections.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns whether neither slots nor connections are occupied.
    pub fn is_idle(&self) -> bool {
        self.busy == 0 && self.connections == 0
    }

    /// Occupies a connection for a feed, or a slot for other kinds.
    pub fn occupy(&mut self, kind: TrafficKind) {
        *self.counter_mut(kind) += 1;
    }

    /// Releases a connection for a feed, or a slot for other kinds.
    pub fn release(&mut self, kind: TrafficKind) {
        let count = self.counter_mut(kind);
        *count = count.saturating_sub(1);
    }

    fn counter_mut(&mut self, kind: TrafficKind) -> &mut u32 {
        match kind {
            TrafficKind::Feed => &mut self.connections,
            TrafficKind::Bid | TrafficKind::Upload => &mut self.busy,
        }
    }
}
