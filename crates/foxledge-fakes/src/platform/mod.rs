//! Stand-in for the platform: a read-and-watch-only service of revisioned values.
//!
//! It serves the keys `manifest`, `part/<16 hex digits>` and `members`, counts every call (a
//! waiting watch as one) and rations reads over all readers. Operators publish through the control
//! port, which also makes the platform fail: down, silent, slow, restarted at an older state, or
//! stale for one reader. See [`orders::PlatformOrder`].

pub mod orders;
pub mod ration;
pub mod service;
pub mod store;

use std::{io, net::SocketAddr, sync::Arc};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use foxledge_wire::control::platform_server::PlatformServer;
use log::info;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::{StreamExt, wrappers::TcpListenerStream};

use crate::{arguments::address_arg, control::serve_lines};

use service::{PlatformService, PlatformState};

/// Reads a second over all readers, as the real platform gives.
const DEFAULT_RATION: &str = "2000";

/// The command line of `foxledge-fake platform`.
pub fn command() -> Command {
    Command::new("platform")
        .about("Serves revisioned values for reading and watching")
        .arg(address_arg("listen", "Where readers call").required(true))
        .arg(
            address_arg("control", "Where operators publish and tests order failures")
                .required(true),
        )
        .arg(
            Arg::new("reads-per-second")
                .long("reads-per-second")
                .value_name("N")
                .default_value(DEFAULT_RATION)
                .value_parser(value_parser!(u32).range(1..))
                .help("Reads a second over all readers; more are refused"),
        )
}

/// Runs `foxledge-fake platform`.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let listen: SocketAddr = *matches.get_one("listen").context("listen")?;
    let control: SocketAddr = *matches.get_one("control").context("control")?;
    let ration: u32 = *matches.get_one("reads-per-second").context("reads-per-second")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(listen, control, ration))
}

async fn serve(listen: SocketAddr, control: SocketAddr, ration: u32) -> anyhow::Result<()> {
    let reads = TcpListener::bind(listen).await.with_context(|| format!("listen on {listen}"))?;
    let orders =
        TcpListener::bind(control).await.with_context(|| format!("listen on {control}"))?;
    info!("platform: serving on {listen}, control on {control}, {ration} reads a second");
    let state = Arc::new(PlatformState::new(ration));
    let service = PlatformService::new(state.clone());
    tokio::spawn(serve_lines(orders, move |order| state.carry_out(order)));
    tonic::transport::Server::builder()
        .add_service(PlatformServer::new(service))
        .serve_with_incoming(TcpListenerStream::new(reads).map(no_delay))
        .await
        .context("serve reads")
}

/// Has a connection send at once, or each part of a list takes some 40 ms to arrive.
fn no_delay(accepted: io::Result<TcpStream>) -> io::Result<TcpStream> {
    let stream = accepted?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
