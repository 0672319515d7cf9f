//! Links: relays between two given ends that can be cut, delayed and made lossy by name.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, bail};
use foxledge_core::hash::digest_of;
use log::info;
use tokio::net::{TcpListener, UdpSocket};

use super::{
    faults::{LinkPassage, PacketFaults, PacketWay, WayPair},
    orders::{LinkPick, LinkProtocol, LinkReport, LinkSpec},
    spray::SprayRelay,
    streams::StreamRelay,
};

/// `LinkTable` is every open link by name.
#[derive(Debug)]
pub struct LinkTable {
    seed: u64,
    links: BTreeMap<String, OpenLink>,
}

#[derive(Debug)]
struct OpenLink {
    spec: LinkSpec,
    listen: SocketAddr,
    relay: LinkRelay,
}

#[derive(Debug)]
enum LinkRelay {
    Udp(Arc<SprayRelay>),
    Tcp(Arc<StreamRelay>),
}

impl LinkTable {
    /// Makes an empty table; each link draws from `seed` and its name.
    pub fn new(seed: u64) -> LinkTable {
        LinkTable { seed, links: BTreeMap::new() }
    }

    /// Opens a link; must be called within a runtime.
    pub fn open(&mut self, link: LinkSpec) -> anyhow::Result<()> {
        let name = link.name();
        let Entry::Vacant(entry) = self.links.entry(name.clone()) else {
            bail!("link {name} is open already");
        };
        let seed = self.seed ^ digest_of(name.as_bytes());
        let opened = open_link(link, seed).with_context(|| format!("link {name}"))?;
        info!("fabric: link {name} from {} to {}", opened.listen, opened.spec.forward_to);
        entry.insert(opened);
        Ok(())
    }

    /// Cuts or opens the picked traffic.
    pub fn set_passage(&self, pick: &LinkPick, passage: LinkPassage) {
        info!("fabric: links from {} to {} {passage:?}", pick.from, pick.to);
        for (way, relay) in self.picked(pick) {
            match relay {
                LinkRelay::Udp(relay) => {
                    relay.change_faults(|table, _| table.set_passage(way, passage));
                }
                LinkRelay::Tcp(relay) => relay.change_faults(way, |faults| {
                    faults.passage = passage;
                }),
            }
        }
    }

    /// Replaces the faults of the picked traffic.
    pub fn set_faults(&self, pick: &LinkPick, faults: PacketFaults) {
        info!("fabric: links from {} to {} {faults:?}", pick.from, pick.to);
        let delay = Duration::from_millis(faults.delay_min_ms);
        for (way, relay) in self.picked(pick) {
            match relay {
                LinkRelay::Udp(relay) => {
                    relay.change_faults(|table, _| table.set_faults(way.into(), faults));
                }
                LinkRelay::Tcp(relay) => relay.change_faults(way, |faults| faults.delay = delay),
            }
        }
    }

    /// What each link carried.
    pub fn report(&self) -> BTreeMap<String, LinkReport> {
        self.links.iter().map(|(name, link)| (name.clone(), link.report())).collect()
    }

    fn picked(&self, pick: &LinkPick) -> impl Iterator<Item = (PacketWay, &LinkRelay)> {
        self.links.values().flat_map(move |link| {
            pick.ways(&link.spec).into_iter().map(move |way| (way, &link.relay))
        })
    }
}

impl OpenLink {
    fn report(&self) -> LinkReport {
        let bytes = match &self.relay {
            LinkRelay::Tcp(relay) => relay.bytes(),
            LinkRelay::Udp(relay) => {
                let packets = relay.counts().packets;
                WayPair { forward: packets.forward.bytes, back: packets.back.bytes }
            }
        };
        LinkReport { listen: self.listen, bytes }
    }
}

fn open_link(link: LinkSpec, seed: u64) -> anyhow::Result<OpenLink> {
    match link.protocol {
        LinkProtocol::Udp => {
            let socket = StdUdpSocket::bind(link.listen)?;
            socket.set_nonblocking(true)?;
            let relay =
                SprayRelay::start(UdpSocket::from_std(socket)?, vec![link.forward_to], seed);
            Ok(OpenLink { listen: relay.address()?, spec: link, relay: LinkRelay::Udp(relay) })
        }
        LinkProtocol::Tcp => {
            let listener = StdTcpListener::bind(link.listen)?;
            listener.set_nonblocking(true)?;
            let listen = listener.local_addr()?;
            let relay = StreamRelay::start(TcpListener::from_std(listener)?, link.forward_to);
            Ok(OpenLink { listen, spec: link, relay: LinkRelay::Tcp(relay) })
        }
    }
}
