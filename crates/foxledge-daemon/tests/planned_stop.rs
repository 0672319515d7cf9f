//! The planned stop.

mod common;

use anyhow::Result;
use common::{OneDaemon, STOP_LIMIT};

#[test]
fn exits_with_code_0_after_sigterm() -> Result<()> {
    let mut daemon = OneDaemon::start("planned-stop", "")?;
    daemon.process.terminate()?;
    let status = daemon.process.wait_exit(STOP_LIMIT)?;
    assert_eq!(status.code(), Some(0), "{}", daemon.process.log_text());
    let log = daemon.process.log_text();
    assert!(log.contains("\"joining\" to \"leaving\", planned stop (signal)"), "{log}");
    assert!(log.contains("stops with 0 unfinished"), "{log}");
    Ok(())
}

/// Guards against a process that runs on after a stop request received while it was frozen,
/// because it waits for an event that passed during the freeze.
#[test]
fn stops_after_sigterm_during_freeze() -> Result<()> {
    let mut daemon = OneDaemon::start("stop-frozen", "")?;
    daemon.process.freeze()?;
    daemon.process.terminate()?;
    daemon.process.wake()?;
    let status = daemon.process.wait_exit(STOP_LIMIT)?;
    assert_eq!(status.code(), Some(0), "{}", daemon.process.log_text());
    Ok(())
}
