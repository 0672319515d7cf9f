//! The decision when a starting process may begin to serve.

use std::{collections::HashSet, net::SocketAddr};

use foxledge_core::time::ClockTime;

/// Number of peers that have to answer: if a newer list is spreading, at least one of two
/// peers has it.
const REQUIRED_PEER_ANSWERS: usize = 2;
/// Maximum number of tracked peers.
const MAX_PEERS: usize = 64;

/// Whether the platform has been contacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformContact {
    /// The platform hasn't answered yet.
    Pending,
    /// The platform answered, is unreachable, or isn't configured.
    Done,
}

/// Decides when a starting process may begin to serve.
///
/// An instance has no persistent state. If it served with the first list that it
/// receives, it could use one that the fleet replaced long ago, and treat requests by
/// outdated rules for some seconds after each restart. It therefore queries the
/// platform and its peers first, for a bounded time.
#[derive(Debug)]
pub struct StartGate {
    platform: PlatformContact,
    peers: HashSet<SocketAddr>,
    answered: HashSet<SocketAddr>,
    failed: HashSet<SocketAddr>,
    deadline: ClockTime,
}

impl StartGate {
    /// Creates a gate that opens at `deadline` at the latest, if any list is known.
    pub fn new(platform: PlatformContact, deadline: ClockTime) -> StartGate {
        StartGate {
            platform,
            peers: HashSet::new(),
            answered: HashSet::new(),
            failed: HashSet::new(),
            deadline,
        }
    }

    /// Adds peers by control address, up to the maximum number.
    pub fn add_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let capacity = MAX_PEERS.saturating_sub(self.peers.len());
        self.peers.extend(peers.into_iter().take(capacity));
    }

    /// Records that the platform answered or is unreachable.
    pub fn record_platform_contact(&mut self) {
        self.platform = PlatformContact::Done;
    }

    /// Records that a peer reported the version of its list.
    pub fn record_answer(&mut self, peer: SocketAddr) {
        self.add_peers([peer]);
        self.failed.remove(&peer);
        self.answered.insert(peer);
    }

    /// Records that a peer didn't answer.
    pub fn record_failure(&mut self, peer: SocketAddr) {
        if self.peers.contains(&peer) && !self.answered.contains(&peer) {
            self.failed.insert(peer);
        }
    }

    /// Returns true when the process may serve with the list of revision `current`,
    /// given that `newest` is the highest revision known.
    pub fn is_open(&self, now: ClockTime, current: u64, newest: u64) -> bool {
        if current == 0 {
            return false;
        }
        let reachable_peers = self.peers.len().saturating_sub(self.failed.len());
        let has_contacted_enough = self.platform == PlatformContact::Done
            && self.answered.len() >= REQUIRED_PEER_ANSWERS.min(reachable_peers);
        let has_newest = has_contacted_enough && current >= newest;
        has_newest || self.deadline.is_past(now)
    }
}
