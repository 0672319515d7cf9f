//! Orders carried out, and a planned stop.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use super::{
    orders::{BackendOrder, BackendReply},
    state::{BackendState, DrainPlan, WakeCause},
};
use crate::report::{BackendStats, RequestId};

/// Time between the start of a planned stop and `GO_AWAY`, in milliseconds.
const STOP_GO_AWAY_MS: u64 = 2000;
/// How long kept answers stay after the last end of a planned stop, in milliseconds.
const LINGER_MS: u64 = 1500;

impl BackendState {
    /// Carries out one order.
    pub fn on_order(&mut self, now: ClockTime, order: BackendOrder) -> BackendReply {
        match order {
            BackendOrder::Stats { runs } => {
                return BackendReply::Stats(Box::new(self.stats(now, runs)));
            }
            BackendOrder::Ran { flow, request } => {
                return BackendReply::Ran(self.runs.find(RequestId { flow, request }));
            }
            BackendOrder::Drain { go_away_ms } => self.drain(now, go_away_ms),
            BackendOrder::Undrain => self.plan = DrainPlan::default(),
            BackendOrder::Lie { say } => self.gauge.say(say),
            BackendOrder::Lag { ms } => self.gauge.lag(Duration::from_millis(ms)),
            BackendOrder::Shed { on } => self.shedding = on,
            BackendOrder::Slow { factor } => self.slow_factor = factor.max(0.0),
            BackendOrder::Cold { ms } => self.cold_until = now.after_millis(ms),
            BackendOrder::Mute { on } => self.muted = on,
            BackendOrder::MuteOld => self.mute_before = Some(now),
            BackendOrder::StopGracefully { ms } => self.stop_gracefully(now, ms),
        }
        BackendReply::Done
    }

    /// Drains, finishes what is open, and is finished at the latest after `limit_ms`.
    pub fn stop_gracefully(&mut self, now: ClockTime, limit_ms: u64) {
        self.drain(now, STOP_GO_AWAY_MS.min(limit_ms / 2));
        self.plan.exit_at = Some(now.after_millis(limit_ms));
    }

    /// True when a planned stop is over: nothing is open and callers had time to poll for the
    /// last answers, or the limit has passed.
    pub fn is_finished(&self, now: ClockTime) -> bool {
        let Some(exit_at) = self.plan.exit_at else { return false };
        let left_feeds = self.plan.go_away_at.is_some_and(|at| at.is_past(now));
        let lingered = self.last_end.after_millis(LINGER_MS).is_past(now);
        exit_at.is_past(now) || (left_feeds && lingered && self.connections == 0)
    }

    /// What was counted so far.
    pub fn stats(&mut self, now: ClockTime, with_runs: bool) -> BackendStats {
        let load = self.true_load(now);
        let windows = self.gauge.windows(now);
        let busy_windows: f64 = windows.busy.iter().sum();
        BackendStats {
            name: self.options.name.to_string(),
            service: self.options.service.to_string(),
            data_centre: self.options.data_centre.to_string(),
            slots: self.options.slots,
            total_runs: self.runs.total(),
            unrecorded_runs: self.runs.unrecorded(),
            repeated: self.runs.repeated(),
            runs: if with_runs { self.runs.all() } else { Vec::new() },
            peak_connections: self.gauge.peak_connections(),
            connections: load.connections,
            busy_slots: load.busy_slots,
            queued: load.queued,
            busy_ms: (busy_windows * crate::report::BUSY_WINDOW_MS as f64) as u64,
            windows,
            refused: self.counts.refused.clone(),
            copies: self.counts.copies,
            wrong_target: self.counts.wrong_target,
            malformed: self.counts.malformed,
            work_after_drain: self.counts.work_after_drain,
            last_work_after_drain_ms: self.counts.last_work_after_drain_ms,
            sent_away: self.counts.sent_away,
            idle_feeds: self.counts.idle_feeds,
        }
    }

    /// Counts new work that still arrives while the server drains.
    pub(super) fn note_drain_arrival(&mut self, now: ClockTime) {
        let Some(began_at) = self.plan.began_at else { return };
        self.counts.work_after_drain += 1;
        self.counts.last_work_after_drain_ms = now.since(began_at).as_millis() as u64;
    }

    fn drain(&mut self, now: ClockTime, go_away_ms: u64) {
        let go_away_at = now.after_millis(go_away_ms);
        self.plan.began_at.get_or_insert(now);
        self.plan.go_away_at = Some(go_away_at);
        self.wakes.insert((go_away_at, WakeCause::GoAway));
    }
}
