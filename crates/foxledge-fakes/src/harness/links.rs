//! The links of a routed fleet.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

use super::{
    backends::TestBackend,
    fleet::{CentreFabric, InstanceReserve},
    plan::{FleetPlan, LinkMode},
    ports::free_address,
};
use crate::fabric::orders::{FabricClient, LinkProtocol, LinkSpec};

/// `LinkBook` is the links from each instance to every other instance and to the backend servers
/// of other data centres, carried by a fabric process of their own.
#[derive(Debug)]
pub struct LinkBook {
    fabric: CentreFabric,
    links: Vec<LinkSpec>,
}

impl LinkBook {
    /// Starts the links of a plan; none when it isn't routed.
    pub fn start(
        plan: &FleetPlan,
        reserves: &[InstanceReserve],
        backends: &[TestBackend],
        directory: &Path,
    ) -> anyhow::Result<Option<LinkBook>> {
        if plan.link_mode == LinkMode::Direct {
            return Ok(None);
        }
        let mut links = Vec::new();
        for from in reserves {
            for to in reserves.iter().filter(|to| to.name != from.name) {
                let (peer, control) = (to.listen.peer, to.listen.control);
                links.push(plan_link(from, &to.name, LinkProtocol::Udp, peer)?);
                links.push(plan_link(from, &to.name, LinkProtocol::Tcp, control)?);
            }
            for to in backends.iter().filter(|to| to.data_centre != from.data_centre) {
                links.push(plan_link(from, &to.name, LinkProtocol::Udp, to.address)?);
            }
        }
        let path = directory.join("links.json");
        fs::write(&path, serde_json::to_string_pretty(&links)?)?;
        let argument = format!("--links={}", path.display());
        let fabric = CentreFabric::start("links", plan.seed, &[argument], directory)?;
        Ok(Some(LinkBook { fabric, links }))
    }

    /// Orders to the fabric that carries the links.
    pub fn client(&self) -> &FabricClient {
        &self.fabric.client
    }

    /// Cuts everything between two groups of names, both ways.
    pub fn cut(&self, left: &str, right: &str) -> anyhow::Result<()> {
        self.client().cut_links(left, right)?;
        self.client().cut_links(right, left)
    }

    /// Ends a cut between two groups of names.
    pub fn heal(&self, left: &str, right: &str) -> anyhow::Result<()> {
        self.client().heal_links(left, right)?;
        self.client().heal_links(right, left)
    }

    /// For one instance: the link to use for each address.
    pub fn routes_of(&self, instance: &str) -> BTreeMap<SocketAddr, SocketAddr> {
        let own = self.links.iter().filter(|link| link.from == instance);
        own.map(|link| (link.forward_to, link.listen)).collect()
    }
}

fn plan_link(
    from: &InstanceReserve,
    to: &str,
    protocol: LinkProtocol,
    forward_to: SocketAddr,
) -> anyhow::Result<LinkSpec> {
    let from = from.name.clone();
    Ok(LinkSpec { from, to: to.to_owned(), protocol, listen: free_address()?, forward_to })
}
