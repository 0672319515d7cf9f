//! The root of the supervisor tree: starts the parts, starts failed ones anew, keeps the audit trail.

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

/// `PartName` is one part of a tree.
pub trait PartName: Copy + PartialEq + 'static {
    /// The prefix of the part's log lines.
    fn as_str(self) -> &'static str;
}

/// `PartStarter` makes the parts that a [`Supervisor`] looks after.
pub trait PartStarter<P: PartName> {
    /// The parts, in the order of their start.
    fn parts(&self) -> Vec<P>;

    /// Starts `part`; `notify` is told when it ends.
    fn start(&mut self, cx: CX![Supervisor<P>], part: P, notify: Ret<StopCause>) -> ActorOwnAnon;

    /// Parts that can't go on with what they know when `part` was started anew.
    fn dependents(&self, part: P) -> &'static [P];

    /// Takes note of a restart, before the part is started again.
    fn on_restart(&mut self, part: P);
}

/// `SupervisorOptions` is what a supervisor starts with.
pub struct SupervisorOptions {
    clock: ProcessClock,
    seed: u64,
    audit_limit: usize,
    restart_limits: RestartLimits,
}

impl SupervisorOptions {
    /// Options with default limits.
    pub fn new(clock: ProcessClock, seed: u64) -> SupervisorOptions {
        let restart_limits = RestartLimits::default();
        SupervisorOptions { clock, seed, audit_limit: 2000, restart_limits }
    }

    /// Sets how many entries the audit trail keeps.
    pub fn audit_limit(mut self, audit_limit: usize) -> SupervisorOptions {
        self.audit_limit = audit_limit;
        self
    }

    /// Sets the back-off of restarts.
    pub fn restart_limits(mut self, restart_limits: RestartLimits) -> SupervisorOptions {
        self.restart_limits = restart_limits;
        self
    }
}

/// `PartReport` is the state of one part, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: &'static str,
    /// True while it runs.
    pub running: bool,
    /// Restarts since the process started.
    pub restarts: u64,
}

struct PartSlot<P> {
    part: P,
    owner: Option<ActorOwnAnon>,
    backoff: RestartBackoff,
    /// Counts starts, so that the end of an earlier start isn't taken for the present one's.
    start_count: u64,
}

/// `Supervisor` is the actor at the root of the tree.
pub struct Supervisor<P: PartName> {
    starter: Box<dyn PartStarter<P>>,
    slots: Vec<PartSlot<P>>,
    clock: ProcessClock,
    rng: StdRng,
    trail: AuditTrail,
    list_revision: u64,
}

impl<P: PartName> Supervisor<P> {
    /// Starts every part.
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

    /// Notes the revision of the list in force, which later entries carry.
    pub fn set_list_revision(&mut self, _cx: CX![], revision: u64) {
        self.list_revision = revision;
    }

    /// Answers with entries of the audit trail above `after`.
    pub fn read_audit(
        &mut self,
        _cx: CX![],
        after: u64,
        limit: usize,
        answer: Box<dyn FnOnce(Vec<AuditEntry>)>,
    ) {
        answer(self.trail.read(after, limit));
    }

    /// Answers with the state of every part.
    pub fn read_parts(&mut self, _cx: CX![], answer: Box<dyn FnOnce(Vec<PartReport>)>) {
        answer(self.slots.iter().map(PartSlot::report).collect());
    }

    /// Makes a part fail, for tests; false when there is no such part.
    pub fn fail_part(&mut self, _cx: CX![], name: String, answer: Box<dyn FnOnce(bool)>) {
        let slot = self.slots.iter_mut().find(|slot| slot.part.as_str() == name);
        // Dropping the owner ends the actor, and its end is reported like any other.
        let dropped = slot.and_then(|slot| slot.owner.take());
        answer(dropped.is_some());
    }

    /// Ends the process, as something outside of the parts failed for good.
    pub fn fail_process(&mut self, cx: CX![], why: String) {
        fail!(cx, "{}", why);
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
        let name = slot.part.as_str();
        warn!("supervisor: {name} ended: {cause}");
        self.add_entry(
            AuditChange::new(AuditKind::PartRestarted, name)
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
        // A companion's restart may have come first.
        if self.slots[index].start_count != start {
            return;
        }
        let part = self.slots[index].part;
        self.starter.on_restart(part);
        self.start_slot(cx, index);
        for companion in self.starter.dependents(part) {
            let found = self.slots.iter().position(|slot| slot.part == *companion);
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
