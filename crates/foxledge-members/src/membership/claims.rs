//! Taking what others say.

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
    table::{ClaimSource, ClaimTerms, MergeOutcome},
};

/// Most records that are read of one message.
const MAX_RECORDS: usize = 256;

impl Membership {
    /// Reports a list at another instance that is newer than the own, or contradicts it.
    pub(super) fn compare_version(
        &self,
        sender: &PeerInfo,
        version: Option<WireVersion>,
        effects: &mut Vec<MemberEffect>,
    ) {
        let version = version.as_ref().map(convert::list_version).unwrap_or_default();
        let is_older = version.revision < self.version.revision;
        let counts = match self.options.stale_lists {
            StaleLists::Refuse => !is_older,
            StaleLists::Accept => true,
        };
        if version != self.version && counts {
            effects.push(MemberEffect::PeerVersion { from: sender.control_address, version });
        }
    }

    /// Takes what an instance says of itself; returns what it should know better.
    pub(super) fn take_sender(
        &mut self,
        now: ClockTime,
        sender: PeerInfo,
        effects: &mut Vec<MemberEffect>,
    ) -> Vec<PeerInfo> {
        let name = sender.name.clone();
        self.take_claim(now, sender, ClaimSource::Itself, &name, effects).into_iter().collect()
    }

    /// Takes news; returns what its sender should know better.
    pub(super) fn take_news(
        &mut self,
        now: ClockTime,
        teller: &InstanceName,
        news: &[PeerRecord],
        effects: &mut Vec<MemberEffect>,
    ) -> Vec<PeerInfo> {
        let mut corrections = Vec::new();
        for record in news.iter().take(MAX_RECORDS) {
            let Ok(claim) = convert::peer_info(record) else { continue };
            if claim.data_centre != self.me.data_centre || claim.name == *teller {
                continue;
            }
            corrections.extend(self.take_claim(now, claim, ClaimSource::Hearsay, teller, effects));
        }
        corrections
    }

    /// Takes summaries that an instance of the own data centre passes on.
    pub(super) fn take_relayed(&mut self, now: ClockTime, summaries: &[CentreSummary]) {
        for summary in summaries {
            self.centres.take(now, summary);
        }
    }

    /// Takes what an instance of another data centre says; a summary of a third
    /// data centre only tells whom to ask there.
    pub(super) fn take_foreign(
        &mut self,
        now: ClockTime,
        sender: &PeerInfo,
        summaries: &[CentreSummary],
    ) {
        self.centres.add_address(now, &sender.data_centre, sender.control_address);
        for summary in summaries {
            if summary.data_centre == sender.data_centre.as_str() {
                self.centres.take(now, summary);
                continue;
            }
            for contact in &summary.contacts {
                if let Ok(address) = contact.control_address.parse() {
                    self.centres.add_address(now, &summary.data_centre, address);
                }
            }
        }
    }

    /// Notes that a record has changed: passes it on and records it.
    pub(super) fn note_change(
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
        self.exchange.note_change();
        // Whoever left as planned won't answer again; others may be beyond a cut.
        if info.state == PeerState::Dead && old != Some(PeerState::Leaving) {
            self.hints.add(now, info.control_address, entry.forget_deadline);
        }
        // Nobody needs to hear of a death of somebody unheard of.
        if old.is_some() || info.state != PeerState::Dead {
            self.news.add(name.clone(), self.size());
        }
        if matches!(info.state, PeerState::Suspect | PeerState::Leaving) {
            self.round.widen();
        }
        if old != Some(info.state) {
            let old = old.map_or("unknown", PeerState::as_str);
            let change = AuditChange::new(AuditKind::MemberChanged, name.as_str())
                .with_values(old, info.state.as_str())
                .with_cause(cause, source);
            effects.push(MemberEffect::Audit(change));
        }
    }

    fn take_claim(
        &mut self,
        now: ClockTime,
        claim: PeerInfo,
        source: ClaimSource,
        teller: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) -> Option<PeerInfo> {
        if claim.name == self.me.name {
            self.take_own_claim(&claim, teller, effects);
            return None;
        }
        let terms = ClaimTerms {
            dead_deadline: self.dead_deadline(now),
            forget_deadline: now.after(self.options.tombstone),
        };
        let name = claim.name.clone();
        match self.table.merge(claim, source, terms) {
            MergeOutcome::Unchanged => None,
            MergeOutcome::Stale => self.table.get(&name).map(|entry| entry.info.clone()),
            MergeOutcome::Changed(old) => {
                let cause = match source {
                    ClaimSource::Itself => "said so itself",
                    ClaimSource::Hearsay => "heard of it",
                };
                self.note_change(now, &name, old, cause, teller, effects);
                None
            }
        }
    }

    /// Takes what others say of this instance, and refutes it if it is wrong.
    fn take_own_claim(
        &mut self,
        claim: &PeerInfo,
        teller: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) {
        if claim.incarnation > self.me.incarnation {
            self.give_way(teller, effects);
            return;
        }
        if claim.incarnation < self.me.incarnation || claim.refutation < self.me.refutation {
            return;
        }
        let is_accused = matches!(claim.state, PeerState::Suspect | PeerState::Dead);
        if !is_accused || self.me.state == PeerState::Dead {
            self.me.refutation = claim.refutation;
            return;
        }
        self.me.refutation = claim.refutation.saturating_add(1);
        self.round.widen();
        let change = AuditChange::new(AuditKind::MemberChanged, self.me.name.as_str())
            .with_values(claim.state.as_str(), self.me.state.as_str())
            .with_cause("refuted what others held", teller.as_str());
        effects.push(MemberEffect::Audit(change));
    }

    /// Stops taking homes, as a newer process has this name.
    ///
    /// A process that wakes after it was replaced would go on believing that it
    /// holds homes. The others have its successor; one would notice two
    /// instances that answer for one name. So it takes no new work.
    fn give_way(&mut self, teller: &InstanceName, effects: &mut Vec<MemberEffect>) {
        if self.me.state >= PeerState::Leaving {
            return;
        }
        let change = AuditChange::new(AuditKind::MemberChanged, self.me.name.as_str())
            .with_values(self.me.state.as_str(), PeerState::Leaving.as_str())
            .with_cause("a newer process has this name", teller.as_str());
        self.me.state = PeerState::Leaving;
        effects.push(MemberEffect::Audit(change));
    }
}
