//! Prints as one JSON line what a list of one size costs to build, to change and to hold.
//!
//! `cargo run --release -p foxledge-rules --example list_growth targets 38000 16384`
//!
//! The size is a number of targets or of bytes (`bytes 5000000 16384`); the last argument is the
//! size of a part in bytes. One size a run, so that resident bytes aren't those of another size.

use std::{
    env,
    fmt::Write,
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use foxledge_core::{hash::digest_of, lists::RuleList};
use foxledge_rules::{ListAssembler, PartText, RuleIndex, summarize_changes};
use foxledge_wire::control::{Manifest, ManifestPart};
use prost::Message;
use serde_json::json;

/// Targets of a service: 38,000 targets of 5,800 services at the target's size.
const TARGETS_EACH: f64 = 38_000.0 / 5_800.0;
/// Services with a second rule: 6,000 rules at the target's size.
const SECOND_RULE_EACH: usize = 29;
/// Changes, one part each, of which the medians are told.
const CHANGES: usize = 31;
/// Changes a day at the target's size.
const CHANGES_A_DAY: f64 = 16_000.0;

fn main() {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let [kind, size, part_bytes] = arguments.as_slice() else {
        panic!("give targets or bytes, the size, and the bytes of a part");
    };
    let size: usize = size.parse().expect("the size is a number");
    let part_bytes: usize = part_bytes.parse().expect("the bytes of a part are a number");
    let wanted = match kind.as_str() {
        "targets" => WantedSize::Targets(size),
        "bytes" => WantedSize::Bytes(size),
        _ => panic!("give targets or bytes"),
    };
    measure(TextParts::new(wanted, part_bytes));
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
        let differ = timed(&mut costs.compare, || differing_services(&list, &next));
        assert_eq!(differ, 1);
        let changes = timed(&mut costs.diff, || summarize_changes(&list, &next, 5).changes.len());
        assert_eq!(changes, 1);
        index = timed(&mut costs.index, || RuleIndex::new(next.clone()));
        list = next;
    }
    black_box(&index);
    let changed = resident_bytes();

    let targets: usize = list.services.values().map(|service| service.targets.len()).sum();
    let travels = texts.manifest().encoded_len() + texts.parts[0].1.len();
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
        "all_resident_bytes_after_changes": changed.saturating_sub(before),
        "peak_process_bytes": status_bytes("VmHWM:"),
        "change_travel_bytes": travels,
        "travel_bytes_a_second_at_target_rate": travels as f64 * CHANGES_A_DAY / 86_400.0,
        "core_share_at_target_rate": change.as_secs_f64() * CHANGES_A_DAY / 86_400.0,
    });
    println!("{line}");
}

/// `ChangeCosts` is the times of each step of a change.
#[derive(Default)]
struct ChangeCosts {
    build: Vec<Duration>,
    compare: Vec<Duration>,
    diff: Vec<Duration>,
    index: Vec<Duration>,
}

/// `WantedSize` is how large a list is to be.
#[derive(Clone, Copy)]
enum WantedSize {
    Targets(usize),
    Bytes(usize),
}

/// `TextParts` is the names and texts of a list's parts.
struct TextParts {
    parts: Vec<(String, String)>,
}

impl TextParts {
    fn new(wanted: WantedSize, part_bytes: usize) -> TextParts {
        let head = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n\
                    [[member]]\nname = \"bricks-and-co\"\n";
        let mut texts = TextParts { parts: vec![("part-0".to_owned(), head.to_owned())] };
        let mut targets = 0;
        for service in 0.. {
            let missing = match wanted {
                WantedSize::Targets(wanted) => wanted.saturating_sub(targets),
                WantedSize::Bytes(wanted) if texts.bytes() < wanted => usize::MAX,
                WantedSize::Bytes(_) => 0,
            };
            if missing == 0 {
                break;
            }
            // A number with a fraction becomes whole numbers of the same mean.
            let upto = ((service + 1) as f64 * TARGETS_EACH) as usize;
            let count = upto.saturating_sub(targets).clamp(1, missing);
            let text = service_text(service, targets, count);
            targets += count;
            texts.push(&text, part_bytes);
        }
        texts
    }

    fn push(&mut self, text: &str, part_bytes: usize) {
        let last = &mut self.parts.last_mut().expect("there is a first part").1;
        if last.len() + text.len() <= part_bytes {
            last.push_str(text);
        } else {
            self.parts.push((format!("part-{}", self.parts.len()), text.to_owned()));
        }
    }

    fn copied(&self) -> TextParts {
        TextParts { parts: self.parts.clone() }
    }

    fn bytes(&self) -> usize {
        self.parts.iter().map(|(_, text)| text.len()).sum()
    }

    fn manifest(&self) -> Manifest {
        let parts = self.parts.iter().map(|(name, text)| ManifestPart {
            name: name.clone(),
            digest: digest_of(text.as_bytes()),
        });
        Manifest { parts: parts.collect(), ..Manifest::default() }
    }

    /// Has one target of one part drain, or serve again.
    fn change_one(&mut self, change: usize) {
        let at = change * 7919 % self.parts.len();
        let text = &mut self.parts[at].1;
        *text = match text.find("draining = true") {
            Some(_) => text.replacen("draining = true", "draining = false", 1),
            None => text.replacen("draining = false", "draining = true", 1),
        };
    }
}

fn service_text(service: usize, first_target: usize, targets: usize) -> String {
    let mut text = String::new();
    write_service(&mut text, service, first_target, targets).expect("writing to a string");
    text
}

fn write_service(
    text: &mut String,
    service: usize,
    first_target: usize,
    targets: usize,
) -> std::fmt::Result {
    if service.is_multiple_of(SECOND_RULE_EACH) {
        writeln!(text, "[[rule]]\nname = \"bids-{service}\"")?;
        writeln!(text, "when = {{ address = [\"s{service}.lakeshore\"], kind = [\"bid\"] }}")?;
        writeln!(text, "then = {{ service = \"service-{service}\", priority = 5 }}")?;
    }
    writeln!(text, "[[rule]]\nname = \"rest-{service}\"")?;
    writeln!(text, "then = {{ service = \"service-{service}\" }}")?;
    writeln!(text, "[[service]]\nname = \"service-{service}\"")?;
    writeln!(text, "addresses = [\"s{service}.lakeshore\"]\nqueue_limit = 400\nshards = 1")?;
    for target in first_target..first_target + targets {
        let (high, low) = (target / 250, target % 250);
        writeln!(text, "[[service.target]]\nname = \"target-{target}\"")?;
        writeln!(text, "address = \"10.1.{high}.{low}:9001\"\nincarnation = 1")?;
        writeln!(text, "data_centre = \"centre-{}\"", target % 8)?;
        writeln!(text, "slots = 2\nconnections = 2000\ndraining = false")?;
    }
    Ok(())
}

fn build(assembler: &mut ListAssembler, revision: u64, texts: &TextParts) -> RuleList {
    let parts = texts.parts.iter().map(|(name, text)| PartText { name, text });
    let parts: Vec<_> = parts.collect();
    assembler.build(revision, &parts).unwrap_or_else(|findings| panic!("{findings}"))
}

/// What the engine compares at each list.
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

fn resident_bytes() -> usize {
    status_bytes("VmRSS:")
}

/// A size of this process, as Linux tells it; 0 elsewhere.
fn status_bytes(field: &str) -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * 1024
}
