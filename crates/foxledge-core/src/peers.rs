//! What an instance knows of the fleet's instances.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    hash::rendezvous_weight,
    names::{CentreName, InstanceName},
};

/// `PeerState` is the state of an instance as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Started, not warm yet: takes no homes.
    Joining,
    /// Serves and takes homes.
    Alive,
    /// An observer has not heard from it; it still holds its homes.
    Suspect,
    /// Planned stop: takes no new homes, finishes what it has.
    Leaving,
    /// Gone.
    Dead,
}

impl PeerState {
    /// True when the instance can be the home of a service.
    pub fn can_be_home(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }

    /// The state's word in audit trails and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerState::Joining => "joining",
            PeerState::Alive => "alive",
            PeerState::Suspect => "suspect",
            PeerState::Leaving => "leaving",
            PeerState::Dead => "dead",
        }
    }
}

/// `PeerInfo` is what one instance is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerInfo {
    /// Its name from its settings.
    pub name: InstanceName,
    /// Of the process; a restart has a higher one.
    pub incarnation: u64,
    /// Raised by the instance itself to refute a suspicion.
    pub refutation: u32,
    /// Its state.
    pub state: PeerState,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where callers' and backend servers' datagrams arrive.
    pub data_address: SocketAddr,
    /// Where datagrams of other instances arrive.
    pub peer_address: SocketAddr,
    /// Where control calls arrive.
    pub control_address: SocketAddr,
}

/// `CentreContact` is an instance of another data centre that takes forwarded packets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CentreContact {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where datagrams of other instances arrive.
    pub peer_address: SocketAddr,
}

/// `PeerView` is one instance's present view of its data centre and of which
/// other data centres can be reached.
///
/// Two instances may hold different views at the same time; nothing that must
/// always hold depends on their being equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerView {
    /// The instances of the own data centre, self included, sorted by name.
    pub peers: Vec<PeerInfo>,
    /// Data centres that answered lately, the own one included.
    pub reachable_centres: Vec<CentreName>,
    /// A few instances of each other data centre in reach, by name.
    pub contacts: Vec<CentreContact>,
}

impl PeerView {
    /// The instance of that name.
    pub fn find(&self, name: &str) -> Option<&PeerInfo> {
        self.peers.iter().find(|peer| peer.name.as_str() == name)
    }

    /// True when `name` is among the best `ranks` homes for `key`.
    ///
    /// Stops at the first `ranks` that are better, about `ranks * ln(n)` of `n`
    /// instances on average, where a whole ranking weighs and sorts all.
    pub fn is_among_best_homes(&self, key: &str, name: &str, ranks: usize) -> bool {
        let Some(me) = self.find(name).filter(|peer| peer.state.can_be_home()) else {
            return false;
        };
        let mine = rendezvous_weight(key, &me.name);
        let better = self
            .peers
            .iter()
            .filter(|peer| peer.state.can_be_home())
            .filter(|peer| {
                let weight = rendezvous_weight(key, &peer.name);
                weight > mine || (weight == mine && peer.name < me.name)
            })
            .take(ranks)
            .count();
        better < ranks
    }

    /// Instances that can be the home for `key`, the best first.
    pub fn ranked_homes(&self, key: &str) -> Vec<&PeerInfo> {
        let mut ranked: Vec<_> = self
            .peers
            .iter()
            .filter(|peer| peer.state.can_be_home())
            .map(|peer| (rendezvous_weight(key, &peer.name), peer))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }
}
