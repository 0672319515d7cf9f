//! `foxledged`: the command line of the daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use foxledge_core::findings::FindingList;
use foxledge_daemon::{
    daemon::Daemon,
    packets::{PacketAdapters, PacketDaemon},
};
use foxledge_platform::{PacketHead, StoreClient};
use foxledge_settings::{load_packet_settings, load_settings};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some((_, matches)) => route_packets(matches),
        None => serve_requests(&matches),
    }
}

/// Runs an instance of the packet path.
fn route_packets(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::FAILURE;
    };
    let settings = match load_packet_settings(path) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings),
    };
    if matches.get_flag("check") {
        eprint!("{}", settings.warnings);
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let adapters = PacketAdapters {
        codec: Box::new(PacketHead),
        source: Box::new(|settings| Box::new(StoreClient::new(settings.store))),
    };
    let daemon = PacketDaemon::start(settings, path.clone(), adapters);
    end_process(daemon.and_then(|mut daemon| daemon.run()))
}

/// Runs an instance of the request path.
fn serve_requests(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::FAILURE;
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings),
    };
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    start_log(settings.log.level);
    end_process(Daemon::start(settings).and_then(|mut daemon| daemon.run()))
}

fn report_findings(findings: &FindingList) -> ExitCode {
    eprint!("{findings}");
    eprintln!("foxledged: {} findings, nothing started", findings.len());
    ExitCode::FAILURE
}

fn end_process(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxledged: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let packets = Command::new("packets")
        .about("Route packets between callers and backend servers that speak them")
        .arg(config_argument("docs/examples/packets.toml shows every key").required(true))
        .arg(check_argument());
    Command::new("foxledged")
        .version(clap::crate_version!())
        .about("Layer-4 load balancer for marketplaces: the daemon")
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(config_argument("docs/examples/foxledged.toml shows every key").required(true))
        .arg(check_argument())
        .subcommand(packets)
}

fn config_argument(example: &str) -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help(format!("Settings in TOML; {example}"))
        .value_parser(value_parser!(PathBuf))
}

fn check_argument() -> Arg {
    Arg::new("check")
        .long("check")
        .help("Check the settings, report every finding and exit")
        .action(ArgAction::SetTrue)
}

fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Only foxledge's own crates; lines of dependencies lack the prefix of a part.
        .add_filter_allow_str("foxledge")
        .build();
    // Fails only if a logger is set already, and this is the only place that sets one.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
