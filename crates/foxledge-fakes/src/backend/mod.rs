//! Stand-in for a backend server.
//!
//! [`BackendState`] decides, without sockets or clock; [`BackendServer`] is the loop around it.

pub mod content;
mod control;
pub mod dispatches;
pub mod feeds;
pub mod gauge;
pub mod memory;
pub mod options;
pub mod orders;
mod requests;
pub mod runs;
mod sends;
pub mod server;
pub mod slots;
pub mod state;

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command};
use log::info;

use crate::arguments::{address_arg, number_arg};

pub use options::BackendOptions;
pub use orders::{BackendOrder, BackendReply, LoadSaying};
pub use server::BackendServer;
pub use state::{BackendEffect, BackendState};

/// The command line of `foxledge-fake backend`.
pub fn command() -> Command {
    Command::new("backend")
        .about("Stand-in for a backend server of one service")
        .arg(address_arg("listen", "Data socket").required(true))
        .arg(address_arg("control", "Control port, JSON lines").required(true))
        .arg(Arg::new("name").long("name").required(true).help("Name of the target"))
        .arg(Arg::new("service").long("service").required(true).help("Service it belongs to"))
        .arg(Arg::new("data-centre").long("data-centre").default_value("").help("Data centre"))
        .arg(number_arg("incarnation", "1", "Number of the process at its address"))
        .arg(number_arg("slots", "2", "Requests that run at once"))
        .arg(number_arg("connections", "2000", "Requests and feeds open at once"))
        .arg(number_arg("work-ms", "20", "Mean service time of a bid"))
        .arg(number_arg("cold-ms", "0", "How long it is slow after its start"))
        .arg(number_arg("feed-ms", "200", "Time between two items of a feed"))
        .arg(number_arg("seed", "1", "Seed of the service times"))
}

/// Runs `foxledge-fake backend`.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(matches))
}

async fn serve(matches: &ArgMatches) -> anyhow::Result<()> {
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let Some((listen, control)) = address("listen").zip(address("control")) else {
        anyhow::bail!("backend: no address");
    };
    let options = read_options(matches);
    let name = options.name.clone();
    let server = BackendServer::bind(listen, control, options).await?;
    info!("backend: {name} on {}", server.data_address()?);
    server.serve().await
}

fn read_options(matches: &ArgMatches) -> BackendOptions {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| u32::try_from(number(name)).unwrap_or(u32::MAX);
    BackendOptions::new(&text("name"), &text("service"))
        .data_centre(&text("data-centre"))
        .incarnation(number("incarnation"))
        .slots(count("slots"))
        .connections(count("connections"))
        .work_ms(number("work-ms"))
        .cold_ms(number("cold-ms"))
        .feed_ms(number("feed-ms"))
        .seed(number("seed"))
}

/// The word for a refusal's reason in counts, such as `TARGET_SHED`.
pub(crate) fn reason_word(reason: foxledge_wire::flow::RefusalReason) -> String {
    reason.as_str_name().trim_start_matches("REFUSAL_REASON_").to_owned()
}
