//! The part that controls the phases of the process, from its start to its planned stop.

use std::time::Duration;

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    time::ClockTime,
};
use foxledge_engine::EnginePhase;
use foxledge_flows::revisions::{epoch_of, number_of};
use foxledge_settings::load_packet_settings;
use serde::Serialize;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use stakker::{CX, StopCause, after, call};

use super::{
    clock::MIN_RECHECK_DELAY,
    context::SharedContext,
    fleet_part::FleetPart,
    flow_part::{FlowPart, cold_rules},
};

/// Maximum wait, in milliseconds, for a confirmation that a known list is the newest.
///
/// The first list may be some seconds old. Serving with it is better for callers
/// than no response, and a newer list is applied shortly after.
const MAX_CONFIRMATION_WAIT_MS: u64 = 30;
/// Minimum duration of a planned stop, in milliseconds.
///
/// Routers check twice a second whether an instance is ready and remove it after
/// two failed checks, which takes a second at most. Packets that they send until
/// then must still be forwarded. Longer stops would overlap with those of other
/// instances, and with fewer than half of a data centre's instances ready, routers use
/// all of them again, including stopped ones.
const MIN_STOP_MS: u64 = 1_250;
/// Time without packets after which no more are expected, in milliseconds.
const QUIET_PERIOD_MS: u64 = 400;
/// Time before the limit of a planned stop at which the process ends even while packets
/// arrive, in milliseconds, so that it isn't killed.
const STOP_MARGIN_MS: u64 = 800;
/// Minimum time limit of a planned stop, in milliseconds, for forwarding the packets that
/// are queued in the sockets.
const MIN_STOP_LIMIT_MS: u64 = 200;
/// Interval between checks during a planned stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sets the phase of the process and handles signals.
pub struct LifecyclePart {
    context: SharedContext,
    confirmation_deadline: Option<ClockTime>,
    deadlines: Option<StopDeadlines>,
}

/// The time bounds of a planned stop.
#[derive(Clone, Copy, Debug)]
struct StopDeadlines {
    begun_at: ClockTime,
    /// The process doesn't end before this time, so that routers stop sending to it first.
    earliest_stop_at: ClockTime,
    /// The process ends at this time, even while packets arrive.
    latest_stop_at: ClockTime,
}

/// The log line of a phase change, signal or reload.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifecycleLine<'a> {
    /// The instance accepts flows from now on.
    Serving { version: u64, epoch: u64, revision: u64, list_age_ms: Option<u64> },
    /// A planned stop began.
    StopBegun { signal: i32, limit_ms: u64 },
    /// A signal was ignored.
    SignalIgnored { signal: i32 },
    /// The process ends.
    Stopped { after_ms: u64, silent_ms: u64 },
    /// The settings were reloaded.
    Reloaded { changes: Vec<String> },
    /// The new settings are invalid; the previous ones stay in force.
    ReloadRefused { findings: &'a str },
}

impl LifecyclePart {
    /// Starts the part in the current phase of the process.
    pub fn init(cx: CX![], context: SharedContext) -> Option<LifecyclePart> {
        let mut part = LifecyclePart { context, confirmation_deadline: None, deadlines: None };
        match part.context.phase.get() {
            EnginePhase::Leaving => part.begin_leaving(cx),
            _ => call!([cx], serve_when_ready()),
        }
        Some(part)
    }

    /// Begins to serve when a list is known and either confirmed as the newest or
    /// `MAX_CONFIRMATION_WAIT_MS` have passed since it became known.
    pub fn serve_when_ready(&mut self, cx: CX![]) {
        if self.context.phase.get() != EnginePhase::Joining {
            return;
        }
        let now = self.context.clock.now();
        let member = self.context.member.borrow();
        if !member.can_serve() {
            return;
        }
        let is_confirmed = member.confirmed_at().is_some();
        drop(member);
        let deadline = *self
            .confirmation_deadline
            .get_or_insert_with(|| now.after_millis(MAX_CONFIRMATION_WAIT_MS));
        if is_confirmed || deadline.is_past(now) {
            return self.begin_serving();
        }
        // The main loop's clock may be behind this one, so the deadline is checked again.
        after!(deadline.remaining(now).max(MIN_RECHECK_DELAY), [cx], serve_when_ready());
    }

    /// Handles a signal: SIGHUP reloads the settings, SIGTERM and SIGINT begin a planned stop.
    pub fn on_signal(&mut self, cx: CX![], signal: i32) {
        match signal {
            SIGHUP => self.reload(cx),
            SIGTERM | SIGINT if self.context.phase.get() != EnginePhase::Leaving => {
                let limit_ms = self.context.settings.borrow().stop_limit_ms;
                self.context
                    .log_event("stop_begun", &LifecycleLine::StopBegun { signal, limit_ms });
                self.set_phase(EnginePhase::Leaving, "planned stop");
                if let Some(fleet) = self.context.directory.get::<FleetPart>() {
                    call!([fleet], announce_leave());
                }
                self.begin_leaving(cx);
            }
            _ => self.context.log_event("signal_ignored", &LifecycleLine::SignalIgnored { signal }),
        }
    }

    fn begin_serving(&mut self) {
        self.set_phase(EnginePhase::Serving, "the list is known");
        let member = self.context.member.borrow();
        let line = LifecycleLine::Serving {
            version: member.effective_version(),
            epoch: epoch_of(member.list().head()),
            revision: number_of(member.list().head()),
            list_age_ms: self.context.confirmed_age_ms(),
        };
        self.context.log_event("serving", &line);
        self.context.log.borrow_mut().write_pending();
    }

    fn begin_leaving(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        let limit_ms = self.context.settings.borrow().stop_limit_ms;
        // A signal sent during a pause of the process may be as old as the pause, and
        // routers' checks have failed for as long.
        let pause_ms = self.context.recent_pause().as_millis() as u64;
        let min_stop_ms = MIN_STOP_MS.saturating_sub(pause_ms);
        let max_stop_ms = limit_ms.saturating_sub(STOP_MARGIN_MS + pause_ms).max(MIN_STOP_LIMIT_MS);
        self.deadlines = Some(StopDeadlines {
            begun_at: now,
            earliest_stop_at: now.after_millis(min_stop_ms),
            latest_stop_at: now.after_millis(max_stop_ms),
        });
        after!(STOP_CHECK_INTERVAL, [cx], stop_when_drained());
    }

    fn stop_when_drained(&mut self, cx: CX![]) {
        let Some(deadlines) = self.deadlines else { return };
        let now = self.context.clock.now();
        let quiet_time = now.since(self.context.last_packet_at.get());
        let is_drained = quiet_time >= Duration::from_millis(QUIET_PERIOD_MS)
            && deadlines.earliest_stop_at.is_past(now);
        if !is_drained && !deadlines.latest_stop_at.is_past(now) {
            after!(STOP_CHECK_INTERVAL, [cx], stop_when_drained());
            return;
        }
        let line = LifecycleLine::Stopped {
            after_ms: now.since(deadlines.begun_at).as_millis() as u64,
            silent_ms: quiet_time.as_millis() as u64,
        };
        self.context.log_event("stopped", &line);
        self.context.log.borrow_mut().write_pending();
        cx.shutdown(StopCause::Stopped);
    }

    /// Reloads the settings; socket addresses change only with a restart.
    fn reload(&mut self, _cx: CX![]) {
        let newer = match load_packet_settings(&self.context.settings_path) {
            Ok(newer) => newer,
            Err(findings) => {
                let findings = findings.to_string();
                return self.context.log_event(
                    "reload_refused",
                    &LifecycleLine::ReloadRefused { findings: &findings },
                );
            }
        };
        self.context.log.borrow_mut().log_warnings(self.context.clock.now(), &newer.warnings);
        let changes = self.context.settings.borrow().changes(&newer);
        let changes =
            changes.iter().map(|(key, before, after)| format!("{key}: {before} to {after}"));
        self.context.log_event("reloaded", &LifecycleLine::Reloaded { changes: changes.collect() });
        self.context.member.borrow_mut().set_seeds(newer.seeds.clone());
        if let Some(flows) = self.context.directory.get::<FlowPart>() {
            call!([flows], set_regions(newer.regions.clone()));
            call!([flows], set_cold_rules(cold_rules(&newer)));
        }
        let mut settings = self.context.settings.borrow_mut();
        settings.regions = newer.regions;
        settings.seeds = newer.seeds;
        settings.stop_limit_ms = newer.stop_limit_ms;
        settings.cold_overrun_permille = newer.cold_overrun_permille;
        settings.cold_slack_per_ks = newer.cold_slack_per_ks;
    }

    fn set_phase(&self, phase: EnginePhase, cause: &str) {
        let before = self.context.phase.as_str();
        self.context.phase.set(phase);
        let name = self.context.settings.borrow().name.to_string();
        let change = AuditChange::new(AuditKind::ProcessChanged, name)
            .with_values(before, self.context.phase.as_str())
            .with_cause(cause, "life");
        self.context.record(change);
    }
}
