//! The part that controls the phases of the process, from its start to its planned stop.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::ListVersion,
    time::ClockTime,
};
use foxledge_engine::EnginePhase;
use log::info;
use stakker::{CX, StopCause, after, call, ret_some_to};

use crate::{
    context::DaemonContext,
    engine_part::EnginePart,
    list_manager::ListManager,
    member_manager::MemberManager,
    start_gate::{PlatformContact, StartGate},
};

/// Time between two checks while the process starts or stops.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two checks for a stop request while the process serves.
const SERVING_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum number of heartbeats sent in state leaving before the process may end.
const MIN_LEAVING_HEARTBEATS: u64 = 3;

/// Sets the phase of the process and carries out its planned stop.
pub struct LifeCycle {
    context: Rc<DaemonContext>,
    gate: StartGate,
    deadlines: Option<LeaveDeadlines>,
}

/// The time bounds of a planned stop.
#[derive(Clone, Copy, Debug)]
struct LeaveDeadlines {
    /// The process doesn't end before this time, so that peers learn that it leaves.
    earliest_stop_at: ClockTime,
    /// The process ends at this time, even with unfinished requests.
    latest_stop_at: ClockTime,
}

impl LifeCycle {
    /// Starts the part in the current phase of the process.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<LifeCycle> {
        let now = context.clock.now();
        let peers = &context.settings.peers;
        let platform = match context.settings.platform.addresses.is_empty() {
            true => PlatformContact::Done,
            false => PlatformContact::Pending,
        };
        let mut gate = StartGate::new(platform, now.after_millis(peers.start_wait_ms));
        let local_address = context.local_info.borrow().control_address;
        gate.add_peers(peers.seeds.iter().copied().filter(|seed| *seed != local_address));
        call!([cx], on_tick());
        let mut part = LifeCycle { context, gate, deadlines: None };
        if part.context.phase.get() == EnginePhase::Leaving {
            part.set_leave_deadlines();
        }
        Some(part)
    }

    /// Handles a heartbeat of a peer, or its reply to one, which carries its list version.
    pub fn on_peer_answer(&mut self, _cx: CX![], from: SocketAddr) {
        self.gate.record_answer(from);
    }

    /// Handles a heartbeat to a peer that got no response, so that the start doesn't wait for it.
    pub fn on_peer_failure(&mut self, _cx: CX![], from: SocketAddr) {
        self.gate.record_failure(from);
    }

    /// Adds the instances that the platform lists to the peers whose list versions the start waits
    /// for.
    pub fn on_platform_listing(&mut self, _cx: CX![], addresses: Vec<SocketAddr>) {
        let local_address = self.context.local_info.borrow().control_address;
        self.gate.add_peers(addresses.into_iter().filter(|address| *address != local_address));
    }

    /// Records that the platform answered or is unreachable.
    pub fn on_platform_contact(&mut self, _cx: CX![]) {
        self.gate.record_platform_contact();
    }

    /// Begins a planned stop, requested by `source`. Passes true to `answer`, or false when a stop
    /// is already in progress.
    pub fn leave(&mut self, _cx: CX![], source: &'static str, answer: Box<dyn FnOnce(bool)>) {
        answer(self.begin_leaving(source));
    }

    fn begin_leaving(&mut self, source: &'static str) -> bool {
        if self.context.phase.get() == EnginePhase::Leaving {
            info!("life: ignored a stop request, as a planned stop is in progress");
            return false;
        }
        self.set_phase(EnginePhase::Leaving, "planned stop", source);
        self.set_leave_deadlines();
        true
    }

    fn on_tick(&mut self, cx: CX![]) {
        match self.context.phase.get() {
            EnginePhase::Serving => after!(SERVING_TICK_INTERVAL, [cx], on_tick()),
            EnginePhase::Joining | EnginePhase::Leaving => after!(TICK_INTERVAL, [cx], on_tick()),
        };
        if self.context.is_stop_requested.take() {
            self.begin_leaving("signal");
        }
        match self.context.phase.get() {
            EnginePhase::Joining => self.query_versions(cx),
            EnginePhase::Serving => {}
            EnginePhase::Leaving => self.query_unfinished(cx),
        }
    }

    fn query_versions(&mut self, cx: CX![]) {
        let Some(lists) = self.context.directory.get::<ListManager>() else { return };
        let answer = ret_some_to!([cx], on_versions() as (ListVersion, ListVersion));
        call!([lists], read_versions(answer));
    }

    fn on_versions(&mut self, _cx: CX![], current: ListVersion, newest: ListVersion) {
        let now = self.context.clock.now();
        let is_joining = self.context.phase.get() == EnginePhase::Joining;
        if is_joining && self.gate.is_open(now, current.revision, newest.revision) {
            self.set_phase(EnginePhase::Serving, "has the newest list it could learn of", "start");
        }
    }

    fn query_unfinished(&mut self, cx: CX![]) {
        let Some(engine) = self.context.directory.get::<EnginePart>() else {
            return self.stop_when_finished(cx, 0);
        };
        let answer = ret_some_to!([cx], stop_when_finished() as (usize));
        call!([engine], count_unfinished(answer));
    }

    fn stop_when_finished(&mut self, cx: CX![], unfinished: usize) {
        let Some(deadlines) = self.deadlines else { return };
        let now = self.context.clock.now();
        let is_finished = unfinished == 0 && deadlines.earliest_stop_at.is_past(now);
        let is_graceful = self.context.settings.trial.graceful_stop;
        if is_graceful && !is_finished && !deadlines.latest_stop_at.is_past(now) {
            return;
        }
        self.deadlines = None;
        info!("life: stops with {unfinished} unfinished");
        self.context.record(
            AuditChange::new(
                AuditKind::ProcessChanged,
                self.context.local_info.borrow().name.as_str(),
            )
            .with_values("leaving", format!("stopped with {unfinished} unfinished"))
            .with_cause(if unfinished == 0 { "all finished" } else { "limit of the stop" }, "life"),
        );
        // In a later iteration of the main loop, so that the entry is logged and the last
        // datagrams are sent.
        after!(TICK_INTERVAL, [cx], |_this, cx| cx.shutdown(StopCause::Stopped));
    }

    fn set_leave_deadlines(&mut self) {
        let now = self.context.clock.now();
        let settings = &self.context.settings;
        self.deadlines = Some(LeaveDeadlines {
            earliest_stop_at: now
                .after_millis(settings.peers.heartbeat_ms * MIN_LEAVING_HEARTBEATS),
            latest_stop_at: now.after_millis(settings.stop.limit_ms),
        });
    }

    fn set_phase(&self, phase: EnginePhase, cause: &str, source: &str) {
        let before = self.context.phase.as_str();
        self.context.phase.set(phase);
        let after = self.context.phase.as_str();
        info!("life: the phase is now {after}");
        let directory = &self.context.directory;
        if let Some(engine) = directory.get::<EnginePart>() {
            call!([engine], set_phase(phase));
        }
        if let Some(members) = directory.get::<MemberManager>() {
            call!([members], set_state(self.context.phase.peer_state()));
        }
        self.context.record(
            AuditChange::new(
                AuditKind::ProcessChanged,
                self.context.local_info.borrow().name.as_str(),
            )
            .with_values(before, after)
            .with_cause(cause, source),
        );
    }
}
