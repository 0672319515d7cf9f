//! Suspecting and burying those who don't answer.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use super::Membership;
use crate::{MemberEffect, rings::successors, table::MergeOutcome};

/// Longer wait before a death, for each instance under suspicion.
///
/// After a heal half of a data centre may be under suspicion at once, and a
/// message carries only so many refutations. With the same wait for all, those
/// whose refutation comes round last would be taken for dead.
const WAIT_PER_SUSPECT: Duration = Duration::from_millis(30);

impl Membership {
    /// Grants everybody a whole new wait after a pause of this process.
    ///
    /// A process that was frozen wakes with every deadline passed, and would
    /// declare all others dead at once, though it was the one that was away.
    /// It notices by its own ticks: none came for a large part of the wait.
    pub(super) fn grant_after_pause(&mut self, now: ClockTime) {
        let pause_deadline = self.last_tick.after(self.options.suspect_after / 2);
        if !pause_deadline.is_past(now) {
            return;
        }
        self.watch.renew(now);
        let dead_deadline = self.dead_deadline(now).after(self.options.suspect_after);
        self.table.extend_deadlines(dead_deadline);
        self.centres.renew(now, self.last_tick);
        self.exchange.restart(now);
    }

    /// Buries suspects that haven't refuted in time, and forgets those long dead.
    pub(super) fn expire(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        let forget_deadline = now.after(self.options.tombstone);
        for name in self.table.overdue(now) {
            let Some(before) = self.table.bury(&name, forget_deadline) else { continue };
            let old = Some(before.state);
            self.note_change(now, &name, old, "didn't refute in time", "deadline", effects);
        }
        self.table.forget(now);
    }

    /// Suspects observed instances that answer neither here nor to a relay.
    pub(super) fn suspect_silent(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        for name in self.watch.take_overdue(now) {
            let dead_deadline = self.dead_deadline(now);
            let Some(entry) = self.table.get(&name) else { continue };
            let refutation = entry.info.refutation;
            let outcome = self.table.suspect(&name, refutation, dead_deadline);
            if let MergeOutcome::Changed(old) = outcome {
                self.note_change(now, &name, old, "no answer", "observation", effects);
            }
        }
    }

    /// When an instance that is suspected now counts as dead.
    pub(super) fn dead_deadline(&self, now: ClockTime) -> ClockTime {
        let wait = self.options.dead_after.saturating_sub(self.options.suspect_after);
        let suspects = u32::try_from(self.table.suspect_len()).unwrap_or(u32::MAX);
        now.after(wait).after(WAIT_PER_SUSPECT.saturating_mul(suspects))
    }

    /// Observes the successors of the present view.
    pub(super) fn renew_watch(&mut self, now: ClockTime) {
        let others =
            self.table.living().map(|entry| (&entry.info.name, entry.positions.as_slice()));
        let names = successors(&self.own_positions, others);
        let address_of = |name| Some(self.table.get(name)?.info.control_address);
        let wanted = names.iter().filter_map(|name| Some((name.clone(), address_of(name)?)));
        let wanted = wanted.collect();
        self.watch.set(now, wanted);
    }
}
