//! Routes by address. The first route that matches an address decides.

use std::{
    collections::{HashMap, HashSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use foxledge_core::names::{RegionName, RuleName, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    packet::FlowKey,
    rows::{ListRow, RouteRow, RowValue},
};

/// A routing rule in its parsed form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRoute {
    /// Name of the route.
    pub name: RuleName,
    /// Position in the order of all routes.
    pub position: u32,
    /// Services with their weights, at least one.
    pub shares: Vec<(ServiceName, u32)>,
    /// Paid priority; 0 is the highest.
    pub priority: u32,
    /// True when requests can be repeated.
    pub idempotent: bool,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the response time, in milliseconds; 0 without a target.
    pub latency_target_ms: u64,
    /// Regions whose backend servers may serve the route; empty when any region may.
    pub regions: Vec<RegionName>,
    /// Revision at which the route last changed.
    pub revision: u64,
}

impl FlowRoute {
    /// Returns the service of a flow. Every instance chooses the same one.
    pub fn service_for(&self, key: &FlowKey) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = match (self.shares.len(), total) {
            (1, _) | (_, 0) => 0,
            _ => flow_hash(key) % total,
        };
        for (service, weight) in &self.shares {
            if remaining < u64::from(*weight) {
                return service;
            }
            remaining -= u64::from(*weight);
        }
        &self.shares[0].0
    }

    /// Returns true when the route leads to `service`.
    pub fn allows_service(&self, service: &str) -> bool {
        self.shares.iter().any(|(name, _)| name.as_str() == service)
    }
}

/// Hashes a flow's four addresses and ports.
pub fn flow_hash(key: &FlowKey) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&key.caller.ip().octets());
    bytes[4..6].copy_from_slice(&key.caller.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&key.service.ip().octets());
    bytes[10..].copy_from_slice(&key.service.port().to_be_bytes());
    xxh3_64(&bytes)
}

/// All routes of the current list.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_address: HashMap<SocketAddrV4, Vec<Arc<FlowRoute>>>,
    addresses_by_key: HashMap<String, SocketAddrV4>,
    removed: HashSet<SocketAddrV4>,
}

impl RouteTable {
    /// Returns the deciding route of each address, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<FlowRoute>> {
        self.by_address.values().filter_map(|routes| routes.first())
    }

    /// Returns the route that decides for an address.
    pub fn find(&self, address: &SocketAddrV4) -> Option<&Arc<FlowRoute>> {
        self.by_address.get(address)?.first()
    }

    /// Returns true when an address had a route that was removed.
    pub fn was_removed(&self, address: &SocketAddrV4) -> bool {
        self.removed.contains(address)
    }

    /// Applies a row. Rows of other kinds change nothing.
    pub fn apply_row(&mut self, row: &ListRow) {
        match &row.value {
            Some(RowValue::Route(route)) => self.insert(row, route),
            Some(RowValue::Removed(_)) => self.remove(&row.key),
            _ => {}
        }
    }

    fn insert(&mut self, row: &ListRow, route_row: &RouteRow) {
        self.remove(&row.key);
        let Ok(port) = u16::try_from(route_row.port) else { return };
        if route_row.shares.is_empty() {
            return;
        }
        let address = SocketAddrV4::new(Ipv4Addr::from(route_row.ip), port);
        let shares = route_row.shares.iter();
        let route = FlowRoute {
            name: RuleName::new(&route_row.name),
            position: route_row.position,
            shares: shares.map(|share| (ServiceName::new(&share.service), share.weight)).collect(),
            priority: route_row.priority,
            idempotent: route_row.idempotent,
            timeout_ms: u64::from(route_row.timeout_ms),
            latency_target_ms: u64::from(route_row.aim_ms),
            regions: route_row.regions.iter().map(|name| RegionName::new(name)).collect(),
            revision: row.revision,
        };
        let routes = self.by_address.entry(address).or_default();
        let index = routes.partition_point(|other| other.position <= route.position);
        routes.insert(index, Arc::new(route));
        self.addresses_by_key.insert(row.key.clone(), address);
        self.removed.remove(&address);
    }

    fn remove(&mut self, key: &str) {
        let Some(address) = self.addresses_by_key.remove(key) else { return };
        let name = key.strip_prefix("route/").unwrap_or(key);
        let Some(routes) = self.by_address.get_mut(&address) else { return };
        routes.retain(|route| route.name.as_str() != name);
        if routes.is_empty() {
            self.by_address.remove(&address);
            self.removed.insert(address);
        }
    }
}
