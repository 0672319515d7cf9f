//! The commands that call a daemon.

use std::{
    io::{Write, stdout},
    time::Duration,
};

use anyhow::{Context, Result};
use clap::ArgMatches;
use foxledge_wire::control::ExplainRequest;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    CommandOutcome,
    command::{OutputFormat, output_format},
    daemon::DaemonClient,
    report::{audit::AuditLines, explain::explain_text, status::status_text},
};

/// The interval between two requests for new audit entries.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Carries out a command that calls a daemon.
pub fn run(name: &str, matches: &ArgMatches) -> Result<CommandOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_command(name, matches))
}

async fn run_command(name: &str, matches: &ArgMatches) -> Result<CommandOutcome> {
    let format = output_format(matches);
    let mut client = DaemonClient::connect(matches).await?;
    match name {
        "status" => print_report(&client.status().await?, format, status_text),
        "explain" => {
            print_report(&client.explain(explain_request(matches)).await?, format, explain_text)
        }
        "audit" => run_audit(&mut client, matches, format).await,
        _ => run_drain(&mut client, format).await,
    }
}

fn print_report(
    report: &Value,
    format: OutputFormat,
    text: fn(&Value) -> String,
) -> Result<CommandOutcome> {
    match format {
        OutputFormat::Json => write_stdout(&format!("{report:#}\n"))?,
        OutputFormat::Text => write_stdout(&text(report))?,
    }
    Ok(CommandOutcome::Done)
}

fn explain_request(matches: &ArgMatches) -> ExplainRequest {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    ExplainRequest {
        address: text("address"),
        member: text("member"),
        work: text("kind"),
        flow: matches.get_one::<u64>("flow").copied().unwrap_or_default(),
    }
}

async fn run_audit(
    client: &mut DaemonClient,
    matches: &ArgMatches,
    format: OutputFormat,
) -> Result<CommandOutcome> {
    let after = matches.get_one::<u64>("after").copied().unwrap_or_default();
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or(u32::MAX) as usize;
    let entries = fetch_entries(client, after).await?;
    let newest = &entries[entries.len().saturating_sub(limit)..];
    let mut lines = AuditLines::new(format);
    write_stdout(&lines.format_entries(newest))?;
    if !matches.get_flag("follow") {
        return Ok(CommandOutcome::Done);
    }
    let mut last = last_number(&entries).unwrap_or(after);
    loop {
        sleep(FOLLOW_INTERVAL).await;
        let entries = fetch_entries(client, last).await?;
        last = last_number(&entries).unwrap_or(last);
        write_stdout(&lines.format_entries(&entries))?;
    }
}

/// Returns all entries with numbers above `after`. It sends several requests, as a daemon limits
/// the number of entries in one reply.
async fn fetch_entries(client: &mut DaemonClient, after: u64) -> Result<Vec<Value>> {
    let mut entries = Vec::new();
    let mut last = after;
    loop {
        let page = client.audit(last).await?;
        // A reply without a higher number ends the loop, which would otherwise never end.
        match last_number(&page) {
            Some(number) if number > last => last = number,
            _ => return Ok(entries),
        }
        entries.extend(page);
    }
}

fn last_number(entries: &[Value]) -> Option<u64> {
    entries.last()?["number"].as_u64()
}

async fn run_drain(client: &mut DaemonClient, format: OutputFormat) -> Result<CommandOutcome> {
    let accepted = client.drain().await?;
    match (format, accepted) {
        (OutputFormat::Json, _) => {
            write_stdout(&format!("{:#}\n", json!({ "accepted": accepted })))?
        }
        (OutputFormat::Text, true) => write_stdout("The daemon leaves.\n")?,
        (OutputFormat::Text, false) => write_stdout("The daemon declined.\n")?,
    }
    Ok(if accepted { CommandOutcome::Done } else { CommandOutcome::Declined })
}

/// Writes a text to standard output and flushes it.
pub fn write_stdout(text: &str) -> Result<()> {
    let mut output = stdout().lock();
    let written = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    written.context("can't write the report")
}
