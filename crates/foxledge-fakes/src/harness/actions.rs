//! What tests do to a running fleet.

use std::{process::ExitStatus, time::Duration};

use anyhow::{Context, ensure};
use foxledge_core::traffic::TrafficKind;

use super::{
    backends::{BackendPlan, TestBackend},
    callers::{CallerPlan, TestCaller},
    fleet::{CentreFabric, TestFleet, TestInstance, start_daemon},
    http,
    ports::free_address,
    waits::{START_LIMIT, wait_until_ok},
};
use crate::{
    platform::orders::{ListedMember, ListedState},
    report::{BackendStats, LoadReport, Verdict, judge},
};

/// Status code of `/healthz` when an instance is ready.
const READY_STATUS: u16 = 200;

impl TestInstance {
    /// True when it says that it is ready.
    pub fn is_ready(&self) -> bool {
        http::get(self.listen.admin, "/healthz").is_ok_and(|answer| answer.status == READY_STATUS)
    }

    /// Waits until it says that it is ready; an error at once when it ends before.
    pub fn wait_ready(&mut self, limit: Duration) -> anyhow::Result<()> {
        let what = format!("{} ready", self.name);
        let is_running = wait_until_ok(&what, limit, || {
            if !self.process.is_running() {
                return Ok(false);
            }
            let answer = http::get(self.listen.admin, "/healthz")?;
            ensure!(answer.status == READY_STATUS, "{}: {}", answer.status, answer.body);
            Ok(true)
        })?;
        ensure!(is_running, "{} ended: {}", self.name, self.process.log_text());
        Ok(())
    }

    /// Its metrics as text.
    pub fn metrics(&self) -> anyhow::Result<String> {
        Ok(http::get(self.listen.admin, "/metrics")?.body)
    }

    /// Sum of the samples of one metric whose labels contain `labels`, such as `kind="bid"`.
    pub fn metric(&self, name: &str, labels: &str) -> anyhow::Result<f64> {
        Ok(sum_metric(&self.metrics()?, name, labels))
    }

    fn listed_member(&self) -> Option<ListedMember> {
        Some(ListedMember {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            data_address: self.listen.data,
            peer_address: self.listen.peer,
            control_address: self.listen.control,
            state: self.listed?,
        })
    }
}

impl TestFleet {
    /// Publishes [`TestFleet::list`] and returns its revision.
    pub fn publish(&self) -> anyhow::Result<u64> {
        self.platform.client.publish_list(self.list.parts()?)
    }

    /// Publishes the membership listing as the instances' `listed` fields say.
    pub fn publish_members(&self) -> anyhow::Result<u64> {
        let members = self.instances.iter().filter_map(TestInstance::listed_member).collect();
        self.platform.client.publish_members(members)
    }

    /// Makes each fabric spray over the instances whose `sprayed` field says so.
    pub fn update_fabrics(&self) -> anyhow::Result<()> {
        for fabric in &self.fabrics {
            let instances = self
                .instances
                .iter()
                .filter(|instance| instance.sprayed && instance.data_centre == fabric.data_centre);
            fabric
                .client
                .set_instances(instances.map(|instance| instance.listen.data).collect())?;
        }
        Ok(())
    }

    /// Waits until every running instance is ready.
    pub fn wait_all_ready(&mut self, limit: Duration) -> anyhow::Result<()> {
        let mut running = self.instances.iter_mut().filter(|instance| instance.listed.is_some());
        running.try_for_each(|instance| instance.wait_ready(limit))
    }

    /// The fabric of a data centre.
    pub fn fabric(&self, data_centre: &str) -> anyhow::Result<&CentreFabric> {
        let fabric = self.fabrics.iter().find(|fabric| fabric.data_centre == data_centre);
        fabric.with_context(|| format!("no fabric in {data_centre}"))
    }

    /// The instance of that name.
    pub fn instance(&mut self, name: &str) -> anyhow::Result<&mut TestInstance> {
        let instance = self.instances.iter_mut().find(|instance| instance.name == name);
        instance.with_context(|| format!("no instance {name}"))
    }

    /// The newest backend server of that name.
    pub fn backend(&mut self, name: &str) -> anyhow::Result<&mut TestBackend> {
        let backend = self.backends.iter_mut().rev().find(|backend| backend.name == name);
        backend.with_context(|| format!("no backend server {name}"))
    }

    /// Starts one more instance, waits until it is ready, then lists it and sprays to it.
    pub fn add_instance(&mut self, data_centre: &str) -> anyhow::Result<usize> {
        let index = self.spawn_instance(data_centre)?;
        self.instances[index].wait_ready(START_LIMIT)?;
        self.publish_members()?;
        self.update_fabrics()?;
        Ok(index)
    }

    /// Kills an instance (SIGKILL); listing and fabric go on naming it.
    pub fn kill_instance(&mut self, index: usize) -> anyhow::Result<()> {
        self.instances[index].process.kill()
    }

    /// Starts an ended instance again at its old addresses, without waiting for it.
    pub fn restart_instance(&mut self, index: usize) -> anyhow::Result<()> {
        let instance = &mut self.instances[index];
        ensure!(!instance.process.is_running(), "{} still runs", instance.name);
        instance.process = start_daemon(&instance.name, &instance.settings_path, &self.directory)?;
        instance.listed = Some(ListedState::Alive);
        instance.sprayed = true;
        self.publish_members()?;
        self.update_fabrics()
    }

    /// Takes an instance out of its fabric and the listing, whatever state it is in.
    pub fn forget_instance(&mut self, index: usize) -> anyhow::Result<()> {
        let instance = &mut self.instances[index];
        instance.sprayed = false;
        instance.listed = None;
        self.update_fabrics()?;
        self.publish_members().map(drop)
    }

    /// Stops an instance as planned: SIGTERM while the fabric still sprays to it, then it is
    /// taken out of the fabric and, after its end, of the listing.
    pub fn stop_instance(&mut self, index: usize, limit: Duration) -> anyhow::Result<ExitStatus> {
        let instance = &mut self.instances[index];
        instance.process.terminate()?;
        instance.listed = Some(ListedState::Leaving);
        instance.sprayed = false;
        self.publish_members()?;
        self.update_fabrics()?;
        let status = self.instances[index].process.wait_exit(limit)?;
        self.forget_instance(index)?;
        Ok(status)
    }

    /// Replaces an instance: starts another of its data centre, then stops it; returns the new index.
    pub fn replace_instance(&mut self, index: usize, limit: Duration) -> anyhow::Result<usize> {
        let data_centre = self.instances[index].data_centre.clone();
        let new_index = self.add_instance(&data_centre)?;
        let status = self.stop_instance(index, limit)?;
        ensure!(status.success(), "{} ended with {status}", self.instances[index].name);
        Ok(new_index)
    }

    /// Starts one more backend server of a service and adds it to the list, unpublished.
    pub fn add_backend(
        &mut self,
        service: &str,
        data_centre: &str,
        name: &str,
    ) -> anyhow::Result<usize> {
        let size = *self.plan.sizes.get(service).with_context(|| format!("no {service}"))?;
        let backend_plan = BackendPlan {
            name,
            service,
            data_centre,
            address: free_address()?,
            incarnation: 1,
            size,
            seed: self.plan.seed + self.backends.len() as u64,
        };
        let index = self.start_backend(&backend_plan)?;
        let target = self.backends[index].target();
        let listed = self.list.service_mut(service).with_context(|| format!("no {service}"))?;
        listed.targets.push(target);
        Ok(index)
    }

    /// Starts a backend server as planned, for instance at an address that another one had.
    pub fn start_backend(&mut self, plan: &BackendPlan<'_>) -> anyhow::Result<usize> {
        self.backends.push(TestBackend::start(plan, &self.directory)?);
        Ok(self.backends.len() - 1)
    }

    /// Starts a caller that sends to the fabric of a data centre.
    pub fn start_caller(&self, data_centre: &str, plan: &CallerPlan) -> anyhow::Result<TestCaller> {
        TestCaller::start(plan, self.fabric(data_centre)?.address, &self.directory)
    }

    /// Runs one caller to its end.
    pub fn run_caller(
        &self,
        data_centre: &str,
        plan: &CallerPlan,
        limit: Duration,
    ) -> anyhow::Result<LoadReport> {
        self.start_caller(data_centre, plan)?.finish(limit)
    }

    /// Plans a load for the first address of a service.
    pub fn plan_caller(
        &self,
        service: &str,
        member: &str,
        kind: TrafficKind,
    ) -> anyhow::Result<CallerPlan> {
        let service_plan = self.list.services.iter().find(|plan| plan.name == service);
        let address = service_plan.and_then(|plan| plan.addresses.first());
        let address = address.with_context(|| format!("no address of {service}"))?;
        Ok(CallerPlan::new(address, member, kind))
    }

    /// The counts of every backend server, ended ones included.
    pub fn backend_stats(&mut self) -> anyhow::Result<Vec<BackendStats>> {
        self.backends.iter_mut().map(TestBackend::stats).collect()
    }

    /// Judges callers' reports by what the backend servers ran.
    pub fn judge(&mut self, reports: &[LoadReport]) -> anyhow::Result<Verdict> {
        Ok(judge(reports, &self.backend_stats()?))
    }
}

/// Sum of the samples of one metric in a text of metrics.
pub fn sum_metric(text: &str, name: &str, labels: &str) -> f64 {
    let samples = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        if !rest.starts_with(['{', ' ']) || !rest.contains(labels) {
            return None;
        }
        rest.rsplit(' ').next()?.parse::<f64>().ok()
    });
    samples.sum()
}
