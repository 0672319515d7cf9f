//! Reports of callers and backend servers, and the verdict drawn from them.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

/// Length of one window of busy slots, in milliseconds of wall-clock time.
pub const BUSY_WINDOW_MS: u64 = 500;

/// `RequestId` names one request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// Its flow.
    pub flow: u64,
    /// Its number in the flow.
    pub request: u64,
}

/// `RunRecord` is how often one backend server started to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request.
    pub id: RequestId,
    /// Runs started, by any dispatch.
    pub runs: u32,
    /// Whether the caller said that it is idempotent.
    pub idempotent: bool,
}

/// `BusyWindows` is the mean number of busy slots in each window of wall-clock time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BusyWindows {
    /// Number of the first window since the Unix epoch.
    pub first: u64,
    /// One mean a window.
    pub busy: Vec<f64>,
}

impl BusyWindows {
    fn at(&self, window: u64) -> Option<f64> {
        let index = window.checked_sub(self.first)?;
        self.busy.get(index as usize).copied()
    }
}

/// `BackendStats` is what a backend server counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendStats {
    /// Name of the server.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its slots.
    pub slots: u32,
    /// Runs started.
    pub total_runs: u64,
    /// Runs that found the record full; above 0 the record is partial.
    pub unrecorded_runs: u64,
    /// Requests that ran more than once.
    pub repeated: Vec<RunRecord>,
    /// Every request that ran; only when asked for.
    pub runs: Vec<RunRecord>,
    /// Most connections at once.
    pub peak_connections: u32,
    /// Open connections now.
    pub connections: u32,
    /// Busy slots now.
    pub busy_slots: u32,
    /// Waiting for a slot now.
    pub queued: u32,
    /// Slot time used, in milliseconds.
    pub busy_ms: u64,
    /// Busy slots over time.
    pub windows: BusyWindows,
    /// Work refused unrun, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Copies of known dispatches.
    pub copies: u64,
    /// Datagrams that named another service or incarnation.
    pub wrong_target: u64,
    /// Datagrams that can't be read.
    pub malformed: u64,
    /// New work that arrived after draining began.
    pub work_after_drain: u64,
    /// How long after draining began new work last arrived, in milliseconds.
    pub last_work_after_drain_ms: u64,
    /// Feeds sent away.
    pub sent_away: u64,
    /// Feeds closed because they fell silent.
    pub idle_feeds: u64,
}

/// `LatencyReport` is the latency of served requests from their arrival, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// `LoadReport` is what one caller process saw. Each piece of work that arrived ends as exactly
/// one of served, given up, unknown or timed out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Member that the callers belong to.
    pub member: String,
    /// Address that was asked for.
    pub address: String,
    /// Kind of traffic.
    pub kind: String,
    /// When the load began, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// How long work arrived, in seconds.
    pub seconds: f64,
    /// Pieces of work that arrived.
    pub offered: u64,
    /// Whole, right answers.
    pub served: u64,
    /// Work that ended refused, with no time left to ask again.
    pub given_up: u64,
    /// Work that ended in "may have run".
    pub unknown: u64,
    /// Work without a final answer before its deadline.
    pub timed_out: u64,
    /// Refusals of any outcome, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Refusals whose outcome was not run.
    pub refused_not_run: u64,
    /// Requests asked again under a new number.
    pub asked_again: u64,
    /// Datagrams sent again after silence.
    pub resends: u64,
    /// Tickets asked for.
    pub tickets_asked: u64,
    /// Tickets granted or renewed.
    pub tickets_got: u64,
    /// Answers whose content belongs to another request, or isn't whole.
    pub crossed: u64,
    /// Answers and feed items of another service.
    pub wrong_service: u64,
    /// Answers to requests that had ended already.
    pub late: u64,
    /// Datagrams of unknown flows.
    pub stray: u64,
    /// Feeds that were opened.
    pub feeds: u64,
    /// Feeds opened again after silence, refusal or a planned stop.
    pub reopened_feeds: u64,
    /// Feeds with a gap in their sequence, or silent for more than 10 s.
    pub broken_feeds: u64,
    /// Items of feeds, in order.
    pub feed_items: u64,
    /// Longest silence of a feed, in milliseconds.
    pub longest_silence_ms: u64,
    /// Latency of served work.
    pub latency: LatencyReport,
    /// Served work per second since the load began.
    pub goodput: Vec<u64>,
    /// Requests refused as not run.
    pub not_run_ids: Vec<RequestId>,
    /// Requests refused as unknown.
    pub unknown_ids: Vec<RequestId>,
    /// Requests given up at their deadline.
    pub timed_out_ids: Vec<RequestId>,
    /// Requests served.
    pub served_ids: Vec<RequestId>,
}

/// `ImbalanceReport` is how unevenly the targets of a service were busy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImbalanceReport {
    /// The service.
    pub service: String,
    /// Its targets.
    pub targets: usize,
    /// Windows that count: whole ones in the time of the load, not all idle.
    pub windows: usize,
    /// Mean over windows of the busiest target's busy slots over the mean target's.
    pub max_over_mean: f64,
    /// Mean over windows of the coefficient of variation of the targets' busy slots.
    pub variation: f64,
}

/// `Verdict` is what reports and counts say together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Non-idempotent requests that ran more than once.
    pub doubled: Vec<RequestId>,
    /// Requests refused as not run that ran.
    pub false_not_run: Vec<RequestId>,
    /// Requests served that never ran.
    pub lost: Vec<RequestId>,
    /// Idempotent requests that ran more than once, which is allowed.
    pub repeated_idempotent: u64,
    /// Broken feeds.
    pub broken: u64,
    /// Answers from the wrong service.
    pub wrong_service: u64,
    /// Answers that belong to another request.
    pub crossed: u64,
    /// Work without a final answer.
    pub timed_out: u64,
    /// Runs that no record holds; above 0 the verdict is partial.
    pub unrecorded_runs: u64,
    /// Imbalance of each service.
    pub imbalance: Vec<ImbalanceReport>,
}

impl Verdict {
    /// True when nothing happened that must never happen.
    pub fn is_clean(&self) -> bool {
        self.doubled.is_empty()
            && self.false_not_run.is_empty()
            && self.lost.is_empty()
            && self.broken + self.wrong_service + self.crossed + self.unrecorded_runs == 0
    }
}

/// Judges the callers' reports by what the backend servers ran. `stats` must list all runs of
/// all backend servers, those that were stopped included.
pub fn judge(reports: &[LoadReport], stats: &[BackendStats]) -> Verdict {
    let runs = summed_runs(stats);
    let ran = |id: &RequestId| runs.contains_key(id);
    let doubled = runs.values().filter(|run| run.runs > 1 && !run.idempotent).map(|run| run.id);
    let repeated = runs.values().filter(|run| run.runs > 1 && run.idempotent).count();
    let refused: HashSet<_> = reports.iter().flat_map(|report| &report.not_run_ids).collect();
    let served: HashSet<_> = reports.iter().flat_map(|report| &report.served_ids).collect();
    let sum = |count: fn(&LoadReport) -> u64| reports.iter().map(count).sum::<u64>();
    Verdict {
        doubled: sorted(doubled),
        false_not_run: sorted(refused.into_iter().filter(|id| ran(id)).copied()),
        lost: sorted(served.into_iter().filter(|id| !ran(id)).copied()),
        repeated_idempotent: repeated as u64,
        broken: sum(|report| report.broken_feeds),
        wrong_service: sum(|report| report.wrong_service),
        crossed: sum(|report| report.crossed),
        timed_out: sum(|report| report.timed_out),
        unrecorded_runs: stats.iter().map(|stat| stat.unrecorded_runs).sum(),
        imbalance: imbalances(reports, stats),
    }
}

fn sorted(ids: impl Iterator<Item = RequestId>) -> Vec<RequestId> {
    let mut ids: Vec<_> = ids.collect();
    ids.sort();
    ids
}

fn summed_runs(stats: &[BackendStats]) -> HashMap<RequestId, RunRecord> {
    let mut runs = HashMap::new();
    for record in stats.iter().flat_map(|stat| &stat.runs) {
        let sum = runs.entry(record.id).or_insert(RunRecord { runs: 0, ..*record });
        sum.runs += record.runs;
        // One server told that the request isn't idempotent is enough to hold it to one run.
        sum.idempotent &= record.idempotent;
    }
    runs
}

fn imbalances(reports: &[LoadReport], stats: &[BackendStats]) -> Vec<ImbalanceReport> {
    let mut services: BTreeMap<&str, Vec<&BackendStats>> = BTreeMap::new();
    for stat in stats {
        services.entry(&stat.service).or_default().push(stat);
    }
    let windows = load_windows(reports);
    let measure = |(service, targets): (&&str, &Vec<&BackendStats>)| {
        imbalance_of(service, targets, windows.clone())
    };
    services.iter().map(measure).collect()
}

/// The whole windows in which every caller process offered load.
fn load_windows(reports: &[LoadReport]) -> std::ops::Range<u64> {
    let start = reports.iter().map(|report| report.started_unix_ms).max().unwrap_or(0);
    let end = |report: &LoadReport| report.started_unix_ms + (report.seconds * 1000.0) as u64;
    let end = reports.iter().map(end).min().unwrap_or(0);
    start.div_ceil(BUSY_WINDOW_MS)..end / BUSY_WINDOW_MS
}

fn imbalance_of(
    service: &str,
    targets: &[&BackendStats],
    windows: std::ops::Range<u64>,
) -> ImbalanceReport {
    let mut report = ImbalanceReport {
        service: service.to_owned(),
        targets: targets.len(),
        ..ImbalanceReport::default()
    };
    for window in windows {
        let busy: Option<Vec<f64>> = targets.iter().map(|stat| stat.windows.at(window)).collect();
        let Some(busy) = busy else { continue };
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        if mean <= 0.0 {
            continue;
        }
        let spread = busy.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        report.variation += (spread / busy.len() as f64).sqrt() / mean;
        report.max_over_mean += busy.iter().copied().fold(0.0, f64::max) / mean;
        report.windows += 1;
    }
    if report.windows > 0 {
        report.variation /= report.windows as f64;
        report.max_over_mean /= report.windows as f64;
    }
    report
}
