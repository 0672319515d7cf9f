//! Suspicion and death of instances that don't answer.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use super::Membership;
use crate::{MemberEffect, rings::successors, table::MergeOutcome};

/// The time added to the deadline of a new suspect for each existing one.
///
/// After a heal, half of a data centre may be suspected at once, and a message carries a limited
/// number of refutations. With the same timeout for all, the instances whose refutations are
/// disseminated last would be considered dead.
const EXTRA_TIMEOUT_PER_SUSPECT: Duration = Duration::from_millis(30);

impl Membership {
    /// Extends all deadlines after a pause of this process.
    ///
    /// A process that was frozen resumes with every deadline passed, and would declare all others
    /// dead, though it was itself unavailable. It detects the pause by the absence of its own ticks
    /// for half of the suspicion time.
    pub(super) fn extend_after_pause(&mut self, now: ClockTime) {
        let pause_deadline = self.last_tick.after(self.options.suspect_after / 2);
        if !pause_deadline.is_past(now) {
            return;
        }
        self.observed.reset_deadlines(now);
        let dead_deadline = self.dead_deadline(now).after(self.options.suspect_after);
        self.table.extend_deadlines(dead_deadline);
        self.centres.extend_deadlines(now, self.last_tick);
        self.exchange.restart(now);
    }

    /// Marks suspects dead that have not refuted in time, and removes expired tombstones.
    pub(super) fn expire_suspects(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        let tombstone_deadline = now.after(self.options.tombstone_ttl);
        for name in self.table.overdue_suspects(now) {
            let Some(former) = self.table.mark_dead(&name, tombstone_deadline) else { continue };
            let old = Some(former.state);
            self.record_change(now, &name, old, "didn't refute in time", "deadline", effects);
        }
        self.table.remove_expired(now);
    }

    /// Suspects observed instances that answer neither directly nor to a relay.
    pub(super) fn suspect_unresponsive(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        for name in self.observed.poll_unresponsive(now) {
            let dead_deadline = self.dead_deadline(now);
            let Some(entry) = self.table.get(&name) else { continue };
            let refutation = entry.info.refutation;
            let outcome = self.table.suspect(&name, refutation, dead_deadline);
            if let MergeOutcome::Changed(old) = outcome {
                self.record_change(now, &name, old, "no answer", "observation", effects);
            }
        }
    }

    /// Returns the time at which an instance that is suspected now is considered dead.
    pub(super) fn dead_deadline(&self, now: ClockTime) -> ClockTime {
        let timeout = self.options.dead_after.saturating_sub(self.options.suspect_after);
        let suspects = u32::try_from(self.table.suspect_count()).unwrap_or(u32::MAX);
        now.after(timeout).after(EXTRA_TIMEOUT_PER_SUSPECT.saturating_mul(suspects))
    }

    /// Sets the observed instances to the successors in the current view.
    pub(super) fn update_observed(&mut self, now: ClockTime) {
        let others =
            self.table.living().map(|entry| (&entry.info.name, entry.positions.as_slice()));
        let names = successors(&self.local_positions, others);
        let address_of = |name| Some(self.table.get(name)?.info.control_address);
        let observed_peers =
            names.iter().filter_map(|name| Some((name.clone(), address_of(name)?)));
        let observed_peers = observed_peers.collect();
        self.observed.replace_peers(now, observed_peers);
    }
}
