//! Stand-in for the fabric: sprays callers' datagrams over the instances of a data centre, and
//! makes the network fail by a seeded table that can be changed while it runs.
//!
//! Callers send to one address; see [`spray`] for how answers find back. Faults are ordered through
//! the control port by JSON lines ([`orders::FabricOrder`]) or an [`orders::FabricClient`].
//!
//! # Links
//!
//! The same process relays other traffic by links, each a UDP or TCP relay from a listening address
//! to one end. Instances tell each other the addresses that they listen on, so a link is put between
//! two instances by giving the one that sends a route: in the settings of instance `a`,
//! `[trial.routes]` maps each address of instance `b` to the link that leads there. With a link for
//! each ordered pair of instances and each protocol, a test cuts one pair, one direction, or whole
//! data centres by the beginnings of names ([`orders::FabricClient::cut_links`]).
//!
//! A cut is of what one end sends to the other: on the links that the sender opened as well as on
//! the way back of those that the receiver opened. Cut twice, with the ends exchanged, nothing
//! passes either way. A cut TCP link resets nothing: both ends see silence. A backend server can
//! also be published with the address of a link, as backend servers answer the address that a
//! datagram came from.

pub mod faults;
pub mod links;
pub mod orders;
pub mod spray;
pub mod streams;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use log::info;
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    arguments::{address_arg, number_arg},
    control::serve_lines,
};

use links::LinkTable;
use orders::{FabricOrder, FabricReport, LinkSpec};
use spray::SprayRelay;

/// The command line of `foxledge-fake fabric`.
pub fn command() -> Command {
    Command::new("fabric")
        .about("Sprays callers' datagrams over instances, with faults")
        .arg(address_arg("listen", "Where callers send").required(true))
        .arg(address_arg("control", "Where tests order faults").required(true))
        .arg(
            address_arg("instances", "Data addresses of the instances, separated by commas")
                .value_delimiter(','),
        )
        .arg(
            Arg::new("links")
                .long("links")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("JSON list of links to open: from, to, protocol, listen, forward_to"),
        )
        .arg(number_arg("seed", "1", "Seed of every draw"))
}

/// Runs `foxledge-fake fabric`.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let listen: SocketAddr = *matches.get_one("listen").context("listen")?;
    let control: SocketAddr = *matches.get_one("control").context("control")?;
    let seed: u64 = *matches.get_one("seed").context("seed")?;
    let instances = matches.get_many("instances").unwrap_or_default().copied().collect();
    let links = match matches.get_one::<PathBuf>("links") {
        Some(path) => read_links(path)?,
        None => Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let socket =
            UdpSocket::bind(listen).await.with_context(|| format!("listen on {listen}"))?;
        let fabric = TestFabric::start(socket, instances, seed);
        fabric.open_links(links)?;
        let orders =
            TcpListener::bind(control).await.with_context(|| format!("listen on {control}"))?;
        info!("fabric: spraying from {listen}, control on {control}, seed {seed}");
        serve_lines(orders, move |order| fabric.carry_out(order)).await;
        Ok(())
    })
}

fn read_links(path: &PathBuf) -> anyhow::Result<Vec<LinkSpec>> {
    let place = || format!("links {}", path.display());
    let text = fs::read_to_string(path).with_context(place)?;
    serde_json::from_str(&text).with_context(place)
}

/// `TestFabric` is the spraying relay and the links of one fabric.
#[derive(Debug)]
pub struct TestFabric {
    relay: Arc<SprayRelay>,
    links: Mutex<LinkTable>,
}

impl TestFabric {
    /// Starts a fabric on `socket`; must be called within a runtime.
    pub fn start(socket: UdpSocket, instances: Vec<SocketAddr>, seed: u64) -> TestFabric {
        let relay = SprayRelay::start(socket, instances, seed);
        TestFabric { relay, links: Mutex::new(LinkTable::new(seed)) }
    }

    /// Carries out one order and reports the state after it.
    pub fn carry_out(&self, order: FabricOrder) -> anyhow::Result<FabricReport> {
        match order {
            FabricOrder::AddLink { link } => self.open_links(vec![link])?,
            FabricOrder::SetPassage { pick, passage } => {
                self.with_links(|links| links.set_passage(&pick, passage));
            }
            FabricOrder::SetLinkFaults { pick, faults } => {
                self.with_links(|links| links.set_faults(&pick, faults));
            }
            FabricOrder::Report => (),
            order => self.change_spraying(order),
        }
        Ok(self.report())
    }

    fn open_links(&self, specs: Vec<LinkSpec>) -> anyhow::Result<()> {
        self.with_links(|links| specs.into_iter().try_for_each(|link| links.open(link)))
    }

    fn change_spraying(&self, order: FabricOrder) {
        info!("fabric: {order:?}");
        let relay = &self.relay;
        match order {
            FabricOrder::SetInstances { instances } => relay.set_instances(instances),
            FabricOrder::SetFaults { ways, faults } => {
                relay.change_faults(|table, _| table.set_faults(ways, faults));
            }
            FabricOrder::Cut { instance, ways } => {
                relay.change_faults(|table, _| table.cut(instance, ways));
            }
            FabricOrder::Heal { instance } => relay.change_faults(|table, _| table.heal(instance)),
            FabricOrder::SetSilence { silence } => {
                relay.change_faults(|table, sockets| {
                    table.set_silence(silence, sockets.into_iter());
                });
            }
            FabricOrder::Clear => relay.change_faults(|table, _| table.clear()),
            // Orders of links never come here.
            FabricOrder::AddLink { .. }
            | FabricOrder::SetPassage { .. }
            | FabricOrder::SetLinkFaults { .. }
            | FabricOrder::Report => (),
        }
    }

    fn report(&self) -> FabricReport {
        let counts = self.relay.counts();
        FabricReport {
            sockets: counts.sockets,
            packets: counts.packets,
            sprayed: counts.sprayed,
            links: self.with_links(|links| links.report()),
        }
    }

    fn with_links<T>(&self, use_links: impl FnOnce(&mut LinkTable) -> T) -> T {
        use_links(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
