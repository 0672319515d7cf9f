//! Processes under test.

use std::{
    env,
    ffi::OsStr,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use rustix::process::{Pid, Signal, kill_process};

use super::{ports::lock_trials, waits::wait_until};

/// Time between two looks at a process that should end.
const EXIT_LIMIT_STEP: Duration = Duration::from_millis(10);

/// Path of a binary of the workspace, beside the running test or binary.
pub fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let current = env::current_exe().context("path of the running program")?;
    let mut directory = current.parent().context("directory of the running program")?;
    if directory.file_name() == Some(OsStr::new("deps")) {
        directory = directory.parent().context("directory of the binaries")?;
    }
    let path = directory.join(name);
    ensure!(path.is_file(), "{} is missing: run cargo build --workspace first", path.display());
    Ok(path)
}

/// `TestProcess` is one started process with its log; it is killed when dropped.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    log_path: PathBuf,
    status: Option<ExitStatus>,
}

impl TestProcess {
    /// Starts the binary `program`; what it prints goes to `<name>.log` in `directory`, added to
    /// what an earlier process of that name wrote.
    pub fn start(
        name: &str,
        program: &str,
        arguments: &[String],
        directory: &Path,
    ) -> anyhow::Result<TestProcess> {
        let path = binary_path(program)?;
        let log_path = directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path)?;
        let mut command = Command::new(&path);
        command.args(arguments).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = {
            let _trials = lock_trials();
            command.spawn().with_context(|| format!("start {}", path.display()))?
        };
        Ok(TestProcess { name: name.to_owned(), child, log_path, status: None })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has printed so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// True while it runs or is frozen.
    pub fn is_running(&mut self) -> bool {
        self.exit_status().is_none()
    }

    /// How it ended, or none while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.status.is_none() {
            self.status = self.child.try_wait().ok().flatten();
        }
        self.status
    }

    /// Kills it at once (SIGKILL) and waits for its end.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        self.child.kill().with_context(|| format!("kill {}", self.name))?;
        self.status = Some(self.child.wait()?);
        Ok(())
    }

    /// Stops it where it is (SIGSTOP).
    pub fn freeze(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on (SIGCONT).
    pub fn wake(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for its end.
    pub fn wait_exit(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            let name = &self.name;
            ensure!(Instant::now() < deadline, "{name} still runs after {limit:?}");
            std::thread::sleep(EXIT_LIMIT_STEP);
        }
    }

    /// Waits until its log contains `text`.
    pub fn wait_log(&self, text: &str, limit: Duration) -> anyhow::Result<()> {
        let what = format!("\"{text}\" in the log of {}", self.name);
        wait_until(&what, limit, || self.log_text().contains(text))
    }

    fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        // Once reaped, the process id may belong to another process.
        ensure!(self.is_running(), "{} has ended", self.name);
        kill_process(Pid::from_child(&self.child), signal)
            .with_context(|| format!("signal {}", self.name))
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
