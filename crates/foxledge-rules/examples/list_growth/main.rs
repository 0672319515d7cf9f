//! Measures the time and memory to build, change and store a list, and prints one JSON line.
//!
//! `cargo run --release -p foxledge-rules --example list_growth targets 38000 16384`
//!
//! The size is a number of targets or of bytes (`bytes 5000000 16384`); the last argument is the
//! size of a part in bytes. Each run measures one size, so that the resident memory doesn't include
//! that of another size.

mod texts;

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use foxledge_core::lists::RuleList;
use foxledge_rules::{ListAssembler, PartText, RuleIndex, summarize_changes};
use prost::Message;
use serde_json::json;

use texts::{TextParts, resident_bytes, status_bytes};

/// The number of measured changes, each to one part; medians are reported.
const CHANGES: usize = 31;
/// The number of changes a day at the planned size.
const CHANGES_PER_DAY: f64 = 16_000.0;

fn main() {
    measure(TextParts::from_arguments());
}

fn measure(mut texts: TextParts) {
    let before = resident_bytes();
    texts = texts.copied();
    let with_texts = resident_bytes();
    let mut assembler = ListAssembler::new();
    let start = Instant::now();
    let list = build(&mut assembler, 1, &texts);
    let whole = start.elapsed();
    let built = resident_bytes();

    let mut list = Arc::new(list);
    let mut index = RuleIndex::new(list.clone());
    let mut costs = ChangeCosts::default();
    for change in 0..CHANGES {
        texts.change_one(change);
        let next =
            timed(&mut costs.build, || Arc::new(build(&mut assembler, 2 + change as u64, &texts)));
        let differing_count = timed(&mut costs.compare, || differing_services(&list, &next));
        assert_eq!(differing_count, 1);
        let changes = timed(&mut costs.diff, || summarize_changes(&list, &next, 5).changes.len());
        assert_eq!(changes, 1);
        index = timed(&mut costs.index, || RuleIndex::new(next.clone()));
        list = next;
    }
    black_box(&index);
    let after_changes = resident_bytes();

    let targets: usize = list.services.values().map(|service| service.targets.len()).sum();
    let sent_bytes = texts.manifest(1).encoded_len() + texts.parts[0].1.len();
    let change = median(&costs.build);
    let line = json!({
        "targets": targets,
        "services": list.services.len(),
        "rules": list.rules.len(),
        "list_bytes": texts.bytes(),
        "parts": texts.parts.len(),
        "part_bytes": texts.parts[0].1.len(),
        "whole_build_ms": millis(whole),
        "change_build_ms": millis(change),
        "change_build_longest_ms": millis(costs.build.iter().copied().max().unwrap_or_default()),
        "compare_ms": millis(median(&costs.compare)),
        "diff_ms": millis(median(&costs.diff)),
        "index_ms": millis(median(&costs.index)),
        "text_resident_bytes": with_texts.saturating_sub(before),
        "list_and_kept_resident_bytes": built.saturating_sub(with_texts),
        "all_resident_bytes_after_changes": after_changes.saturating_sub(before),
        "peak_process_bytes": status_bytes("VmHWM:"),
        "change_travel_bytes": sent_bytes,
        "travel_bytes_a_second_at_target_rate": sent_bytes as f64 * CHANGES_PER_DAY / 86_400.0,
        "core_share_at_target_rate": change.as_secs_f64() * CHANGES_PER_DAY / 86_400.0,
    });
    println!("{line}");
}

/// The times that each step of a change took.
#[derive(Default)]
struct ChangeCosts {
    build: Vec<Duration>,
    compare: Vec<Duration>,
    diff: Vec<Duration>,
    index: Vec<Duration>,
}

fn build(assembler: &mut ListAssembler, revision: u64, texts: &TextParts) -> RuleList {
    let parts = texts.parts.iter().map(|(name, text)| PartText { name, text });
    let parts: Vec<_> = parts.collect();
    assembler.build(revision, &parts).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Counts the services that differ, as the engine does for each new list.
fn differing_services(old: &RuleList, new: &RuleList) -> usize {
    let services = new.services.iter();
    services.filter(|(name, service)| old.services.get(*name) != Some(service)).count()
}

fn timed<T>(times: &mut Vec<Duration>, run: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let value = run();
    times.push(start.elapsed());
    value
}

fn median(times: &[Duration]) -> Duration {
    let mut times = times.to_vec();
    times.sort();
    times[times.len() / 2]
}

fn millis(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
