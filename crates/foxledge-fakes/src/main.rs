//! `foxledge-fake`: the stand-ins as one command with a subcommand each.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use foxledge_fakes::{backend, caller, demo, fabric, logs, platform, publish};

fn main() -> ExitCode {
    logs::start();
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxledge-fake: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("foxledge-fake")
        .about("Stand-ins for the platform, backend servers, the fabric and callers")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(platform::command())
        .subcommand(publish::command())
        .subcommand(backend::command())
        .subcommand(fabric::command())
        .subcommand(caller::command())
        .subcommand(demo::command())
}

fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => platform::run(matches),
        Some(("publish", matches)) => publish::run(matches),
        Some(("backend", matches)) => backend::run(matches),
        Some(("fabric", matches)) => fabric::run(matches),
        Some(("caller", matches)) => caller::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        _ => anyhow::bail!("no subcommand"),
    }
}
