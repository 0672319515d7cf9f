//! Reading of log lines of instances that route packets, from files or standard input.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::{Map, Value};

/// One log line.
pub struct LogLine {
    /// The time of the event, in Unix milliseconds.
    pub at_ms: u64,
    /// The text before the JSON object, where a log collector puts the name of the instance, or
    /// the name of the file without its extension.
    pub source: String,
    /// The fields of the JSON object.
    pub fields: Map<String, Value>,
}

/// Reads the log files that the command line names, or standard input when it names none.
///
/// # Errors
///
/// Returns an error when a file can't be opened or read.
pub fn read_logs(matches: &ArgMatches) -> Result<Vec<LogLine>> {
    let files: Vec<&PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(stdin().lock(), "", &mut lines)?;
    }
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let opened_file =
            File::open(file).with_context(|| format!("can't read {}", file.display()))?;
        read_lines(BufReader::new(opened_file), &name, &mut lines)?;
    }
    Ok(lines)
}

/// Reads the lines that hold a JSON object with a time. Other lines were not written by foxledge
/// and are skipped.
fn read_lines(input: impl BufRead, name: &str, lines: &mut Vec<LogLine>) -> Result<()> {
    for line in input.lines() {
        let line = line.context("can't read the log lines")?;
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let Some(at_ms) = fields.get("at_ms").and_then(Value::as_u64) else { continue };
        let prefix = line[..start].trim();
        let source = if prefix.is_empty() { name.to_owned() } else { prefix.to_owned() };
        lines.push(LogLine { at_ms, source, fields });
    }
    Ok(())
}

impl LogLine {
    /// Returns the value of a text field, or `None` when it is missing or has another type.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key).and_then(Value::as_str)
    }

    /// Returns the value of a number field, or 0 when it is missing or has another type.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}
