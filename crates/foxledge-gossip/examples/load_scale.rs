//! Cost and accuracy of load reports at several fleet sizes, in virtual time.
//!
//! `load_scale INSTANCES CENTRES SLOTS SEED MEASURE_MS` prints CSV, one line for low load and one
//! for each burst. SLOTS is the number of backend servers' slots per instance, MEASURE_MS the time
//! between two measurements of a router at the slow pace.

use std::env;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/load_model.rs"]
mod load_model;

use common::{VirtualFleet, settle};
use load_model::{CALM_MEASURE_INTERVAL_MS, LoadModel, STEP_MS};

/// Requests per slot above which requests overflow to other data centres.
const FULL_LOAD_RATIO: f64 = 0.8;
/// Share of the instances that must know of a shortage.
const MIN_INFORMED_SHARE: f64 = 0.95;
/// Maximum time to wait until a shortage is known, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;

/// Compares the bytes that a fleet has sent before and after a period.
struct CostMeter {
    start_us: u64,
    load_bytes: u64,
    remote_load_bytes: u64,
    sent_bytes: Vec<u64>,
}

impl CostMeter {
    fn new(fleet: &VirtualFleet) -> CostMeter {
        CostMeter {
            start_us: fleet.now_us,
            load_bytes: fleet.bytes_by_kind.get("load").copied().unwrap_or(0),
            remote_load_bytes: fleet.remote_bytes_by_kind.get("load").copied().unwrap_or(0),
            sent_bytes: fleet.instances.iter().map(|instance| instance.sent_bytes).collect(),
        }
    }

    /// Formats load bytes, load bytes between data centres and all bytes per second and instance,
    /// and all bytes per second of the busiest instance.
    fn rates(&self, fleet: &VirtualFleet) -> String {
        let seconds = (fleet.now_us - self.start_us) as f64 / 1e6;
        let count = fleet.instances.len() as f64;
        let now = CostMeter::new(fleet);
        let sent_bytes: Vec<_> =
            now.sent_bytes.iter().zip(&self.sent_bytes).map(|(now, then)| now - then).collect();
        let rate = |bytes: u64| bytes as f64 / seconds;
        format!(
            "{:.0},{:.0},{:.0},{:.0}",
            rate(now.load_bytes - self.load_bytes) / count,
            rate(now.remote_load_bytes - self.remote_load_bytes) / count,
            rate(sent_bytes.iter().sum()) / count,
            rate(sent_bytes.iter().copied().max().unwrap_or(0)),
        )
    }
}

/// Collects the differences between views and the true load.
#[derive(Default)]
struct ViewMeter {
    local_errors: Vec<f64>,
    remote_errors: Vec<f64>,
    local_ages_ms: Vec<f64>,
    remote_ages_ms: Vec<f64>,
    reliable: u64,
    views: u64,
    fast: u64,
}

impl ViewMeter {
    fn add_views(&mut self, fleet: &mut VirtualFleet, model: &LoadModel) {
        for instance in 0..fleet.instances.len() {
            let Some(view) = fleet.load_view(instance) else { continue };
            let now = fleet.now();
            self.views += 1;
            self.reliable += u64::from(view.is_reliable);
            let member = fleet.instances[instance].member.as_ref().expect("instance is running");
            self.fast += u64::from(member.load_report_pace(now).is_fast());
            for (centre_index, centre) in model.centres.iter().enumerate() {
                let Some(viewed) = model.viewed_requests(&view, centre_index) else { continue };
                let error = (viewed - model.running_requests(centre_index)).abs() / centre.slots;
                let reported_at = view.centres[&centre.name].reported_at;
                let age_ms = now.since(reported_at).as_micros() as f64 / 1e3;
                let is_local = model.centre_of(instance) == centre_index;
                let (errors, ages) = match is_local {
                    true => (&mut self.local_errors, &mut self.local_ages_ms),
                    false => (&mut self.remote_errors, &mut self.remote_ages_ms),
                };
                errors.push(error);
                ages.push(age_ms);
            }
        }
    }

    fn csv_fields(&mut self) -> String {
        let share = |count: u64| count as f64 / self.views.max(1) as f64;
        let (reliable, fast) = (share(self.reliable), share(self.fast));
        let groups = [
            &mut self.local_errors,
            &mut self.remote_errors,
            &mut self.local_ages_ms,
            &mut self.remote_ages_ms,
        ];
        let quantiles: Vec<_> = groups
            .map(|values| format!("{:.3},{:.3}", quantile(values, 0.5), quantile(values, 0.95)))
            .into();
        format!("{reliable:.3},{fast:.3},{}", quantiles.join(","))
    }
}

/// Returns the value at a quantile.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

/// Returns the milliseconds until most local and remote instances know that a data centre is full.
fn informed_after(
    fleet: &mut VirtualFleet,
    model: &mut LoadModel,
    centre: usize,
) -> [Option<u64>; 2] {
    let mut informed = [None; 2];
    for step in 1..=MAX_WAIT_MS / STEP_MS {
        model.run(fleet, STEP_MS);
        let mut counts = [(0, 0); 2];
        for instance in 0..fleet.instances.len() {
            let index = usize::from(model.centre_of(instance) != centre);
            let viewed =
                fleet.load_view(instance).and_then(|view| model.viewed_requests(&view, centre));
            let is_known = viewed
                .is_some_and(|requests| requests >= FULL_LOAD_RATIO * model.centres[centre].slots);
            counts[index].0 += usize::from(is_known);
            counts[index].1 += 1;
        }
        for (informed, (count, total)) in informed.iter_mut().zip(counts) {
            if f64::from(count as u32) >= MIN_INFORMED_SHARE * f64::from(total as u32) {
                informed.get_or_insert(step * STEP_MS);
            }
        }
        if informed.iter().all(Option::is_some) {
            break;
        }
    }
    informed
}

/// Simulates a burst in some data centres and prints its line.
fn run_burst(
    fleet: &mut VirtualFleet,
    model: &mut LoadModel,
    name: &str,
    demand_factor: f64,
    centres: std::ops::Range<usize>,
) {
    model.centres[centres].iter_mut().for_each(|centre| centre.demand_factor = demand_factor);
    let cost = CostMeter::new(fleet);
    let format_ms = |ms: Option<u64>| ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    let informed = match demand_factor > 1.0 {
        true => informed_after(fleet, model, 0).map(format_ms),
        false => ["", ""].map(str::to_owned),
    };
    let mut meter = ViewMeter::default();
    for _ in 0..10 {
        model.run(fleet, 400);
        meter.add_views(fleet, model);
    }
    let (instance_count, centre_count) = (fleet.instances.len(), model.centres.len());
    println!(
        "{instance_count},{centre_count},{name},{},{},{}",
        informed.join(","),
        cost.rates(fleet),
        meter.csv_fields()
    );
    model.centres.iter_mut().for_each(|centre| centre.demand_factor = 1.0);
    model.run(fleet, 8_000);
}

fn main() {
    let number = |index: usize, default: f64| {
        env::args().nth(index).and_then(|word| word.parse().ok()).unwrap_or(default)
    };
    let (instances, centres) = (number(1, 79.0) as usize, number(2, 4.0) as usize);
    let (slots, seed) = (number(3, 3.0), number(4, 1.0) as u64);
    let counts: Vec<_> = (0..centres).map(|index| (instances + index) / centres).collect();
    let mut fleet = VirtualFleet::new(&counts, seed);
    fleet.instances.iter_mut().for_each(|instance| instance.reports_load = true);
    let mut fleet = settle(fleet);
    let mut model = LoadModel::new(&fleet, slots, seed);
    model.calm_measure_interval_ms = number(5, CALM_MEASURE_INTERVAL_MS as f64) as u64;
    model.run(&mut fleet, 4_000);
    println!(
        "instances,data centres,day,near know after ms,far know after ms,load B/s,far load B/s,\
         all B/s,busiest B/s,sure,busy,near error p50,near error p95,far error p50,far error p95,\
         near age ms p50,near age ms p95,far age ms p50,far age ms p95"
    );
    run_burst(&mut fleet, &mut model, "calm", 1.0, 0..centres);
    run_burst(&mut fleet, &mut model, "A: 3.2 in one", 3.2, 0..1);
    run_burst(&mut fleet, &mut model, "C: 3.5 in all", 3.5, 0..centres);
}
