//! Helpers of the tests of the daemon.
#![allow(dead_code)]

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use anyhow::Result;
use foxledge_daemon::{context::DaemonContext, daemon::Daemon};
use foxledge_fakes::harness::{
    InstanceAddresses, START_LIMIT, TestProcess, free_address, http, make_directory, wait_until_ok,
};

/// Time limit for the end of a process, with a wide margin.
pub const STOP_LIMIT: Duration = Duration::from_secs(30);

/// A running daemon whose platform is unreachable.
pub struct OneDaemon {
    pub process: TestProcess,
    pub listen: InstanceAddresses,
    pub directory: PathBuf,
}

impl OneDaemon {
    /// Starts a daemon with `more` appended to its settings, and waits until it responds.
    pub fn start(name: &str, more: &str) -> Result<OneDaemon> {
        let directory = make_directory()?;
        let listen = InstanceAddresses::pick()?;
        let settings = write_settings(&directory, name, listen, more)?;
        let process = start_daemon(name, &settings, &directory)?;
        wait_until_ok("the admin port responds", START_LIMIT, || {
            http::get(listen.admin, "/healthz")
        })?;
        Ok(OneDaemon { process, listen, directory })
    }
}

/// Starts a daemon with the settings file `settings`.
pub fn start_daemon(name: &str, settings: &Path, directory: &Path) -> Result<TestProcess> {
    let arguments = vec!["--config".to_owned(), settings.display().to_string()];
    TestProcess::start(name, "foxledged", &arguments, directory)
}

/// Writes valid settings with an unreachable platform, and returns the path of the file.
pub fn write_settings(
    directory: &Path,
    name: &str,
    listen: InstanceAddresses,
    more: &str,
) -> Result<PathBuf> {
    let path = directory.join(format!("{name}.toml"));
    fs::write(&path, settings_text(name, listen, free_address()?, more))?;
    Ok(path)
}

/// Returns the text of valid settings.
pub fn settings_text(
    name: &str,
    listen: InstanceAddresses,
    platform: SocketAddr,
    more: &str,
) -> String {
    let InstanceAddresses { data, peer, control, admin } = listen;
    format!(
        "[instance]\nname = \"{name}\"\ndata_centre = \"toledo\"\n\
         [listen]\ndata = \"{data}\"\npeer = \"{peer}\"\n\
         control = \"{control}\"\nadmin = \"{admin}\"\n\
         [platform]\naddresses = [\"{platform}\"]\n{more}"
    )
}

/// Runs the main loop until `condition` is true. Panics with `what` at the time limit.
pub fn run_until(
    daemon: &mut Daemon,
    what: &str,
    mut condition: impl FnMut(&DaemonContext) -> bool,
) {
    let deadline = Instant::now() + START_LIMIT;
    let context = daemon.context().clone();
    while !condition(&context) {
        assert!(Instant::now() < deadline, "{what}");
        daemon.run_once(Duration::from_millis(5)).unwrap();
    }
}
