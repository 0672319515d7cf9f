//! The targets of a desk.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::TargetSpec,
    names::TargetName,
    time::ClockTime,
    traffic::TrafficKind,
};

use crate::{
    health::{HealthVerdict, TargetHealth},
    options::SchedulerOptions,
    policies::TargetState,
    slots::SlotLedger,
    work::PendingWork,
};

/// `TargetTable` is every target that a desk sends work to or waits for.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<u64, TargetEntry>,
    // Invariant: the targets with fewer busy slots than published ones. A
    // service whose slots are all taken then costs no look at any target.
    roomy: BTreeSet<u64>,
    summary: TableSummary,
    last_id: u64,
    listed: bool,
}

/// `TableSummary` is what is worked out over all targets, at each tick and
/// when targets change, so that not every request costs a look at them all.
#[derive(Clone, Copy, Debug, Default)]
struct TableSummary {
    open_slots: u32,
    takes_work: bool,
    believes_doubts: bool,
}

/// `TargetEntry` is one process behind a target's name.
#[derive(Debug)]
pub struct TargetEntry {
    /// As published.
    pub spec: Arc<TargetSpec>,
    /// What this desk's dispatches hold of it.
    pub ledger: SlotLedger,
    /// What is believed of it.
    pub health: TargetHealth,
    /// Whether it is still published.
    pub stand: TargetStand,
}

/// `TargetStand` is whether a target is still published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStand {
    /// Published.
    Listed,
    /// No longer published; kept while its dispatches last.
    Retired,
}

/// `SlowWait` is how long the queue is expected to be, which decides whether
/// slow targets help.
#[derive(Clone, Copy, Debug)]
pub struct SlowWait {
    /// Expected wait for a free slot of a usual target.
    pub queue: Duration,
    /// Usual run time.
    pub usual_run: Duration,
}

/// `TargetSample` is how many candidates a policy wants, and where a run of them begins.
#[derive(Clone, Copy, Debug)]
pub struct TargetSample {
    /// Most candidates.
    pub size: usize,
    /// Any number.
    pub start: u64,
}

impl TargetTable {
    /// Takes a published list over.
    pub fn replace(
        &mut self,
        now: ClockTime,
        specs: Vec<Arc<TargetSpec>>,
        options: &SchedulerOptions,
    ) {
        for entry in self.entries.values_mut() {
            entry.stand = TargetStand::Retired;
        }
        for spec in specs {
            match self.entries.values_mut().find(|entry| is_same_process(&entry.spec, &spec)) {
                Some(entry) => {
                    entry.spec = spec;
                    entry.stand = TargetStand::Listed;
                }
                None => self.add(now, spec, options),
            }
        }
        self.listed = true;
        self.drop_unused();
        let roomy = self.entries.iter().filter(|(_, entry)| entry.is_roomy());
        self.roomy = roomy.map(|(&id, _)| id).collect();
        self.sum_up(now);
    }

    /// Takes what work of that kind holds of a target.
    pub fn take(&mut self, id: u64, kind: TrafficKind) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ledger.take(kind);
            self.note_room(id);
        }
    }

    /// Gives back what work of that kind held of a target.
    pub fn give(&mut self, id: u64, kind: TrafficKind) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ledger.give(kind);
            self.note_room(id);
        }
    }

    /// Works out what is kept over all targets.
    pub fn sum_up(&mut self, now: ClockTime) {
        let open = || self.entries.values().filter(|entry| entry.is_open());
        let fit = open().filter(|entry| !entry.health.is_ejected());
        self.summary = TableSummary {
            open_slots: fit.map(|entry| entry.spec.slots).sum(),
            takes_work: open().next().is_some(),
            believes_doubts: self.may_doubt(now),
        };
    }

    fn note_room(&mut self, id: u64) {
        if self.entries.get(&id).is_some_and(TargetEntry::is_roomy) {
            self.roomy.insert(id);
        } else {
            self.roomy.remove(&id);
        }
    }

    /// Drops targets that are neither published nor used.
    pub fn drop_unused(&mut self) {
        self.entries
            .retain(|_, entry| entry.stand == TargetStand::Listed || !entry.ledger.is_idle());
        self.roomy.retain(|id| self.entries.contains_key(id));
    }

    /// The entry of that id.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut TargetEntry> {
        self.entries.get_mut(&id)
    }

    /// The published entry of that name, with its id.
    pub fn find_mut(&mut self, name: &TargetName) -> Option<(u64, &mut TargetEntry)> {
        self.entries
            .iter_mut()
            .find(|(_, entry)| entry.stand == TargetStand::Listed && entry.spec.name == *name)
            .map(|(&id, entry)| (id, entry))
    }

    /// Every entry.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// True when some target is published and not leaving.
    pub fn takes_work(&self) -> bool {
        self.summary.takes_work
    }

    /// True when some target is published, not leaving, in service and answers its probes.
    pub fn has_answering(&self) -> bool {
        self.entries
            .values()
            .any(|entry| entry.is_open() && !entry.health.is_ejected() && !entry.health.is_silent())
    }

    /// Slots of all targets that are published, not leaving and not out.
    pub fn open_slots(&self) -> u32 {
        self.summary.open_slots
    }

    /// The targets that have room for work of that kind now.
    pub fn candidates(
        &self,
        now: ClockTime,
        kind: TrafficKind,
        wait: SlowWait,
        sample: TargetSample,
        options: &SchedulerOptions,
    ) -> Vec<TargetState> {
        let believe_doubts = self.summary.believes_doubts;
        let usable = |entry: &TargetEntry| {
            let shunned = entry.health.is_ejected()
                || entry.health.is_held(now)
                || (believe_doubts && entry.health.is_doubtful(now));
            entry.is_open()
                && !shunned
                && entry.has_room(now, kind, options)
                && entry.is_quick_enough(now, kind, wait, options)
        };
        let state = |(&id, entry): (&u64, &TargetEntry)| entry.state(now, id, options);
        if kind == TrafficKind::Feed {
            return self.entries.iter().filter(|(_, entry)| usable(entry)).map(state).collect();
        }
        // The run begins anywhere and goes once round.
        let first =
            if self.roomy.len() > sample.size { sample.start % (self.last_id + 1) } else { 0 };
        let ids = self.roomy.range(first..).chain(self.roomy.range(..first));
        let roomy = ids.filter_map(|id| self.entries.get_key_value(id));
        roomy.filter(|(_, entry)| usable(entry)).take(sample.size).map(state).collect()
    }

    /// Ejects a target if at least half of the open targets stay.
    ///
    /// Without the floor a fault that hits the answers of all targets, such as
    /// a cut link of this instance, would leave no target at all.
    pub fn eject(
        &mut self,
        now: ClockTime,
        id: u64,
        cause: &str,
        options: &SchedulerOptions,
    ) -> Option<AuditChange> {
        let open = self.entries.values().filter(|entry| entry.is_open());
        let (count, out) = open.fold((0, 0), |(count, out), entry| {
            (count + 1, out + usize::from(entry.health.is_ejected()))
        });
        if (out + 1) * 2 > count {
            return None;
        }
        let entry = self.entries.get_mut(&id)?;
        entry.health.eject(now, options);
        let name = entry.spec.name.clone();
        self.sum_up(now);
        let change = AuditChange::new(AuditKind::TargetEjected, name.as_str());
        Some(change.with_values("in", "out").with_cause(cause, "observation"))
    }

    /// Sets due probes and takes ejected targets back; calls `probe` for each
    /// target to be asked.
    pub fn tend(
        &mut self,
        now: ClockTime,
        options: &SchedulerOptions,
        mut probe: impl FnMut(&Arc<TargetSpec>),
    ) -> Vec<AuditChange> {
        let mut changes = Vec::new();
        let mut silent = Vec::new();
        for (&id, entry) in &mut self.entries {
            if entry.stand == TargetStand::Retired {
                continue;
            }
            if let Some(verdict) = entry.health.probe_due(now, options) {
                probe(&entry.spec);
                if verdict == HealthVerdict::Eject {
                    silent.push(id);
                }
            }
            if entry.health.readmit(now, options) {
                let change = AuditChange::new(AuditKind::TargetEjected, entry.spec.name.as_str());
                changes.push(
                    change.with_values("out", "in").with_cause("probe answered", "observation"),
                );
            }
        }
        let eject = |id| self.eject(now, id, "probes unanswered", options);
        changes.extend(silent.into_iter().filter_map(eject));
        self.sum_up(now);
        changes
    }

    fn add(&mut self, now: ClockTime, spec: Arc<TargetSpec>, options: &SchedulerOptions) {
        self.last_id += 1;
        // The targets of the first list have been running for all the desk
        // knows; one that comes later is new and may be cold.
        let warm_at = if self.listed { now.after(options.slow_start) } else { now };
        // First probes are spread over the period.
        let step = options.probe_interval / 16;
        let next_probe = now.after(step * (self.last_id % 16) as u32);
        let health = TargetHealth::new(warm_at, next_probe);
        let ledger = SlotLedger::default();
        let entry = TargetEntry { spec, ledger, health, stand: TargetStand::Listed };
        self.entries.insert(self.last_id, entry);
    }

    // Doubts are believed only while at least half of the open targets are
    // beyond doubt: health endpoints mislead, and all at once is no news.
    fn may_doubt(&self, now: ClockTime) -> bool {
        let open = self.entries.values().filter(|entry| entry.is_open());
        let (count, doubtful) = open.fold((0, 0), |(count, doubtful), entry| {
            let out = entry.health.is_ejected() || entry.health.is_doubtful(now);
            (count + 1, doubtful + usize::from(out))
        });
        doubtful * 2 <= count
    }
}

impl TargetEntry {
    /// True when it is published and not leaving.
    pub fn is_open(&self) -> bool {
        let leaving = self.spec.draining || self.health.reports_draining();
        self.stand == TargetStand::Listed && !leaving
    }

    fn is_roomy(&self) -> bool {
        self.ledger.busy() < self.spec.slots
    }

    fn has_room(&self, now: ClockTime, kind: TrafficKind, options: &SchedulerOptions) -> bool {
        match kind {
            TrafficKind::Feed => self.ledger.connections() < self.spec.connections,
            TrafficKind::Bid | TrafficKind::Upload => {
                self.ledger.busy() < self.allowed_slots(now, options)
            }
        }
    }

    // A cold or new target gets half its slots, a slow one on trial or one that
    // sheds a single one.
    fn allowed_slots(&self, now: ClockTime, options: &SchedulerOptions) -> u32 {
        let slots = self.spec.slots;
        let on_trial = self.health.wants_trial(now, options) || self.health.sheds_on();
        if on_trial {
            return slots.min(1);
        }
        if self.health.warmth(now, options) < 0.5 {
            return slots.div_ceil(2);
        }
        slots
    }

    // A slow target is worth its slot only when waiting for a quick one would
    // take longer than what it is slower. Lin and Kumar, "Optimal control of a
    // queueing system with two heterogeneous servers", IEEE Transactions on
    // Automatic Control 29(8), 1984.
    fn is_quick_enough(
        &self,
        now: ClockTime,
        kind: TrafficKind,
        wait: SlowWait,
        options: &SchedulerOptions,
    ) -> bool {
        if kind == TrafficKind::Feed || !self.health.is_slow(now, options) {
            return true;
        }
        wait.queue > wait.usual_run.mul_f64(self.health.pace() - 1.0)
    }

    fn state(&self, now: ClockTime, id: u64, options: &SchedulerOptions) -> TargetState {
        // A trial is made as if the target were as quick as the others, or a
        // policy that prefers quick ones would never find out that it is again.
        let on_trial = self.health.wants_trial(now, options);
        TargetState {
            name: self.spec.name.clone(),
            slots: self.allowed_slots(now, options),
            busy: self.ledger.busy(),
            connections: self.ledger.connections(),
            connection_limit: self.spec.connections,
            reported: self.health.trusted_report(now, options),
            pace: if on_trial { 1.0 } else { self.health.pace() },
            warmth: self.health.warmth(now, options),
            id,
        }
    }
}

/// Leaves out the targets that had the work already, if others are left.
pub fn leave_out_tried(states: &mut Vec<TargetState>, pending: &PendingWork) {
    let is_new = |state: &TargetState| !pending.tried.contains(&state.id);
    if !pending.tried.is_empty() && states.iter().any(is_new) {
        states.retain(is_new);
    }
}

fn is_same_process(a: &TargetSpec, b: &TargetSpec) -> bool {
    a.name == b.name && a.incarnation == b.incarnation && a.address == b.address
}
