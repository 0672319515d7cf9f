//! Stand-in for callers: an open-loop load of feeds, bids or uploads.
//!
//! [`CallerFlow`] and [`FeedFlow`] decide for one flow, [`LoadState`] for all callers of a
//! process, without socket or clock; [`run_load`] is the loop around them. [`RawCaller`] sends
//! single packets made by hand.

pub mod answers;
pub mod arrivals;
pub mod effects;
pub mod feed;
pub mod flow;
pub mod identity;
pub mod load;
pub mod options;
pub mod pace;
pub mod raw;
pub mod requests;
pub mod runner;
pub mod tally;
pub mod tickets;
pub mod uploads;

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use foxledge_core::{names::ServiceName, traffic::TrafficKind};
use log::info;
use tokio::signal::unix::{SignalKind, signal};

pub use effects::{CallerEffect, FlowNote};
pub use feed::FeedFlow;
pub use flow::CallerFlow;
pub use identity::FlowIdentity;
pub use load::LoadState;
pub use options::{BurstSpan, LoadOptions};
pub use raw::RawCaller;
pub use runner::{run_load, run_load_until};

use crate::{
    arguments::{address_arg, number_arg, option_arg},
    report::LoadReport,
};

/// The command line of `foxledge-fake caller`.
pub fn command() -> Command {
    Command::new("caller")
        .about("Stand-in for callers: open-loop load, with a report as JSON; SIGTERM ends it early")
        .arg(address_arg("fabric", "Where datagrams go").required(true))
        .arg(required("address", "ADDRESS", "Service address"))
        .arg(required("member", "NAME", "Member that the callers belong to"))
        .arg(required("kind", "KIND", "Kind of traffic: feed, bid or upload"))
        .arg(
            required("report", "FILE", "Where the report goes")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option_arg("rate", "N", "10", "Arrivals a second").value_parser(value_parser!(f64)))
        .arg(
            option_arg("seconds", "S", "5", "How long work arrives")
                .value_parser(value_parser!(f64)),
        )
        .arg(number_arg("seed", "1", "Seed of arrivals, ids and payloads"))
        .arg(number_arg("feeds", "0", "Feeds held open besides; with --kind feed at least 1"))
        .arg(number_arg("upload-kb", "64", "Size of an upload in KiB"))
        .arg(number_arg("deadline-ms", "2000", "How long a caller waits"))
        .arg(number_arg("callers", "16", "Simulated callers"))
        .arg(number_arg(
            "flow-requests",
            "0",
            "Requests until a caller takes a new flow; 0 is never",
        ))
        .arg(Arg::new("secret").long("secret").value_name("HEX").help("The member's secret"))
        .arg(
            Arg::new("service").long("service").value_name("NAME").help("Service that must answer"),
        )
        .arg(
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("Work may run twice, so it needs no ticket"),
        )
        .arg(
            Arg::new("burst")
                .long("burst")
                .value_name("START:LENGTH:FACTOR")
                .action(ArgAction::Append)
                .help("A span in seconds with a multiplied rate"),
        )
}

fn required(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).required(true).help(help)
}

/// Runs `foxledge-fake caller`.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = read_options(matches)?;
    let path = matches.get_one::<PathBuf>("report").context("caller: no report file")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let stop = async { _ = terminate.recv().await };
        run_load_until(options, stop).await
    })?;
    log_summary(&report);
    let place = || format!("caller: {}", path.display());
    std::fs::write(path, serde_json::to_vec(&report)?).with_context(place)
}

fn log_summary(report: &LoadReport) {
    info!(
        "caller: {} offered {}, served {}, given up {}, unknown {}, timed out {}",
        report.member,
        report.offered,
        report.served,
        report.given_up,
        report.unknown,
        report.timed_out
    );
}

fn read_options(matches: &ArgMatches) -> anyhow::Result<LoadOptions> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| u32::try_from(number(name)).unwrap_or(u32::MAX);
    let float = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let fabric = *matches.get_one::<SocketAddr>("fabric").context("caller: no fabric")?;
    let kind: TrafficKind = text("kind").parse()?;
    let mut options = LoadOptions::new(fabric, &text("address"), &text("member"), kind)
        .rate(float("rate"))
        .seconds(float("seconds"))
        .seed(number("seed"))
        .feeds(count("feeds"))
        .upload_kb(count("upload-kb"))
        .deadline_ms(number("deadline-ms"))
        .callers(count("callers"))
        .flow_requests(number("flow-requests"));
    options.idempotent = matches.get_flag("idempotent");
    options.service = matches.get_one::<String>("service").map(|name| ServiceName::new(name));
    if let Some(secret) = matches.get_one::<String>("secret") {
        options.secret = Some(read_hex(secret)?);
    }
    for burst in matches.get_many::<String>("burst").into_iter().flatten() {
        options.bursts.push(BurstSpan::parse(burst)?);
    }
    Ok(options.settled())
}

fn read_hex(text: &str) -> anyhow::Result<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        anyhow::bail!("caller: secret isn't hexadecimal");
    }
    let digit = |start| u8::from_str_radix(&text[start..start + 2], 16);
    let bytes: Result<Vec<u8>, _> = (0..text.len()).step_by(2).map(digit).collect();
    bytes.context("caller: secret isn't hexadecimal")
}
