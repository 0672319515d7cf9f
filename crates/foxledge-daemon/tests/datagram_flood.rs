//! Behaviour under a flood of datagrams.

mod common;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use anyhow::Result;
use common::{OneDaemon, STOP_LIMIT};
use foxledge_daemon::listener::BATCH_LIMIT;
use foxledge_fakes::harness::{START_LIMIT, http, wait_until};

const SENDERS: usize = 3;
/// An invalid datagram, longer than the protocol allows.
const JUNK: [u8; 1500] = [0xff; 1500];

const MALFORMED: &str = "foxledge_engine_events_total{event=\"malformed\"}";
/// Counts the runs of the engine, one per batch or tick.
const BATCHES: &str = "foxledge_flow_engine_seconds_count";

/// Sends invalid datagrams until it is dropped.
struct JunkFlood {
    stop: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

impl JunkFlood {
    fn start(to: SocketAddr) -> Result<JunkFlood> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut senders = Vec::new();
        for size in 0..SENDERS {
            let (socket, stop) = (UdpSocket::bind("127.0.0.1:0")?, stop.clone());
            let junk = &JUNK[..[40, 700, JUNK.len()][size % 3]];
            senders.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // May fail once the daemon has ended.
                    let _ = socket.send_to(junk, to);
                }
            }));
        }
        Ok(JunkFlood { stop, senders })
    }
}

impl Drop for JunkFlood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for sender in self.senders.drain(..) {
            let _ = sender.join();
        }
    }
}

/// Guards against heartbeats that are late under a flood, so that peers declare the instance
/// dead. This happens if a socket is read until it is empty while datagrams arrive faster than
/// they are read.
#[test]
fn runs_timers_and_signals_during_flood() -> Result<()> {
    let mut daemon = OneDaemon::start("flood", "")?;
    let _flood = JunkFlood::start(daemon.listen.data)?;
    let mut metrics = String::new();
    wait_until("invalid datagrams are counted", START_LIMIT, || {
        metrics = metrics_text(&daemon);
        counted(&metrics, MALFORMED) > 50_000
    })?;
    // Batches are bounded, and the main loop handles everything else between them.
    let batches = counted(&metrics, BATCHES);
    let datagrams = counted(&metrics, MALFORMED);
    assert!(datagrams <= batches * BATCH_LIMIT as u64, "{datagrams} in {batches} batches");
    daemon.process.terminate()?;
    let status = daemon.process.wait_exit(STOP_LIMIT)?;
    assert_eq!(status.code(), Some(0), "{}", daemon.process.log_text());
    assert!(daemon.process.log_text().contains("stops with 0 unfinished"));
    Ok(())
}

fn metrics_text(daemon: &OneDaemon) -> String {
    http::get(daemon.listen.admin, "/metrics").map(|got| got.body).unwrap_or_default()
}

/// Returns the value of the metric whose line begins with `name`, or 0 without one.
fn counted(metrics: &str, name: &str) -> u64 {
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Guards against responses to invalid datagrams, by which a flood would be amplified. Sends
/// invalid datagrams of all sizes and expects no response.
#[test]
fn sends_no_response_to_invalid_datagrams() -> Result<()> {
    let daemon = OneDaemon::start("junk", "")?;
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    for size in 0..JUNK.len() {
        socket.send_to(&JUNK[..size], daemon.listen.data)?;
    }
    wait_until("invalid datagrams are counted", START_LIMIT, || {
        counted(&metrics_text(&daemon), MALFORMED) > 1000
    })?;
    socket.set_nonblocking(true)?;
    let answer = socket.recv_from(&mut [0; 2000]);
    assert!(answer.is_err(), "{answer:?}");
    Ok(())
}
