//! The root of the supervisor tree: starts parts, restarts failed ones, owns the audit trail.

use foxledge_core::{
    audit::{AuditChange, AuditEntry, AuditKind, AuditTrail},
    time::ClockTime,
};
use log::{info, warn};
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use stakker::{ActorOwnAnon, CX, Ret, StopCause, after, fail, ret_some_to};
use std::time::Duration;

use crate::{
    clock::ProcessClock,
    restarts::{RestartBackoff, RestartLimits},
};

/// Identifies a part of a supervisor tree.
pub trait PartName: Copy + PartialEq + 'static {
    /// Returns the name of the part, which is also the prefix of its log lines.
    fn as_str(self) -> &'static str;
}

/// Creates the parts that a [`Supervisor`] supervises.
pub trait PartStarter<P: PartName> {
    /// Returns the parts in the order in which they are started.
    fn parts(&self) -> Vec<P>;

    /// Starts `part`; `notify` receives the cause when it ends.
    fn start(&mut self, cx: CX![Supervisor<P>], part: P, notify: Ret<StopCause>) -> ActorOwnAnon;

    /// Returns the parts that have to be restarted together with `part`.
    fn dependents(&self, part: P) -> &'static [P];

    /// Called before a failed part is started again.
    fn on_restart(&mut self, part: P);
}

/// Options of a [`Supervisor`].
pub struct SupervisorOptions {
    clock: ProcessClock,
    seed: u64,
    audit_limit: usize,
    restart_limits: RestartLimits,
}

impl SupervisorOptions {
    /// Creates options with default limits.
    pub fn new(clock: ProcessClock, seed: u64) -> SupervisorOptions {
        let restart_limits = RestartLimits::default();
        SupervisorOptions { clock, seed, audit_limit: 2000, restart_limits }
    }

    /// Sets the capacity of the audit trail, in entries.
    pub fn audit_limit(mut self, audit_limit: usize) -> SupervisorOptions {
        self.audit_limit = audit_limit;
        self
    }

    /// Sets the backoff of restarts.
    pub fn restart_limits(mut self, restart_limits: RestartLimits) -> SupervisorOptions {
        self.restart_limits = restart_limits;
        self
    }
}

/// The state of a part, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PartReport {
    /// Name of the part.
    pub part: &'static str,
    /// True while the part runs.
    pub running: bool,
    /// Number of restarts since the process started.
    pub restarts: u64,
}

struct PartSlot<P> {
    part: P,
    owner: Option<ActorOwnAnon>,
    backoff: RestartBackoff,
    /// Number of starts. It distinguishes the end of an earlier start from the end of the
    /// current one.
    start_count: u64,
}

/// The actor at the root of a supervisor tree.
pub struct Supervisor<P: PartName> {
    starter: Box<dyn PartStarter<P>>,
    slots: Vec<PartSlot<P>>,
    clock: ProcessClock,
    rng: StdRng,
    trail: AuditTrail,
    list_revision: u64,
}

impl<P: PartName> Supervisor<P> {
    /// Creates the supervisor and starts every part.
    pub fn init(
        cx: CX![],
        options: SupervisorOptions,
        starter: Box<dyn PartStarter<P>>,
    ) -> Option<Supervisor<P>> {
        let now = options.clock.now();
        let slots = starter
            .parts()
            .into_iter()
            .map(|part| PartSlot {
                part,
                owner: None,
                backoff: RestartBackoff::new(options.restart_limits, now),
                start_count: 0,
            })
            .collect();
        let mut supervisor = Supervisor {
            starter,
            slots,
            clock: options.clock,
            rng: StdRng::seed_from_u64(options.seed),
            trail: AuditTrail::new(options.audit_limit),
            list_revision: 0,
        };
        for index in 0..supervisor.slots.len() {
            supervisor.start_slot(cx, index);
        }
        Some(supervisor)
    }

    /// Records a change and logs it.
    pub fn record(&mut self, _cx: CX![], change: AuditChange) {
        self.add_entry(change);
    }

    /// Sets the revision of the list in force, which is added to later audit entries.
    pub fn set_list_revision(&mut self, _cx: CX![], revision: u64) {
        self.list_revision = revision;
    }

    /// Passes up to `limit` entries of the audit trail numbered above `after` to `answer`.
    pub fn read_audit(
        &mut self,
        _cx: CX![],
        after: u64,
        limit: usize,
        answer: Box<dyn FnOnce(Vec<AuditEntry>)>,
    ) {
        answer(self.trail.read(after, limit));
    }

    /// Passes the state of every part to `answer`.
    pub fn read_parts(&mut self, _cx: CX![], answer: Box<dyn FnOnce(Vec<PartReport>)>) {
        answer(self.slots.iter().map(PartSlot::report).collect());
    }

    /// Makes a part fail, for tests. Passes false to `answer` when no such part is running.
    pub fn fail_part(&mut self, _cx: CX![], name: String, answer: Box<dyn FnOnce(bool)>) {
        let slot = self.slots.iter_mut().find(|slot| slot.part.as_str() == name);
        // Dropping the owner ends the actor, and the end is reported like any failure.
        let dropped = slot.and_then(|slot| slot.owner.take());
        answer(dropped.is_some());
    }

    /// Ends the process because something outside of the parts failed permanently.
    pub fn fail_process(&mut self, cx: CX![], reason: String) {
        fail!(cx, "{}", reason);
    }

    fn start_slot(&mut self, cx: CX![], index: usize) {
        let slot = &mut self.slots[index];
        slot.start_count += 1;
        let notify = ret_some_to!([cx], part_ended(index, slot.start_count) as (StopCause));
        slot.owner = Some(self.starter.start(cx, slot.part, notify));
        info!("supervisor: {} started", slot.part.as_str());
    }

    fn part_ended(&mut self, cx: CX![], index: usize, start: u64, cause: StopCause) {
        let slot = &mut self.slots[index];
        if slot.start_count != start {
            return;
        }
        slot.owner = None;
        let now = self.clock.now();
        let restart_at = slot.backoff.on_failure(now, &mut self.rng);
        let part_name = slot.part.as_str();
        warn!("supervisor: {part_name} ended: {cause}");
        self.add_entry(
            AuditChange::new(AuditKind::PartRestarted, part_name)
                .with_values(
                    "running",
                    format!("starts again in {} ms", restart_at.remaining_millis(now)),
                )
                .with_cause(cause.to_string(), "supervisor"),
        );
        self.schedule_restart(cx, index, start, restart_at.remaining(now));
    }

    fn schedule_restart(&mut self, cx: CX![], index: usize, start: u64, delay: Duration) {
        after!(delay, [cx], restart_part(index, start));
    }

    fn restart_part(&mut self, cx: CX![], index: usize, start: u64) {
        // The part may already have been restarted together with another one.
        if self.slots[index].start_count != start {
            return;
        }
        let part = self.slots[index].part;
        self.starter.on_restart(part);
        self.start_slot(cx, index);
        for dependent in self.starter.dependents(part) {
            let found = self.slots.iter().position(|slot| slot.part == *dependent);
            if let Some(index) = found {
                self.slots[index].owner = None;
                self.start_slot(cx, index);
            }
        }
    }

    fn add_entry(&mut self, change: AuditChange) {
        let now: ClockTime = self.clock.now();
        let entry = self.trail.record(now, self.list_revision, change);
        info!(
            "audit: {:?} {}: \"{}\" to \"{}\", {} ({})",
            entry.kind, entry.subject, entry.old, entry.new, entry.cause, entry.source
        );
    }
}

impl<P: PartName> PartSlot<P> {
    fn report(&self) -> PartReport {
        PartReport {
            part: self.part.as_str(),
            running: self.owner.is_some(),
            restarts: self.start_count.saturating_sub(1),
        }
    }
}
