//! The subcommand `sweep`: many runs, a table and JSON.

use std::{
    fmt::Write,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use crate::{
    places::PlaceKind,
    report::RunResult,
    run_plan::RunPlan,
    workloads::{LOADS, LoadVariant, service_loads},
    world::run_plan,
};

/// `SweepChoice` narrows a sweep down; what is empty takes all.
#[derive(Clone, Debug, Default)]
pub struct SweepChoice {
    /// Services by name.
    pub services: Vec<String>,
    /// Loads relative to what the slots can carry.
    pub levels: Vec<f64>,
    /// Variants by name.
    pub variants: Vec<String>,
    /// Places by name.
    pub places: Vec<String>,
    /// Length of each run in seconds; 0 is that of the workload.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
}

/// The runs of a sweep in order.
pub fn sweep_plans(choice: &SweepChoice) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    let levels = if choice.levels.is_empty() { LOADS.to_vec() } else { choice.levels.clone() };
    for mut load in service_loads() {
        if !takes(&choice.services, load.service) {
            continue;
        }
        if choice.seconds > 0 {
            load.length = std::time::Duration::from_secs(choice.seconds);
        }
        for &level in &levels {
            for variant in LoadVariant::ALL {
                for place in PlaceKind::ALL {
                    if takes(&choice.variants, variant.as_str())
                        && takes(&choice.places, place.as_str())
                    {
                        plans.push(RunPlan { load, level, variant, place, seed: choice.seed });
                    }
                }
            }
        }
    }
    plans
}

/// Makes the runs on a few threads; the results come in the order of the plans.
pub fn run_sweep(plans: &[RunPlan], threads: usize) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut results = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(plan) = plans.get(index) else {
                return results;
            };
            results.push((index, run_plan(*plan)));
        }
    };
    let mut results: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a run panicked")).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// The results as a table.
pub fn sweep_table(results: &[RunResult]) -> String {
    let mut table = String::new();
    let mut group = String::new();
    for result in results {
        let title = format!(
            "{} {}, load {}, {}",
            result.workload,
            result.service,
            result.level,
            result.variant.as_str()
        );
        if title != group {
            let _ = writeln!(table, "\n{title}\n{HEADER}");
            group = title;
        }
        table.push_str(&table_row(result));
    }
    table
}

const HEADER: &str = "place          served refused unknown broken twice false  goodput  \
    max/mean  variation  wait p50    p99  p99.9  others p99  retries  late ms  priorities";

fn table_row(result: &RunResult) -> String {
    let asked = result.asked.max(1) as f64;
    let part = |count: u64| format!("{:.4}", count as f64 / asked);
    let priorities: Vec<_> =
        result.priorities.iter().map(|(priority, part)| format!("{priority}:{part:.2}")).collect();
    let gap = result.admission_gap.map(|gap| format!("  gap {gap:.0} ms")).unwrap_or_default();
    format!(
        "{:<13} {:>7} {:>7} {:>7} {:>6} {:>5} {:>5} {:>8.3} {:>9.2} {:>10.4} {:>9.1} {:>6.1} \
         {:>6.1} {:>11.1} {:>8.4} {:>8.1}  {}{gap}\n",
        result.place,
        part(result.served),
        part(result.refused),
        part(result.unknown),
        result.broken,
        result.doubled,
        result.false_not_run,
        result.goodput,
        result.peak_to_mean,
        result.variation,
        result.wait.p50,
        result.wait.p99,
        result.wait.p999,
        result.others_total.p99,
        result.retries,
        result.refusal_delay,
        priorities.join(" "),
    )
}

fn takes(chosen: &[String], name: &str) -> bool {
    chosen.is_empty() || chosen.iter().any(|word| word == name)
}
