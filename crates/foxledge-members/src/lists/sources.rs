//! Who has which list, and which fetch is under way.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::{lists::ListVersion, time::ClockTime};

use crate::ListSource;

/// Most peers held as sources; those that hold the newest lists stay.
const MAX_SOURCES: usize = 16;
/// Failures in a row after which a peer is forgotten until it is heard of again.
const MAX_FAILURES: u32 = 3;
/// Failures in a row after which the wait doesn't grow any more.
const MAX_DOUBLINGS: u32 = 6;

/// `SourceEntry` is one holder of a list.
#[derive(Clone, Debug)]
struct SourceEntry {
    version: ListVersion,
    /// When a fetch under way is given up; far when there is none.
    fetch_deadline: ClockTime,
    /// Not asked before.
    next_fetch: ClockTime,
    failures: u32,
    /// Fetches so far, to spread them.
    fetches: u32,
}

impl SourceEntry {
    fn is_fetching(&self) -> bool {
        self.fetch_deadline != ClockTime::MAX
    }

    fn is_ready(&self, now: ClockTime) -> bool {
        self.is_fetching() || self.next_fetch.is_past(now)
    }
}

/// `SourceTable` is the holders of lists newer than the one in force.
///
/// At most one fetch is under way at each: a slow source is asked for one
/// thing after the other, and another source for the rest.
#[derive(Debug, Default)]
pub(super) struct SourceTable {
    entries: BTreeMap<ListSource, SourceEntry>,
}

impl SourceTable {
    /// Notes that a source holds a list; an older word of it is forgotten.
    pub(super) fn note(&mut self, now: ClockTime, source: ListSource, version: ListVersion) {
        if let Some(entry) = self.entries.get_mut(&source) {
            entry.version = version;
            return;
        }
        if self.entries.len() == MAX_SOURCES && !self.make_room(version) {
            return;
        }
        let entry = SourceEntry {
            version,
            fetch_deadline: ClockTime::MAX,
            next_fetch: now,
            failures: 0,
            fetches: 0,
        };
        self.entries.insert(source, entry);
    }

    /// The newest version that `is_wanted` takes and some source holds that can be
    /// asked, or is being asked, now.
    pub(super) fn newest_ready(
        &self,
        now: ClockTime,
        is_wanted: impl Fn(&ListVersion) -> bool,
    ) -> Option<ListVersion> {
        let ready = self.entries.values().filter(|entry| entry.is_ready(now));
        ready.map(|entry| entry.version).filter(is_wanted).max()
    }

    /// The newest version that some source holds.
    pub(super) fn newest(&self) -> Option<ListVersion> {
        self.entries.values().map(|entry| entry.version).max()
    }

    /// True when a source of that version can be asked, or is being asked, now.
    pub(super) fn is_ready(&self, now: ClockTime, version: ListVersion) -> bool {
        self.entries.values().any(|entry| entry.version == version && entry.is_ready(now))
    }

    /// Picks the source of a version to ask now, and notes the fetch.
    ///
    /// Peers go before the platform, whose reads are rationed, and the least
    /// asked peer goes first.
    pub(super) fn start_fetch(
        &mut self,
        now: ClockTime,
        version: ListVersion,
        wait: Duration,
    ) -> Option<ListSource> {
        let can_be_asked = |entry: &SourceEntry| {
            entry.version == version && !entry.is_fetching() && entry.next_fetch.is_past(now)
        };
        let free = self.entries.iter_mut().filter(|(_, entry)| can_be_asked(entry));
        let rank = |source: &ListSource, entry: &SourceEntry| {
            (entry.failures, *source == ListSource::Platform, entry.fetches)
        };
        let (source, entry) = free.min_by_key(|(source, entry)| rank(source, entry))?;
        entry.fetch_deadline = now.after(wait);
        entry.fetches += 1;
        Some(*source)
    }

    /// True while a fetch of that version is under way.
    pub(super) fn is_fetching(&self, version: ListVersion) -> bool {
        self.entries.values().any(|entry| entry.version == version && entry.is_fetching())
    }

    /// Notes that a fetch has ended well.
    pub(super) fn end_fetch(&mut self, source: ListSource) {
        if let Some(entry) = self.entries.get_mut(&source) {
            entry.fetch_deadline = ClockTime::MAX;
            entry.failures = 0;
        }
    }

    /// Notes that a fetch has failed: the source is left alone for a while.
    pub(super) fn fail_fetch(&mut self, now: ClockTime, source: ListSource, retry_wait: Duration) {
        let Some(entry) = self.entries.get_mut(&source) else { return };
        entry.fetch_deadline = ClockTime::MAX;
        entry.next_fetch = now.after(retry_wait * (1 << entry.failures.min(MAX_DOUBLINGS)));
        entry.failures += 1;
        // A peer says again what it holds with its next beat. The platform's
        // watch answers once only, so it is never forgotten.
        if source != ListSource::Platform && entry.failures >= MAX_FAILURES {
            self.entries.remove(&source);
        }
    }

    /// Notes that a source doesn't hold what was noted of it.
    pub(super) fn forget(&mut self, source: ListSource) {
        self.entries.remove(&source);
    }

    /// Sources whose fetch is overdue.
    pub(super) fn overdue(&self, now: ClockTime) -> Vec<ListSource> {
        let is_overdue = |entry: &SourceEntry| entry.fetch_deadline.is_past(now);
        let overdue = self.entries.iter().filter(|(_, entry)| is_overdue(entry));
        overdue.map(|(source, _)| *source).collect()
    }

    /// Keeps the sources of versions that are still wanted.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&ListVersion) -> bool) {
        self.entries.retain(|_, entry| is_wanted(&entry.version));
    }

    fn make_room(&mut self, version: ListVersion) -> bool {
        let peers = self.entries.iter().filter(|(source, _)| **source != ListSource::Platform);
        let oldest = peers.min_by_key(|(_, entry)| entry.version);
        let Some((source, entry)) = oldest else { return false };
        let (source, gives_way) = (*source, entry.version < version);
        if gives_way {
            self.entries.remove(&source);
        }
        gives_way
    }
}
