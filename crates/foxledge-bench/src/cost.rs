//! The subcommand `cost`: processor time and memory of one desk.
//!
//! This is the one part that reads a clock; its figures differ between runs.

use std::{collections::VecDeque, fmt::Write, fs, sync::Arc, time::Instant};

use anyhow::{Context, Result};
use foxledge_core::{
    lists::{FullAction, PaidPriority, TargetSpec},
    names::MemberName,
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_policy::{
    SchedulerEffect, SchedulerOptions, ShardScheduler, TargetSignal, WorkItem, policy_by_name,
};
use serde::Serialize;

const PAGE_BYTES: u64 = 4096;
const TARGETS: [usize; 4] = [10, 14, 100, 1000];
const MEMBERS: [usize; 3] = [8, 64, 512];
const QUEUES: [usize; 3] = [0, 400, 10_000];

/// `CostFigure` is the cost of one desk of some size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CostFigure {
    /// Backend servers.
    pub targets: usize,
    /// Members that send.
    pub members: usize,
    /// Requests that wait all the time; 0 means that half of the slots are free.
    pub queued: usize,
    /// Nanoseconds of an offer, its dispatch, its acceptance and its end.
    pub request_ns: f64,
    /// Nanoseconds of a tick without anything due.
    pub tick_ns: f64,
}

/// `MemoryFigure` is the memory that a desk takes for what it holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemoryFigure {
    /// What is held.
    pub held: &'static str,
    /// How many.
    pub count: u64,
    /// Bytes of each, from the growth of the process's resident memory.
    pub bytes_each: f64,
}

/// Takes the memory of waiting requests and of open feeds.
pub fn memory_figures(seed: u64) -> Result<Vec<MemoryFigure>> {
    let count = 100_000;
    let mut figures = Vec::new();
    for (held, kind) in [("waiting requests", TrafficKind::Bid), ("open feeds", TrafficKind::Feed)]
    {
        let mut trial = CostTrial::new(100, 64, count as usize, seed);
        trial.kind = kind;
        let before = resident_bytes()?;
        for _ in 0..count {
            trial.offer();
        }
        let grown = resident_bytes()?.saturating_sub(before);
        figures.push(MemoryFigure { held, count, bytes_each: grown as f64 / count as f64 });
    }
    Ok(figures)
}

/// The memory figures as a table.
pub fn memory_table(figures: &[MemoryFigure]) -> String {
    let mut table = String::from("held              count  bytes each\n");
    for figure in figures {
        let _ =
            writeln!(table, "{:<16} {:>6} {:>11.0}", figure.held, figure.count, figure.bytes_each);
    }
    table
}

// The second number of this file is resident pages (proc(5)).
fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").context("no memory figures here")?;
    let pages = text.split_whitespace().nth(1).context("no resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Takes the figures of every size.
pub fn cost_figures(rounds: u64, seed: u64) -> Vec<CostFigure> {
    let mut figures = Vec::new();
    for targets in TARGETS {
        for members in MEMBERS {
            for queued in QUEUES {
                figures.push(cost_figure(targets, members, queued, rounds, seed));
            }
        }
    }
    figures
}

/// The figures as a table.
pub fn cost_table(figures: &[CostFigure]) -> String {
    let mut table = String::from("targets members queued  ns/request  ns/tick\n");
    for figure in figures {
        let _ = writeln!(
            table,
            "{:>7} {:>7} {:>6} {:>11.0} {:>8.0}",
            figure.targets, figure.members, figure.queued, figure.request_ns, figure.tick_ns
        );
    }
    table
}

/// `CostTrial` is a desk with the dispatches that run.
struct CostTrial {
    desk: ShardScheduler,
    now: ClockTime,
    members: Vec<MemberName>,
    running: VecDeque<u64>,
    next_work: u64,
    kind: TrafficKind,
}

fn cost_figure(
    targets: usize,
    members: usize,
    queued: usize,
    rounds: u64,
    seed: u64,
) -> CostFigure {
    let mut trial = CostTrial::new(targets, members, queued, seed);
    let full = targets * 2 + queued;
    let standing = if queued == 0 { targets } else { full };
    for _ in 0..standing {
        trial.offer();
    }
    // A first part warms caches and the desk's own estimates up.
    trial.serve(rounds / 10);
    let started = Instant::now();
    trial.serve(rounds);
    let request_ns = started.elapsed().as_nanos() as f64 / rounds as f64;
    let ticks = 1000;
    let started = Instant::now();
    for _ in 0..ticks {
        trial.now = trial.now.after_millis(0);
        trial.desk.on_tick(trial.now);
    }
    let tick_ns = started.elapsed().as_nanos() as f64 / f64::from(ticks);
    CostFigure { targets, members, queued, request_ns, tick_ns }
}

impl CostTrial {
    fn new(targets: usize, members: usize, queued: usize, seed: u64) -> CostTrial {
        let policy = policy_by_name("freest", seed).expect("a known name");
        let options = SchedulerOptions::new().queue_limit(queued.max(1) as u32 * 2);
        let mut desk = ShardScheduler::new(options, policy, seed);
        let specs = (0..targets).map(|number| Arc::new(target_spec(number))).collect();
        desk.set_targets(ClockTime::ZERO, specs);
        let members = (0..members).map(|number| MemberName::new(&format!("m{number}")));
        CostTrial {
            desk,
            now: ClockTime::from_micros(1),
            members: members.collect(),
            running: VecDeque::new(),
            next_work: 0,
            kind: TrafficKind::Bid,
        }
    }

    // One request comes and the oldest one that runs ends, over and over.
    fn serve(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now = ClockTime::from_micros(self.now.as_micros() + 10);
            self.offer();
            if let Some(dispatch) = self.running.pop_front() {
                self.signal(dispatch, TargetSignal::Accepted);
                self.signal(dispatch, TargetSignal::Ended);
            }
        }
    }

    fn offer(&mut self) {
        self.next_work += 1;
        let member = self.members[self.next_work as usize % self.members.len()].clone();
        let item = WorkItem {
            id: self.next_work,
            flow: self.next_work,
            member,
            kind: self.kind,
            priority: PaidPriority((self.next_work % 3) as u8),
            weight: 1,
            member_limit: 0,
            when_full: FullAction::Queue,
            idempotent: false,
            deadline: self.now.after_millis(3_600_000),
            start_deadline: ClockTime::MAX,
        };
        let effects = self.desk.submit(self.now, item);
        self.note(effects);
    }

    fn signal(&mut self, dispatch: u64, signal: TargetSignal) {
        let effects = self.desk.on_signal(self.now, dispatch, signal, None);
        self.note(effects);
    }

    fn note(&mut self, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            if let SchedulerEffect::Dispatch { dispatch, .. } = effect {
                self.running.push_back(dispatch);
            }
        }
    }
}

fn target_spec(number: usize) -> TargetSpec {
    TargetSpec {
        name: format!("t{number}").as_str().into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16)),
        incarnation: 1,
        data_centre: "toledo".into(),
        slots: 2,
        connections: 2000,
        draining: false,
    }
}
