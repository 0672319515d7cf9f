//! The instances that this one observes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::{names::InstanceName, time::ClockTime};

/// `WatchedPeer` is one instance that this one sends beats to.
#[derive(Clone, Debug)]
pub(crate) struct WatchedPeer {
    /// Its control address.
    pub address: SocketAddr,
    /// When it is suspected unless it answers.
    pub suspect_deadline: ClockTime,
    /// Beats since its last answer.
    pub unanswered: u32,
}

/// `WatchList` is the successors on the rings, in rotation.
#[derive(Debug)]
pub(crate) struct WatchList {
    peers: BTreeMap<InstanceName, WatchedPeer>,
    suspect_after: Duration,
    rotation: usize,
    doubt: SelfDoubt,
}

/// `SelfDoubt` is whether a silence all around was put down to this process's own links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelfDoubt {
    None,
    Used,
}

impl WatchList {
    pub(crate) fn new(suspect_after: Duration) -> WatchList {
        WatchList { peers: BTreeMap::new(), suspect_after, rotation: 0, doubt: SelfDoubt::None }
    }

    /// Observes these from now on; who was observed before keeps its deadline.
    pub(crate) fn set(&mut self, now: ClockTime, wanted: Vec<(InstanceName, SocketAddr)>) {
        let mut before = std::mem::take(&mut self.peers);
        for (name, address) in wanted {
            let fresh = WatchedPeer {
                address,
                suspect_deadline: now.after(self.suspect_after),
                unanswered: 0,
            };
            let mut peer = before.remove(&name).unwrap_or(fresh);
            peer.address = address;
            self.peers.insert(name, peer);
        }
    }

    /// The peers to beat in a round: `count` by rotation, and everyone whose last beat
    /// has had no answer.
    pub(crate) fn due(&mut self, count: usize) -> Vec<InstanceName> {
        let len = self.peers.len();
        let start = self.rotation;
        self.rotation = self.rotation.wrapping_add(count);
        let is_in_turn = |index: usize| (index + len - start % len) % len < count;
        self.peers
            .iter()
            .enumerate()
            .filter(|(index, (_, peer))| peer.unanswered > 0 || is_in_turn(*index))
            .map(|(_, (name, _))| name.clone())
            .collect()
    }

    /// Notes an answer, its own or one that a relay got from it.
    pub(crate) fn answered(&mut self, now: ClockTime, name: &str) {
        let deadline = now.after(self.suspect_after);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.suspect_deadline = deadline;
            peer.unanswered = 0;
            self.doubt = SelfDoubt::None;
        }
    }

    /// Peers whose deadline has passed; each gets a new one, so that it is named again
    /// only after another wait.
    ///
    /// When all are silent at once, the fault is likelier here than at all of
    /// them: a process whose answers get lost would spread suspicions against
    /// everybody it observes. It waits once more before it believes itself
    /// (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more
    /// accurate failure detection", DSN-W 2018).
    pub(crate) fn take_overdue(&mut self, now: ClockTime) -> Vec<InstanceName> {
        let mut overdue = Vec::new();
        let is_any = self.peers.values().any(|peer| peer.suspect_deadline.is_past(now));
        if is_any && self.is_deaf() && self.doubt == SelfDoubt::None {
            self.doubt = SelfDoubt::Used;
            let suspect_deadline = now.after(self.suspect_after);
            self.peers.values_mut().for_each(|peer| peer.suspect_deadline = suspect_deadline);
            return overdue;
        }
        for (name, peer) in &mut self.peers {
            if peer.suspect_deadline.is_past(now) {
                peer.suspect_deadline = now.after(self.suspect_after);
                overdue.push(name.clone());
            }
        }
        overdue
    }

    /// Gives everyone a whole new wait.
    pub(crate) fn renew(&mut self, now: ClockTime) {
        for peer in self.peers.values_mut() {
            peer.suspect_deadline = now.after(self.suspect_after);
            peer.unanswered = 0;
        }
    }

    /// True when nobody's last beat has had an answer.
    fn is_deaf(&self) -> bool {
        self.peers.len() > 1 && self.peers.values().all(|peer| peer.unanswered > 0)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut WatchedPeer> {
        self.peers.get_mut(name)
    }

    /// The observed peer at that control address, if its silence has just begun.
    pub(crate) fn at_first_failure(&self, address: SocketAddr) -> Option<InstanceName> {
        let is_first = |peer: &WatchedPeer| peer.address == address && peer.unanswered == 1;
        let found = self.peers.iter().find(|(_, peer)| is_first(peer));
        found.map(|(name, _)| name.clone())
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }
}
