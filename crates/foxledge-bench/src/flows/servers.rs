//! Backend servers: two slots, a short queue, troubles.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use foxledge_core::time::ClockTime;

use crate::flows::plan::{QUEUE, SLOTS};

/// How long a process that has just started is slow.
const COLD_TIME: Duration = Duration::from_secs(2);
/// How many times as long requests take on it meanwhile.
const COLD_FACTOR: f64 = 1.6;

/// `ServerRun` is a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerRun {
    pub(crate) flow: u64,
    pub(crate) request: usize,
    pub(crate) run: Duration,
}

/// `OfferOutcome` is what becomes of a request that reaches a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It runs, and ends after this time.
    Runs(Duration),
    /// It waits.
    Waits,
    /// There is no room.
    TurnedAway,
}

/// `SimServer` is one backend server.
#[derive(Debug, Default)]
pub(crate) struct SimServer {
    /// Since when it answers nothing.
    pub(crate) silent_at: Option<ClockTime>,
    /// Since when it resets what reaches it.
    pub(crate) crashed_at: Option<ClockTime>,
    /// The flows that it holds; none while it knows those of no earlier start.
    pub(crate) held: HashSet<u64>,
    /// How many times as long its requests take.
    pub(crate) slowness: f64,
    cold_until: ClockTime,
    running: u32,
    queue: VecDeque<ServerRun>,
    /// Flows with the requests that came on them.
    seen: HashSet<(u64, usize)>,
}

impl SimServer {
    pub(crate) fn new() -> SimServer {
        SimServer { slowness: 1.0, ..SimServer::default() }
    }

    /// Makes it one that has just started.
    pub(crate) fn cool(&mut self, now: ClockTime) {
        self.cold_until = now.after(COLD_TIME);
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.silent_at.is_some()
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.silent_at.is_some() || self.crashed_at.is_some()
    }

    /// Ends everything that it works on and holds.
    pub(crate) fn crash(&mut self, now: ClockTime) {
        *self = SimServer { crashed_at: Some(now), slowness: 1.0, ..SimServer::default() };
    }

    /// True when the request hasn't come on its flow before.
    pub(crate) fn takes(&mut self, run: &ServerRun) -> bool {
        self.seen.insert((run.flow, run.request))
    }

    pub(crate) fn offer(&mut self, now: ClockTime, run: ServerRun) -> OfferOutcome {
        if self.running < SLOTS {
            self.running += 1;
            return OfferOutcome::Runs(self.time_of(now, run.run));
        }
        if self.queue.len() >= QUEUE {
            return OfferOutcome::TurnedAway;
        }
        self.queue.push_back(run);
        OfferOutcome::Waits
    }

    /// Ends a run; the next one and the time it takes, if one waits.
    pub(crate) fn end_run(&mut self, now: ClockTime) -> Option<(ServerRun, Duration)> {
        let Some(next) = self.queue.pop_front() else {
            self.running = self.running.saturating_sub(1);
            return None;
        };
        Some((next, self.time_of(now, next.run)))
    }

    fn time_of(&self, now: ClockTime, run: Duration) -> Duration {
        let cold = if self.cold_until.is_past(now) { 1.0 } else { COLD_FACTOR };
        run.mul_f64(self.slowness * cold)
    }
}
