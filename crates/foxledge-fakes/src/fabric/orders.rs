//! Orders on the fabric's control port, and the client that gives them.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::faults::{FaultWays, LinkPassage, PacketFaults, PacketWay, SilenceSpec, WayPair};
use crate::control::LineClient;

/// `LinkProtocol` is what a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LinkProtocol {
    /// Datagrams.
    Udp,
    /// Connections.
    Tcp,
}

/// `LinkSpec` is one relay, named `<from>><to>/<protocol>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkSpec {
    /// Who uses it.
    pub from: String,
    /// Who it leads to.
    pub to: String,
    /// What it carries.
    pub protocol: LinkProtocol,
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where it leads.
    pub forward_to: SocketAddr,
}

impl LinkSpec {
    /// Its name, unique in the fabric.
    pub fn name(&self) -> String {
        let protocol = match self.protocol {
            LinkProtocol::Udp => "udp",
            LinkProtocol::Tcp => "tcp",
        };
        format!("{}>{}/{protocol}", self.from, self.to)
    }
}

/// `LinkPick` picks the traffic from some ends to others, whoever of them opened the link.
///
/// Each pattern is a name, or the beginning of names followed by `*`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkPick {
    /// Senders.
    pub from: String,
    /// Receivers.
    pub to: String,
}

impl LinkPick {
    /// Picks what `from` sends to `to`.
    pub fn new(from: &str, to: &str) -> LinkPick {
        LinkPick { from: from.to_owned(), to: to.to_owned() }
    }

    /// The directions of `link` that are picked.
    pub fn ways(&self, link: &LinkSpec) -> Vec<PacketWay> {
        let mut ways = Vec::new();
        if matches(&self.from, &link.from) && matches(&self.to, &link.to) {
            ways.push(PacketWay::Forward);
        }
        if matches(&self.from, &link.to) && matches(&self.to, &link.from) {
            ways.push(PacketWay::Back);
        }
        ways
    }
}

fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(beginning) => name.starts_with(beginning),
        None => name == pattern,
    }
}

/// `FabricOrder` is one order on the control port, such as
/// `{"do": "cut", "instance": "127.0.0.1:4001", "ways": "back"}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum FabricOrder {
    /// Replaces the instances sprayed over.
    SetInstances {
        /// Their data addresses.
        instances: Vec<SocketAddr>,
    },
    /// Replaces the faults of callers' packets in the given directions.
    SetFaults {
        /// Directions.
        #[serde(default)]
        ways: FaultWays,
        /// The faults.
        faults: PacketFaults,
    },
    /// Cuts one instance off from callers; the fabric goes on spraying to it.
    Cut {
        /// Its data address.
        instance: SocketAddr,
        /// Directions.
        #[serde(default)]
        ways: FaultWays,
    },
    /// Ends the cut of one instance.
    Heal {
        /// Its data address.
        instance: SocketAddr,
    },
    /// Swallows a share of flows or of open sockets.
    SetSilence {
        /// Which ones.
        silence: SilenceSpec,
    },
    /// Ends every fault between callers and instances; links keep theirs.
    Clear,
    /// Opens a link; the answer names its address.
    AddLink {
        /// The link.
        link: LinkSpec,
    },
    /// Cuts or opens what the picked ends send each other by links.
    SetPassage {
        /// The traffic.
        pick: LinkPick,
        /// Cut or open.
        passage: LinkPassage,
    },
    /// Replaces the faults of picked traffic; on TCP only `delay_min_ms` counts.
    SetLinkFaults {
        /// The traffic.
        pick: LinkPick,
        /// The faults.
        faults: PacketFaults,
    },
    /// Asks what was carried.
    Report,
}

/// `WayCount` is what happened to packets in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WayCount {
    /// Packets that arrived at the fabric.
    pub arrived: u64,
    /// Copies that were sent on.
    pub sent: u64,
    /// Packets lost by the share of loss.
    pub lost: u64,
    /// Packets that came twice.
    pub duplicated: u64,
    /// Packets or copies that a cut stopped.
    pub cut: u64,
    /// Packets that a silence swallowed.
    pub silenced: u64,
    /// Bytes that were sent on.
    pub bytes: u64,
}

/// `LinkReport` is one link as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkReport {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Bytes carried.
    pub bytes: WayPair<u64>,
}

/// `FabricReport` is the state of the fabric, the answer to every order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricReport {
    /// Callers' sockets seen.
    pub sockets: usize,
    /// Packets from callers to instances, and back.
    pub packets: WayPair<WayCount>,
    /// Copies sent to each instance.
    pub sprayed: BTreeMap<SocketAddr, u64>,
    /// Links by name.
    pub links: BTreeMap<String, LinkReport>,
}

/// `FabricClient` gives orders to a fabric.
#[derive(Clone, Debug)]
pub struct FabricClient {
    client: LineClient,
}

impl FabricClient {
    /// Makes a client of the control port at `address`.
    pub fn new(address: SocketAddr) -> FabricClient {
        FabricClient { client: LineClient::new(address) }
    }

    /// Gives any order.
    pub fn order(&self, order: &FabricOrder) -> anyhow::Result<FabricReport> {
        self.client.ask(order)
    }

    /// Replaces the instances sprayed over.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) -> anyhow::Result<()> {
        self.order(&FabricOrder::SetInstances { instances }).map(drop)
    }

    /// Replaces the faults of callers' packets.
    pub fn set_faults(&self, ways: FaultWays, faults: PacketFaults) -> anyhow::Result<()> {
        self.order(&FabricOrder::SetFaults { ways, faults }).map(drop)
    }

    /// Cuts one instance off from callers.
    pub fn cut(&self, instance: SocketAddr, ways: FaultWays) -> anyhow::Result<()> {
        self.order(&FabricOrder::Cut { instance, ways }).map(drop)
    }

    /// Ends the cut of one instance.
    pub fn heal(&self, instance: SocketAddr) -> anyhow::Result<()> {
        self.order(&FabricOrder::Heal { instance }).map(drop)
    }

    /// Swallows a share of flows or of open sockets.
    pub fn set_silence(&self, silence: SilenceSpec) -> anyhow::Result<()> {
        self.order(&FabricOrder::SetSilence { silence }).map(drop)
    }

    /// Ends every fault between callers and instances.
    pub fn clear(&self) -> anyhow::Result<()> {
        self.order(&FabricOrder::Clear).map(drop)
    }

    /// Opens a link and returns where it listens.
    pub fn add_link(&self, link: LinkSpec) -> anyhow::Result<SocketAddr> {
        let name = link.name();
        let report = self.order(&FabricOrder::AddLink { link })?;
        let link = report.links.get(&name);
        link.map(|link| link.listen).ok_or_else(|| anyhow::anyhow!("link {name} is missing"))
    }

    /// Cuts what `from` sends to `to` by links, see [`LinkPick`].
    pub fn cut_links(&self, from: &str, to: &str) -> anyhow::Result<()> {
        self.set_passage(from, to, LinkPassage::Cut)
    }

    /// Ends a cut of what `from` sends to `to`.
    pub fn heal_links(&self, from: &str, to: &str) -> anyhow::Result<()> {
        self.set_passage(from, to, LinkPassage::Open)
    }

    /// Replaces the faults of what `from` sends to `to` by links.
    pub fn set_link_faults(
        &self,
        from: &str,
        to: &str,
        faults: PacketFaults,
    ) -> anyhow::Result<()> {
        let pick = LinkPick::new(from, to);
        self.order(&FabricOrder::SetLinkFaults { pick, faults }).map(drop)
    }

    /// What was carried so far.
    pub fn report(&self) -> anyhow::Result<FabricReport> {
        self.order(&FabricOrder::Report)
    }

    fn set_passage(&self, from: &str, to: &str, passage: LinkPassage) -> anyhow::Result<()> {
        let pick = LinkPick::new(from, to);
        self.order(&FabricOrder::SetPassage { pick, passage }).map(drop)
    }
}
