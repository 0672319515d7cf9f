//! Logs of the stand-ins: to standard error, which the harness keeps in a file for each process.

use simplelog::{Config, LevelFilter, WriteLogger};

/// Starts logging at level info; a second call changes nothing.
pub fn start() {
    let _ = WriteLogger::init(LevelFilter::Info, Config::default(), std::io::stderr());
}
