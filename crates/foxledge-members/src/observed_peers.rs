//! The instances that the local instance observes with heartbeats.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::{names::InstanceName, time::ClockTime};

/// The minimum time for an answer, as a divisor of the suspicion time.
const MIN_ANSWER_DIVISOR: u32 = 3;

/// An instance that the local instance sends heartbeats to.
#[derive(Clone, Debug)]
pub(crate) struct ObservedPeer {
    /// The control address.
    pub address: SocketAddr,
    /// The time at which the peer is suspected unless it answers.
    pub suspect_deadline: ClockTime,
    /// The number of heartbeats since its last answer.
    pub unanswered: u32,
    /// The sequence number of the last heartbeat to it; 0 before the first.
    last_heartbeat: u64,
}

/// The successors of the local instance on the hash rings.
#[derive(Debug)]
pub(crate) struct ObservedPeers {
    peers: BTreeMap<InstanceName, ObservedPeer>,
    suspect_after: Duration,
    /// The number of heartbeats sent so far, to all peers.
    heartbeats_sent: u64,
    isolation_grace: IsolationGrace,
}

/// Whether the extra wait that is granted when all peers are unresponsive has been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IsolationGrace {
    /// The extra wait is available.
    None,
    /// The extra wait was granted, and no peer has answered since.
    Used,
}

impl ObservedPeers {
    pub(crate) fn new(suspect_after: Duration) -> ObservedPeers {
        ObservedPeers {
            peers: BTreeMap::new(),
            suspect_after,
            heartbeats_sent: 0,
            isolation_grace: IsolationGrace::None,
        }
    }

    /// Replaces the observed peers. A peer that was observed before keeps its deadline.
    pub(crate) fn replace_peers(
        &mut self,
        now: ClockTime,
        new_peers: Vec<(InstanceName, SocketAddr)>,
    ) {
        let mut former_peers = std::mem::take(&mut self.peers);
        for (name, address) in new_peers {
            let new_peer = ObservedPeer {
                address,
                suspect_deadline: now.after(self.suspect_after),
                unanswered: 0,
                last_heartbeat: 0,
            };
            let mut peer = former_peers.remove(&name).unwrap_or(new_peer);
            peer.address = address;
            self.peers.insert(name, peer);
        }
    }

    /// Returns the peers to contact in a round: the `count` peers not contacted for longest, and
    /// all peers whose last heartbeat has not been answered.
    pub(crate) fn select_for_round(&mut self, count: usize) -> Vec<InstanceName> {
        let mut ranked: Vec<_> = self
            .peers
            .iter()
            .map(|(name, peer)| (peer.unanswered == 0, peer.last_heartbeat, name.clone()))
            .collect();
        ranked.sort();
        let unanswered_count = ranked.iter().filter(|(answered, ..)| !answered).count();
        ranked.truncate(unanswered_count + count);
        ranked.into_iter().map(|(.., name)| name).collect()
    }

    /// Records a heartbeat. Returns the peer's address and the number of heartbeats left unanswered
    /// before this one.
    ///
    /// The time for an answer runs from the first unanswered heartbeat. If it ran from the last
    /// answer, a peer that has not been contacted for a while would be suspected as soon as it is
    /// contacted.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: ClockTime,
        name: &str,
    ) -> Option<(SocketAddr, u32)> {
        let answer_deadline = now.after(self.suspect_after / MIN_ANSWER_DIVISOR);
        let peer = self.peers.get_mut(name)?;
        let unanswered = peer.unanswered;
        if unanswered == 0 {
            peer.suspect_deadline = peer.suspect_deadline.max(answer_deadline);
        }
        self.heartbeats_sent += 1;
        peer.last_heartbeat = self.heartbeats_sent;
        peer.unanswered += 1;
        Some((peer.address, unanswered))
    }

    /// Records an answer, received directly or by a relay.
    pub(crate) fn record_answer(&mut self, now: ClockTime, name: &str) {
        let deadline = now.after(self.suspect_after);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.suspect_deadline = deadline;
            peer.unanswered = 0;
            self.isolation_grace = IsolationGrace::None;
        }
    }

    /// Returns the peers with an unanswered heartbeat whose deadline has passed, and sets a new
    /// deadline for each, so that it is returned again only after another wait.
    ///
    /// When all peers are unresponsive at once, the fault is more likely local than at all of them:
    /// a process that loses its answers would disseminate suspicions of every peer that it
    /// observes. It therefore waits a second time before it suspects them (Dadgar, Phillips and
    /// Currey, "Lifeguard: local health awareness for more accurate failure detection", DSN-W
    /// 2018).
    pub(crate) fn poll_unresponsive(&mut self, now: ClockTime) -> Vec<InstanceName> {
        let mut overdue = Vec::new();
        let is_overdue =
            |peer: &ObservedPeer| peer.unanswered > 0 && peer.suspect_deadline.is_past(now);
        let is_any_overdue = self.peers.values().any(is_overdue);
        if is_any_overdue && self.is_isolated() && self.isolation_grace == IsolationGrace::None {
            self.isolation_grace = IsolationGrace::Used;
            let suspect_deadline = now.after(self.suspect_after);
            self.peers.values_mut().for_each(|peer| peer.suspect_deadline = suspect_deadline);
            return overdue;
        }
        for (name, peer) in &mut self.peers {
            if is_overdue(peer) {
                peer.suspect_deadline = now.after(self.suspect_after);
                overdue.push(name.clone());
            }
        }
        overdue
    }

    /// Sets a full new suspicion time for every peer and clears its unanswered heartbeats.
    pub(crate) fn reset_deadlines(&mut self, now: ClockTime) {
        for peer in self.peers.values_mut() {
            peer.suspect_deadline = now.after(self.suspect_after);
            peer.unanswered = 0;
        }
    }

    /// Returns true if there are several peers and none has answered its last heartbeat.
    fn is_isolated(&self) -> bool {
        self.peers.len() > 1 && self.peers.values().all(|peer| peer.unanswered > 0)
    }

    /// Returns the observed peer with that control address if exactly one heartbeat is unanswered.
    pub(crate) fn find_newly_unanswered(&self, address: SocketAddr) -> Option<InstanceName> {
        let is_first = |peer: &ObservedPeer| peer.address == address && peer.unanswered == 1;
        let found = self.peers.iter().find(|(_, peer)| is_first(peer));
        found.map(|(name, _)| name.clone())
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }
}
