//! Audit entries as text.

use serde_json::Value;

use crate::{
    command::OutputFormat,
    report::values::{clock_text, value_text},
};

/// `AuditLines` writes audit entries as they come.
pub struct AuditLines {
    format: OutputFormat,
    last_number: Option<u64>,
}

impl AuditLines {
    /// Makes a writer that has written nothing.
    pub fn new(format: OutputFormat) -> AuditLines {
        AuditLines { format, last_number: None }
    }

    /// The next entries as lines: one each as text, or as JSON.
    pub fn write(&mut self, entries: &[Value]) -> String {
        let mut text = String::new();
        for entry in entries {
            match self.format {
                OutputFormat::Json => text += &format!("{entry}\n"),
                OutputFormat::Text => {
                    text += &self.gap_line(entry);
                    text += &entry_line(entry);
                }
            }
            self.last_number = entry["number"].as_u64();
        }
        text
    }

    /// Says how many entries are missing before this one.
    ///
    /// The trail is bounded: under many changes the oldest entries go before
    /// they were read. A line says so, or one would take the rest for all.
    fn gap_line(&self, entry: &Value) -> String {
        let (Some(last), Some(number)) = (self.last_number, entry["number"].as_u64()) else {
            return String::new();
        };
        match number.saturating_sub(last + 1) {
            0 => String::new(),
            missing => format!("... {missing} dropped unread\n"),
        }
    }
}

fn entry_line(entry: &Value) -> String {
    let mut line = format!(
        "{} at {} s, list {}: {} {}",
        value_text(&entry["number"]),
        clock_text(&entry["at_us"]),
        value_text(&entry["revision"]),
        value_text(&entry["kind"]).replace('_', " "),
        value_text(&entry["subject"]),
    );
    let [old, new, cause, source] =
        ["old", "new", "cause", "source"].map(|key| entry[key].as_str().unwrap_or_default());
    match (old, new) {
        ("", "") => {}
        ("", new) => line += &format!(": {new}"),
        (old, "") => line += &format!(": no longer {old}"),
        (old, new) => line += &format!(": {old} -> {new}"),
    }
    if !cause.is_empty() {
        line += &format!("; because {cause}");
    }
    if !source.is_empty() {
        line += &format!("; said by {source}");
    }
    line + "\n"
}
