//! Model of callers, backend servers and routers that generates the load of a simulated fleet.
#![allow(dead_code)]

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{
    LoadView, LocalLoad, PriorityLoad, RateGauge, ReportPace, ServiceKey, ServiceLoad,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::common::VirtualFleet;

/// Step of the model in milliseconds.
pub const STEP_MS: u64 = 5;
/// Time between two measurements of a router at the fast pace, in milliseconds.
const FAST_MEASURE_INTERVAL_MS: u64 = 50;
/// Time between two measurements of a router at the slow pace, in milliseconds.
pub const CALM_MEASURE_INTERVAL_MS: u64 = 50;
/// Requests per slot under low load: 89 of 240.
pub const CALM_REQUESTS_PER_SLOT: f64 = 0.37;
/// Maximum requests per slot, running or queued: 2 slots and 8 places in the queue.
const MAX_REQUESTS_PER_SLOT: f64 = 5.0;
/// Work time of a request by priority, in microseconds, and the share of all requests.
const REQUEST_KINDS: [(f64, f64); 2] = [(72_000.0, 0.33), (55_000.0, 0.67)];

/// Key of the model's only service.
pub fn model_service() -> ServiceKey {
    ServiceKey::from_name("desk")
}

/// Requests that one instance has open.
#[derive(Clone, Debug, Default)]
struct RouterModel {
    running: [u32; REQUEST_KINDS.len()],
    gauges: [RateGauge; REQUEST_KINDS.len()],
    next_measure_at: ClockTime,
}

/// Slots of a data centre and the demand of its callers.
#[derive(Clone, Debug)]
pub struct CentreModel {
    pub name: CentreName,
    pub slots: f64,
    /// Requests of its callers as a multiple of those under low load.
    pub demand_factor: f64,
    instances: Vec<usize>,
}

/// Callers and backend servers of each data centre.
pub struct LoadModel {
    pub centres: Vec<CentreModel>,
    /// Time between two measurements of a router at the slow pace, in milliseconds.
    pub calm_measure_interval_ms: u64,
    routers: Vec<RouterModel>,
    rng: StdRng,
}

impl LoadModel {
    /// Creates a model under low load with this many slots per instance.
    pub fn new(fleet: &VirtualFleet, slots: f64, seed: u64) -> LoadModel {
        let mut instances: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, instance) in fleet.instances.iter().enumerate() {
            instances.entry(instance.data_centre.clone()).or_default().push(index);
        }
        let centre = |(name, instances): (String, Vec<usize>)| CentreModel {
            name: CentreName::new(&name),
            slots: slots * instances.len() as f64,
            demand_factor: 1.0,
            instances,
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let router = |_: &_| RouterModel {
            next_measure_at: fleet
                .now()
                .after_millis(rng.random_range(0..CALM_MEASURE_INTERVAL_MS)),
            ..RouterModel::default()
        };
        let routers = fleet.instances.iter().map(router).collect();
        let centres = instances.into_iter().map(centre).collect();
        LoadModel { centres, calm_measure_interval_ms: CALM_MEASURE_INTERVAL_MS, routers, rng }
    }

    /// Runs the fleet and the model for some milliseconds.
    pub fn run(&mut self, fleet: &mut VirtualFleet, millis: u64) {
        for _ in 0..millis / STEP_MS {
            fleet.run(STEP_MS);
            self.step(fleet.now());
            self.measure(fleet);
        }
    }

    /// Returns the running requests of a data centre's callers.
    pub fn running_requests(&self, centre: usize) -> f64 {
        let instances = self.centres[centre].instances.iter();
        f64::from(
            instances
                .map(|instance| self.routers[*instance].running.iter().sum::<u32>())
                .sum::<u32>(),
        )
    }

    /// Returns the running requests of a data centre's callers according to a view; none if the
    /// view doesn't contain them.
    pub fn viewed_requests(&self, view: &LoadView, centre: usize) -> Option<f64> {
        let view_load = view.centres.get(&self.centres[centre].name)?;
        let running = view_load
            .services
            .get(&model_service())
            .into_iter()
            .flat_map(|service_load| service_load.running.values());
        Some(running.sum())
    }

    /// Returns the data centre of an instance.
    pub fn centre_of(&self, instance: usize) -> usize {
        let has_instance = |centre: &CentreModel| centre.instances.contains(&instance);
        self.centres.iter().position(has_instance).expect("has a data centre")
    }

    /// Returns the instances of a data centre.
    pub fn instances_of(&self, centre: usize) -> &[usize] {
        &self.centres[centre].instances
    }

    /// Ends running requests and starts new ones.
    fn step(&mut self, now: ClockTime) {
        let step_s = STEP_MS as f64 / 1e3;
        let mean_us: f64 = REQUEST_KINDS.iter().map(|(work_us, share)| work_us * share).sum();
        for index in 0..self.centres.len() {
            let running = self.running_requests(index);
            let centre = &self.centres[index];
            let mut free_capacity =
                (centre.slots * MAX_REQUESTS_PER_SLOT - running).max(0.0) as u32;
            let progress_rate = (centre.slots / running.max(1.0)).min(1.0);
            let calm_arrivals_per_s = centre.slots * CALM_REQUESTS_PER_SLOT / mean_us * 1e6;
            let started =
                calm_arrivals_per_s * centre.demand_factor * step_s / centre.instances.len() as f64;
            for instance in &centre.instances {
                let router = &mut self.routers[*instance];
                for (kind, (work_us, share)) in REQUEST_KINDS.iter().enumerate() {
                    let end_probability = 1.0 - (-step_s * 1e6 / work_us * progress_rate).exp();
                    let ended =
                        (0..router.running[kind]).filter(|_| self.rng.random_bool(end_probability));
                    router.running[kind] -= ended.count() as u32;
                    for _ in 0..poisson(&mut self.rng, started * share) {
                        router.running[kind] += free_capacity.min(1);
                        free_capacity = free_capacity.saturating_sub(1);
                        router.gauges[kind].record_event(now);
                    }
                }
            }
        }
    }

    /// Lets routers whose next measurement is due report their load, and read their view.
    fn measure(&mut self, fleet: &mut VirtualFleet) {
        let now = fleet.now();
        for instance in 0..self.routers.len() {
            let is_paused = fleet.instances[instance].paused_until_us > fleet.now_us;
            if is_paused || !self.routers[instance].next_measure_at.is_past(now) {
                continue;
            }
            let Some(view) = fleet.load_view(instance) else { continue };
            let load_ratio = self.load_ratio(&view, self.centre_of(instance));
            let load = self.local_load(instance, now);
            fleet.set_local_load(instance, load, load_ratio);
            let member = fleet.instances[instance].member.as_ref();
            let wait = match member.map(|member| member.load_report_pace(now)) {
                Some(ReportPace::Fast) => FAST_MEASURE_INTERVAL_MS,
                _ => self.calm_measure_interval_ms,
            };
            self.routers[instance].next_measure_at = now.after_millis(wait);
        }
    }

    /// Returns the requests per slot that run in a data centre according to a view.
    fn load_ratio(&self, view: &LoadView, centre: usize) -> f64 {
        let CentreModel { name, slots, .. } = &self.centres[centre];
        let services = view.centres.values().filter_map(|load| load.services.get(&model_service()));
        services.filter_map(|load| load.running.get(name)).sum::<f64>() / slots
    }

    /// Returns the load measured by an instance.
    pub fn local_load(&self, instance: usize, now: ClockTime) -> LocalLoad {
        let router = &self.routers[instance];
        let priority = |(kind, (work_us, _)): (usize, &(f64, f64))| {
            let arrivals_per_s = router.gauges[kind].events_per_s(now);
            (kind as u32 + 1, PriorityLoad { arrivals_per_s, work_us: *work_us })
        };
        let running = f64::from(router.running.iter().sum::<u32>());
        let name = self.centres[self.centre_of(instance)].name.clone();
        let load = ServiceLoad {
            priorities: REQUEST_KINDS.iter().enumerate().map(priority).collect(),
            running: BTreeMap::from([(name, running)]),
        };
        LocalLoad { services: BTreeMap::from([(model_service(), load)]), ..LocalLoad::default() }
    }
}

/// Draws a number from a Poisson distribution with a small mean.
fn poisson(rng: &mut StdRng, mean: f64) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
