//! A run from its start to its report.

use std::{
    fmt,
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use anyhow::{Result, bail};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{runtime, time::sleep};

use crate::{
    callers::CallerHost,
    faults::apply_fault,
    instances::{BuildSet, RunningInstance},
    monitors::{monitor_processes, monitor_unused_address, probe_routes},
    networks::reserve_network,
    plan::{FaultPlan, SoakOptions},
    world::{BID_PORT, DATA_PORT, FEED_PORT, PERSISTENT_FLOWS, SoakWorld, UPLOAD_PORT},
};

/// The time in which all instances must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The time after the last fault until requests are counted again.
const RECOVERY_WAIT: Duration = Duration::from_secs(7);
/// The time for which requests are counted after the recovery.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// The share of requests that must be served after the recovery.
const MIN_SERVED_SHARE: f64 = 0.98;
/// The requests a second of each caller address if slots are counted, by kind.
const BASE_BIDS_PER_S: u64 = 4;
const BASE_FEEDS_PER_S: u64 = 6;

/// The results of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The seed of the run.
    pub seed: u64,
    /// The number of injected faults.
    pub faults: usize,
    /// The numbers of served and failed requests while faults were injected.
    pub during: (u64, u64),
    /// The numbers of served and failed requests after the recovery.
    pub after: (u64, u64),
    /// The numbers of served and failed urgent requests, counted by route if slots are counted.
    pub urgent: (u64, u64),
    /// The numbers of served and failed less urgent requests, counted likewise.
    pub others: (u64, u64),
    /// The number of opening packets that instances refused.
    pub refused: u64,
    /// The number of requests to the store.
    pub store_calls: u64,
    /// The broken promises.
    pub breaches: Vec<String>,
    /// The folder of logs and settings.
    pub folder: PathBuf,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SoakReport { seed, faults, during, after, store_calls, .. } = self;
        write!(
            f,
            "seed {seed}: {faults} faults, {} served and {} not during, {} and {} after, \
             {store_calls} store calls, {} broken",
            during.0,
            during.1,
            after.0,
            after.1,
            self.breaches.len()
        )?;
        if self.urgent.0 > 0 {
            let SoakReport { urgent, others, refused, .. } = self;
            write!(f, "\n  urgent {urgent:?}, others {others:?}, {refused} openings refused")?;
        }
        for breach in self.breaches.iter().take(5) {
            write!(f, "\n  {breach}")?;
        }
        if !self.breaches.is_empty() {
            write!(f, "\n  logs in {}", self.folder.display())?;
        }
        Ok(())
    }
}

/// Runs one seed with the daemons of `builds`.
///
/// # Errors
///
/// When a part of the run couldn't be started. A broken promise isn't an error; the report lists
/// it.
pub fn run_soak(options: SoakOptions, builds: &BuildSet) -> Result<SoakReport> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    // Several runs of a process may have the same seed, but each has its own network.
    let (net, network_lock) = reserve_network()?;
    let name = format!("foxledge-soak-{}-{}-{net}", std::process::id(), options.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let report = runtime.block_on(run(options, net, builds, &folder))?;
    drop(network_lock);
    if report.breaches.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

async fn run(
    options: SoakOptions,
    net: u8,
    builds: &BuildSet,
    folder: &Path,
) -> Result<SoakReport> {
    let world = SoakWorld::start(options, net, builds, folder).await?;
    let hosts = start_callers(&world).await?;
    world.lock_hosts().clone_from(&hosts);
    wait_ready(&world).await?;
    tokio::spawn(monitor_processes(world.clone()));
    // If slots are counted, probes would occupy capacity without making requests.
    if !world.options.range.shares_load() {
        tokio::spawn(probe_routes(world.clone(), hosts[0].clone()));
    }
    tokio::spawn(monitor_unused_address(world.clone()));
    world.ledger.drain_counts();
    let faults = run_plan(&world).await;
    let during = world.ledger.drain_counts();
    sleep(RECOVERY_WAIT).await;
    world.ledger.drain_counts();
    sleep(MEASUREMENT_TIME).await;
    let after = world.ledger.drain_counts();
    check_recovery(&world, after);
    world.ledger.check_urgent_share(BID_PORT, FEED_PORT);
    world.is_ending.store(true, Ordering::Relaxed);
    for host in &hosts {
        host.is_stopping.store(true, Ordering::Relaxed);
    }
    world.lock_instances().iter_mut().for_each(RunningInstance::kill);
    Ok(SoakReport {
        seed: options.seed,
        faults,
        during,
        after,
        urgent: world.ledger.route_counts(BID_PORT),
        others: world.ledger.route_counts(FEED_PORT),
        refused: world.ledger.refused_count(),
        store_calls: world.store.call_count(),
        breaches: world.ledger.breaches(),
        folder: folder.to_owned(),
    })
}

/// Injects the faults of the plan, which may overlap, and returns their number when all have
/// ended.
async fn run_plan(world: &Arc<SoakWorld>) -> usize {
    let plan = FaultPlan::new(&world.options);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (at, fault) in &plan.faults {
        let starts_at = start + Duration::from_millis(*at);
        sleep(starts_at.saturating_duration_since(Instant::now())).await;
        tasks.push(tokio::spawn(apply_fault(world.clone(), *fault)));
    }
    let end = start + Duration::from_secs(world.options.seconds);
    sleep(end.saturating_duration_since(Instant::now())).await;
    for task in tasks {
        world.join_task(task).await;
    }
    plan.faults.len()
}

fn check_recovery(world: &SoakWorld, (served, failed): (u64, u64)) {
    let share = served as f64 / (served + failed).max(1) as f64;
    if served == 0 || share < MIN_SERVED_SHARE {
        world.ledger.record_breach(format!("after the faults {served} were served, {failed} not"));
    }
}

async fn start_callers(world: &Arc<SoakWorld>) -> Result<Vec<Arc<CallerHost>>> {
    let mut rng = StdRng::seed_from_u64(world.options.seed ^ 0xca11);
    let mut hosts = Vec::new();
    for index in 0..world.options.callers * 2 {
        let address = world.address(4, index, DATA_PORT);
        let (router, ledger) = (world.router.clone(), world.ledger.clone());
        let (loss, shares_load) = (world.packet_loss.clone(), world.options.range.shares_load());
        let centre = shares_load.then_some(index % 2);
        let host = CallerHost::start(address, router, ledger, loss, centre).await?;
        if shares_load {
            start_base_load(&host, &mut rng);
            hosts.push(host);
            continue;
        }
        let ports = vec![(FEED_PORT, true), (BID_PORT, false), (UPLOAD_PORT, false)];
        for _ in 0..3 {
            tokio::spawn(host.clone().run(ports.clone(), rng.random()));
        }
        if world.options.range.includes_start_times() {
            for _ in 0..PERSISTENT_FLOWS {
                tokio::spawn(host.clone().run_persistent(BID_PORT, rng.random()));
            }
        }
        hosts.push(host);
    }
    Ok(hosts)
}

/// Starts the base load, which takes half of the slots: flows of one request, and some persistent
/// flows.
fn start_base_load(host: &Arc<CallerHost>, rng: &mut StdRng) {
    tokio::spawn(host.clone().run_rate(BID_PORT, BASE_BIDS_PER_S, None));
    tokio::spawn(host.clone().run_rate(FEED_PORT, BASE_FEEDS_PER_S, None));
    for _ in 0..2 {
        tokio::spawn(host.clone().run_persistent(BID_PORT, rng.random()));
    }
}

async fn wait_ready(world: &SoakWorld) -> Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while world.router.ready_count() < world.size() {
        if Instant::now() > end {
            bail!("{} of {} are ready", world.router.ready_count(), world.size());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
