//! The `losses` command, which counts the flows that were delayed, ended, refused or lost, from the
//! log lines of all instances.
//!
//! Instances see the packets that callers send, but no responses. A request counts as lost when
//! its caller retransmits it repeatedly and the flow isn't ended. A late response, or a caller that
//! gives up without retransmitting, shows in no log.

use std::collections::{BTreeMap, HashMap};

use anyhow::Result;
use clap::ArgMatches;
use serde::Serialize;

use crate::{
    CommandOutcome,
    command::{OutputFormat, output_format},
    log_lines::{LogLine, read_logs},
    online::write_stdout,
    tables::format_table,
};

/// The number of retransmissions of a request's data from which the request counts as lost. The
/// second is sent after 600 ms, and few requests that need it are answered before their deadline.
const MIN_LOST_RETRANSMISSIONS: u64 = 2;

/// What happened to a flow, in the order of severity; the last is the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum FlowOutcome {
    /// The opening packet was retransmitted.
    OpenedLate,
    /// Data was retransmitted once.
    Waited,
    /// The flow was ended while no request was in progress.
    EndedAtRest,
    /// The flow was ended while a request was in progress that may be repeated.
    EndedWaiting,
    /// A packet of the flow was dropped.
    Dropped,
    /// The flow was refused.
    Refused,
    /// Data was retransmitted repeatedly, and the flow was not ended.
    Lost,
}

impl FlowOutcome {
    fn as_str(self) -> &'static str {
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

/// The worst outcome that the log lines of a flow report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlowIncident {
    outcome: FlowOutcome,
    /// The reason of the decision, or the health class of the backend server.
    cause: String,
    at_ms: u64,
}

/// The number of flows with the same outcome and cause in one second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct LossRow {
    /// The number of seconds since the first line.
    second: u64,
    outcome: FlowOutcome,
    cause: String,
    flows: usize,
}

/// Carries out `losses`.
pub fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let rows = loss_rows(&read_logs(matches)?);
    match output_format(matches) {
        OutputFormat::Json => {
            for row in &rows {
                write_stdout(&format!("{}\n", serde_json::to_string(row)?))?;
            }
        }
        OutputFormat::Text => write_stdout(&loss_text(&rows))?,
    }
    Ok(CommandOutcome::Done)
}

fn loss_rows(lines: &[LogLine]) -> Vec<LossRow> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or_default();
    let mut counts: BTreeMap<(u64, FlowOutcome, String), usize> = BTreeMap::new();
    for incident in worst_incidents(lines).into_values() {
        let second = (incident.at_ms - first) / 1_000;
        *counts.entry((second, incident.outcome, incident.cause)).or_default() += 1;
    }
    let row = |((second, outcome, cause), flows)| LossRow { second, outcome, cause, flows };
    counts.into_iter().map(row).collect()
}

/// Returns the worst incident of each flow. A flow that was ended doesn't count as lost, as its
/// caller receives a reset.
fn worst_incidents(lines: &[LogLine]) -> HashMap<&str, FlowIncident> {
    let mut incidents: HashMap<&str, FlowIncident> = HashMap::new();
    let mut resets: HashMap<&str, FlowIncident> = HashMap::new();
    for line in lines {
        let (Some(flow), Some(incident)) = (line.text("flow"), classify(line)) else { continue };
        let is_reset =
            matches!(incident.outcome, FlowOutcome::EndedAtRest | FlowOutcome::EndedWaiting);
        let group = if is_reset { &mut resets } else { &mut incidents };
        let recorded = group.entry(flow).or_insert_with(|| incident.clone());
        if incident.outcome > recorded.outcome {
            *recorded = incident;
        }
    }
    incidents.extend(resets);
    incidents
}

fn classify(line: &LogLine) -> Option<FlowIncident> {
    let reason = || line.text("reason").unwrap_or("?").to_owned();
    let (outcome, cause) = match line.text("event")? {
        "flow_opened" if line.number("copy") > 0 => {
            (FlowOutcome::OpenedLate, "no answer to the opening before".to_owned())
        }
        "flow_stalled" => {
            let is_lost = line.number("copies") >= MIN_LOST_RETRANSMISSIONS;
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
    Some(FlowIncident { outcome, cause, at_ms: line.at_ms })
}

fn loss_text(rows: &[LossRow]) -> String {
    if rows.is_empty() {
        return "the log lines report no delayed, ended, dropped, refused or lost flow\n"
            .to_owned();
    }
    let header = ["SECOND", "OUTCOME", "CAUSE", "FLOWS"].map(str::to_owned).to_vec();
    let cells = |row: &LossRow| {
        vec![
            row.second.to_string(),
            row.outcome.as_str().to_owned(),
            row.cause.clone(),
            row.flows.to_string(),
        ]
    };
    let mut text = format_table("", header, rows.iter().map(cells).collect());
    text.push_str("\nAnswers go past the instances: what came late, or not at all, shows only\n");
    text.push_str("where callers sent again. Lines that were sampled out are missing.\n");
    text
}
