//! Slots and connections that a desk's own dispatches hold.

use foxledge_core::traffic::TrafficKind;

/// `SlotLedger` counts what this desk's dispatches hold of one target.
///
/// Invariant: every dispatch that the desk knows of is counted exactly once,
/// from its dispatch until it ended or its lease ran out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLedger {
    busy: u32,
    connections: u32,
}

impl SlotLedger {
    /// Slots held.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Connections held.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// True when nothing is held.
    pub fn is_idle(&self) -> bool {
        self.busy == 0 && self.connections == 0
    }

    /// Takes what work of that kind holds.
    pub fn take(&mut self, kind: TrafficKind) {
        *self.count_of(kind) += 1;
    }

    /// Gives back what work of that kind held.
    pub fn give(&mut self, kind: TrafficKind) {
        let count = self.count_of(kind);
        *count = count.saturating_sub(1);
    }

    fn count_of(&mut self, kind: TrafficKind) -> &mut u32 {
        match kind {
            TrafficKind::Feed => &mut self.connections,
            TrafficKind::Bid | TrafficKind::Upload => &mut self.busy,
        }
    }
}
