//! One flow's story from the log lines of all instances.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::{Map, Value};

use crate::{
    Outcome,
    command::{OutputFormat, output_format},
    online::write_out,
};

/// How long before and after a flow's lines its backend server's lines belong to
/// the story, in milliseconds: the longest ejection and some room.
const AROUND_MS: u64 = 10_000;

/// `TraceLine` is one log line.
struct TraceLine {
    at_ms: u64,
    /// What stood before the object: the instance, where the collector adds it.
    source: String,
    fields: Map<String, Value>,
}

/// Carries out `trace`.
pub fn run(matches: &ArgMatches) -> Result<Outcome> {
    let flow = matches.get_one::<String>("flow").context("no flow")?;
    let files: Vec<&PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(stdin().lock(), "", &mut lines)?;
    }
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let open = File::open(file).with_context(|| format!("can't read {}", file.display()))?;
        read_lines(BufReader::new(open), &name, &mut lines)?;
    }
    let story = story_of(flow, lines);
    let format = output_format(matches);
    for line in &story {
        write_out(&line_text(line, format))?;
    }
    if story.is_empty() {
        write_out("no line names the flow: it was sampled out, or never reached an instance\n")?;
        return Ok(Outcome::Declined);
    }
    Ok(Outcome::Done)
}

/// Reads every line that holds an object; others are no lines of foxledge.
fn read_lines(input: impl BufRead, name: &str, lines: &mut Vec<TraceLine>) -> Result<()> {
    for line in input.lines() {
        let line = line.context("the input breaks off")?;
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let Some(at_ms) = fields.get("at_ms").and_then(Value::as_u64) else { continue };
        let before = line[..start].trim();
        let source = if before.is_empty() { name.to_owned() } else { before.to_owned() };
        lines.push(TraceLine { at_ms, source, fields });
    }
    Ok(())
}

/// The flow's own lines, and what instances observed meanwhile of its backend servers.
fn story_of(flow: &str, lines: Vec<TraceLine>) -> Vec<TraceLine> {
    let names_flow = |line: &TraceLine| {
        let text = line.fields.get("flow").and_then(Value::as_str).unwrap_or_default();
        text == flow || text.split('>').next() == Some(flow)
    };
    let own: Vec<&TraceLine> = lines.iter().filter(|line| names_flow(line)).collect();
    let Some(first) = own.iter().map(|line| line.at_ms).min() else { return Vec::new() };
    let last = own.iter().map(|line| line.at_ms).max().unwrap_or(first);
    let backend =
        |line: &TraceLine| line.fields.get("backend").and_then(Value::as_str).map(str::to_owned);
    let backends: BTreeSet<String> = own.iter().filter_map(|line| backend(line)).collect();
    let span = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
    let has = |line: &TraceLine, key: &str, value: &str| {
        line.fields.get(key).and_then(Value::as_str) == Some(value)
    };
    let belongs = |line: &TraceLine| {
        // What peers repeat of an observation tells nothing more.
        let is_about = has(line, "event", "backend_observed")
            && has(line, "observer", "self")
            && backend(line).is_some_and(|name| backends.contains(&name));
        names_flow(line) || (is_about && span.contains(&line.at_ms))
    };
    let mut story: Vec<TraceLine> = lines.into_iter().filter(belongs).collect();
    story.sort_by_key(|line| line.at_ms);
    story
}

fn line_text(line: &TraceLine, format: OutputFormat) -> String {
    if format == OutputFormat::Json {
        return format!("{}\n", Value::Object(line.fields.clone()));
    }
    let event = line.fields.get("event").and_then(Value::as_str).unwrap_or("?");
    let shown = line.fields.iter().filter(|(key, _)| !matches!(key.as_str(), "at_ms" | "event"));
    let shown: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {} {event} {}\n", line.at_ms, line.source, shown.join(" "))
}
