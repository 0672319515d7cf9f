//! Short runs of the soak with fixed seeds, over real processes.

use std::{path::PathBuf, thread};

use foxledge_soak::{BuildSet, FaultPlan, FaultRange, SoakOptions, run_soak};

/// The daemon beside the test's folder; `cargo test --workspace` builds it.
fn daemon() -> PathBuf {
    let mut path = std::env::current_exe().expect("has a path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("foxledged")
}

fn assert_kept(options: SoakOptions) {
    let report = run_soak(options, &BuildSet::single(daemon())).expect("runs");
    println!("{report}");
    assert!(report.breaches.is_empty(), "{report}");
}

/// Runs all at the same time.
fn assert_all_kept(all: Vec<SoakOptions>) {
    let runs: Vec<_> =
        all.into_iter().map(|options| thread::spawn(move || assert_kept(options))).collect();
    for run in runs {
        run.join().expect("keeps its promises");
    }
}

#[test]
fn calm_serves_all() {
    let report =
        run_soak(SoakOptions::new(1).seconds(4).fault_every_ms(0), &BuildSet::single(daemon()));
    let report = report.expect("runs");
    assert!(report.breaches.is_empty(), "{report}");
    assert_eq!(report.during.1, 0, "{report}");
}

#[test]
fn seeded_faults() {
    assert_kept(SoakOptions::new(1).seconds(12));
}

#[test]
fn dense_faults() {
    assert_kept(SoakOptions::new(2).seconds(8).fault_every_ms(200));
}

#[test]
fn packet_faults() {
    assert_kept(SoakOptions::new(5_000).seconds(10).range(FaultRange::Packets));
}

#[test]
fn entry_faults() {
    assert_kept(SoakOptions::new(7_000).seconds(12).range(FaultRange::Entries));
}

#[test]
fn evacuations() {
    assert_kept(SoakOptions::new(9_000).seconds(12).range(FaultRange::Evacuations));
}

// Guards against lists that stay as they were once a restored store gives revisions out again.
#[test]
fn store_restores() {
    let restores = |seed| SoakOptions::new(seed).seconds(12).range(FaultRange::Restores);
    assert_all_kept([11_000, 11_001, 11_004].map(restores).into());
}

// Guards against refusals while slots are free, and against urgent callers served worse.
#[test]
fn load_bursts() {
    let bursts = |seed| SoakOptions::new(seed).seconds(12).range(FaultRange::Bursts);
    // Bursts that overlap leave no slot free; others do.
    assert_all_kept(vec![bursts(13_000), bursts(13_001).fault_every_ms(2_500)]);
}

#[test]
fn plan_by_seed() {
    let options = SoakOptions::new(7);
    assert_eq!(FaultPlan::new(&options), FaultPlan::new(&options));
    assert_ne!(FaultPlan::new(&options), FaultPlan::new(&SoakOptions::new(8)));
}

/// Seeds that once broke a promise, each with its cause; they stay as they are.
const FAILED_SEEDS: [(u64, u64); 5] = [
    // An instance that woke from a pause refused opening packets that had waited in
    // its socket, by a list 7.8 s old; one of the flows had been opened elsewhere.
    // The list had no backend server left, as their entries lapsed while the store
    // was away for longer than the grace.
    (6, 15),
    // The signal of a planned stop came during a pause of 4.8 s: the stop began with
    // the wake-up and took all of its time, 10 s after the signal.
    (605, 15),
    (707, 15),
    // The signal came before the process had taken signals over, and ended it.
    (702, 15),
    // One watch brought two lists: a route gone in the first and back in the second
    // stayed gone.
    (1003, 15),
];

/// The same with faults of entries.
const FAILED_ENTRY_SEEDS: [(u64, u64); 2] = [
    // Instances that started while all entries had lapsed refused every flow until these
    // were back: 172,265 and 244,197 times.
    (7018, 15),
    // Their callers came back at once, used up their ports, and took one that another flow
    // still had: its refusal was held against that flow.
    (7027, 15),
];

#[test]
fn failed_seeds() {
    let control = FAILED_SEEDS.map(|(seed, seconds)| SoakOptions::new(seed).seconds(seconds));
    let entries = FAILED_ENTRY_SEEDS
        .map(|(seed, seconds)| SoakOptions::new(seed).seconds(seconds).range(FaultRange::Entries));
    assert_all_kept(control.into_iter().chain(entries).collect());
}
