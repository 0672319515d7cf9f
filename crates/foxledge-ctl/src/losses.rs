//! What callers lost, summed up from log lines of all instances.
//!
//! Instances see what callers send and no answer. Lost here is what callers sent again to
//! the end; that an answer came late, or that a caller gave up without sending again, shows
//! in no log.

use std::collections::{BTreeMap, HashMap};

use anyhow::Result;
use clap::ArgMatches;
use serde::Serialize;

use crate::{
    Outcome,
    command::{OutputFormat, output_format},
    log_lines::{LogLine, read_logs},
    online::write_out,
    tables::write_table,
};

/// Copies of a request's data from which it counts as lost: the second goes out after 600 ms,
/// and of those that need it few are answered before their deadline.
const LOST_COPIES: u64 = 2;

/// `FlowOutcome` orders what became of a flow, the worst last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum FlowOutcome {
    /// Its opening packet was sent again.
    OpenedLate,
    /// Data was sent again once.
    Waited,
    /// It was ended while nothing was under way.
    EndedAtRest,
    /// It was ended while a request was under way that may be repeated.
    EndedWaiting,
    /// A packet of it was dropped.
    Dropped,
    /// It was refused.
    Refused,
    /// Data was sent again and again, and the flow was not ended.
    Lost,
}

impl FlowOutcome {
    fn word(self) -> &'static str {
        match self {
            FlowOutcome::OpenedLate => "opened late",
            FlowOutcome::Waited => "waited",
            FlowOutcome::EndedAtRest => "ended at rest",
            FlowOutcome::EndedWaiting => "ended waiting",
            FlowOutcome::Dropped => "dropped",
            FlowOutcome::Refused => "refused",
            FlowOutcome::Lost => "lost",
        }
    }
}

/// `FlowTrouble` is the worst that a flow's lines tell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlowTrouble {
    outcome: FlowOutcome,
    /// What was decided, or what was believed of the backend server.
    cause: String,
    at_ms: u64,
}

/// `LossRow` is the flows with one outcome and cause in one second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct LossRow {
    /// Seconds since the first line.
    second: u64,
    outcome: FlowOutcome,
    cause: String,
    flows: usize,
}

/// Carries out `losses`.
pub fn run(matches: &ArgMatches) -> Result<Outcome> {
    let rows = loss_rows(&read_logs(matches)?);
    match output_format(matches) {
        OutputFormat::Json => {
            for row in &rows {
                write_out(&format!("{}\n", serde_json::to_string(row)?))?;
            }
        }
        OutputFormat::Text => write_out(&loss_text(&rows))?,
    }
    Ok(Outcome::Done)
}

fn loss_rows(lines: &[LogLine]) -> Vec<LossRow> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or_default();
    let mut counts: BTreeMap<(u64, FlowOutcome, String), usize> = BTreeMap::new();
    for trouble in worst_troubles(lines).into_values() {
        let second = (trouble.at_ms - first) / 1_000;
        *counts.entry((second, trouble.outcome, trouble.cause)).or_default() += 1;
    }
    let row = |((second, outcome, cause), flows)| LossRow { second, outcome, cause, flows };
    counts.into_iter().map(row).collect()
}

/// The worst of each flow. A flow that was ended isn't lost: its caller was told.
fn worst_troubles(lines: &[LogLine]) -> HashMap<&str, FlowTrouble> {
    let mut worst: HashMap<&str, FlowTrouble> = HashMap::new();
    let mut ended: HashMap<&str, FlowTrouble> = HashMap::new();
    for line in lines {
        let (Some(flow), Some(trouble)) = (line.text("flow"), trouble_of(line)) else { continue };
        let is_end =
            matches!(trouble.outcome, FlowOutcome::EndedAtRest | FlowOutcome::EndedWaiting);
        let table = if is_end { &mut ended } else { &mut worst };
        let known = table.entry(flow).or_insert_with(|| trouble.clone());
        if trouble.outcome > known.outcome {
            *known = trouble;
        }
    }
    worst.extend(ended);
    worst
}

fn trouble_of(line: &LogLine) -> Option<FlowTrouble> {
    let reason = || line.text("reason").unwrap_or("?").to_owned();
    let (outcome, cause) = match line.text("event")? {
        "flow_opened" if line.number("copy") > 0 => {
            (FlowOutcome::OpenedLate, "no answer to the opening before".to_owned())
        }
        "flow_stalled" => {
            let is_lost = line.number("copies") >= LOST_COPIES;
            let outcome = if is_lost { FlowOutcome::Lost } else { FlowOutcome::Waited };
            (outcome, format!("backend server {}", line.text("class").unwrap_or("?")))
        }
        "flow_ended" if line.text("reason") == Some("idle_at_dead") => {
            (FlowOutcome::EndedAtRest, reason())
        }
        "flow_ended" => (FlowOutcome::EndedWaiting, reason()),
        "flow_refused" => (FlowOutcome::Refused, reason()),
        "packet_dropped" => (FlowOutcome::Dropped, reason()),
        _ => return None,
    };
    Some(FlowTrouble { outcome, cause, at_ms: line.at_ms })
}

fn loss_text(rows: &[LossRow]) -> String {
    if rows.is_empty() {
        return "no flow was in trouble, as far as these lines tell\n".to_owned();
    }
    let head = ["SECOND", "OUTCOME", "CAUSE", "FLOWS"].map(str::to_owned).to_vec();
    let cells = |row: &LossRow| {
        vec![
            row.second.to_string(),
            row.outcome.word().to_owned(),
            row.cause.clone(),
            row.flows.to_string(),
        ]
    };
    let mut text = write_table("", head, rows.iter().map(cells).collect());
    text.push_str("\nAnswers go past the instances: what came late, or not at all, shows only\n");
    text.push_str("where callers sent again. Lines that were sampled out are missing.\n");
    text
}
