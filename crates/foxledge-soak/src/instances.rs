//! Instances as real processes.

use std::{
    fs::{self, File},
    net::SocketAddrV4,
    os::unix::process::ExitStatusExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// The time in which a planned stop must end.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The time in which a planned stop must end after the end of a pause.
const MIN_STOP_TIME_AFTER_PAUSE: Duration = Duration::from_millis(1_500);
/// The time after a start in which the process may not yet handle signals.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(20);
/// The settings of instances that report load.
const LOAD_SETTINGS: &str = "[load]\nenabled = true\n\n[admission]\nenabled = true\n";
/// The number of the signal for a planned stop.
const SIGTERM: i32 = Signal::SIGTERM as i32;

/// The name, addresses and settings of an instance.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// The name of the instance.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The address for packets of callers.
    pub data: SocketAddrV4,
    /// The bound address for messages of other instances.
    pub peer: SocketAddrV4,
    /// The address for messages that other instances are given.
    pub public: SocketAddrV4,
    /// The address of the HTTP server for administration.
    pub admin: SocketAddrV4,
    /// The address of its link to the store.
    pub store: SocketAddrV4,
    /// The addresses of the instances that it contacts first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether it reports its load and refuses new flows when no capacity is free.
    pub shares_load: bool,
}

/// The builds of the daemon, which alternate from start to start.
#[derive(Clone, Debug)]
pub struct BuildSet(Vec<PathBuf>);

impl BuildSet {
    /// Creates a set of one build.
    pub fn single(binary: PathBuf) -> BuildSet {
        BuildSet(vec![binary])
    }

    /// Adds another build.
    pub fn with_binary(mut self, binary: PathBuf) -> BuildSet {
        self.0.push(binary);
        self
    }

    fn binary_for_start(&self, turn: usize) -> &Path {
        &self.0[turn % self.0.len()]
    }
}

/// An instance and its process, if it is running.
pub struct RunningInstance {
    spec: InstanceSpec,
    builds: BuildSet,
    /// The number of starts; instances begin at different numbers.
    start_count: usize,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    started_at: Instant,
    /// The time at which the planned stop must have ended.
    stop_deadline: Option<Instant>,
    /// Whether the planned stop began before the process could have set up signal handling.
    is_before_signal_setup: bool,
}

impl RunningInstance {
    /// Writes the settings file without starting a process.
    ///
    /// # Errors
    ///
    /// When the folder can't be written.
    pub fn prepare(
        spec: InstanceSpec,
        builds: &BuildSet,
        start_count: usize,
        folder: &Path,
    ) -> Result<RunningInstance> {
        let settings = folder.join(format!("{}.toml", spec.name));
        let log = folder.join(format!("{}.log", spec.name));
        fs::write(&settings, settings_text(&spec))?;
        Ok(RunningInstance {
            spec,
            builds: builds.clone(),
            start_count,
            settings,
            log,
            child: None,
            started_at: Instant::now(),
            stop_deadline: None,
            is_before_signal_setup: false,
        })
    }

    /// Starts the process, which appends to the log of the previous one.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let binary = self.builds.binary_for_start(self.start_count);
        let child = Command::new(binary)
            .arg("packets")
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .with_context(|| format!("can't start {}", binary.display()))?;
        self.child = Some(child);
        self.start_count += 1;
        self.started_at = Instant::now();
        self.stop_deadline = None;
        Ok(())
    }

    /// Returns whether there is a process.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stop_deadline.is_some()
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let now = Instant::now();
        if signal == Signal::SIGTERM && self.stop_deadline.is_none() {
            self.stop_deadline = Some(now + STOP_TIMEOUT);
            self.is_before_signal_setup = now - self.started_at < SIGNAL_SETUP_TIME;
        }
        // A paused process can't stop, and hardly any time may remain when it resumes (seeds 605
        // and 707).
        if signal == Signal::SIGCONT {
            self.stop_deadline =
                self.stop_deadline.map(|deadline| deadline.max(now + MIN_STOP_TIME_AFTER_PAUSE));
        }
        // The signal fails if the process has ended in the meantime.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The signal fails if the process has ended in the meantime; waiting releases its id.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop_deadline = None;
    }

    /// Checks whether the process has ended. Returns a description of the fault if it ended by
    /// itself, failed, or takes too long to stop.
    pub fn check_exit(&mut self) -> Option<String> {
        let name = &self.spec.name;
        let status = match self.child.as_mut()?.try_wait() {
            Ok(status) => status,
            Err(error) => return Some(format!("{name} can't be looked at: {error}")),
        };
        let Some(status) = status else {
            let is_late = self.stop_deadline.is_some_and(|deadline| Instant::now() > deadline);
            return is_late.then(|| format!("{name} takes longer to stop than {STOP_TIMEOUT:?}"));
        };
        self.child = None;
        match self.stop_deadline.take() {
            Some(_) if status.success() => None,
            // The signal arrived before the program's first instruction: its log lacks even the
            // line of its start (seed 702).
            Some(_) if self.is_before_signal_setup && status.signal() == Some(SIGTERM) => None,
            Some(_) => Some(format!("{name} stopped with {status}")),
            None => Some(format!("{name} ended by itself with {status}")),
        }
    }
}

impl Drop for RunningInstance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(spec: &InstanceSpec) -> String {
    let seeds: Vec<_> = spec.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "[instance]\nname = \"{}\"\ndata_centre = \"{}\"\n\n\
         [listen]\ndata = \"{}\"\npeer = \"{}\"\npeer_public = \"{}\"\nadmin = \"{}\"\n\n\
         [store]\naddress = \"{}\"\n\n[peers]\nseeds = [{}]\n\n[stop]\nlimit_s = 6\n{}",
        spec.name,
        spec.data_centre,
        spec.data,
        spec.peer,
        spec.public,
        spec.admin,
        spec.store,
        seeds.join(", "),
        if spec.shares_load { LOAD_SETTINGS } else { "" },
    )
}
