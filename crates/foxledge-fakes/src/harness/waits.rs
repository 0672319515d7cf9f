//! Waits on conditions.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use anyhow::bail;

/// Wide limit for a process to start and answer, on a busy machine too.
pub const START_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// Waits until `condition` holds; an error names `what` when it doesn't within `limit`.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> anyhow::Result<()> {
    wait_until_ok(what, limit, || if condition() { Ok(()) } else { bail!("not so") })
}

/// Waits until `attempt` succeeds and returns its value; the error after `limit` is the last one.
pub fn wait_until_ok<T>(
    what: &str,
    limit: Duration,
    mut attempt: impl FnMut() -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match attempt() {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => {
                return Err(error.context(format!("{what}: not within {limit:?}")));
            }
            Err(_) => sleep(LOOK_PERIOD),
        }
    }
}
