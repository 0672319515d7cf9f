//! Log lines of instances that route packets, read from files or from standard input.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::{Map, Value};

/// `LogLine` is one log line.
pub struct LogLine {
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// What stood before the object: the instance, where the collector adds it.
    pub source: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

/// Reads the log files that the command line names, or standard input without any.
///
/// # Errors
///
/// When a file can't be read.
pub fn read_logs(matches: &ArgMatches) -> Result<Vec<LogLine>> {
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
    Ok(lines)
}

/// Reads every line that holds an object; others are no lines of foxledge.
fn read_lines(input: impl BufRead, name: &str, lines: &mut Vec<LogLine>) -> Result<()> {
    for line in input.lines() {
        let line = line.context("the input breaks off")?;
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let Some(at_ms) = fields.get("at_ms").and_then(Value::as_u64) else { continue };
        let before = line[..start].trim();
        let source = if before.is_empty() { name.to_owned() } else { before.to_owned() };
        lines.push(LogLine { at_ms, source, fields });
    }
    Ok(())
}

impl LogLine {
    /// A field that holds a text.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key).and_then(Value::as_str)
    }

    /// A field that holds a number; 0 when it isn't there.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}
