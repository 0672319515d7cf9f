//! When a process that starts may serve.

use std::{collections::HashSet, net::SocketAddr};

use foxledge_core::time::ClockTime;

/// Peers whose answer is waited for; a newer list has reached one of two when it spreads at all.
const REQUIRED_PEER_ANSWERS: usize = 2;
/// Most peers that are kept in mind.
const MAX_PEERS: usize = 64;

/// `PlatformAsked` is whether the platform still has to be waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformContact {
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
    platform: PlatformContact,
    peers: HashSet<SocketAddr>,
    answered: HashSet<SocketAddr>,
    failed: HashSet<SocketAddr>,
    deadline: ClockTime,
}

impl StartGate {
    /// Makes the gate of a process that waits until `deadline` at most.
    pub fn new(platform: PlatformContact, deadline: ClockTime) -> StartGate {
        StartGate {
            platform,
            peers: HashSet::new(),
            answered: HashSet::new(),
            failed: HashSet::new(),
            deadline,
        }
    }

    /// Adds peers that were learnt of, by control address.
    pub fn add_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let room = MAX_PEERS.saturating_sub(self.peers.len());
        self.peers.extend(peers.into_iter().take(room));
    }

    /// Notes that the platform answered, or couldn't be reached.
    pub fn record_platform_contact(&mut self) {
        self.platform = PlatformContact::Done;
    }

    /// Notes that a peer told its list's version.
    pub fn record_answer(&mut self, peer: SocketAddr) {
        self.add_peers([peer]);
        self.failed.remove(&peer);
        self.answered.insert(peer);
    }

    /// Notes that a peer gave no answer.
    pub fn record_failure(&mut self, peer: SocketAddr) {
        if self.peers.contains(&peer) && !self.answered.contains(&peer) {
            self.failed.insert(peer);
        }
    }

    /// True when the process may serve with the list of revision `current`,
    /// while the highest revision heard of is `newest`.
    pub fn is_open(&self, now: ClockTime, current: u64, newest: u64) -> bool {
        if current == 0 {
            return false;
        }
        let left = self.peers.len().saturating_sub(self.failed.len());
        let has_asked = self.platform == PlatformContact::Done
            && self.answered.len() >= REQUIRED_PEER_ANSWERS.min(left);
        let has_newest = has_asked && current >= newest;
        has_newest || self.deadline.is_past(now)
    }
}
