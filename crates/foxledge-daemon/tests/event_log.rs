//! The structured event log: rate limits, sampling by flow, non-blocking writes.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use foxledge_core::time::ClockTime;
use foxledge_daemon::packets::event_log::EventLog;
use serde::Serialize;
use serde_json::Value;

#[derive(Serialize)]
struct Line {
    event: &'static str,
    flow: u64,
}

/// An output that accepts a limited number of bytes and stores them.
#[derive(Clone, Default)]
struct SlowOutput {
    state: Arc<Mutex<(Vec<u8>, usize)>>,
}

impl SlowOutput {
    fn allow(&self, bytes: usize) {
        self.state.lock().expect("no panic").1 = bytes;
    }

    fn lines(&self) -> Vec<Value> {
        let state = self.state.lock().expect("no panic");
        let text = String::from_utf8(state.0.clone()).expect("is text");
        text.lines().map(|line| serde_json::from_str(line).expect("is an object")).collect()
    }
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state.lock().expect("no panic");
        let accepted = bytes.len().min(state.1);
        if accepted == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        state.0.extend_from_slice(&bytes[..accepted]);
        state.1 -= accepted;
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_micros(millis * 1_000)
}

#[test]
fn limits_lines_per_second_and_samples_by_flow() {
    // Ten times the rate limit for ten seconds: 1,000 flows per second for 100 lines.
    let output = SlowOutput::default();
    output.allow(usize::MAX);
    let mut log = EventLog::with_output(Box::new(output.clone()), 100);
    for flow in 0..10_000_u64 {
        log.log_decision(at(flow), "flow_opened", flow, || Line { event: "flow_opened", flow });
        log.flush(at(flow));
    }
    log.write_pending();
    let lines = output.lines();
    assert!(lines.len() <= 1_100, "{} lines", lines.len());
    assert!(lines.len() >= 500, "{} lines", lines.len());
    // After the first second, a flow has all its lines logged or none.
    let late: Vec<_> = lines.iter().filter(|line| line["flow"].as_u64() > Some(1_000)).collect();
    assert!(late.iter().all(|line| line["flow"].as_u64().is_some_and(|flow| flow % 16 == 0)));
    let reported: u64 = lines.iter().filter_map(|line| line["suppressed"].as_u64()).sum();
    assert_eq!(lines.len() as u64 + log.suppressed_lines(), 10_000);
    assert!(reported <= log.suppressed_lines());
}

#[test]
fn limits_each_kind_of_event_separately() {
    // A flood of one kind doesn't use up the limit of another.
    let output = SlowOutput::default();
    output.allow(usize::MAX);
    let mut log = EventLog::with_output(Box::new(output.clone()), 10);
    for flow in 0..1_000 {
        log.log_decision(at(0), "flow_opened", flow, || Line { event: "flow_opened", flow });
    }
    log.log_event(at(0), "stop_begun", &Line { event: "stop_begun", flow: 0 });
    log.write_pending();
    assert!(output.lines().iter().any(|line| line["event"] == "stop_begun"));
}

#[test]
fn counts_lost_lines_of_slow_reader() {
    // While the output blocks, lines beyond the buffer's capacity are lost and counted.
    let output = SlowOutput::default();
    let mut log = EventLog::with_output(Box::new(output.clone()), 100_000);
    for flow in 0..20_000 {
        log.log_event(at(flow / 10), "flow_opened", &Line { event: "flow_opened", flow });
        log.flush(at(flow / 10));
    }
    let lost = log.suppressed_lines();
    assert!(lost > 0);
    // The reader resumes, first with half a line.
    output.allow(20);
    log.write_pending();
    output.allow(usize::MAX);
    log.write_pending();
    assert_eq!(output.lines().len() as u64 + lost, 20_000);
}

/// An output that stores each write separately.
#[derive(Clone, Default)]
struct WriteRecorder {
    writes: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Write for WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes.lock().expect("no panic").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against split lines in a pipe to which several instances write, each several
// kilobytes at once: a pipe writes no more than 4,096 bytes atomically.
#[test]
fn writes_whole_lines_in_atomic_sizes() {
    let output = WriteRecorder::default();
    let mut log = EventLog::with_output(Box::new(output.clone()), 100_000);
    for flow in 0..2_000 {
        log.log_event(at(0), "flow_opened", &Line { event: "flow_opened", flow });
    }
    log.write_pending();
    let writes = output.writes.lock().expect("no panic");
    assert!(writes.len() > 10);
    for write in writes.iter() {
        assert!(write.len() <= 4_096, "{} bytes", write.len());
        assert_eq!(write.last(), Some(&b'\n'));
    }
}
