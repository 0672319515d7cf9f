//! Which address is used to reach another.

use std::{collections::BTreeMap, net::SocketAddr};

/// `RouteTable` is the addresses that stand in for others; empty but in trials.
///
/// Tests lead what goes between two instances through a link that can be cut.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: BTreeMap<SocketAddr, SocketAddr>,
}

impl RouteTable {
    /// Makes the table; each key is reached at its value.
    pub fn new(routes: BTreeMap<SocketAddr, SocketAddr>) -> RouteTable {
        RouteTable { routes }
    }

    /// Where to send what is meant for `address`.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        self.routes.get(&address).copied().unwrap_or(address)
    }
}
