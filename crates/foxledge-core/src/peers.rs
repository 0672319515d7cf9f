//! One instance's knowledge of the other instances of the fleet.
//!
//! The home of a service is the instance that queues and schedules its requests. It is selected by
//! rendezvous hashing among the instances of the data centre.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    hash::rendezvous_weight,
    names::{CentreName, InstanceName},
};

/// The state of an instance as seen by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Started but not warmed up; it becomes the home of no service.
    Joining,
    /// Serving; it can be the home of services.
    Alive,
    /// The instance failed to respond to another one; it is still the home of its services.
    Suspect,
    /// Stopping as planned: it becomes the home of no further service and finishes its work.
    Leaving,
    /// Failed or stopped.
    Dead,
}

impl PeerState {
    /// Returns `true` if the instance can be the home of a service.
    pub fn can_be_home(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }

    /// Returns the name of the state in audit trails and reports.
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

/// The identity, state and addresses of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerInfo {
    /// The name from its settings.
    pub name: InstanceName,
    /// The incarnation of the process; increases with every restart.
    pub incarnation: u64,
    /// Increased by the instance itself to refute a suspicion.
    pub refutation: u32,
    /// The state.
    pub state: PeerState,
    /// The data centre.
    pub data_centre: CentreName,
    /// The address that receives datagrams of callers and backend servers.
    pub data_address: SocketAddr,
    /// The address that receives datagrams of other instances.
    pub peer_address: SocketAddr,
    /// The address that accepts control calls.
    pub control_address: SocketAddr,
}

/// An instance of another data centre that accepts forwarded packets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CentreContact {
    /// The name.
    pub name: InstanceName,
    /// The data centre.
    pub data_centre: CentreName,
    /// The address that receives datagrams of other instances.
    pub peer_address: SocketAddr,
}

/// One instance's current view of its data centre and of the reachable other data centres.
///
/// Two instances may hold different views at the same time; no guarantee of the system depends on
/// their being equal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerView {
    /// The instances of the local data centre, including this one, sorted by name.
    pub peers: Vec<PeerInfo>,
    /// Data centres that responded recently, including the local one.
    pub reachable_centres: Vec<CentreName>,
    /// A few instances of each other reachable data centre, by name.
    pub contacts: Vec<CentreContact>,
}

impl PeerView {
    /// Returns the instance with this name.
    pub fn find(&self, name: &str) -> Option<&PeerInfo> {
        self.peers.iter().find(|peer| peer.name.as_str() == name)
    }

    /// Returns `true` if `name` is among the `ranks` instances with the highest rendezvous weight
    /// for `key`.
    ///
    /// Stops at the first `ranks` instances with a higher weight, after about `ranks * ln(n)` of
    /// `n` instances on average. A complete ranking weighs and sorts all of them.
    pub fn is_among_best_homes(&self, key: &str, name: &str, ranks: usize) -> bool {
        let Some(candidate) = self.find(name).filter(|peer| peer.state.can_be_home()) else {
            return false;
        };
        let candidate_weight = rendezvous_weight(key, &candidate.name);
        let better = self
            .peers
            .iter()
            .filter(|peer| peer.state.can_be_home())
            .filter(|peer| {
                let weight = rendezvous_weight(key, &peer.name);
                weight > candidate_weight
                    || (weight == candidate_weight && peer.name < candidate.name)
            })
            .take(ranks)
            .count();
        better < ranks
    }

    /// Returns the instances that can be the home for `key`, from the highest rendezvous weight to
    /// the lowest.
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
