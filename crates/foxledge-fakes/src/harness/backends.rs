//! Backend servers under test.

use std::{net::SocketAddr, path::Path, process::ExitStatus, time::Duration};

use anyhow::bail;

use super::{
    plan::ServiceSize,
    ports::free_address,
    processes::TestProcess,
    waits::{START_LIMIT, wait_until_ok},
};
use crate::{
    backend::{BackendOrder, BackendReply},
    control::LineClient,
    publish::TargetPlan,
    report::BackendStats,
};

/// `TestBackend` is one backend server's process; its counts outlive it.
#[derive(Debug)]
pub struct TestBackend {
    /// Its name as published.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Changes when another process takes the address over.
    pub incarnation: u64,
    /// Its process.
    pub process: TestProcess,
    size: ServiceSize,
    client: LineClient,
    last_stats: Option<BackendStats>,
}

/// `BackendPlan` is what one backend server is.
#[derive(Clone, Debug)]
pub struct BackendPlan<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its address; another process may have had it.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Slots, connections and speed.
    pub size: ServiceSize,
    /// Seed of its service times.
    pub seed: u64,
}

impl TestBackend {
    /// Starts a backend server and waits until it answers orders.
    pub fn start(plan: &BackendPlan<'_>, directory: &Path) -> anyhow::Result<TestBackend> {
        let control = free_address()?;
        let process_name = format!("backend-{}-{}", plan.name, plan.incarnation);
        let arguments = backend_arguments(plan, control);
        let process = TestProcess::start(&process_name, "foxledge-fake", &arguments, directory)?;
        let mut backend = TestBackend {
            name: plan.name.to_owned(),
            service: plan.service.to_owned(),
            data_centre: plan.data_centre.to_owned(),
            address: plan.address,
            incarnation: plan.incarnation,
            process,
            size: plan.size,
            client: LineClient::new(control),
            last_stats: None,
        };
        wait_until_ok(&process_name, START_LIMIT, || backend.stats().map(drop))?;
        Ok(backend)
    }

    /// What is published of it.
    pub fn target(&self) -> TargetPlan {
        TargetPlan {
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            slots: self.size.slots,
            connections: self.size.connections,
            draining: false,
        }
    }

    /// Gives any order.
    pub fn order(&self, order: &BackendOrder) -> anyhow::Result<BackendReply> {
        self.client.ask(order)
    }

    /// Its counts with every run; after its end, the last that were read.
    pub fn stats(&mut self) -> anyhow::Result<BackendStats> {
        if !self.process.is_running()
            && let Some(stats) = &self.last_stats
        {
            return Ok(stats.clone());
        }
        match self.order(&BackendOrder::Stats { runs: true })? {
            BackendReply::Stats(stats) => {
                self.last_stats = Some((*stats).clone());
                Ok(*stats)
            }
            reply => bail!("{}: {reply:?} in place of counts", self.name),
        }
    }

    /// Kills it (SIGKILL).
    ///
    /// To the outside it is dead as soon as it drops every datagram; its counts are read between
    /// that and the kill, as nobody could read them later.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.order(&BackendOrder::Mute { on: true })?;
        self.stats()?;
        self.process.kill()
    }

    /// Asks it to stop (SIGTERM) and waits for its end; its counts are read until then.
    pub fn stop(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        self.process.terminate()?;
        wait_until_ok(&format!("stop of {}", self.name), limit, || {
            let _ = self.stats();
            match self.process.exit_status() {
                Some(status) => Ok(status),
                None => bail!("it still runs"),
            }
        })
    }
}

fn backend_arguments(plan: &BackendPlan<'_>, control: SocketAddr) -> Vec<String> {
    let options = [
        ("--listen", plan.address.to_string()),
        ("--name", plan.name.to_owned()),
        ("--service", plan.service.to_owned()),
        ("--data-centre", plan.data_centre.to_owned()),
        ("--incarnation", plan.incarnation.to_string()),
        ("--slots", plan.size.slots.to_string()),
        ("--connections", plan.size.connections.to_string()),
        ("--work-ms", plan.size.work_ms.to_string()),
        ("--control", control.to_string()),
        ("--seed", plan.seed.to_string()),
    ];
    let words = options.into_iter().flat_map(|(name, value)| [name.to_owned(), value]);
    std::iter::once("backend".to_owned()).chain(words).collect()
}
