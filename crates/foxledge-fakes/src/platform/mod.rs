//! Not written yet.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake platform`.
pub fn command() -> Command {
    Command::new("platform")
}

/// Runs `foxledge-fake platform`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("platform: not written yet")
}
