//! Replacement of destination addresses, for tests.

use std::{collections::BTreeMap, net::SocketAddr};

/// A table of replaced destination addresses; empty except in trials.
///
/// Tests use it to route traffic between two instances through a link that they can cut.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: BTreeMap<SocketAddr, SocketAddr>,
}

impl RouteTable {
    /// Creates a table in which each key is reached at its value.
    pub fn new(routes: BTreeMap<SocketAddr, SocketAddr>) -> RouteTable {
        RouteTable { routes }
    }

    /// Returns the address to use for sending to `address`.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        self.routes.get(&address).copied().unwrap_or(address)
    }
}
