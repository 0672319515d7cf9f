//! Not written yet.

use clap::{ArgMatches, Command};

/// The command line of `foxledge-fake demo`.
pub fn command() -> Command {
    Command::new("demo")
}

/// Runs `foxledge-fake demo`.
pub fn run(_matches: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("demo: not written yet")
}
