//! When a process that starts may serve.

use std::{collections::HashSet, net::SocketAddr};

use foxledge_core::time::ClockTime;

/// Most sources that are waited for; any few of a fleet know the newest list.
const EXPECT_LIMIT: usize = 8;

/// `StartSource` is somebody who is asked for the newest list at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartSource {
    /// The platform.
    Platform,
    /// The instance with this control address.
    Peer(SocketAddr),
}

/// `StartGate` decides when a process that starts may serve.
///
/// The instance keeps nothing over a restart. If it served with the first list
/// that comes to hand, it could go back to one that the fleet replaced long
/// ago; one would notice requests treated by old rules for some seconds after
/// each restart. So it asks everybody it knows first, for a bounded time.
#[derive(Debug)]
pub struct StartGate {
    pending: HashSet<StartSource>,
    deadline: ClockTime,
}

impl StartGate {
    /// Makes the gate of a process that asks `sources` until `deadline`.
    pub fn new(sources: impl IntoIterator<Item = StartSource>, deadline: ClockTime) -> StartGate {
        StartGate { pending: sources.into_iter().collect(), deadline }
    }

    /// Adds sources that were learnt of since, a few of them.
    pub fn expect(&mut self, sources: impl IntoIterator<Item = StartSource>) {
        let room = EXPECT_LIMIT.saturating_sub(self.pending.len());
        self.pending.extend(sources.into_iter().take(room));
    }

    /// Notes that a source answered, or failed to.
    pub fn heard(&mut self, source: StartSource) {
        self.pending.remove(&source);
    }

    /// True when the process may serve with the list of revision `current`,
    /// while the highest revision heard of is `newest`.
    pub fn is_open(&self, now: ClockTime, current: u64, newest: u64) -> bool {
        if current == 0 {
            return false;
        }
        let has_newest = self.pending.is_empty() && current >= newest;
        has_newest || self.deadline.is_past(now)
    }
}
