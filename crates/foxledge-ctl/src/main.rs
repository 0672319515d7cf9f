//! The command-line tool `foxledgectl`, which checks files offline and queries running instances.

mod check;
mod command;
mod daemon;
mod log_lines;
mod losses;
mod online;
mod packets;
mod report;
mod tables;
mod trace;

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;

/// The exit code of a check with findings, a trace that found no line of its flow, or a request
/// that the daemon declined.
const EXIT_DECLINED: u8 = 1;
/// The exit code of a command that could not be carried out.
const EXIT_FAILED: u8 = 3;

/// The outcome of a command that was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// A check has findings, nothing was found, or the daemon declined the request.
    Declined,
}

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches) {
        Ok(CommandOutcome::Done) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Declined) => ExitCode::from(EXIT_DECLINED),
        Err(error) => {
            eprintln!("foxledgectl: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(CommandOutcome::Declined);
    };
    match name {
        "check" => check::run(matches),
        "packets" => packets::run(matches),
        "trace" => trace::run(matches),
        "losses" => losses::run(matches),
        _ => online::run(name, matches),
    }
}
