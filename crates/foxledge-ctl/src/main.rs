//! `foxledgectl`: checks files offline and asks daemons.

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

/// Exit code of a check with findings, or of a request that the daemon declined.
const EXIT_DECLINED: u8 = 1;
/// Exit code when the command could not be carried out.
const EXIT_FAILED: u8 = 3;

/// `Outcome` is how a command that was carried out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// As asked.
    Done,
    /// With findings, or declined.
    Declined,
}

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches) {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::Declined) => ExitCode::from(EXIT_DECLINED),
        Err(error) => {
            eprintln!("foxledgectl: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<Outcome> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(Outcome::Declined);
    };
    match name {
        "check" => check::run(matches),
        "packets" => packets::run(matches),
        "trace" => trace::run(matches),
        "losses" => losses::run(matches),
        _ => online::run(name, matches),
    }
}
