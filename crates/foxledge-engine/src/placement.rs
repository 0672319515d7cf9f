//! Assigns homes to service shards.

use std::str::FromStr;

use foxledge_core::{
    errors::{Error, unknown_word},
    hash::digest_of,
    names::{InstanceName, ServiceName},
    peers::{PeerInfo, PeerView},
};
use serde::Serialize;

/// Identifies one shard of a service's backend servers. Each shard has a scheduler at its home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ShardKey {
    /// The service.
    pub service: ServiceName,
    /// The number of the shard, starting at 0.
    pub shard: u32,
}

impl ShardKey {
    /// Returns the key for rendezvous hashing.
    pub fn hash_text(&self) -> String {
        format!("{}#{}", self.service, self.shard)
    }
}

/// The available strategies for assigning homes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementKind {
    /// One home for each service, or for each of its shards, in a data centre.
    ServiceHome,
    /// Every entry instance admits work itself. Queues and slots are not shared between instances.
    EntryLocal,
    /// One home for each backend server. The flow id determines the backend server.
    TargetHome,
}

impl FromStr for PlacementKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<PlacementKind, Error> {
        match text {
            "service-home" => Ok(PlacementKind::ServiceHome),
            "entry-local" => Ok(PlacementKind::EntryLocal),
            "target-home" => Ok(PlacementKind::TargetHome),
            _ => Err(unknown_word("placement", text)),
        }
    }
}

/// A strategy for assigning homes.
pub trait HomePlacement {
    /// Returns the number of shards of a service, given the published number and the number of its
    /// backend servers in this data centre.
    fn effective_shards(&self, published: u32, targets: usize) -> u32;

    /// Returns true when `me` is among the `ranks` highest-ranked homes of the shard.
    fn is_among_best_homes(
        &self,
        key: &ShardKey,
        me: &InstanceName,
        view: &PeerView,
        ranks: usize,
    ) -> bool {
        view.is_among_best_homes(&key.hash_text(), me, ranks)
    }

    /// Returns the home candidates of the shard, the highest-ranked first.
    fn ranked_homes<'a>(
        &self,
        key: &ShardKey,
        me: &InstanceName,
        view: &'a PeerView,
    ) -> Vec<&'a PeerInfo>;
}

/// Creates the strategy of that kind.
pub fn new_placement(kind: PlacementKind) -> Box<dyn HomePlacement> {
    match kind {
        PlacementKind::ServiceHome => Box::new(ServiceHome),
        PlacementKind::EntryLocal => Box::new(EntryLocal),
        PlacementKind::TargetHome => Box::new(TargetHome),
    }
}

/// Returns the shard of a flow.
pub fn shard_for_flow(flow: u64, shards: u32) -> u32 {
    (digest_of(&flow.to_be_bytes()) % u64::from(shards.max(1))) as u32
}

struct ServiceHome;

impl HomePlacement for ServiceHome {
    fn effective_shards(&self, published: u32, _targets: usize) -> u32 {
        published.max(1)
    }

    fn ranked_homes<'a>(
        &self,
        key: &ShardKey,
        _: &InstanceName,
        view: &'a PeerView,
    ) -> Vec<&'a PeerInfo> {
        view.ranked_homes(&key.hash_text())
    }
}

struct EntryLocal;

impl HomePlacement for EntryLocal {
    fn is_among_best_homes(&self, _: &ShardKey, _: &InstanceName, _: &PeerView, _: usize) -> bool {
        true
    }

    fn effective_shards(&self, _published: u32, _targets: usize) -> u32 {
        1
    }

    fn ranked_homes<'a>(
        &self,
        _: &ShardKey,
        me: &InstanceName,
        view: &'a PeerView,
    ) -> Vec<&'a PeerInfo> {
        view.find(me).into_iter().collect()
    }
}

struct TargetHome;

impl HomePlacement for TargetHome {
    fn effective_shards(&self, _published: u32, targets: usize) -> u32 {
        u32::try_from(targets).unwrap_or(u32::MAX).max(1)
    }

    fn ranked_homes<'a>(
        &self,
        key: &ShardKey,
        _: &InstanceName,
        view: &'a PeerView,
    ) -> Vec<&'a PeerInfo> {
        view.ranked_homes(&key.hash_text())
    }
}
