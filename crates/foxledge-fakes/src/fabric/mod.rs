//! Not written yet.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake fabric`.
pub fn command() -> Command {
    Command::new("fabric")
}

/// Runs `foxledge-fake fabric`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("fabric: not written yet")
}
