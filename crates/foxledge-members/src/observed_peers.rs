//! The instances that this one observes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::{names::InstanceName, time::ClockTime};

/// The share of the suspicion time, as a divisor, that an answer has at least.
const ANSWER_SHARE: u32 = 3;

/// `WatchedPeer` is one instance that this one sends beats to.
#[derive(Clone, Debug)]
pub(crate) struct WatchedPeer {
    /// Its control address.
    pub address: SocketAddr,
    /// When it is suspected unless it answers.
    pub suspect_deadline: ClockTime,
    /// Beats since its last answer.
    pub unanswered: u32,
    /// Number of the last beat to it; 0 before the first.
    last_beat: u64,
}

/// `WatchList` is the successors on the rings.
#[derive(Debug)]
pub(crate) struct WatchList {
    peers: BTreeMap<InstanceName, WatchedPeer>,
    suspect_after: Duration,
    /// Beats so far.
    beats: u64,
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
        WatchList { peers: BTreeMap::new(), suspect_after, beats: 0, doubt: SelfDoubt::None }
    }

    /// Observes these from now on; who was observed before keeps its deadline.
    pub(crate) fn set(&mut self, now: ClockTime, wanted: Vec<(InstanceName, SocketAddr)>) {
        let mut before = std::mem::take(&mut self.peers);
        for (name, address) in wanted {
            let fresh = WatchedPeer {
                address,
                suspect_deadline: now.after(self.suspect_after),
                unanswered: 0,
                last_beat: 0,
            };
            let mut peer = before.remove(&name).unwrap_or(fresh);
            peer.address = address;
            self.peers.insert(name, peer);
        }
    }

    /// The peers to beat in a round: the `count` that wait the longest, and everyone whose
    /// last beat has had no answer.
    pub(crate) fn due(&mut self, count: usize) -> Vec<InstanceName> {
        let mut ranked: Vec<_> = self
            .peers
            .iter()
            .map(|(name, peer)| (peer.unanswered == 0, peer.last_beat, name.clone()))
            .collect();
        ranked.sort();
        let silent = ranked.iter().filter(|(answered, ..)| !answered).count();
        ranked.truncate(silent + count);
        ranked.into_iter().map(|(.., name)| name).collect()
    }

    /// Notes a beat; returns the peer's address and how many beats had no answer before.
    ///
    /// An answer gets its time from the first beat without one. Counted from the
    /// last answer alone, a peer that wasn't asked for a while would be suspected
    /// as soon as it is asked.
    pub(crate) fn beat(&mut self, now: ClockTime, name: &str) -> Option<(SocketAddr, u32)> {
        let answer_deadline = now.after(self.suspect_after / ANSWER_SHARE);
        let peer = self.peers.get_mut(name)?;
        let unanswered = peer.unanswered;
        if unanswered == 0 {
            peer.suspect_deadline = peer.suspect_deadline.max(answer_deadline);
        }
        self.beats += 1;
        peer.last_beat = self.beats;
        peer.unanswered += 1;
        Some((peer.address, unanswered))
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
        let is_overdue =
            |peer: &WatchedPeer| peer.unanswered > 0 && peer.suspect_deadline.is_past(now);
        let is_any = self.peers.values().any(is_overdue);
        if is_any && self.is_deaf() && self.doubt == SelfDoubt::None {
            self.doubt = SelfDoubt::Used;
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
