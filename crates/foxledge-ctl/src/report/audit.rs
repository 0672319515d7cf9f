//! Formatting of audit entries as text.

use serde_json::Value;

use crate::{
    command::OutputFormat,
    report::values::{seconds_text, value_text},
};

/// A formatter of audit entries that arrive in several replies.
pub struct AuditLines {
    format: OutputFormat,
    last_number: Option<u64>,
}

impl AuditLines {
    /// Creates a formatter that has not formatted an entry yet.
    pub fn new(format: OutputFormat) -> AuditLines {
        AuditLines { format, last_number: None }
    }

    /// Returns the next entries, each on a line of its own, as text or as JSON.
    pub fn format_entries(&mut self, entries: &[Value]) -> String {
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

    /// Returns a line with the number of entries missing before this one, or an empty text when
    /// there are none.
    ///
    /// The audit trail is bounded: under many changes the oldest entries are dropped before they
    /// are read. Without this line, a reader would take the rest for the whole trail.
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
        seconds_text(&entry["at_us"]),
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
