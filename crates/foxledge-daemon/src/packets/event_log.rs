//! Structured log lines on standard output.
//!
//! Each line is one JSON object. Lines are buffered and written without blocking: a
//! slow reader causes lost lines, which are counted, but no delayed packets.

use std::{
    collections::HashMap,
    io::{self, ErrorKind, Write},
};

use foxledge_core::{
    findings::{Finding, FindingList},
    time::ClockTime,
};
use nix::{
    fcntl::{FcntlArg, OFlag, fcntl},
    unistd,
};
use serde::Serialize;

/// Maximum size of the buffer, in bytes; further lines are lost while the output blocks.
const MAX_PENDING_BYTES: usize = 128 * 1024;
/// Maximum size of one write, in bytes. A pipe accepts that much atomically; larger writes
/// would split lines in a pipe that several processes share or that is nearly full.
const MAX_WRITE_BYTES: usize = 4 * 1024;
/// Maximum time for which a line is buffered to be written with others, in milliseconds.
const MAX_WRITE_DELAY_MS: u64 = 200;
/// While sampling, one flow in this many has all its lines logged, on every instance.
const SAMPLED_FLOW_DIVISOR: u64 = 16;

/// A line: the fields that all lines begin with, followed by those of the event.
#[derive(Serialize)]
struct LogLine<'a, T: Serialize> {
    at_ms: u64,
    #[serde(skip_serializing_if = "is_zero")]
    suppressed: u64,
    #[serde(flatten)]
    event: &'a T,
}

/// The log line of a setting that was replaced by a usable one.
#[derive(Serialize)]
struct WarningLine<'a> {
    event: &'static str,
    #[serde(flatten)]
    finding: &'a Finding,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// The rate limit of one kind of lines, counted in windows of a second.
#[derive(Clone, Copy, Debug)]
struct LineBudget {
    window_end: ClockTime,
    requested: u64,
    written: u64,
    suppressed: u64,
    /// True for a window when more lines than allowed were requested in the previous one.
    is_sampling: bool,
}

/// Unbuffered standard output. The buffer of the standard library would hide how many bytes
/// were written.
struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(unistd::write(io::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The event log of a process, with a rate limit for each kind of event.
pub struct EventLog {
    lines_per_s: u64,
    budgets: HashMap<&'static str, LineBudget>,
    pending: Vec<u8>,
    next_write_at: ClockTime,
    suppressed_lines: u64,
    output: Box<dyn Write>,
}

impl EventLog {
    /// Creates a log on standard output, which it sets to non-blocking mode.
    ///
    /// # Errors
    ///
    /// Fails when the process has no standard output.
    pub fn to_stdout(lines_per_s: u32) -> io::Result<EventLog> {
        let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map(OFlag::from_bits_truncate)?;
        fcntl(io::stdout(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
        Ok(EventLog::with_output(Box::new(RawStdout), lines_per_s))
    }

    /// Creates a log that writes to `output`.
    pub fn with_output(output: Box<dyn Write>, lines_per_s: u32) -> EventLog {
        EventLog {
            lines_per_s: u64::from(lines_per_s),
            budgets: HashMap::new(),
            pending: Vec::new(),
            next_write_at: ClockTime::ZERO,
            suppressed_lines: 0,
            output,
        }
    }

    /// Returns the number of lines that were suppressed or lost since the start.
    pub fn suppressed_lines(&self) -> u64 {
        self.suppressed_lines
    }

    /// Logs an event that isn't a decision on a flow.
    pub fn log_event<T: Serialize>(&mut self, now: ClockTime, kind: &'static str, event: &T) {
        if let Some(suppressed) = self.admit(now, kind, 0) {
            self.append_line(now, suppressed, event);
        }
    }

    /// Logs the settings that were replaced by usable ones.
    pub fn log_warnings(&mut self, now: ClockTime, warnings: &FindingList) {
        for finding in warnings.iter() {
            let event = "setting_replaced";
            self.log_event(now, event, &WarningLine { event, finding });
        }
    }

    /// Logs a decision on a flow.
    ///
    /// In the second after one with too many lines, only one flow in sixteen is logged,
    /// selected by its hash, so that such a flow has all its lines on every instance.
    /// `make` isn't called for a suppressed line.
    pub fn log_decision<T: Serialize>(
        &mut self,
        now: ClockTime,
        kind: &'static str,
        flow_hash: u64,
        make: impl FnOnce() -> T,
    ) {
        if let Some(suppressed) = self.admit(now, kind, flow_hash) {
            self.append_line(now, suppressed, &make());
        }
    }

    /// Writes the buffer when it is old or large enough.
    pub fn flush(&mut self, now: ClockTime) {
        let is_write_due = self.pending.len() >= MAX_WRITE_BYTES || self.next_write_at.is_past(now);
        if is_write_due && !self.pending.is_empty() {
            self.write_pending();
        }
    }

    /// Writes the buffer, as far as the output accepts it.
    pub fn write_pending(&mut self) {
        while !self.pending.is_empty() {
            let size = whole_lines_length(&self.pending);
            match self.output.write(&self.pending[..size]) {
                Ok(0) => return,
                Ok(count) => drop(self.pending.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The reader is slow: the lines stay in the buffer.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // The output is closed for good.
                    self.suppressed_lines += count_lines(&self.pending);
                    self.pending.clear();
                }
            }
        }
    }

    /// Applies the rate limit to a line. Returns the number of lines of its kind that were
    /// suppressed since the last one logged, or none when this line is suppressed.
    fn admit(&mut self, now: ClockTime, kind: &'static str, flow_hash: u64) -> Option<u64> {
        let max_lines = self.lines_per_s;
        let budget = self.budgets.entry(kind).or_insert(LineBudget {
            window_end: now.after_millis(1_000),
            requested: 0,
            written: 0,
            suppressed: 0,
            is_sampling: false,
        });
        if budget.window_end.is_past(now) {
            budget.is_sampling = budget.requested > max_lines;
            budget.window_end = now.after_millis(1_000);
            (budget.requested, budget.written) = (0, 0);
        }
        budget.requested += 1;
        let is_sampled_out = budget.is_sampling && !flow_hash.is_multiple_of(SAMPLED_FLOW_DIVISOR);
        if budget.written >= max_lines || is_sampled_out {
            budget.suppressed += 1;
            self.suppressed_lines += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.suppressed))
    }

    fn append_line<T: Serialize>(&mut self, now: ClockTime, suppressed: u64, event: &T) {
        if self.pending.len() >= MAX_PENDING_BYTES {
            self.suppressed_lines += 1;
            return;
        }
        if self.pending.is_empty() {
            self.next_write_at = now.after_millis(MAX_WRITE_DELAY_MS);
        }
        let line = LogLine { at_ms: wall_clock_ms(), suppressed, event };
        let size = self.pending.len();
        match serde_json::to_writer(&mut self.pending, &line) {
            Ok(()) => self.pending.push(b'\n'),
            Err(_) => {
                self.pending.truncate(size);
                self.suppressed_lines += 1;
            }
        }
    }
}

/// Returns the wall-clock time in milliseconds; it is for readers of the log only.
fn wall_clock_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_millis() as u64)
}

/// Returns the length of the whole lines that fit into one write; a longer line is written
/// by itself.
fn whole_lines_length(bytes: &[u8]) -> usize {
    let is_end = |byte: &u8| *byte == b'\n';
    let window = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    let last_end = window.iter().rposition(is_end).or_else(|| bytes.iter().position(is_end));
    last_end.map_or(bytes.len(), |end| end + 1)
}

fn count_lines(bytes: &[u8]) -> u64 {
    bytes.iter().filter(|byte| **byte == b'\n').count() as u64
}
