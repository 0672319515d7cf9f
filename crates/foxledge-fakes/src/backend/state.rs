//! The decisions of a backend server: datagrams, orders and time in, effects out.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
};

use foxledge_core::time::ClockTime;
use foxledge_wire::{
    decode_packet,
    flow::{LoadReport, PacketKind},
};
use rand::{SeedableRng, rngs::StdRng};

use super::{
    dispatches::DispatchEntry, gauge::LoadGauge, memory::DispatchMemory, options::BackendOptions,
    runs::RunTable,
};

/// `BackendEffect` is what the socket loop has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendEffect {
    /// Send one datagram.
    Send {
        /// To where.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
}

/// `WakeCause` is why the state wants to be woken. A cause that no longer holds is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WakeCause {
    RunEnds(u64),
    StartDeadline(u64),
    Forget(u64),
    FeedPush(u64),
    FeedIdle(u64),
    GoAway,
}

/// `DrainPlan` is how far a planned stop is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DrainPlan {
    /// When draining began.
    pub began_at: Option<ClockTime>,
    /// When feeds are sent away and new work is refused.
    pub go_away_at: Option<ClockTime>,
    /// When the process exits, whatever is open.
    pub exit_at: Option<ClockTime>,
}

/// `BackendState` is one backend server without its sockets and clock.
pub struct BackendState {
    pub(super) options: BackendOptions,
    pub(super) generator: StdRng,
    pub(super) entries: HashMap<u64, DispatchEntry>,
    pub(super) wakes: BTreeSet<(ClockTime, WakeCause)>,
    pub(super) outbox: Vec<BackendEffect>,
    pub(super) gauge: LoadGauge,
    pub(super) runs: RunTable,
    pub(super) memory: DispatchMemory,
    pub(super) plan: DrainPlan,
    pub(super) counts: BackendCounts,
    pub(super) shedding: bool,
    pub(super) muted: bool,
    pub(super) mute_before: Option<ClockTime>,
    pub(super) slow_factor: f64,
    pub(super) cold_until: ClockTime,
    pub(super) last_end: ClockTime,
    pub(super) queue: VecDeque<u64>,
    pub(super) running: u32,
    pub(super) connections: u32,
}

/// `BackendCounts` counts what happened.
#[derive(Clone, Debug, Default)]
pub(super) struct BackendCounts {
    pub refused: BTreeMap<String, u64>,
    pub copies: u64,
    pub wrong_target: u64,
    pub malformed: u64,
    pub work_after_drain: u64,
    pub last_work_after_drain_ms: u64,
    pub sent_away: u64,
    pub idle_feeds: u64,
}

impl BackendState {
    /// Makes a server with nothing open.
    pub fn new(options: BackendOptions) -> BackendState {
        BackendState {
            generator: StdRng::seed_from_u64(options.seed),
            entries: HashMap::new(),
            wakes: BTreeSet::new(),
            outbox: Vec::new(),
            gauge: LoadGauge::new(options.origin_us),
            runs: RunTable::default(),
            memory: DispatchMemory::default(),
            plan: DrainPlan::default(),
            counts: BackendCounts::default(),
            shedding: false,
            muted: false,
            mute_before: None,
            slow_factor: 1.0,
            cold_until: ClockTime::ZERO.after_millis(options.cold_ms),
            last_end: ClockTime::ZERO,
            queue: VecDeque::new(),
            running: 0,
            connections: 0,
            options,
        }
    }

    /// Takes one datagram.
    pub fn on_datagram(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<BackendEffect> {
        if self.muted {
            return Vec::new();
        }
        let Ok(packet) = decode_packet(bytes) else {
            self.counts.malformed += 1;
            return Vec::new();
        };
        match packet.kind() {
            PacketKind::Probe => self.on_probe(now, from, &packet),
            PacketKind::Work | PacketKind::Poll | PacketKind::Cancel | PacketKind::Check => {
                self.on_request(now, from, &packet);
            }
            _ => self.counts.malformed += 1,
        }
        self.flush(now)
    }

    /// Does what is due.
    pub fn on_wake(&mut self, now: ClockTime) -> Vec<BackendEffect> {
        while let Some(&(at, cause)) = self.wakes.first() {
            if !at.is_past(now) {
                break;
            }
            self.wakes.pop_first();
            match cause {
                WakeCause::RunEnds(dispatch) => self.end_run(now, dispatch),
                WakeCause::StartDeadline(dispatch) => self.miss_start(now, dispatch),
                WakeCause::Forget(dispatch) => self.forget(dispatch),
                WakeCause::FeedPush(dispatch) => self.push_feed(now, dispatch),
                WakeCause::FeedIdle(dispatch) => self.close_idle(now, dispatch),
                WakeCause::GoAway => self.send_away(now),
            }
        }
        self.flush(now)
    }

    fn forget(&mut self, dispatch: u64) {
        if let Some(entry) = self.entries.remove(&dispatch) {
            self.memory.remember(dispatch, entry.outcome());
        }
    }

    /// When [`BackendState::on_wake`] is due next.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.wakes.first().map(|(at, _)| *at)
    }

    fn flush(&mut self, now: ClockTime) -> Vec<BackendEffect> {
        self.gauge.set(now, self.true_load(now));
        if self.muted {
            self.outbox.clear();
        }
        std::mem::take(&mut self.outbox)
    }

    /// The load as it is.
    pub(super) fn true_load(&self, now: ClockTime) -> LoadReport {
        LoadReport {
            busy_slots: self.running,
            connections: self.connections,
            queued: self.queue.len() as u32,
            draining: self.plan.began_at.is_some(),
            cold: !self.cold_until.is_past(now),
            healthy: true,
        }
    }
}
