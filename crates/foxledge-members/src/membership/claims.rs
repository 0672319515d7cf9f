//! Handling of records and summaries received from other instances.

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    names::InstanceName,
    peers::{PeerInfo, PeerState},
    time::ClockTime,
};
use foxledge_wire::{
    control::{CentreSummary, ListVersion as WireVersion, PeerRecord},
    convert,
};

use super::Membership;
use crate::{
    MemberEffect, StaleLists,
    table::{ClaimDeadlines, ClaimSource, MergeOutcome},
};

/// The maximum number of records processed from one message.
const MAX_RECORDS_PER_MESSAGE: usize = 256;

impl Membership {
    /// Reports the list version of another instance if it is newer than the local one or conflicts
    /// with it; with [`StaleLists::Accept`], also if it is older.
    pub(super) fn compare_list_version(
        &self,
        sender: &PeerInfo,
        version: Option<WireVersion>,
        effects: &mut Vec<MemberEffect>,
    ) {
        let version = version.as_ref().map(convert::list_version).unwrap_or_default();
        let is_older = version.revision < self.list_version.revision;
        let is_reported = match self.options.stale_lists {
            StaleLists::Refuse => !is_older,
            StaleLists::Accept => true,
        };
        if version != self.list_version && is_reported {
            effects.push(MemberEffect::PeerVersion { from: sender.control_address, version });
        }
    }

    /// Applies a sender's record of itself. Returns the newer record if the sender's is stale.
    pub(super) fn apply_sender_record(
        &mut self,
        now: ClockTime,
        sender: PeerInfo,
        effects: &mut Vec<MemberEffect>,
    ) -> Vec<PeerInfo> {
        let name = sender.name.clone();
        self.apply_claim(now, sender, ClaimSource::FirstHand, &name, effects).into_iter().collect()
    }

    /// Applies update records. Returns the newer records for those that were stale.
    pub(super) fn apply_updates(
        &mut self,
        now: ClockTime,
        reporter: &InstanceName,
        records: &[PeerRecord],
        effects: &mut Vec<MemberEffect>,
    ) -> Vec<PeerInfo> {
        let mut corrections = Vec::new();
        for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
            let Ok(claim) = convert::peer_info(record) else { continue };
            if claim.data_centre != self.local_peer.data_centre || claim.name == *reporter {
                continue;
            }
            corrections.extend(self.apply_claim(
                now,
                claim,
                ClaimSource::SecondHand,
                reporter,
                effects,
            ));
        }
        corrections
    }

    /// Applies summaries relayed by an instance of the local data centre.
    pub(super) fn apply_relayed_summaries(&mut self, now: ClockTime, summaries: &[CentreSummary]) {
        for summary in summaries {
            self.centres.apply_summary(now, summary);
        }
    }

    /// Applies a message of another data centre. Of a summary of a third data centre only the
    /// contact addresses are used.
    pub(super) fn apply_remote_message(
        &mut self,
        now: ClockTime,
        sender: &PeerInfo,
        summaries: &[CentreSummary],
    ) {
        self.centres.add_address(now, &sender.data_centre, sender.control_address);
        for summary in summaries {
            if summary.data_centre == sender.data_centre.as_str() {
                self.centres.apply_summary(now, summary);
                continue;
            }
            for contact in &summary.contacts {
                if let Ok(address) = contact.control_address.parse() {
                    self.centres.add_address(now, &summary.data_centre, address);
                }
            }
        }
    }

    /// Queues a changed record for dissemination, and writes state changes to the audit trail.
    pub(super) fn record_change(
        &mut self,
        now: ClockTime,
        name: &InstanceName,
        old: Option<PeerState>,
        cause: &str,
        source: &str,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(entry) = self.table.get(name) else { return };
        let info = entry.info.clone();
        self.exchange.record_table_change();
        // An instance that left as planned will not answer again; others may be behind a partition.
        if info.state == PeerState::Dead && old != Some(PeerState::Leaving) {
            self.hints.add(now, info.control_address, entry.tombstone_deadline);
        }
        // The death of an instance that was unknown is not disseminated.
        if old.is_some() || info.state != PeerState::Dead {
            self.updates.enqueue(name.clone(), self.centre_size());
        }
        if matches!(info.state, PeerState::Suspect | PeerState::Leaving) {
            self.schedule.request_full_round();
        }
        if old != Some(info.state) {
            let old = old.map_or("unknown", PeerState::as_str);
            let change = AuditChange::new(AuditKind::MemberChanged, name.as_str())
                .with_values(old, info.state.as_str())
                .with_cause(cause, source);
            effects.push(MemberEffect::Audit(change));
        }
    }

    fn apply_claim(
        &mut self,
        now: ClockTime,
        claim: PeerInfo,
        source: ClaimSource,
        reporter: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) -> Option<PeerInfo> {
        if claim.name == self.local_peer.name {
            self.apply_local_claim(&claim, reporter, effects);
            return None;
        }
        let deadlines = ClaimDeadlines {
            dead_deadline: self.dead_deadline(now),
            tombstone_deadline: now.after(self.options.tombstone_ttl),
        };
        let name = claim.name.clone();
        match self.table.merge(claim, source, deadlines) {
            MergeOutcome::Unchanged => None,
            MergeOutcome::Stale => self.table.get(&name).map(|entry| entry.info.clone()),
            MergeOutcome::Changed(old) => {
                let cause = match source {
                    ClaimSource::FirstHand => "reported by the instance itself",
                    ClaimSource::SecondHand => "reported by a peer",
                };
                self.record_change(now, &name, old, cause, reporter, effects);
                None
            }
        }
    }

    /// Applies a claim about the local instance, and refutes it if it is false.
    fn apply_local_claim(
        &mut self,
        claim: &PeerInfo,
        reporter: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) {
        if claim.incarnation > self.local_peer.incarnation {
            self.leave_for_successor(reporter, effects);
            return;
        }
        if claim.incarnation < self.local_peer.incarnation
            || claim.refutation < self.local_peer.refutation
        {
            return;
        }
        let is_accused = matches!(claim.state, PeerState::Suspect | PeerState::Dead);
        if !is_accused || self.local_peer.state == PeerState::Dead {
            self.local_peer.refutation = claim.refutation;
            return;
        }
        self.local_peer.refutation = claim.refutation.saturating_add(1);
        self.schedule.request_full_round();
        let change = AuditChange::new(AuditKind::MemberChanged, self.local_peer.name.as_str())
            .with_values(claim.state.as_str(), self.local_peer.state.as_str())
            .with_cause("refuted a suspicion or death", reporter.as_str());
        effects.push(MemberEffect::Audit(change));
    }

    /// Leaves because a newer process has the same name.
    ///
    /// A process that resumes after it was replaced would still assume that it has homes. The
    /// others know its successor, and callers would see two instances answering under one name. It
    /// therefore accepts no new work.
    fn leave_for_successor(&mut self, reporter: &InstanceName, effects: &mut Vec<MemberEffect>) {
        if self.local_peer.state >= PeerState::Leaving {
            return;
        }
        let change = AuditChange::new(AuditKind::MemberChanged, self.local_peer.name.as_str())
            .with_values(self.local_peer.state.as_str(), PeerState::Leaving.as_str())
            .with_cause("a newer process has this name", reporter.as_str());
        self.local_peer.state = PeerState::Leaving;
        effects.push(MemberEffect::Audit(change));
    }
}
