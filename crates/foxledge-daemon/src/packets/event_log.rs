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
const MOST_WAITING: usize = 128 * 1024;
/// Most bytes of one write. A pipe takes so many together or not at all: with more,
/// a pipe that several processes share, or that is nearly full, splits lines.
const WRITE_AT: usize = 4 * 1024;
/// Longest time that a line waits to be written together with others, in milliseconds.
const WAIT_MS: u64 = 200;
/// One flow in this many keeps all its lines, on every instance, when there are too many.
const SAMPLE: u64 = 16;

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
    asked: u64,
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
    waiting: Vec<u8>,
    write_at: ClockTime,
    suppressed: u64,
    output: Box<dyn Write>,
}

impl EventLog {
    /// A log on standard output, which is set never to wait.
    ///
    /// # Errors
    ///
    /// When the process has no standard output.
    pub fn on_stdout(lines_per_s: u32) -> io::Result<EventLog> {
        let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map(OFlag::from_bits_truncate)?;
        fcntl(io::stdout(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
        Ok(EventLog::on(Box::new(RawStdout), lines_per_s))
    }

    /// A log on another output.
    pub fn on(output: Box<dyn Write>, lines_per_s: u32) -> EventLog {
        EventLog {
            lines_per_s: u64::from(lines_per_s),
            budgets: HashMap::new(),
            waiting: Vec::new(),
            write_at: ClockTime::ZERO,
            suppressed: 0,
            output,
        }
    }

    /// Lines that weren't written since the start.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Logs a change of what the process is or believes.
    pub fn note<T: Serialize>(&mut self, now: ClockTime, kind: &'static str, event: &T) {
        if let Some(suppressed) = self.admit(now, kind, 0) {
            self.add(now, suppressed, event);
        }
    }

    /// Logs a decision on a flow.
    ///
    /// In the second after one with too many, only one flow in sixteen is logged,
    /// chosen by its hash: such a flow has all its lines on every instance. The
    /// event of a line that isn't kept is never made.
    pub fn decision<T: Serialize>(
        &mut self,
        now: ClockTime,
        kind: &'static str,
        flow_hash: u64,
        make: impl FnOnce() -> T,
    ) {
        if let Some(suppressed) = self.admit(now, kind, flow_hash) {
            self.add(now, suppressed, &make());
        }
    }

    /// Writes what waits, if it has waited long enough or is much.
    pub fn flush(&mut self, now: ClockTime) {
        let is_due = self.waiting.len() >= WRITE_AT || self.write_at.is_past(now);
        if is_due && !self.waiting.is_empty() {
            self.write();
        }
    }

    /// Writes what waits.
    pub fn write(&mut self) {
        while !self.waiting.is_empty() {
            let size = whole_lines(&self.waiting);
            match self.output.write(&self.waiting[..size]) {
                Ok(0) => return,
                Ok(count) => drop(self.waiting.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Nobody reads now: the lines wait, as far as there is room.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // Nobody will ever read them.
                    self.suppressed += count_lines(&self.waiting);
                    self.waiting.clear();
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
            asked: 0,
            written: 0,
            suppressed: 0,
            is_sampling: false,
        });
        if budget.window_end.is_past(now) {
            budget.is_sampling = budget.asked > most;
            budget.window_end = now.after_millis(1_000);
            (budget.asked, budget.written) = (0, 0);
        }
        budget.asked += 1;
        let is_left_out = budget.is_sampling && !flow_hash.is_multiple_of(SAMPLE);
        if budget.written >= most || is_left_out {
            budget.suppressed += 1;
            self.suppressed += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.suppressed))
    }

    fn add<T: Serialize>(&mut self, now: ClockTime, suppressed: u64, event: &T) {
        if self.waiting.len() >= MOST_WAITING {
            self.suppressed += 1;
            return;
        }
        if self.waiting.is_empty() {
            self.write_at = now.after_millis(WAIT_MS);
        }
        let line = LogLine { at_ms: wall_ms(), suppressed, event };
        let size = self.waiting.len();
        match serde_json::to_writer(&mut self.waiting, &line) {
            Ok(()) => self.waiting.push(b'\n'),
            Err(_) => {
                self.waiting.truncate(size);
                self.suppressed += 1;
            }
        }
    }
}

/// The time of day in milliseconds, for people; nothing is decided by it.
fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// Length of the lines that one write takes; a longer line goes by itself.
fn whole_lines(bytes: &[u8]) -> usize {
    let is_end = |byte: &u8| *byte == b'\n';
    let room = &bytes[..bytes.len().min(WRITE_AT)];
    let last = room.iter().rposition(is_end).or_else(|| bytes.iter().position(is_end));
    last.map_or(bytes.len(), |end| end + 1)
}

fn count_lines(bytes: &[u8]) -> u64 {
    bytes.iter().filter(|byte| **byte == b'\n').count() as u64
}
