//! Stand-in for a backend.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake backend`.
pub fn command() -> Command {
    Command::new("backend")
}

/// Runs `foxledge-fake backend`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("backend: not written yet")
}
