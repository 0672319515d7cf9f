//! A fleet under test and its start.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::Context;

use super::{
    backends::{BackendPlan, TestBackend},
    directory::make_directory,
    links::LinkBook,
    plan::FleetPlan,
    platforms::TestPlatform,
    ports::free_address,
    processes::TestProcess,
    settings::{InstanceAddresses, SettingsPlan},
    waits::{START_LIMIT, wait_until_ok},
};
use crate::{fabric::orders::FabricClient, platform::orders::ListedState, publish::ListPlan};

/// Instances of each data centre that a new one is told to join through.
const SEEDS_PER_CENTRE: usize = 2;

/// `TestFleet` is every process of one test; all end when it is dropped.
#[derive(Debug)]
pub struct TestFleet {
    /// The list as last published; change it and call [`TestFleet::publish`].
    pub list: ListPlan,
    /// The platform.
    pub platform: TestPlatform,
    /// The fabrics, one for each data centre.
    pub fabrics: Vec<CentreFabric>,
    /// Backend servers in the order of their start.
    pub backends: Vec<TestBackend>,
    /// Instances in the order of their start, ended ones included.
    pub instances: Vec<TestInstance>,
    /// The links between instances; none in a fleet that isn't routed.
    pub links: Option<LinkBook>,
    pub(super) plan: FleetPlan,
    pub(super) reserves: Vec<InstanceReserve>,
    pub(super) directory: PathBuf,
}

/// `CentreFabric` is the fabric of one data centre.
#[derive(Debug)]
pub struct CentreFabric {
    /// The data centre.
    pub data_centre: String,
    /// Where callers send.
    pub address: SocketAddr,
    /// Orders to the fabric.
    pub client: FabricClient,
    /// Its process.
    pub process: TestProcess,
}

/// `InstanceReserve` is the name and addresses of an instance, started or not.
#[derive(Clone, Debug)]
pub struct InstanceReserve {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub listen: InstanceAddresses,
}

/// `TestInstance` is one instance of foxledge.
#[derive(Debug)]
pub struct TestInstance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub listen: InstanceAddresses,
    /// What the platform lists of it; none when it isn't listed.
    pub listed: Option<ListedState>,
    /// True while its fabric sprays to it.
    pub sprayed: bool,
    /// Its process.
    pub process: TestProcess,
    /// Its settings file.
    pub settings_path: PathBuf,
}

impl TestFleet {
    /// Starts everything in `plan` and waits until every instance is ready.
    pub fn start(plan: FleetPlan) -> anyhow::Result<TestFleet> {
        let mut fleet = TestFleet::start_around(plan)?;
        fleet.start_planned_instances()?;
        fleet.wait_all_ready(START_LIMIT)?;
        Ok(fleet)
    }

    /// Starts what surrounds the instances, without any of them.
    pub fn start_around(plan: FleetPlan) -> anyhow::Result<TestFleet> {
        let directory = make_directory()?;
        let platform = TestPlatform::start(plan.reads_per_second, &directory)?;
        let backends = start_backends(&plan, &directory)?;
        let reserves = reserve_instances(&plan)?;
        let links = LinkBook::start(&plan, &reserves, &backends, &directory)?;
        let mut fleet = TestFleet {
            list: plan.list.clone(),
            platform,
            fabrics: start_fabrics(&plan, &directory)?,
            backends,
            instances: Vec::new(),
            links,
            plan,
            reserves,
            directory,
        };
        fleet.list_targets();
        fleet.publish()?;
        Ok(fleet)
    }

    /// Directory of logs, settings and reports.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Starts the next reserved instance of a data centre without waiting for it; returns its index.
    pub fn spawn_instance(&mut self, data_centre: &str) -> anyhow::Result<usize> {
        let reserve = self.take_reserve(data_centre)?;
        let settings_path = self.directory.join(format!("{}.toml", reserve.name));
        fs::write(&settings_path, self.settings_text(&reserve)?)?;
        let process = start_daemon(&reserve.name, &settings_path, &self.directory)?;
        self.instances.push(TestInstance {
            name: reserve.name,
            data_centre: reserve.data_centre,
            listen: reserve.listen,
            listed: Some(ListedState::Alive),
            sprayed: true,
            process,
            settings_path,
        });
        Ok(self.instances.len() - 1)
    }

    fn start_planned_instances(&mut self) -> anyhow::Result<()> {
        for (data_centre, count) in self.plan.centres.clone() {
            for _ in 0..count {
                self.spawn_instance(&data_centre)?;
            }
        }
        self.publish_members()?;
        self.update_fabrics()
    }

    /// Adds every backend server to the list, under its service.
    fn list_targets(&mut self) {
        for backend in &self.backends {
            if let Some(service) = self.list.service_mut(&backend.service) {
                service.targets.push(backend.target());
            }
        }
    }

    fn take_reserve(&mut self, data_centre: &str) -> anyhow::Result<InstanceReserve> {
        let started = |name: &str| self.instances.iter().any(|instance| instance.name == name);
        let reserve = self
            .reserves
            .iter()
            .find(|reserve| reserve.data_centre == data_centre && !started(&reserve.name));
        reserve.cloned().with_context(|| format!("no instance left for {data_centre}"))
    }

    fn settings_text(&self, reserve: &InstanceReserve) -> anyhow::Result<String> {
        let routes = match &self.links {
            Some(links) => links.routes_of(&reserve.name),
            None => BTreeMap::new(),
        };
        let settings = SettingsPlan {
            name: &reserve.name,
            data_centre: &reserve.data_centre,
            listen: reserve.listen,
            platform: self.platform.address,
            seeds: self.seeds_for(&reserve.name),
            routes,
            more: &self.plan.settings,
        };
        settings.text()
    }

    /// Control addresses of a few instances of each data centre, running ones first.
    fn seeds_for(&self, name: &str) -> Vec<SocketAddr> {
        let ended = |reserve: &InstanceReserve| {
            let instance = self.instances.iter().find(|instance| instance.name == reserve.name);
            instance.is_some_and(|instance| instance.listed.is_none())
        };
        let mut seeds = Vec::new();
        for (data_centre, _) in &self.plan.centres {
            let others = self.reserves.iter().filter(|reserve| {
                reserve.data_centre == *data_centre && reserve.name != name && !ended(reserve)
            });
            seeds.extend(others.take(SEEDS_PER_CENTRE).map(|reserve| reserve.listen.control));
        }
        seeds
    }
}

/// Starts `foxledged` with a settings file.
pub(super) fn start_daemon(
    name: &str,
    settings_path: &Path,
    directory: &Path,
) -> anyhow::Result<TestProcess> {
    let arguments = ["--config".to_owned(), settings_path.display().to_string()];
    TestProcess::start(name, "foxledged", &arguments, directory)
}

fn start_fabrics(plan: &FleetPlan, directory: &Path) -> anyhow::Result<Vec<CentreFabric>> {
    let names = plan.centres.iter().map(|(name, _)| name);
    names.map(|name| CentreFabric::start(name, plan.seed, &[], directory)).collect()
}

impl CentreFabric {
    /// Starts a fabric without instances; `more` are further arguments.
    pub fn start(
        data_centre: &str,
        seed: u64,
        more: &[String],
        directory: &Path,
    ) -> anyhow::Result<CentreFabric> {
        let (address, control) = (free_address()?, free_address()?);
        let mut arguments = vec![
            "fabric".to_owned(),
            format!("--listen={address}"),
            format!("--control={control}"),
            format!("--seed={seed}"),
        ];
        arguments.extend(more.iter().cloned());
        let name = format!("fabric-{data_centre}");
        let process = TestProcess::start(&name, "foxledge-fake", &arguments, directory)?;
        let client = FabricClient::new(control);
        wait_until_ok(&name, START_LIMIT, || client.report())?;
        Ok(CentreFabric { data_centre: data_centre.to_owned(), address, client, process })
    }
}

fn start_backends(plan: &FleetPlan, directory: &Path) -> anyhow::Result<Vec<TestBackend>> {
    let mut backends = Vec::new();
    for service in &plan.list.services {
        let Some(size) = plan.sizes.get(&service.name) else { continue };
        for (data_centre, _) in &plan.centres {
            for number in 1..=size.targets {
                let name = format!("{}-{data_centre}-{number}", service.name);
                let backend_plan = BackendPlan {
                    name: &name,
                    service: &service.name,
                    data_centre,
                    address: free_address()?,
                    incarnation: 1,
                    size: *size,
                    seed: plan.seed + backends.len() as u64,
                };
                backends.push(TestBackend::start(&backend_plan, directory)?);
            }
        }
    }
    Ok(backends)
}

fn reserve_instances(plan: &FleetPlan) -> anyhow::Result<Vec<InstanceReserve>> {
    let mut reserves = Vec::new();
    for (data_centre, count) in &plan.centres {
        for number in 1..=count + plan.spare_instances {
            reserves.push(InstanceReserve {
                name: format!("{data_centre}-{number}"),
                data_centre: data_centre.clone(),
                listen: InstanceAddresses::pick()?,
            });
        }
    }
    Ok(reserves)
}
