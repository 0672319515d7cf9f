//! What is held about each instance of the data centre, and which claim wins.

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

/// Most living instances that are held; a data centre is planned for 450.
const MAX_PEERS: usize = 4096;
/// Most dead instances that are remembered.
const MAX_TOMBSTONES: usize = 1024;

/// `ClaimSource` is on whose word a claim rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimSource {
    /// The instance that the claim is about.
    Itself,
    /// Another instance.
    Hearsay,
}

/// `ClaimTerms` is the deadlines that a claim gets if it is taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimTerms {
    /// When a suspect that doesn't refute counts as dead.
    pub dead_deadline: ClockTime,
    /// When a dead instance is forgotten.
    pub forget_deadline: ClockTime,
}

/// `MergeOutcome` is what a claim did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record was held already.
    Unchanged,
    /// The record is another now; it was in this state before, if it was held.
    Changed(Option<PeerState>),
    /// What is held is newer than the claim.
    Stale,
}

/// `TableEntry` is what is held about one instance.
#[derive(Clone, Debug)]
pub(crate) struct TableEntry {
    /// The record.
    pub info: PeerInfo,
    /// When the instance counts as dead; far unless somebody suspects it.
    pub dead_deadline: ClockTime,
    /// When the record is forgotten; far unless the instance is dead.
    pub forget_deadline: ClockTime,
    /// Its place on each ring.
    pub positions: Vec<u64>,
}

/// `MemberTable` is the other instances of the data centre.
///
/// A claim is ordered by incarnation, then refutation, then the order of
/// states below, as in SWIM (Das, Gupta and Motivala, DSN 2002). Only the
/// instance itself raises the first two, so nobody can bring back a process
/// that the others have given up, nor keep one down that still answers.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceName, TableEntry>,
    /// Names with a dead deadline.
    suspects: BTreeSet<InstanceName>,
    rings: HashRings,
    digest: u64,
    tombstones: usize,
    /// Counts changes among the living.
    changes: u64,
}

impl MemberTable {
    pub(crate) fn new(rings: HashRings) -> MemberTable {
        MemberTable {
            entries: BTreeMap::new(),
            suspects: BTreeSet::new(),
            rings,
            digest: 0,
            tombstones: 0,
            changes: 0,
        }
    }

    /// Takes a claim, if it is newer than what is held.
    pub(crate) fn merge(
        &mut self,
        mut claim: PeerInfo,
        source: ClaimSource,
        terms: ClaimTerms,
    ) -> MergeOutcome {
        let Some(held) = self.entries.get(&claim.name) else {
            return self.insert(claim, terms);
        };
        let held = &held.info;
        if claim_order(&claim) < claim_order(held) {
            return MergeOutcome::Stale;
        }
        if claim_order(&claim) == claim_order(held) {
            self.accept_sign_of_life(&claim, source);
            return MergeOutcome::Unchanged;
        }

        let old = held.state;
        let same_process = claim.incarnation == held.incarnation;
        if same_process && source == ClaimSource::Hearsay && claim.state == PeerState::Dead {
            return self.suspect(&claim.name, claim.refutation, terms.dead_deadline);
        }
        // A process that has begun to leave never comes back to serving. A
        // claim of the opposite would hand it homes that it is giving up.
        let mut dead_deadline = deadline_in(claim.state, terms.dead_deadline);
        if same_process && old == PeerState::Leaving && claim.state != PeerState::Dead {
            dead_deadline = deadline_in(claim.state, terms.dead_deadline);
            claim.state = PeerState::Leaving;
        }
        self.replace(claim, dead_deadline, terms.forget_deadline);
        MergeOutcome::Changed(Some(old))
    }

    /// Suspects an instance: it counts as dead at the deadline unless it refutes.
    ///
    /// Others' word that an instance is dead is taken as a suspicion too. After
    /// a cut has healed each side holds the other's living instances as dead;
    /// taken at once, that word would empty both sides' views for a moment, and
    /// all homes would move. This way the instance has time to refute.
    pub(crate) fn suspect(
        &mut self,
        name: &str,
        refutation: u32,
        dead_deadline: ClockTime,
    ) -> MergeOutcome {
        let Some(held) = self.entries.get(name) else { return MergeOutcome::Stale };
        if held.info.state == PeerState::Dead {
            return MergeOutcome::Unchanged;
        }
        let old = held.info.state;
        let mut info = held.info.clone();
        info.refutation = info.refutation.max(refutation);
        // A suspect still holds homes, so only a serving instance becomes one;
        // one that joins or leaves keeps its state until the deadline.
        if old == PeerState::Alive {
            info.state = PeerState::Suspect;
        }
        let dead_deadline = held.dead_deadline.min(dead_deadline);
        let changed = info != held.info;
        self.replace(info, dead_deadline, ClockTime::MAX);
        if changed { MergeOutcome::Changed(Some(old)) } else { MergeOutcome::Unchanged }
    }

    /// Marks an instance dead; returns its record if it was not dead before.
    pub(crate) fn bury(&mut self, name: &str, forget_deadline: ClockTime) -> Option<PeerInfo> {
        let held = self.entries.get(name)?;
        if held.info.state == PeerState::Dead {
            return None;
        }
        let before = held.info.clone();
        let info = PeerInfo { state: PeerState::Dead, ..before.clone() };
        self.replace(info, ClockTime::MAX, forget_deadline);
        Some(before)
    }

    /// Suspects whose deadline has passed.
    pub(crate) fn overdue(&self, now: ClockTime) -> Vec<InstanceName> {
        let is_overdue = |name: &&InstanceName| {
            self.entries.get(*name).is_some_and(|entry| entry.dead_deadline.is_past(now))
        };
        self.suspects.iter().filter(is_overdue).cloned().collect()
    }

    /// Gives every suspect until `deadline` at least.
    pub(crate) fn extend_deadlines(&mut self, deadline: ClockTime) {
        for name in &self.suspects {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.dead_deadline = entry.dead_deadline.max(deadline);
            }
        }
    }

    /// Forgets the dead whose deadline has passed.
    pub(crate) fn forget(&mut self, now: ClockTime) {
        if self.tombstones == 0 {
            return;
        }
        self.entries.retain(|_, entry| !entry.forget_deadline.is_past(now));
        self.tombstones = self.dead().count();
    }

    pub(crate) fn get(&self, name: &str) -> Option<&TableEntry> {
        self.entries.get(name)
    }

    /// Instances that aren't dead, by name.
    pub(crate) fn living(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values().filter(|entry| entry.info.state != PeerState::Dead)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values().filter(|entry| entry.info.state == PeerState::Dead)
    }

    /// Number of instances that aren't dead.
    pub(crate) fn living_len(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// The dead instance that had this control address.
    pub(crate) fn dead_at(&self, address: SocketAddr) -> Option<InstanceName> {
        let found = self.dead().find(|entry| entry.info.control_address == address);
        found.map(|entry| entry.info.name.clone())
    }

    /// Rises with every change among the living.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn suspect_len(&self) -> usize {
        self.suspects.len()
    }

    /// Records with names above `after` and up to `until`, by name.
    pub(crate) fn range<'a>(
        &'a self,
        after: Option<&str>,
        until: Option<&str>,
    ) -> impl Iterator<Item = &'a PeerInfo> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        // A range must not end before it starts.
        let until = until.filter(|until| after.is_none_or(|after| after < *until));
        let end = until.map_or(Bound::Unbounded, Bound::Included);
        self.entries.range::<str, _>((start, end)).map(|(_, entry)| &entry.info)
    }

    /// The first instances after `after` that aren't dead.
    pub(crate) fn page(&self, after: Option<&str>, limit: usize) -> Vec<&PeerInfo> {
        let range = self.range(after, None);
        range.filter(|info| info.state != PeerState::Dead).take(limit).collect()
    }

    /// Digest of this table together with the own record: the same at two
    /// instances that hold the same living instances in the same states.
    pub(crate) fn digest_with(&self, me: &PeerInfo) -> u64 {
        self.digest ^ record_digest(me)
    }

    fn insert(&mut self, claim: PeerInfo, terms: ClaimTerms) -> MergeOutcome {
        if claim.state != PeerState::Dead && self.living_len() >= MAX_PEERS {
            return MergeOutcome::Unchanged;
        }
        let dead_deadline = deadline_in(claim.state, terms.dead_deadline);
        self.replace(claim, dead_deadline, terms.forget_deadline);
        MergeOutcome::Changed(None)
    }

    /// An instance that joins or leaves, and speaks for itself, isn't suspected any more.
    fn accept_sign_of_life(&mut self, claim: &PeerInfo, source: ClaimSource) {
        let settles = matches!(claim.state, PeerState::Joining | PeerState::Leaving);
        if source == ClaimSource::Hearsay || !settles {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&claim.name) {
            entry.dead_deadline = ClockTime::MAX;
            self.suspects.remove(&claim.name);
        }
    }

    /// Puts a record in place and keeps digest, suspects and tombstones in step with it.
    fn replace(&mut self, info: PeerInfo, dead_deadline: ClockTime, forget_deadline: ClockTime) {
        let is_dead = info.state == PeerState::Dead;
        if is_dead {
            self.make_room_for_tombstone();
        }
        let name = info.name.clone();
        let (dead_deadline, forget_deadline) = if is_dead {
            (ClockTime::MAX, forget_deadline)
        } else {
            (dead_deadline, ClockTime::MAX)
        };
        if dead_deadline == ClockTime::MAX {
            self.suspects.remove(&name);
        } else {
            self.suspects.insert(name.clone());
        }
        let held = self.entries.remove(&name);
        if let Some(held) = &held {
            self.discount(&held.info);
        }
        if is_dead {
            self.tombstones += 1;
        } else {
            self.digest ^= record_digest(&info);
            self.changes += 1;
        }
        let positions = match held {
            Some(held) => held.positions,
            None => self.rings.positions(&name),
        };
        let entry = TableEntry { info, dead_deadline, forget_deadline, positions };
        self.entries.insert(name, entry);
    }

    fn discount(&mut self, info: &PeerInfo) {
        if info.state == PeerState::Dead {
            self.tombstones -= 1;
        } else {
            self.digest ^= record_digest(info);
            self.changes += 1;
        }
    }

    fn make_room_for_tombstone(&mut self) {
        if self.tombstones < MAX_TOMBSTONES {
            return;
        }
        let oldest = self.dead().min_by_key(|entry| entry.forget_deadline);
        let Some(name) = oldest.map(|entry| entry.info.name.clone()) else { return };
        self.entries.remove(&name);
        self.tombstones -= 1;
    }
}

/// Orders claims about one name; the highest wins.
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

fn deadline_in(state: PeerState, dead_deadline: ClockTime) -> ClockTime {
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
