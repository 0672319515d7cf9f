//! Callers under test.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, ensure};
use foxledge_core::traffic::TrafficKind;

use super::processes::TestProcess;
use crate::report::LoadReport;

/// `CallerPlan` is one caller process's load.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    name: String,
    address: String,
    member: String,
    kind: TrafficKind,
    rate: f64,
    seconds: f64,
    seed: u64,
    feeds: Option<u32>,
    secret: Option<String>,
    more: Vec<String>,
}

impl CallerPlan {
    /// Makes a load of one kind for one member: 50 a second for 5 seconds.
    pub fn new(address: &str, member: &str, kind: TrafficKind) -> CallerPlan {
        CallerPlan {
            name: format!("caller-{member}-{kind}"),
            address: address.to_owned(),
            member: member.to_owned(),
            kind,
            rate: 50.0,
            seconds: 5.0,
            seed: 1,
            feeds: None,
            secret: None,
            more: Vec::new(),
        }
    }

    /// Sets the name of the process, its log and its report; unique in a fleet.
    pub fn name(mut self, name: &str) -> CallerPlan {
        self.name = name.to_owned();
        self
    }

    /// Sets how much work arrives a second.
    pub fn rate(mut self, rate: f64) -> CallerPlan {
        self.rate = rate;
        self
    }

    /// Sets how long work arrives.
    pub fn seconds(mut self, seconds: f64) -> CallerPlan {
        self.seconds = seconds;
        self
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> CallerPlan {
        self.seed = seed;
        self
    }

    /// Sets how many feeds are held.
    pub fn feeds(mut self, feeds: u32) -> CallerPlan {
        self.feeds = Some(feeds);
        self
    }

    /// Sets the member's secret as hex digits.
    pub fn secret(mut self, secret: &str) -> CallerPlan {
        self.secret = Some(secret.to_owned());
        self
    }

    /// Adds any argument of `foxledge-fake caller`.
    pub fn argument(mut self, argument: &str) -> CallerPlan {
        self.more.push(argument.to_owned());
        self
    }

    fn arguments(&self, fabric: SocketAddr, report: &Path) -> Vec<String> {
        let mut options = vec![
            ("--fabric", fabric.to_string()),
            ("--address", self.address.clone()),
            ("--member", self.member.clone()),
            ("--kind", self.kind.to_string()),
            ("--rate", self.rate.to_string()),
            ("--seconds", self.seconds.to_string()),
            ("--seed", self.seed.to_string()),
            ("--report", report.display().to_string()),
        ];
        options.extend(self.feeds.map(|feeds| ("--feeds", feeds.to_string())));
        options.extend(self.secret.clone().map(|secret| ("--secret", secret)));
        let words = options.into_iter().flat_map(|(name, value)| [name.to_owned(), value]);
        let words = std::iter::once("caller".to_owned()).chain(words);
        words.chain(self.more.iter().cloned()).collect()
    }
}

/// `TestCaller` is one caller process.
#[derive(Debug)]
pub struct TestCaller {
    /// Its process.
    pub process: TestProcess,
    report_path: PathBuf,
}

impl TestCaller {
    /// Starts a caller that sends to `fabric`.
    pub fn start(
        plan: &CallerPlan,
        fabric: SocketAddr,
        directory: &Path,
    ) -> anyhow::Result<TestCaller> {
        let report_path = directory.join(format!("{}.json", plan.name));
        // A report of an earlier caller must not be taken for this one's.
        ensure!(!report_path.exists(), "caller {} exists already", plan.name);
        let arguments = plan.arguments(fabric, &report_path);
        let process = TestProcess::start(&plan.name, "foxledge-fake", &arguments, directory)?;
        Ok(TestCaller { process, report_path })
    }

    /// Ends the load early, waits for the end of what is open and reads the report.
    ///
    /// An error when the load has ended before: what the test did then met no load.
    pub fn stop(mut self, limit: Duration) -> anyhow::Result<LoadReport> {
        self.process.terminate()?;
        self.finish(limit)
    }

    /// Waits for the end of the load and reads the report.
    pub fn finish(mut self, limit: Duration) -> anyhow::Result<LoadReport> {
        let name = self.process.name().to_owned();
        let status = self.process.wait_exit(limit)?;
        ensure!(status.success(), "{name} ended with {status}: {}", self.process.log_text());
        let text =
            fs::read_to_string(&self.report_path).with_context(|| format!("report of {name}"))?;
        serde_json::from_str(&text).with_context(|| format!("report of {name}"))
    }
}
