//! Structured log lines on standard output.
//!
//! Each line is one JSON object. Lines are collected and written without ever
//! waiting: a reader that is slow costs lines, which are counted, and no packet.

use std::{
    collections::HashMap,
    io::{self, ErrorKind, Write},
};

use foxledge_core::time::ClockTime;
use nix::{
    fcntl::{FcntlArg, OFlag, fcntl},
    unistd,
};
use serde::Serialize;

/// Bytes of lines kept while standard output takes none; more are lost.
const MAX_PENDING_BYTES: usize = 128 * 1024;
/// Most bytes of one write. A pipe takes so many together or not at all: with more,
/// a pipe that several processes share, or that is nearly full, splits lines.
const MAX_WRITE_BYTES: usize = 4 * 1024;
/// Longest time that a line waits to be written together with others, in milliseconds.
const MAX_WRITE_DELAY_MS: u64 = 200;
/// One flow in this many keeps all its lines, on every instance, when there are too many.
const SAMPLED_FLOW_DIVISOR: u64 = 16;

/// `LogField` are the fields with which every line begins.
#[derive(Serialize)]
struct LogLine<'a, T: Serialize> {
    at_ms: u64,
    #[serde(skip_serializing_if = "is_zero")]
    suppressed: u64,
    #[serde(flatten)]
    event: &'a T,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// `LineBudget` bounds the lines of one kind in a second.
#[derive(Clone, Copy, Debug)]
struct LineBudget {
    window_end: ClockTime,
    requested: u64,
    written: u64,
    suppressed: u64,
    /// Set for a second when more lines were asked for in the one before.
    is_sampling: bool,
}

/// `RawStdout` writes to standard output without the buffer of the standard
/// library, which would hide how much was taken.
struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(unistd::write(io::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// `EventLog` is the log of one process.
pub struct EventLog {
    lines_per_s: u64,
    budgets: HashMap<&'static str, LineBudget>,
    pending: Vec<u8>,
    next_write_at: ClockTime,
    suppressed_lines: u64,
    output: Box<dyn Write>,
}

impl EventLog {
    /// A log on standard output, which is set never to wait.
    ///
    /// # Errors
    ///
    /// When the process has no standard output.
    pub fn to_stdout(lines_per_s: u32) -> io::Result<EventLog> {
        let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map(OFlag::from_bits_truncate)?;
        fcntl(io::stdout(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
        Ok(EventLog::with_output(Box::new(RawStdout), lines_per_s))
    }

    /// A log on another output.
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

    /// Lines that weren't written since the start.
    pub fn suppressed_lines(&self) -> u64 {
        self.suppressed_lines
    }

    /// Logs a change of what the process is or believes.
    pub fn log_event<T: Serialize>(&mut self, now: ClockTime, kind: &'static str, event: &T) {
        if let Some(suppressed) = self.admit(now, kind, 0) {
            self.append_line(now, suppressed, event);
        }
    }

    /// Logs a decision on a flow.
    ///
    /// In the second after one with too many, only one flow in sixteen is logged,
    /// chosen by its hash: such a flow has all its lines on every instance. The
    /// event of a line that isn't kept is never made.
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

    /// Writes what waits, if it has waited long enough or is much.
    pub fn flush(&mut self, now: ClockTime) {
        let is_due = self.pending.len() >= MAX_WRITE_BYTES || self.next_write_at.is_past(now);
        if is_due && !self.pending.is_empty() {
            self.write_pending();
        }
    }

    /// Writes what waits.
    pub fn write_pending(&mut self) {
        while !self.pending.is_empty() {
            let size = whole_lines_length(&self.pending);
            match self.output.write(&self.pending[..size]) {
                Ok(0) => return,
                Ok(count) => drop(self.pending.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Nobody reads now: the lines wait, as far as there is room.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // Nobody will ever read them.
                    self.suppressed_lines += count_lines(&self.pending);
                    self.pending.clear();
                }
            }
        }
    }

    /// Counts a line; returns how many of the kind were suppressed since the last,
    /// or none when this one is.
    fn admit(&mut self, now: ClockTime, kind: &'static str, flow_hash: u64) -> Option<u64> {
        let most = self.lines_per_s;
        let budget = self.budgets.entry(kind).or_insert(LineBudget {
            window_end: now.after_millis(1_000),
            requested: 0,
            written: 0,
            suppressed: 0,
            is_sampling: false,
        });
        if budget.window_end.is_past(now) {
            budget.is_sampling = budget.requested > most;
            budget.window_end = now.after_millis(1_000);
            (budget.requested, budget.written) = (0, 0);
        }
        budget.requested += 1;
        let is_left_out = budget.is_sampling && !flow_hash.is_multiple_of(SAMPLED_FLOW_DIVISOR);
        if budget.written >= most || is_left_out {
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

/// The time of day in milliseconds, for people; nothing is decided by it.
fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// Length of the lines that one write takes; a longer line goes by itself.
fn whole_lines_length(bytes: &[u8]) -> usize {
    let is_end = |byte: &u8| *byte == b'\n';
    let room = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    let last = room.iter().rposition(is_end).or_else(|| bytes.iter().position(is_end));
    last.map_or(bytes.len(), |end| end + 1)
}

fn count_lines(bytes: &[u8]) -> u64 {
    bytes.iter().filter(|byte| **byte == b'\n').count() as u64
}
