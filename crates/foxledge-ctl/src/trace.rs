//! The `trace` command, which prints the log lines of all instances that concern one flow.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::Value;

use crate::{
    CommandOutcome,
    command::{OutputFormat, output_format},
    log_lines::{LogLine, read_logs},
    online::write_stdout,
};

/// The time, in milliseconds, before the first and after the last line of a flow in which
/// observations of its backend servers are included: the longest ejection plus a margin.
const CONTEXT_WINDOW_MS: u64 = 10_000;

/// The events of starting, stopping and pausing an instance, and of losing and regaining the
/// store. Packets sent to an instance while it is down leave no log line.
const LIFECYCLE_EVENTS: [&str; 7] =
    ["started", "serving", "stop_begun", "stopped", "paused", "store_lost", "store_regained"];

/// The flow and the time that a trace is requested for.
struct TraceQuery<'a> {
    /// The address of the caller, or the whole flow as `CALLER>SERVICE`.
    flow: &'a str,
    /// The time at which the request failed, in Unix milliseconds. With `None`, lines about the
    /// start and stop of instances are left out.
    at_ms: Option<u64>,
}

/// Carries out `trace`.
pub fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let query = TraceQuery {
        flow: matches.get_one::<String>("flow").context("the flow argument is missing")?,
        at_ms: matches.get_one("at").copied(),
    };
    let trace_lines = query.select_lines(read_logs(matches)?);
    let format = output_format(matches);
    for line in &trace_lines {
        write_stdout(&format_line(line, format))?;
    }
    if !trace_lines.iter().any(|line| query.is_flow_line(line)) {
        write_stdout("no line names the flow: it was sampled out, or never reached an instance\n")?;
        return Ok(CommandOutcome::Declined);
    }
    Ok(CommandOutcome::Done)
}

impl TraceQuery<'_> {
    /// Returns the lines of the trace in the order of their time: the lines of the flow, the
    /// shortages and overflows that were active at the logging instances then, the observations
    /// of the flow's backend servers, and the instances that started or stopped around the time
    /// at which the request failed.
    fn select_lines(&self, lines: Vec<LogLine>) -> Vec<LogLine> {
        let flow_lines = || lines.iter().filter(|line| self.is_flow_line(line));
        let backends: BTreeSet<String> =
            flow_lines().filter_map(|line| line.text("backend")).map(str::to_owned).collect();
        let times = flow_lines().map(|line| line.at_ms).chain(self.at_ms);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return Vec::new();
        };
        let span = first.saturating_sub(CONTEXT_WINDOW_MS)..=last + CONTEXT_WINDOW_MS;
        let condition_lines: BTreeSet<usize> =
            flow_lines().flat_map(|line| active_load_conditions(&lines, line)).collect();
        let is_selected = |(index, line): &(usize, LogLine)| {
            let is_backend_observation =
                line.is_observation_of(&backends) && span.contains(&line.at_ms);
            let is_flow_or_condition = self.is_flow_line(line) || condition_lines.contains(index);
            is_flow_or_condition || is_backend_observation || self.is_nearby_lifecycle_line(line)
        };
        let selected = lines.into_iter().enumerate().filter(is_selected);
        let mut trace_lines: Vec<LogLine> = selected.map(|(_, line)| line).collect();
        trace_lines.sort_by_key(|line| line.at_ms);
        trace_lines
    }

    fn is_flow_line(&self, line: &LogLine) -> bool {
        let text = line.text("flow").unwrap_or_default();
        text == self.flow || text.split('>').next() == Some(self.flow)
    }

    fn is_nearby_lifecycle_line(&self, line: &LogLine) -> bool {
        let is_nearby = self.at_ms.is_some_and(|at| line.at_ms.abs_diff(at) <= CONTEXT_WINDOW_MS);
        is_nearby && line.text("event").is_some_and(|event| LIFECYCLE_EVENTS.contains(&event))
    }
}

/// Returns the indexes of the lines that began the shortages and overflows that were active at an
/// instance when it logged `flow_line`.
fn active_load_conditions(lines: &[LogLine], flow_line: &LogLine) -> Vec<usize> {
    let mut latest_changes = BTreeMap::new();
    for (index, line) in lines.iter().enumerate() {
        let Some((condition, change)) = line.load_condition_change() else { continue };
        if line.source == flow_line.source && line.at_ms <= flow_line.at_ms {
            let key = (condition, line.text("service"));
            let latest = latest_changes.entry(key).or_insert((line.at_ms, change, index));
            *latest = (*latest).max((line.at_ms, change, index));
        }
    }
    latest_changes
        .into_values()
        .filter(|(_, change, _)| *change == "begun")
        .map(|(.., index)| index)
        .collect()
}

impl LogLine {
    /// Returns the load condition of a service that the line reports, shortage or overflow, and
    /// whether it began or ended.
    fn load_condition_change(&self) -> Option<(&str, &str)> {
        let change = self.text("event")?.split_once('_')?;
        matches!(change, ("shortage" | "overflow", "begun" | "ended")).then_some(change)
    }

    /// Returns whether the line is an instance's own observation of one of `backends`. Lines about
    /// observations that peers have sent only repeat these.
    fn is_observation_of(&self, backends: &BTreeSet<String>) -> bool {
        self.text("event") == Some("backend_observed")
            && self.text("observer") == Some("self")
            && self.text("backend").is_some_and(|name| backends.contains(name))
    }
}

fn format_line(line: &LogLine, format: OutputFormat) -> String {
    if format == OutputFormat::Json {
        return format!("{}\n", Value::Object(line.fields.clone()));
    }
    let event = line.text("event").unwrap_or("?");
    let shown = line.fields.iter().filter(|(key, _)| !matches!(key.as_str(), "at_ms" | "event"));
    let shown: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {} {event} {}\n", line.at_ms, line.source, shown.join(" "))
}
