//! Which instance is the home of a flow's work.

use std::str::FromStr;

use foxledge_core::{
    errors::{Error, unknown_word},
    hash::digest_of,
    names::{InstanceName, ServiceName},
    peers::{PeerInfo, PeerView},
};
use serde::Serialize;

/// `ShardKey` is one shard of a service's targets: each has a desk at its home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ShardKey {
    /// The service.
    pub service: ServiceName,
    /// Number of the shard, from 0.
    pub shard: u32,
}

impl ShardKey {
    /// The text that rendezvous hashing uses.
    pub fn hash_text(&self) -> String {
        format!("{}#{}", self.service, self.shard)
    }
}

/// `PlacementKind` is the name of a way to place homes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementKind {
    /// One home for each service (or shard of it) in a data centre.
    ServiceHome,
    /// Every entry instance admits by itself; nothing is pooled.
    EntryLocal,
    /// One home for each target; a flow's target follows from its id.
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

/// `HomePlacement` is a way to place homes.
pub trait HomePlacement {
    /// How many shards a service has, given what is published and its targets here.
    fn effective_shards(&self, published: u32, targets: usize) -> u32;

    /// True when `me` is among the best `ranks` homes of the desk.
    fn is_among_best_homes(
        &self,
        key: &ShardKey,
        me: &InstanceName,
        view: &PeerView,
        ranks: usize,
    ) -> bool {
        view.is_among_best_homes(&key.hash_text(), me, ranks)
    }

    /// Instances that can be home for the desk, the best first.
    fn ranked_homes<'a>(
        &self,
        key: &ShardKey,
        me: &InstanceName,
        view: &'a PeerView,
    ) -> Vec<&'a PeerInfo>;
}

/// Makes the placement of that kind.
pub fn new_placement(kind: PlacementKind) -> Box<dyn HomePlacement> {
    match kind {
        PlacementKind::ServiceHome => Box::new(ServiceHome),
        PlacementKind::EntryLocal => Box::new(EntryLocal),
        PlacementKind::TargetHome => Box::new(TargetHome),
    }
}

/// The shard that a flow belongs to.
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
