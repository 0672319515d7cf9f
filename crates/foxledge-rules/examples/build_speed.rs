//! Measures the time to build and compare lists of several sizes and to match flows.
//!
//! The columns `decide` and `by index` are the times to match one flow by a scan of all rules and
//! by the index.
//!
//! `cargo run --release -p foxledge-rules --example build_speed`

use std::{
    fmt::Write,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use foxledge_core::{
    lists::{FlowTraits, RuleList},
    traffic::TrafficKind,
};
use foxledge_rules::{OwnedPart, RuleIndex, build_list, diff_lists};

const ROUNDS: u32 = 9;
const LOOKUPS: usize = 10_000;

fn main() {
    println!(
        "{:>9} {:>6} {:>8} {:>9} {:>10} {:>10} {:>11} {:>11}",
        "bytes", "rules", "services", "targets", "build", "compare", "decide", "by index"
    );
    for min_bytes in [10_000, 100_000, 300_000, 1_000_000] {
        measure(&list_text(min_bytes));
    }
}

fn measure(text: &str) {
    let parts = [OwnedPart { name: "list".to_owned(), text: text.to_owned() }];
    let list = build_list(1, &parts).unwrap_or_else(|findings| panic!("{findings}"));
    let build = median(|| drop(black_box(build_list(1, &parts))));
    let drained_parts = [OwnedPart { name: "list".to_owned(), text: drain_one(text) }];
    let next = build_list(2, &drained_parts).unwrap_or_else(|findings| panic!("{findings}"));
    let compare = median(|| assert_eq!(black_box(diff_lists(&list, &next)).len(), 1));
    let targets: usize = list.services.values().map(|service| service.targets.len()).sum();
    let list = Arc::new(list);
    let index = RuleIndex::new(list.clone());
    let addresses = service_addresses(&list);
    let scanned = median(|| match_all(&addresses, |flow| list.first_match(flow).is_some()));
    let indexed = median(|| match_all(&addresses, |flow| index.first_match(flow).is_some()));
    println!(
        "{:>9} {:>6} {:>8} {:>9} {:>10.2?} {:>10.2?} {:>8} ns {:>8} ns",
        text.len(),
        list.rules.len(),
        list.services.len(),
        targets,
        build,
        compare,
        scanned.as_nanos() / LOOKUPS as u128,
        indexed.as_nanos() / LOOKUPS as u128,
    );
}

/// Returns the median run time of several rounds.
fn median(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[times.len() / 2]
}

fn service_addresses(list: &RuleList) -> Vec<String> {
    let services = list.services.values();
    services.flat_map(|service| service.addresses.iter().map(ToString::to_string)).collect()
}

fn match_all(addresses: &[String], matches: impl Fn(&FlowTraits<'_>) -> bool) {
    let mut match_count = 0;
    for number in 0..LOOKUPS {
        // The step is a prime number, so that the lookups cover the whole list.
        let address = &addresses[number * 7919 % addresses.len()];
        let traits =
            FlowTraits { address, member: "m0", data_centre: "toledo", kind: TrafficKind::Bid };
        match_count += usize::from(matches(&traits));
    }
    black_box(match_count);
}

/// Creates a list of at least `min_bytes` bytes; each service has two rules and seven targets.
fn list_text(min_bytes: usize) -> String {
    let mut text = String::from(
        "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n[[member]]\nname = \"m0\"\n",
    );
    let mut number = 0;
    while text.len() < min_bytes {
        write_service(&mut text, number).expect("writing to a string succeeds");
        number += 1;
    }
    text
}

/// Returns the same list with its first target draining.
fn drain_one(text: &str) -> String {
    text.replacen("incarnation = 1\n", "incarnation = 1\ndraining = true\n", 1)
}

fn write_service(text: &mut String, number: usize) -> std::fmt::Result {
    writeln!(text, "[[rule]]\nname = \"bids-{number}\"")?;
    writeln!(text, "when = {{ address = [\"s{number}.lakeshore\"], kind = [\"bid\"] }}")?;
    writeln!(text, "then = {{ service = \"service-{number}\", priority = 5 }}")?;
    writeln!(text, "[[rule]]\nname = \"rest-{number}\"")?;
    writeln!(text, "then = {{ service = \"service-{number}\" }}")?;
    writeln!(text, "[[service]]\nname = \"service-{number}\"")?;
    writeln!(text, "addresses = [\"s{number}.lakeshore\"]")?;
    for target in 0..7 {
        let (high, low) = (number / 250, number % 250);
        writeln!(text, "[[service.target]]\nname = \"t{target}\"")?;
        writeln!(text, "address = \"10.{high}.{low}.{}:9001\"", target + 1)?;
        writeln!(text, "incarnation = 1\ndata_centre = \"toledo\"")?;
    }
    Ok(())
}
