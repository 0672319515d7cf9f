//! Not written yet.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake publish`.
pub fn command() -> Command {
    Command::new("publish")
}

/// Runs `foxledge-fake publish`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("publish: not written yet")
}
