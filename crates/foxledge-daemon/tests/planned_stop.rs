//! The planned stop.

mod common;

use anyhow::Result;
use common::{OneDaemon, STOP_LIMIT};

#[test]
fn sigterm_ends_with_code_0() -> Result<()> {
    let mut daemon = OneDaemon::start("planned-stop", "")?;
    daemon.process.terminate()?;
    let status = daemon.process.wait_exit(STOP_LIMIT)?;
    assert_eq!(status.code(), Some(0), "{}", daemon.process.log_text());
    let log = daemon.process.log_text();
    assert!(log.contains("\"joining\" to \"leaving\", planned stop (signal)"), "{log}");
    assert!(log.contains("stops with 0 unfinished"), "{log}");
    Ok(())
}

/// Symptom: a process that was asked to stop runs on.
/// Sequence: the instance is frozen, asked to stop while frozen, and woken.
/// Cause: a stop that waits for something that passed during the freeze.
#[test]
fn stop_during_freeze_is_kept() -> Result<()> {
    let mut daemon = OneDaemon::start("stop-frozen", "")?;
    daemon.process.freeze()?;
    daemon.process.terminate()?;
    daemon.process.wake()?;
    let status = daemon.process.wait_exit(STOP_LIMIT)?;
    assert_eq!(status.code(), Some(0), "{}", daemon.process.log_text());
    Ok(())
}
