//! The demo: a whole fleet of real processes on loopback under load for some seconds.

use std::time::Duration;

use anyhow::{Context, ensure};
use clap::{Arg, ArgMatches, Command, value_parser};
use foxledge_core::traffic::TrafficKind;

use crate::{
    arguments::number_arg,
    harness::{CallerPlan, FleetPlan, TestCaller, TestFleet},
    report::{LoadReport, Verdict},
};

/// Bids a second of one member in one data centre.
const BID_RATE: f64 = 60.0;
/// Uploads a second of one member in one data centre.
const UPLOAD_RATE: f64 = 2.0;
/// Feeds of one member in one data centre.
const FEEDS: u32 = 20;
/// How long after the load a caller may take to end.
const END_LIMIT: Duration = Duration::from_secs(60);

/// The command line of `foxledge-fake demo`.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs two data centres of real processes under load and reports on them")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("S")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..))
                .help("How long callers send"),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=9))
                .help("Instances in each data centre"),
        )
        .arg(number_arg("seed", "1", "Seed of callers, fabrics and backend servers"))
}

/// Runs `foxledge-fake demo`; an error when something broke that must never break.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let seconds: u64 = *matches.get_one("seconds").context("seconds")?;
    let instances: u64 = *matches.get_one("instances").context("instances")?;
    let seed: u64 = *matches.get_one("seed").context("seed")?;
    println!("starting two data centres of {instances} instances");
    let mut fleet = TestFleet::start(FleetPlan::lakeshore(instances as usize).seed(seed))?;
    println!("logs are in {}", fleet.directory().display());
    println!("callers send for {seconds} s");
    let callers = start_callers(&fleet, seconds as f64, seed)?;
    let limit = Duration::from_secs(seconds) + END_LIMIT;
    let reports = callers
        .into_iter()
        .map(|(kind, caller)| Ok((kind, caller.finish(limit)?)))
        .collect::<anyhow::Result<Vec<_>>>()?;
    print_loads(&reports);
    let reports: Vec<LoadReport> = reports.into_iter().map(|(_, report)| report).collect();
    let verdict = fleet.judge(&reports)?;
    print_verdict(&verdict);
    ensure!(verdict.is_clean(), "something broke that must never break");
    ensure!(reports.iter().any(|report| report.served > 0), "nothing was served");
    Ok(())
}

fn start_callers(
    fleet: &TestFleet,
    seconds: f64,
    seed: u64,
) -> anyhow::Result<Vec<(TrafficKind, TestCaller)>> {
    let mut callers = Vec::new();
    for fabric in &fleet.fabrics {
        for member in &fleet.list.members {
            for kind in TrafficKind::ALL {
                let number = callers.len() as u64;
                let plan = plan_load(fleet, &member.name, kind)?
                    .name(&format!("caller-{}-{}-{kind}", fabric.data_centre, member.name))
                    .seconds(seconds)
                    .seed(seed * 1000 + number);
                callers.push((kind, fleet.start_caller(&fabric.data_centre, &plan)?));
            }
        }
    }
    Ok(callers)
}

fn plan_load(fleet: &TestFleet, member: &str, kind: TrafficKind) -> anyhow::Result<CallerPlan> {
    let (service, rate) = match kind {
        TrafficKind::Feed => ("auction-desk", 0.0),
        TrafficKind::Bid => ("auction-desk", BID_RATE),
        TrafficKind::Upload => ("lot-intake", UPLOAD_RATE),
    };
    let plan = fleet.plan_caller(service, member, kind)?.rate(rate);
    Ok(match kind {
        TrafficKind::Feed => plan.feeds(FEEDS),
        TrafficKind::Bid | TrafficKind::Upload => plan,
    })
}

fn print_loads(reports: &[(TrafficKind, LoadReport)]) {
    println!();
    println!(
        "{:<8}{:>9}{:>9}{:>10}{:>9}{:>10}{:>9}{:>9}{:>9}",
        "kind",
        "offered",
        "served",
        "given up",
        "unknown",
        "timed out",
        "p50 ms",
        "p99 ms",
        "max ms"
    );
    for kind in TrafficKind::ALL {
        let own = reports.iter().filter(|(of, _)| *of == kind).map(|(_, report)| report);
        let own: Vec<&LoadReport> = own.collect();
        let sum =
            |count: fn(&LoadReport) -> u64| own.iter().map(|report| count(report)).sum::<u64>();
        let worst = |value: fn(&LoadReport) -> f64| {
            own.iter().map(|report| value(report)).fold(0.0, f64::max)
        };
        println!(
            "{:<8}{:>9}{:>9}{:>10}{:>9}{:>10}{:>9.1}{:>9.1}{:>9.1}",
            kind.as_str(),
            sum(|report| report.offered + report.feeds),
            sum(|report| report.served),
            sum(|report| report.given_up),
            sum(|report| report.unknown),
            sum(|report| report.timed_out),
            worst(|report| report.latency.p50_ms),
            worst(|report| report.latency.p99_ms),
            worst(|report| report.latency.max_ms),
        );
    }
    let feed_items: u64 = reports.iter().map(|(_, report)| report.feed_items).sum();
    let reopened: u64 = reports.iter().map(|(_, report)| report.reopened_feeds).sum();
    println!(
        "feed items {feed_items}, feeds reopened {reopened}; latencies are the worst caller's"
    );
    for (reason, count) in refusals(reports) {
        println!("refused {reason}: {count}");
    }
}

fn refusals(reports: &[(TrafficKind, LoadReport)]) -> std::collections::BTreeMap<&str, u64> {
    let mut sums = std::collections::BTreeMap::new();
    for (reason, count) in reports.iter().flat_map(|(_, report)| &report.refused) {
        *sums.entry(reason.as_str()).or_default() += count;
    }
    sums
}

fn print_verdict(verdict: &Verdict) {
    println!();
    println!(
        "broken feeds {}, doubled {}, false \"not run\" {}, lost {}, crossed {}, wrong service {}",
        verdict.broken,
        verdict.doubled.len(),
        verdict.false_not_run.len(),
        verdict.lost.len(),
        verdict.crossed,
        verdict.wrong_service,
    );
    for service in &verdict.imbalance {
        println!(
            "imbalance of {}: {} targets, coefficient of variation {:.3}, max/mean {:.2}, {} windows",
            service.service,
            service.targets,
            service.variation,
            service.max_over_mean,
            service.windows
        );
    }
}
