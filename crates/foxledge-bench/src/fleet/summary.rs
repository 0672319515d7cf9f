//! What a run over real processes showed.

use std::{collections::BTreeMap, fmt::Write};

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::report::{ImbalanceReport, LoadReport, Verdict};
use serde::Serialize;

use super::{choice::FleetChoice, usage::DaemonUsage};

/// `FleetFigure` is one run in figures.
#[derive(Clone, Debug, Serialize)]
pub struct FleetFigure {
    /// Workload, load level and mishap.
    pub workload: String,
    /// Load relative to capacity.
    pub level: f64,
    /// What went wrong halfway.
    pub mishap: String,
    /// Instances in each data centre.
    pub instances: usize,
    /// How long callers sent.
    pub seconds: u64,
    /// Pieces of work by kind.
    pub kinds: BTreeMap<String, KindFigure>,
    /// Bids by member.
    pub members: BTreeMap<String, KindFigure>,
    /// Broken feeds.
    pub broken: u64,
    /// Feeds opened again by their callers.
    pub reopened: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// Requests called "not run" that ran.
    pub false_not_run: usize,
    /// Requests answered that never ran.
    pub lost: usize,
    /// Answers of another request or service.
    pub crossed: u64,
    /// Busy slots by service.
    pub imbalance: Vec<ImbalanceReport>,
    /// Spent by idle daemons, that is by control.
    pub idle: DaemonUsage,
    /// Spent under load.
    pub busy: DaemonUsage,
}

/// `KindFigure` is what became of some work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindFigure {
    /// Arrived.
    pub offered: u64,
    /// Answered whole and right.
    pub served: u64,
    /// Refused as not run, no time left.
    pub given_up: u64,
    /// May have run.
    pub unknown: u64,
    /// No final answer before the deadline.
    pub timed_out: u64,
    /// Latencies in milliseconds, the worst caller process's.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Sums a run up.
pub fn summarize(
    choice: &FleetChoice,
    reports: &[(TrafficKind, LoadReport)],
    verdict: &Verdict,
    idle: DaemonUsage,
    busy: DaemonUsage,
) -> FleetFigure {
    let mut kinds: BTreeMap<String, KindFigure> = BTreeMap::new();
    let mut members: BTreeMap<String, KindFigure> = BTreeMap::new();
    for (kind, report) in reports {
        kinds.entry(kind.to_string()).or_default().add(report);
        if *kind == TrafficKind::Bid {
            members.entry(report.member.clone()).or_default().add(report);
        }
    }
    FleetFigure {
        workload: choice.load.name.to_owned(),
        level: choice.level,
        mishap: choice.mishap.name().to_owned(),
        instances: choice.instances,
        seconds: choice.seconds,
        kinds,
        members,
        broken: verdict.broken,
        reopened: reports.iter().map(|(_, report)| report.reopened_feeds).sum(),
        doubled: verdict.doubled.len(),
        false_not_run: verdict.false_not_run.len(),
        lost: verdict.lost.len(),
        crossed: verdict.crossed + verdict.wrong_service,
        imbalance: verdict.imbalance.clone(),
        idle,
        busy,
    }
}

impl KindFigure {
    fn add(&mut self, report: &LoadReport) {
        self.offered += report.offered + report.feeds;
        self.served += report.served;
        self.given_up += report.given_up;
        self.unknown += report.unknown;
        self.timed_out += report.timed_out;
        self.p50_ms = self.p50_ms.max(report.latency.p50_ms);
        self.p99_ms = self.p99_ms.max(report.latency.p99_ms);
        self.p999_ms = self.p999_ms.max(report.latency.p999_ms);
    }
}

/// The run as a table for people.
pub fn fleet_table(figure: &FleetFigure) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} at {} times capacity, {}, {} instances a data centre, {} s",
        figure.workload, figure.level, figure.mishap, figure.instances, figure.seconds
    );
    let _ = writeln!(
        text,
        "{:<16}{:>9}{:>9}{:>10}{:>9}{:>10}{:>9}{:>9}{:>10}",
        "", "offered", "served", "given up", "unknown", "timed out", "p50 ms", "p99 ms", "p99.9 ms"
    );
    for (name, kind) in figure.kinds.iter().chain(&figure.members) {
        let _ = writeln!(
            text,
            "{:<16}{:>9}{:>9}{:>10}{:>9}{:>10}{:>9.1}{:>9.1}{:>10.1}",
            name,
            kind.offered,
            kind.served,
            kind.given_up,
            kind.unknown,
            kind.timed_out,
            kind.p50_ms,
            kind.p99_ms,
            kind.p999_ms
        );
    }
    let _ = writeln!(
        text,
        "broken {}, reopened {}, doubled {}, false not run {}, lost {}, crossed {}",
        figure.broken,
        figure.reopened,
        figure.doubled,
        figure.false_not_run,
        figure.lost,
        figure.crossed
    );
    for imbalance in &figure.imbalance {
        let _ = writeln!(
            text,
            "imbalance of {}: variation {:.3}, max/mean {:.2}, {} windows",
            imbalance.service, imbalance.variation, imbalance.max_over_mean, imbalance.windows
        );
    }
    for (name, usage) in [("idle", &figure.idle), ("busy", &figure.busy)] {
        let _ = writeln!(
            text,
            "{name}: {} daemons, processor {:.2}% (max {:.2}%), control {:.0} B/s (max {:.0}), \
             platform {:.1} reads/s in all, {:.0} packets/s in all, {:.1} us/packet, \
             {:.0} us/request, resident {:.1} MB",
            usage.daemons,
            usage.cpu_percent,
            usage.cpu_percent_max,
            usage.control_bytes_per_second,
            usage.control_bytes_per_second_max,
            usage.platform_reads_per_second,
            usage.packets_per_second,
            usage.cpu_micros_per_packet,
            usage.cpu_micros_per_request,
            usage.resident_bytes_max / 1e6
        );
    }
    text
}
