//! Stand-in for a caller.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake caller`.
pub fn command() -> Command {
    Command::new("caller")
}

/// Runs `foxledge-fake caller`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("caller: not written yet")
}
