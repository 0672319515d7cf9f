//! The sources of newer lists, and the fetches in progress.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::{lists::ListVersion, time::ClockTime};

use crate::ListSource;

/// The maximum number of peers stored as sources; those with the newest lists are kept.
const MAX_SOURCES: usize = 16;
/// The failures in a row after which a peer is removed until it reports its version again.
const MAX_FAILURES: u32 = 3;
/// The failures in a row after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// A source of one list version.
#[derive(Clone, Debug)]
struct SourceEntry {
    version: ListVersion,
    /// The time at which the fetch in progress is given up; [`ClockTime::MAX`] without one.
    fetch_deadline: ClockTime,
    /// The earliest time of the next fetch.
    next_fetch_at: ClockTime,
    failures: u32,
    /// The number of fetches so far, used to spread them over the sources.
    fetches: u32,
}

impl SourceEntry {
    fn is_fetching(&self) -> bool {
        self.fetch_deadline != ClockTime::MAX
    }

    fn is_ready(&self, now: ClockTime) -> bool {
        self.is_fetching() || self.next_fetch_at.is_past(now)
    }
}

/// The sources of lists newer than the one in force.
///
/// At most one fetch is in progress at each source, so that a slow source gets one request at a
/// time and another source gets the rest.
#[derive(Debug, Default)]
pub(super) struct SourceTable {
    entries: BTreeMap<ListSource, SourceEntry>,
}

impl SourceTable {
    /// Records the version at a source, replacing an earlier one.
    pub(super) fn record_version(
        &mut self,
        now: ClockTime,
        source: ListSource,
        version: ListVersion,
    ) {
        if let Some(entry) = self.entries.get_mut(&source) {
            entry.version = version;
            return;
        }
        if self.entries.len() == MAX_SOURCES && !self.evict_older(version) {
            return;
        }
        let entry = SourceEntry {
            version,
            fetch_deadline: ClockTime::MAX,
            next_fetch_at: now,
            failures: 0,
            fetches: 0,
        };
        self.entries.insert(source, entry);
    }

    /// Returns the newest version accepted by `is_wanted` at a source that is available or being
    /// fetched from now.
    pub(super) fn newest_ready(
        &self,
        now: ClockTime,
        is_wanted: impl Fn(&ListVersion) -> bool,
    ) -> Option<ListVersion> {
        let ready = self.entries.values().filter(|entry| entry.is_ready(now));
        ready.map(|entry| entry.version).filter(is_wanted).max()
    }

    /// Returns the newest version at any source.
    pub(super) fn newest_version(&self) -> Option<ListVersion> {
        self.entries.values().map(|entry| entry.version).max()
    }

    /// Returns true if a source of that version is available or being fetched from now.
    pub(super) fn is_ready(&self, now: ClockTime, version: ListVersion) -> bool {
        self.entries.values().any(|entry| entry.version == version && entry.is_ready(now))
    }

    /// Selects an available source of a version and records the start of the fetch.
    ///
    /// Sources with the fewest failures in a row are preferred; among equals, peers to the
    /// platform, whose reads are limited, and among peers those with the fewest fetches.
    pub(super) fn start_fetch(
        &mut self,
        now: ClockTime,
        version: ListVersion,
        timeout: Duration,
    ) -> Option<ListSource> {
        let is_available = |entry: &SourceEntry| {
            entry.version == version && !entry.is_fetching() && entry.next_fetch_at.is_past(now)
        };
        let available = self.entries.iter_mut().filter(|(_, entry)| is_available(entry));
        let rank = |source: &ListSource, entry: &SourceEntry| {
            (entry.failures, *source == ListSource::Platform, entry.fetches)
        };
        let (source, entry) = available.min_by_key(|(source, entry)| rank(source, entry))?;
        entry.fetch_deadline = now.after(timeout);
        entry.fetches += 1;
        Some(*source)
    }

    /// Returns true while a fetch of that version is in progress.
    pub(super) fn is_fetching(&self, version: ListVersion) -> bool {
        self.entries.values().any(|entry| entry.version == version && entry.is_fetching())
    }

    /// Records the success of a fetch.
    pub(super) fn end_fetch(&mut self, source: ListSource) {
        if let Some(entry) = self.entries.get_mut(&source) {
            entry.fetch_deadline = ClockTime::MAX;
            entry.failures = 0;
        }
    }

    /// Records the failure of a fetch and starts the source's backoff.
    pub(super) fn fail_fetch(
        &mut self,
        now: ClockTime,
        source: ListSource,
        retry_backoff: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(&source) else { return };
        entry.fetch_deadline = ClockTime::MAX;
        entry.next_fetch_at = now.after(retry_backoff * (1 << entry.failures.min(MAX_DOUBLINGS)));
        entry.failures += 1;
        // A peer reports its version again with its next heartbeat. The platform's watch responds
        // only once, so the platform is never removed.
        if source != ListSource::Platform && entry.failures >= MAX_FAILURES {
            self.entries.remove(&source);
        }
    }

    /// Removes a source that does not have its recorded version.
    pub(super) fn remove(&mut self, source: ListSource) {
        self.entries.remove(&source);
    }

    /// Returns the sources whose fetch has timed out.
    pub(super) fn overdue_fetches(&self, now: ClockTime) -> Vec<ListSource> {
        let is_overdue = |entry: &SourceEntry| entry.fetch_deadline.is_past(now);
        let overdue = self.entries.iter().filter(|(_, entry)| is_overdue(entry));
        overdue.map(|(source, _)| *source).collect()
    }

    /// Removes the sources of versions that are no longer wanted.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&ListVersion) -> bool) {
        self.entries.retain(|_, entry| is_wanted(&entry.version));
    }

    fn evict_older(&mut self, version: ListVersion) -> bool {
        let peers = self.entries.iter().filter(|(source, _)| **source != ListSource::Platform);
        let oldest = peers.min_by_key(|(_, entry)| entry.version);
        let Some((source, entry)) = oldest else { return false };
        let (source, is_older) = (*source, entry.version < version);
        if is_older {
            self.entries.remove(&source);
        }
        is_older
    }
}
