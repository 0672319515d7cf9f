//! When a process that starts may serve.

use std::{collections::HashSet, net::SocketAddr};

use foxledge_core::time::ClockTime;

/// Peers whose answer is waited for; a newer list has reached one of two when it spreads at all.
const ANSWERS_WANTED: usize = 2;
/// Most peers that are kept in mind.
const PEER_LIMIT: usize = 64;

/// `PlatformAsked` is whether the platform still has to be waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformAsked {
    /// It hasn't answered yet.
    Pending,
    /// It answered, couldn't be reached, or there is none.
    Done,
}

/// `StartGate` decides when a process that starts may serve.
///
/// The instance keeps nothing over a restart. If it served with the first list
/// that comes to hand, it could go back to one that the fleet replaced long
/// ago; one would notice requests treated by old rules for some seconds after
/// each restart. So it asks the platform and its peers first, for a bounded time.
#[derive(Debug)]
pub struct StartGate {
    platform: PlatformAsked,
    known: HashSet<SocketAddr>,
    answered: HashSet<SocketAddr>,
    failed: HashSet<SocketAddr>,
    deadline: ClockTime,
}

impl StartGate {
    /// Makes the gate of a process that waits until `deadline` at most.
    pub fn new(platform: PlatformAsked, deadline: ClockTime) -> StartGate {
        StartGate {
            platform,
            known: HashSet::new(),
            answered: HashSet::new(),
            failed: HashSet::new(),
            deadline,
        }
    }

    /// Adds peers that were learnt of, by control address.
    pub fn know(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let room = PEER_LIMIT.saturating_sub(self.known.len());
        self.known.extend(peers.into_iter().take(room));
    }

    /// Notes that the platform answered, or couldn't be reached.
    pub fn platform_done(&mut self) {
        self.platform = PlatformAsked::Done;
    }

    /// Notes that a peer told its list's version.
    pub fn peer_answered(&mut self, peer: SocketAddr) {
        self.know([peer]);
        self.failed.remove(&peer);
        self.answered.insert(peer);
    }

    /// Notes that a peer gave no answer.
    pub fn peer_failed(&mut self, peer: SocketAddr) {
        if self.known.contains(&peer) && !self.answered.contains(&peer) {
            self.failed.insert(peer);
        }
    }

    /// True when the process may serve with the list of revision `current`,
    /// while the highest revision heard of is `newest`.
    pub fn is_open(&self, now: ClockTime, current: u64, newest: u64) -> bool {
        if current == 0 {
            return false;
        }
        let left = self.known.len().saturating_sub(self.failed.len());
        let has_asked =
            self.platform == PlatformAsked::Done && self.answered.len() >= ANSWERS_WANTED.min(left);
        let has_newest = has_asked && current >= newest;
        has_newest || self.deadline.is_past(now)
    }
}
