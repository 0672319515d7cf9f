//! The records of the instances of the data centre, and the precedence of claims about them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

use foxledge_core::{
    hash::digest_of,
    names::InstanceName,
    peers::{PeerInfo, PeerState},
    time::ClockTime,
};

use crate::rings::HashRings;

/// The maximum number of living instances stored; a data centre is planned for 450.
const MAX_LIVING_PEERS: usize = 4096;
/// The maximum number of dead instances stored.
const MAX_TOMBSTONES: usize = 1024;

/// The source of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimSource {
    /// The instance that the claim is about.
    FirstHand,
    /// Another instance.
    SecondHand,
}

/// The deadlines that a claim gets if it is accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimDeadlines {
    /// The time at which a suspect that has not refuted is considered dead.
    pub dead_deadline: ClockTime,
    /// The time at which the record of a dead instance is removed.
    pub tombstone_deadline: ClockTime,
}

/// The result of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record already matched the claim.
    Unchanged,
    /// The record has changed. Contains its former state, if there was a record.
    Changed(Option<PeerState>),
    /// The existing record is newer than the claim.
    Stale,
}

/// The record of one instance with its deadlines.
#[derive(Clone, Debug)]
pub(crate) struct TableEntry {
    /// The record.
    pub info: PeerInfo,
    /// The time at which the instance is considered dead; [`ClockTime::MAX`] unless it is
    /// suspected.
    pub dead_deadline: ClockTime,
    /// The time at which the record is removed; [`ClockTime::MAX`] unless the instance is dead.
    pub tombstone_deadline: ClockTime,
    /// The positions on the hash rings.
    pub positions: Vec<u64>,
}

/// The other instances of the data centre.
///
/// Claims are ordered by incarnation, then refutation, then the rank of the state, as in SWIM (Das,
/// Gupta and Motivala, DSN 2002). Only the instance itself raises the first two, so no other
/// instance can revive a process that was declared dead, or keep one dead that still answers.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceName, TableEntry>,
    /// The names of the instances with a dead deadline.
    suspects: BTreeSet<InstanceName>,
    rings: HashRings,
    digest: u64,
    tombstones: usize,
    /// The number of changes among the living instances.
    change_count: u64,
}

impl MemberTable {
    pub(crate) fn new(rings: HashRings) -> MemberTable {
        MemberTable {
            entries: BTreeMap::new(),
            suspects: BTreeSet::new(),
            rings,
            digest: 0,
            tombstones: 0,
            change_count: 0,
        }
    }

    /// Applies a claim if it is newer than the existing record.
    pub(crate) fn merge(
        &mut self,
        mut claim: PeerInfo,
        source: ClaimSource,
        deadlines: ClaimDeadlines,
    ) -> MergeOutcome {
        let Some(existing) = self.entries.get(&claim.name) else {
            return self.insert(claim, deadlines);
        };
        let existing = &existing.info;
        if claim_order(&claim) < claim_order(existing) {
            return MergeOutcome::Stale;
        }
        if claim_order(&claim) == claim_order(existing) {
            self.clear_suspicion(&claim, source);
            return MergeOutcome::Unchanged;
        }

        let old_state = existing.state;
        let is_same_process = claim.incarnation == existing.incarnation;
        if is_same_process && source == ClaimSource::SecondHand && claim.state == PeerState::Dead {
            return self.suspect(&claim.name, claim.refutation, deadlines.dead_deadline);
        }
        // A process that has begun to leave never returns to serving. A claim to the contrary would
        // assign it homes that it is giving up.
        let mut dead_deadline = deadline_for_state(claim.state, deadlines.dead_deadline);
        if is_same_process && old_state == PeerState::Leaving && claim.state != PeerState::Dead {
            dead_deadline = deadline_for_state(claim.state, deadlines.dead_deadline);
            claim.state = PeerState::Leaving;
        }
        self.replace(claim, dead_deadline, deadlines.tombstone_deadline);
        MergeOutcome::Changed(Some(old_state))
    }

    /// Suspects an instance: it is considered dead at the deadline unless it refutes.
    ///
    /// A second-hand claim that an instance is dead is treated as a suspicion too. After a
    /// partition has healed, each side has the other's living instances recorded as dead. If those
    /// claims were applied directly, both sides' views would be empty for a moment and all homes
    /// would move. As a suspect, the instance has time to refute.
    pub(crate) fn suspect(
        &mut self,
        name: &str,
        refutation: u32,
        dead_deadline: ClockTime,
    ) -> MergeOutcome {
        let Some(existing) = self.entries.get(name) else { return MergeOutcome::Stale };
        if existing.info.state == PeerState::Dead {
            return MergeOutcome::Unchanged;
        }
        let old_state = existing.info.state;
        let mut info = existing.info.clone();
        info.refutation = info.refutation.max(refutation);
        // A suspect keeps its homes, so only a serving instance becomes one. An instance that is
        // joining or leaving keeps its state until the deadline.
        if old_state == PeerState::Alive {
            info.state = PeerState::Suspect;
        }
        let dead_deadline = existing.dead_deadline.min(dead_deadline);
        let is_changed = info != existing.info;
        self.replace(info, dead_deadline, ClockTime::MAX);
        if is_changed { MergeOutcome::Changed(Some(old_state)) } else { MergeOutcome::Unchanged }
    }

    /// Marks an instance dead. Returns its former record, or `None` if it was dead or unknown.
    pub(crate) fn mark_dead(
        &mut self,
        name: &str,
        tombstone_deadline: ClockTime,
    ) -> Option<PeerInfo> {
        let existing = self.entries.get(name)?;
        if existing.info.state == PeerState::Dead {
            return None;
        }
        let previous = existing.info.clone();
        let info = PeerInfo { state: PeerState::Dead, ..previous.clone() };
        self.replace(info, ClockTime::MAX, tombstone_deadline);
        Some(previous)
    }

    /// Returns the suspects whose deadline has passed.
    pub(crate) fn overdue_suspects(&self, now: ClockTime) -> Vec<InstanceName> {
        let is_overdue = |name: &&InstanceName| {
            self.entries.get(*name).is_some_and(|entry| entry.dead_deadline.is_past(now))
        };
        self.suspects.iter().filter(is_overdue).cloned().collect()
    }

    /// Extends the deadline of every suspect to `deadline` at least.
    pub(crate) fn extend_deadlines(&mut self, deadline: ClockTime) {
        for name in &self.suspects {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.dead_deadline = entry.dead_deadline.max(deadline);
            }
        }
    }

    /// Removes the dead instances whose tombstone deadline has passed.
    pub(crate) fn remove_expired(&mut self, now: ClockTime) {
        if self.tombstones == 0 {
            return;
        }
        self.entries.retain(|_, entry| !entry.tombstone_deadline.is_past(now));
        self.tombstones = self.dead().count();
    }

    pub(crate) fn get(&self, name: &str) -> Option<&TableEntry> {
        self.entries.get(name)
    }

    /// Returns the instances that are not dead, ordered by name.
    pub(crate) fn living(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values().filter(|entry| entry.info.state != PeerState::Dead)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values().filter(|entry| entry.info.state == PeerState::Dead)
    }

    /// Returns the number of instances that are not dead.
    pub(crate) fn living_count(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// Returns the dead instance that had this control address.
    pub(crate) fn dead_with_address(&self, address: SocketAddr) -> Option<InstanceName> {
        let found = self.dead().find(|entry| entry.info.control_address == address);
        found.map(|entry| entry.info.name.clone())
    }

    /// Returns a counter that increases with every change among the living instances.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    pub(crate) fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the records with names above `after` and up to `until`, ordered by name.
    pub(crate) fn records_between<'a>(
        &'a self,
        after: Option<&str>,
        until: Option<&str>,
    ) -> impl Iterator<Item = &'a PeerInfo> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        // `BTreeMap::range` panics if the range ends before it starts.
        let until = until.filter(|until| after.is_none_or(|after| after < *until));
        let end = until.map_or(Bound::Unbounded, Bound::Included);
        self.entries.range::<str, _>((start, end)).map(|(_, entry)| &entry.info)
    }

    /// Returns the first `limit` living instances with names above `after`.
    pub(crate) fn living_page(&self, after: Option<&str>, limit: usize) -> Vec<&PeerInfo> {
        let records = self.records_between(after, None);
        records.filter(|info| info.state != PeerState::Dead).take(limit).collect()
    }

    /// Returns the digest of this table and the local record. It is equal at two instances whose
    /// tables contain the same living instances with the same incarnations, refutations and states.
    pub(crate) fn digest_with(&self, local_peer: &PeerInfo) -> u64 {
        self.digest ^ record_digest(local_peer)
    }

    fn insert(&mut self, claim: PeerInfo, deadlines: ClaimDeadlines) -> MergeOutcome {
        if claim.state != PeerState::Dead && self.living_count() >= MAX_LIVING_PEERS {
            return MergeOutcome::Unchanged;
        }
        let dead_deadline = deadline_for_state(claim.state, deadlines.dead_deadline);
        self.replace(claim, dead_deadline, deadlines.tombstone_deadline);
        MergeOutcome::Changed(None)
    }

    /// Ends the suspicion of an instance that is joining or leaving, if the claim is its own.
    fn clear_suspicion(&mut self, claim: &PeerInfo, source: ClaimSource) {
        let is_joining_or_leaving = matches!(claim.state, PeerState::Joining | PeerState::Leaving);
        if source == ClaimSource::SecondHand || !is_joining_or_leaving {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&claim.name) {
            entry.dead_deadline = ClockTime::MAX;
            self.suspects.remove(&claim.name);
        }
    }

    /// Replaces a record, and updates the digest, the suspects and the number of tombstones.
    fn replace(&mut self, info: PeerInfo, dead_deadline: ClockTime, tombstone_deadline: ClockTime) {
        let is_dead = info.state == PeerState::Dead;
        if is_dead {
            self.evict_oldest_tombstone();
        }
        let name = info.name.clone();
        let (dead_deadline, tombstone_deadline) = if is_dead {
            (ClockTime::MAX, tombstone_deadline)
        } else {
            (dead_deadline, ClockTime::MAX)
        };
        if dead_deadline == ClockTime::MAX {
            self.suspects.remove(&name);
        } else {
            self.suspects.insert(name.clone());
        }
        let existing = self.entries.remove(&name);
        if let Some(existing) = &existing {
            self.remove_from_totals(&existing.info);
        }
        if is_dead {
            self.tombstones += 1;
        } else {
            self.digest ^= record_digest(&info);
            self.change_count += 1;
        }
        let positions = match existing {
            Some(existing) => existing.positions,
            None => self.rings.positions(&name),
        };
        let entry = TableEntry { info, dead_deadline, tombstone_deadline, positions };
        self.entries.insert(name, entry);
    }

    fn remove_from_totals(&mut self, info: &PeerInfo) {
        if info.state == PeerState::Dead {
            self.tombstones -= 1;
        } else {
            self.digest ^= record_digest(info);
            self.change_count += 1;
        }
    }

    fn evict_oldest_tombstone(&mut self) {
        if self.tombstones < MAX_TOMBSTONES {
            return;
        }
        let oldest = self.dead().min_by_key(|entry| entry.tombstone_deadline);
        let Some(name) = oldest.map(|entry| entry.info.name.clone()) else { return };
        self.entries.remove(&name);
        self.tombstones -= 1;
    }
}

/// Returns the sort key of a claim. Of the claims about one instance the highest wins.
pub(crate) fn claim_order(info: &PeerInfo) -> (u64, u32, u8) {
    let rank = match info.state {
        PeerState::Joining => 0,
        PeerState::Alive => 1,
        PeerState::Suspect => 2,
        PeerState::Leaving => 3,
        PeerState::Dead => 4,
    };
    (info.incarnation, info.refutation, rank)
}

fn deadline_for_state(state: PeerState, dead_deadline: ClockTime) -> ClockTime {
    if state == PeerState::Suspect { dead_deadline } else { ClockTime::MAX }
}

fn record_digest(info: &PeerInfo) -> u64 {
    let (incarnation, refutation, rank) = claim_order(info);
    let mut bytes = info.name.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(incarnation.to_le_bytes());
    bytes.extend(refutation.to_le_bytes());
    bytes.push(rank);
    digest_of(&bytes)
}
