//! The commands that ask a daemon.

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
    Outcome,
    command::{OutputFormat, output_format},
    daemon::DaemonClient,
    report::{audit::AuditLines, explain::explain_text, status::status_text},
};

/// Time between two looks for new audit entries.
const FOLLOW_EVERY: Duration = Duration::from_millis(500);

/// Carries out a command that asks a daemon.
pub fn run(name: &str, matches: &ArgMatches) -> Result<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_command(name, matches))
}

async fn run_command(name: &str, matches: &ArgMatches) -> Result<Outcome> {
    let format = output_format(matches);
    let mut client = DaemonClient::connect(matches).await?;
    match name {
        "status" => show(&client.status().await?, format, status_text),
        "explain" => show(&client.explain(question(matches)).await?, format, explain_text),
        "audit" => audit(&mut client, matches, format).await,
        _ => drain(&mut client, format).await,
    }
}

fn show(report: &Value, format: OutputFormat, text: fn(&Value) -> String) -> Result<Outcome> {
    match format {
        OutputFormat::Json => write_out(&format!("{report:#}\n"))?,
        OutputFormat::Text => write_out(&text(report))?,
    }
    Ok(Outcome::Done)
}

fn question(matches: &ArgMatches) -> ExplainRequest {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    ExplainRequest {
        address: text("address"),
        member: text("member"),
        work: text("kind"),
        flow: matches.get_one::<u64>("flow").copied().unwrap_or_default(),
    }
}

async fn audit(
    client: &mut DaemonClient,
    matches: &ArgMatches,
    format: OutputFormat,
) -> Result<Outcome> {
    let after = matches.get_one::<u64>("after").copied().unwrap_or_default();
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or(u32::MAX) as usize;
    let entries = read_entries(client, after).await?;
    let newest = &entries[entries.len().saturating_sub(limit)..];
    let mut lines = AuditLines::new(format);
    write_out(&lines.write(newest))?;
    if !matches.get_flag("follow") {
        return Ok(Outcome::Done);
    }
    let mut last = last_number(&entries).unwrap_or(after);
    loop {
        sleep(FOLLOW_EVERY).await;
        let entries = read_entries(client, last).await?;
        last = last_number(&entries).unwrap_or(last);
        write_out(&lines.write(&entries))?;
    }
}

/// All entries above `after`: a daemon gives a bounded number at once.
async fn read_entries(client: &mut DaemonClient, after: u64) -> Result<Vec<Value>> {
    let mut entries = Vec::new();
    let mut last = after;
    loop {
        let more = client.audit(last).await?;
        // An answer without a higher number would be asked for for ever.
        match last_number(&more) {
            Some(number) if number > last => last = number,
            _ => return Ok(entries),
        }
        entries.extend(more);
    }
}

fn last_number(entries: &[Value]) -> Option<u64> {
    entries.last()?["number"].as_u64()
}

async fn drain(client: &mut DaemonClient, format: OutputFormat) -> Result<Outcome> {
    let accepted = client.drain().await?;
    match (format, accepted) {
        (OutputFormat::Json, _) => write_out(&format!("{:#}\n", json!({ "accepted": accepted })))?,
        (OutputFormat::Text, true) => write_out("The daemon leaves.\n")?,
        (OutputFormat::Text, false) => write_out("The daemon declined.\n")?,
    }
    Ok(if accepted { Outcome::Done } else { Outcome::Declined })
}

/// Writes a report to standard output.
pub fn write_out(text: &str) -> Result<()> {
    let mut output = stdout().lock();
    let written = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    written.context("can't write the report")
}
