//! Real instances as processes.

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

/// Time in which a planned stop must end.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Time in which a planned stop must end after a pause.
const MIN_STOP_TIME_AFTER_PAUSE: Duration = Duration::from_millis(1_500);
/// Time after the start in which a program may not have begun.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(20);
/// Settings of instances that share load.
const LOAD_SETTINGS: &str = "[load]\nenabled = true\n\n[admission]\nenabled = true\n";
/// Number of the signal of a planned stop.
const SIGTERM: i32 = Signal::SIGTERM as i32;

/// `InstanceSpec` is where an instance listens and whom it knows.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Packets of callers.
    pub data: SocketAddrV4,
    /// Messages of instances, bound.
    pub peer: SocketAddrV4,
    /// Messages of instances, as others are told.
    pub public: SocketAddrV4,
    /// HTTP.
    pub admin: SocketAddrV4,
    /// Its way to the store.
    pub store: SocketAddrV4,
    /// Instances that it asks first.
    pub seeds: Vec<SocketAddrV4>,
    /// True when it reports its load and refuses new flows under shortage.
    pub shares_load: bool,
}

/// `BuildSet` is the daemons that instances run, in turns from start to start.
#[derive(Clone, Debug)]
pub struct BuildSet(Vec<PathBuf>);

impl BuildSet {
    /// The same daemon at each start.
    pub fn single(binary: PathBuf) -> BuildSet {
        BuildSet(vec![binary])
    }

    /// Another daemon beside.
    pub fn with_binary(mut self, binary: PathBuf) -> BuildSet {
        self.0.push(binary);
        self
    }

    fn binary_for_start(&self, turn: usize) -> &Path {
        &self.0[turn % self.0.len()]
    }
}

/// `RunningInstance` is an instance that may be running.
pub struct RunningInstance {
    spec: InstanceSpec,
    builds: BuildSet,
    /// Counts starts; instances begin at different counts.
    start_count: usize,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    started_at: Instant,
    /// When the planned stop must have ended.
    stop_deadline: Option<Instant>,
    /// The planned stop began before the process could have done anything.
    is_before_signal_setup: bool,
}

impl RunningInstance {
    /// Writes the settings; nothing runs yet.
    ///
    /// # Errors
    ///
    /// When the folder can't be written.
    pub fn prepare(
        place: InstanceSpec,
        builds: &BuildSet,
        turn: usize,
        folder: &Path,
    ) -> Result<RunningInstance> {
        let settings = folder.join(format!("{}.toml", place.name));
        let log = folder.join(format!("{}.log", place.name));
        fs::write(&settings, settings_text(&place))?;
        Ok(RunningInstance {
            spec: place,
            builds: builds.clone(),
            start_count: turn,
            settings,
            log,
            child: None,
            started_at: Instant::now(),
            stop_deadline: None,
            is_before_signal_setup: false,
        })
    }

    /// Starts the process; its log goes on where the last one's ended.
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

    /// True while a process is there.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// True while a planned stop goes on.
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
        // Seeds 605 and 707: a process that stands still can't stop. What is left of
        // the time when it goes on may be next to nothing.
        if signal == Signal::SIGCONT {
            self.stop_deadline =
                self.stop_deadline.map(|by| by.max(now + MIN_STOP_TIME_AFTER_PAUSE));
        }
        // A process that has ended in between takes no signal.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended in between needs no signal; waiting frees its number.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop_deadline = None;
    }

    /// Looks whether the process has ended; what is wrong, if it has ended by itself or too late.
    pub fn check_exit(&mut self) -> Option<String> {
        let name = &self.spec.name;
        let status = match self.child.as_mut()?.try_wait() {
            Ok(status) => status,
            Err(error) => return Some(format!("{name} can't be looked at: {error}")),
        };
        let Some(status) = status else {
            let is_late = self.stop_deadline.is_some_and(|by| Instant::now() > by);
            return is_late.then(|| format!("{name} takes longer to stop than {STOP_TIMEOUT:?}"));
        };
        self.child = None;
        match self.stop_deadline.take() {
            Some(_) if status.success() => None,
            // Seed 702: the signal came before the program's first instruction, as its
            // log shows, which lacks even the line of its start.
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

fn settings_text(place: &InstanceSpec) -> String {
    let seeds: Vec<_> = place.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "[instance]\nname = \"{}\"\ndata_centre = \"{}\"\n\n\
         [listen]\ndata = \"{}\"\npeer = \"{}\"\npeer_public = \"{}\"\nadmin = \"{}\"\n\n\
         [store]\naddress = \"{}\"\n\n[peers]\nseeds = [{}]\n\n[stop]\nlimit_s = 6\n{}",
        place.name,
        place.data_centre,
        place.data,
        place.peer,
        place.public,
        place.admin,
        place.store,
        seeds.join(", "),
        if place.shares_load { LOAD_SETTINGS } else { "" },
    )
}
