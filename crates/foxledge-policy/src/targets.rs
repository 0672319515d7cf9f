//! The targets of a scheduler.

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
    health::{HealthDecision, TargetHealth},
    options::SchedulerOptions,
    policies::TargetState,
    slots::SlotLedger,
    work::PendingWork,
};

/// Holds every target that is published or has running dispatches.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<u64, TargetEntry>,
    // Invariant: the ids of the targets with fewer busy slots than published ones. If all slots
    // of a service are busy, no target has to be checked.
    free_ids: BTreeSet<u64>,
    summary: TableSummary,
    last_id: u64,
    has_list: bool,
}

/// Values computed over all targets, at each tick and when targets change, so that a request
/// doesn't have to check all of them.
#[derive(Clone, Copy, Debug, Default)]
struct TableSummary {
    open_slots: u32,
    has_open_target: bool,
    trusts_unhealthy_reports: bool,
}

/// One process that serves, or served, under the name of a target.
#[derive(Debug)]
pub struct TargetEntry {
    /// The target as published.
    pub spec: Arc<TargetSpec>,
    /// The slots and connections that dispatches of this scheduler occupy.
    pub ledger: SlotLedger,
    /// The health of the target.
    pub health: TargetHealth,
    /// Whether the target is still published.
    pub listing: TargetListing,
}

/// Whether a target is still published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetListing {
    /// Published.
    Listed,
    /// No longer published, and kept until its dispatches have ended.
    Unlisted,
}

/// The expected wait in the queue, which decides whether slow targets are used.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate {
    /// The expected wait for a free slot of a target of mean speed.
    pub queue_wait: Duration,
    /// The mean run time.
    pub mean_run_time: Duration,
}

/// The maximum number of candidates that a policy requests, and the offset of their selection.
#[derive(Clone, Copy, Debug)]
pub struct TargetSample {
    /// The maximum number of candidates.
    pub size: usize,
    /// A random number, from which the first id of the selection is derived.
    pub offset: u64,
}

impl TargetTable {
    /// Applies a published list of targets.
    ///
    /// Targets that are not in the list stay in the table until their dispatches have ended.
    pub fn replace_targets(
        &mut self,
        now: ClockTime,
        specs: Vec<Arc<TargetSpec>>,
        options: &SchedulerOptions,
    ) {
        for entry in self.entries.values_mut() {
            entry.listing = TargetListing::Unlisted;
        }
        for spec in specs {
            match self.entries.values_mut().find(|entry| is_same_process(&entry.spec, &spec)) {
                Some(entry) => {
                    entry.spec = spec;
                    entry.listing = TargetListing::Listed;
                }
                None => self.add_target(now, spec, options),
            }
        }
        self.has_list = true;
        self.remove_unused();
        let free_entries = self.entries.iter().filter(|(_, entry)| entry.has_free_slot());
        self.free_ids = free_entries.map(|(&id, _)| id).collect();
        self.update_summary(now);
    }

    /// Occupies a slot, or a connection for a feed, of a target.
    pub fn occupy(&mut self, id: u64, kind: TrafficKind) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ledger.occupy(kind);
            self.update_free_ids(id);
        }
    }

    /// Releases a slot, or a connection for a feed, of a target.
    pub fn release(&mut self, id: u64, kind: TrafficKind) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ledger.release(kind);
            self.update_free_ids(id);
        }
    }

    /// Recomputes the values that depend on all targets.
    pub fn update_summary(&mut self, now: ClockTime) {
        let open = || self.entries.values().filter(|entry| entry.is_open());
        let in_service = open().filter(|entry| !entry.health.is_ejected());
        self.summary = TableSummary {
            open_slots: in_service.map(|entry| entry.spec.slots).sum(),
            has_open_target: open().next().is_some(),
            trusts_unhealthy_reports: self.trusts_unhealthy_reports(now),
        };
    }

    fn update_free_ids(&mut self, id: u64) {
        if self.entries.get(&id).is_some_and(TargetEntry::has_free_slot) {
            self.free_ids.insert(id);
        } else {
            self.free_ids.remove(&id);
        }
    }

    /// Removes the targets that are neither published nor have dispatches.
    pub fn remove_unused(&mut self) {
        self.entries
            .retain(|_, entry| entry.listing == TargetListing::Listed || !entry.ledger.is_idle());
        self.free_ids.retain(|id| self.entries.contains_key(id));
    }

    /// Returns the target with this id.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut TargetEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns the published target with this name, and its id.
    pub fn find_listed_mut(&mut self, name: &TargetName) -> Option<(u64, &mut TargetEntry)> {
        self.entries
            .iter_mut()
            .find(|(_, entry)| entry.listing == TargetListing::Listed && entry.spec.name == *name)
            .map(|(&id, entry)| (id, entry))
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// Returns whether a target is published and not draining, as of the last summary.
    pub fn has_open_target(&self) -> bool {
        self.summary.has_open_target
    }

    /// Returns whether a target is published, not draining, not ejected and answers its probes.
    pub fn has_responsive_target(&self) -> bool {
        self.entries.values().any(|entry| {
            entry.is_open() && !entry.health.is_ejected() && !entry.health.is_unresponsive()
        })
    }

    /// Returns the slots of all targets that are published, not draining and not ejected, as of
    /// the last summary.
    pub fn open_slots(&self) -> u32 {
        self.summary.open_slots
    }

    /// Returns the targets that have capacity for work of this kind now, at most `sample.size`
    /// of them unless the work is a feed.
    pub fn candidates(
        &self,
        now: ClockTime,
        kind: TrafficKind,
        estimate: WaitEstimate,
        sample: TargetSample,
        options: &SchedulerOptions,
    ) -> Vec<TargetState> {
        let avoids_suspects = self.summary.trusts_unhealthy_reports;
        let is_usable = |entry: &TargetEntry| {
            let is_avoided = entry.health.is_ejected()
                || entry.health.is_backing_off(now)
                || (avoids_suspects && entry.health.is_suspect(now));
            entry.is_open()
                && !is_avoided
                && entry.has_capacity(now, kind, options)
                && entry.is_fast_enough(now, kind, estimate, options)
        };
        let state = |(&id, entry): (&u64, &TargetEntry)| entry.to_state(now, id, options);
        if kind == TrafficKind::Feed {
            return self.entries.iter().filter(|(_, entry)| is_usable(entry)).map(state).collect();
        }
        // The selection begins at a random id and wraps around.
        let first =
            if self.free_ids.len() > sample.size { sample.offset % (self.last_id + 1) } else { 0 };
        let ids = self.free_ids.range(first..).chain(self.free_ids.range(..first));
        let free_entries = ids.filter_map(|id| self.entries.get_key_value(id));
        free_entries.filter(|(_, entry)| is_usable(entry)).take(sample.size).map(state).collect()
    }

    /// Ejects a target if at least half of the open targets stay in service.
    ///
    /// Without this minimum, a fault that affects the responses of all targets, such as a broken
    /// link of this instance, would leave no target in service.
    pub fn eject(
        &mut self,
        now: ClockTime,
        id: u64,
        cause: &str,
        options: &SchedulerOptions,
    ) -> Option<AuditChange> {
        let open = self.entries.values().filter(|entry| entry.is_open());
        let (count, ejected) = open.fold((0, 0), |(count, ejected), entry| {
            (count + 1, ejected + usize::from(entry.health.is_ejected()))
        });
        if (ejected + 1) * 2 > count {
            return None;
        }
        let entry = self.entries.get_mut(&id)?;
        entry.health.eject(now, options);
        let name = entry.spec.name.clone();
        self.update_summary(now);
        let change = AuditChange::new(AuditKind::TargetEjected, name.as_str());
        Some(change.with_values("in", "out").with_cause(cause, "observation"))
    }

    /// Starts due probes, ejects unresponsive targets, and ends ejections. Calls `probe` for
    /// each target to be probed.
    pub fn check_targets(
        &mut self,
        now: ClockTime,
        options: &SchedulerOptions,
        mut probe: impl FnMut(&Arc<TargetSpec>),
    ) -> Vec<AuditChange> {
        let mut changes = Vec::new();
        let mut unresponsive = Vec::new();
        for (&id, entry) in &mut self.entries {
            if entry.listing == TargetListing::Unlisted {
                continue;
            }
            if let Some(decision) = entry.health.try_start_probe(now, options) {
                probe(&entry.spec);
                if decision == HealthDecision::Eject {
                    unresponsive.push(id);
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
        changes.extend(unresponsive.into_iter().filter_map(eject));
        self.update_summary(now);
        changes
    }

    fn add_target(&mut self, now: ClockTime, spec: Arc<TargetSpec>, options: &SchedulerOptions) {
        self.last_id += 1;
        // The targets of the first list are assumed to have been running for a while; a later
        // one is new and may be cold.
        let warm_at = if self.has_list { now.after(options.slow_start) } else { now };
        // The first probes are spread over the interval.
        let step = options.probe_interval / 16;
        let next_probe_at = now.after(step * (self.last_id % 16) as u32);
        let health = TargetHealth::new(warm_at, next_probe_at);
        let ledger = SlotLedger::default();
        let entry = TargetEntry { spec, ledger, health, listing: TargetListing::Listed };
        self.entries.insert(self.last_id, entry);
    }

    // Reports of unhealthy targets are used only while at least half of the open targets are
    // neither suspect nor ejected: health endpoints can be wrong, and reports of most targets
    // at once don't show that any single one is unhealthy.
    fn trusts_unhealthy_reports(&self, now: ClockTime) -> bool {
        let open = self.entries.values().filter(|entry| entry.is_open());
        let (count, suspects) = open.fold((0, 0), |(count, suspects), entry| {
            let ejected = entry.health.is_ejected() || entry.health.is_suspect(now);
            (count + 1, suspects + usize::from(ejected))
        });
        suspects * 2 <= count
    }
}

impl TargetEntry {
    /// Returns whether the target is published and not draining.
    pub fn is_open(&self) -> bool {
        let is_draining = self.spec.draining || self.health.reports_draining();
        self.listing == TargetListing::Listed && !is_draining
    }

    fn has_free_slot(&self) -> bool {
        self.ledger.busy() < self.spec.slots
    }

    fn has_capacity(&self, now: ClockTime, kind: TrafficKind, options: &SchedulerOptions) -> bool {
        match kind {
            TrafficKind::Feed => self.ledger.connections() < self.spec.connections,
            TrafficKind::Bid | TrafficKind::Upload => {
                self.ledger.busy() < self.allowed_slots(now, options)
            }
        }
    }

    // Returns the slots that may be used now: half of them for a new or cold target, and one
    // for a slow target on trial or a target that sheds persistently.
    fn allowed_slots(&self, now: ClockTime, options: &SchedulerOptions) -> u32 {
        let slots = self.spec.slots;
        let is_on_trial = self.health.needs_trial(now, options) || self.health.sheds_persistently();
        if is_on_trial {
            return slots.min(1);
        }
        if self.health.warmup_progress(now, options) < 0.5 {
            return slots.div_ceil(2);
        }
        slots
    }

    // A slow target is used only if the wait for a faster one exceeds the additional run time.
    // Lin and Kumar, "Optimal control of a queueing system with two heterogeneous servers",
    // IEEE Transactions on Automatic Control 29(8), 1984.
    fn is_fast_enough(
        &self,
        now: ClockTime,
        kind: TrafficKind,
        estimate: WaitEstimate,
        options: &SchedulerOptions,
    ) -> bool {
        if kind == TrafficKind::Feed || !self.health.is_slow(now, options) {
            return true;
        }
        estimate.queue_wait > estimate.mean_run_time.mul_f64(self.health.run_time_ratio() - 1.0)
    }

    fn to_state(&self, now: ClockTime, id: u64, options: &SchedulerOptions) -> TargetState {
        // For a trial, the target is presented as fast as the others. Otherwise a policy that
        // prefers fast targets would never notice its recovery.
        let is_on_trial = self.health.needs_trial(now, options);
        TargetState {
            name: self.spec.name.clone(),
            slots: self.allowed_slots(now, options),
            busy: self.ledger.busy(),
            connections: self.ledger.connections(),
            connection_limit: self.spec.connections,
            report: self.health.trusted_report(now, options),
            run_time_ratio: if is_on_trial { 1.0 } else { self.health.run_time_ratio() },
            warmup_progress: self.health.warmup_progress(now, options),
            id,
        }
    }
}

/// Removes the targets of earlier dispatches of the work item, unless no other is left.
pub fn exclude_tried_targets(states: &mut Vec<TargetState>, pending: &PendingWork) {
    let is_untried = |state: &TargetState| !pending.tried_targets.contains(&state.id);
    if !pending.tried_targets.is_empty() && states.iter().any(is_untried) {
        states.retain(is_untried);
    }
}

fn is_same_process(a: &TargetSpec, b: &TargetSpec) -> bool {
    a.name == b.name && a.incarnation == b.incarnation && a.address == b.address
}
