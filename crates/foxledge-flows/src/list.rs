//! The published list as one instance knows it.

use std::{
    collections::{BTreeSet, HashMap},
    ops::Bound,
    sync::Arc,
};

use foxledge_core::time::ClockTime;
use prost::Message;

use crate::{
    list_rows::{
        evacuation_row, is_config_row, is_item_row, is_removed, item_row_key, keep_known_backend,
        newest_by_key, removal_row, removed_backend_number, tombstone_row, with_positions,
    },
    revisions::epoch_of,
    rows::{
        ExtensionValue, LIMITS_KEY, ListRow, RowValue, backend_key, evacuation_key, is_config_key,
        route_key, service_key,
    },
    source::{ConfigReading, ItemChange, ListReading},
};

/// The time, in milliseconds, for which a removed row is kept.
///
/// A removed backend server keeps its open flows for as long as a flow may last, 60 s on the users'
/// platform. An instance that was partitioned for a shorter time than this catches up by changes
/// instead of a full transfer.
const REMOVED_ROW_TTL_MS: u64 = 90_000;

/// The maximum number of remembered gaps. The changes before older gaps are no longer available.
const MAX_GAPS: usize = 8;

/// Whether the changes since a revision are available from a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCoverage {
    /// Every change is available.
    Complete,
    /// The differences are available, except for rows that were both added and removed within a
    /// gap.
    AcrossGap,
    /// The changes aren't available, and a full transfer is needed.
    Unavailable,
}

/// A position in the order of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListCursor {
    /// The revision of the last row before the position.
    pub revision: u64,
    /// The key of that row; empty for a position after all rows of lower revisions.
    pub key: Arc<str>,
}

impl ListCursor {
    /// Returns the position after every row of `revision`.
    pub fn after_revision(revision: u64) -> ListCursor {
        // Every key sorts before this one, as keys are ASCII.
        ListCursor { revision, key: Arc::from("\u{10ffff}") }
    }

    /// Returns the position before every row.
    pub fn start() -> ListCursor {
        ListCursor { revision: 0, key: Arc::from("") }
    }
}

/// A range of rows in the order of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The rows.
    pub rows: Vec<ListRow>,
    /// The position at which the next page begins; `None` after the last page.
    pub next: Option<ListCursor>,
}

/// The revisions between which a list is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListBounds {
    /// The revision up to which the list is complete.
    pub head: u64,
    /// The lowest revision such that all changes after it, and after every later one, are
    /// available.
    pub floor: u64,
    /// The revision of the newest page that the list was read from. While it is above the head, the
    /// list may contain newer rows, and lack rows that were removed after the head.
    pub newest_page: u64,
}

/// A span of revisions in which rows may have been added and removed unnoticed, as the whole list
/// was read at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListGap {
    /// The revision up to which the list was complete before.
    after: u64,
    /// The revision from which on all changes are known again: that of the whole reading, or of the
    /// operators' list in it if that is newer.
    until: u64,
}

impl ListGap {
    /// Returns true if an instance that knows the list up to `revision` may know rows that were
    /// added within the gap.
    fn contains(&self, revision: u64) -> bool {
        self.after < revision && revision < self.until
    }
}

/// All published rows, complete up to one revision.
///
/// The revision never decreases within a process: rows of an older revision than the known one are
/// ignored, whatever their source.
#[derive(Clone, Debug, Default)]
pub struct FleetList {
    rows: HashMap<Arc<str>, ListRow>,
    by_revision: BTreeSet<(u64, Arc<str>)>,
    removal_times: HashMap<Arc<str>, ClockTime>,
    head: u64,
    floor: u64,
    /// The revision of the newest page that the list was read from; see [`ListBounds`].
    newest_page: u64,
    /// The gaps, oldest first; none reaches below the floor.
    gaps: Vec<ListGap>,
}

impl FleetList {
    /// Creates an empty list, which is older than every published one.
    pub fn new() -> FleetList {
        FleetList::default()
    }

    /// Returns the revision up to which the list is complete; 0 for an empty list.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the lowest revision such that all changes after it, and after every later one, are
    /// available.
    pub fn floor(&self) -> u64 {
        self.gaps.iter().map(|gap| gap.until).fold(self.floor, u64::max)
    }

    /// Returns the revisions between which the list is known.
    pub fn bounds(&self) -> ListBounds {
        ListBounds { head: self.head, floor: self.floor(), newest_page: self.newest_page }
    }

    /// Returns whether the changes since `revision` are available to an instance that knows the
    /// list up to it.
    pub fn coverage_since(&self, revision: u64) -> ChangeCoverage {
        if revision < self.floor || self.gaps.iter().any(|gap| gap.contains(revision)) {
            return ChangeCoverage::Unavailable;
        }
        match self.gaps.iter().any(|gap| revision <= gap.after) {
            true => ChangeCoverage::AcrossGap,
            false => ChangeCoverage::Complete,
        }
    }

    /// Returns true while the list may contain rows newer than its head, or lack rows that were
    /// removed after it: the pages of the reading that it comes from were of different revisions.
    pub fn is_uneven(&self) -> bool {
        self.newest_page > self.head
            || self.by_revision.last().is_some_and(|(revision, _)| *revision > self.head)
    }

    /// Returns the operators' version of the routes; 0 while none is known.
    pub fn version(&self) -> u64 {
        self.rows.get(LIMITS_KEY).and_then(ListRow::config_version).unwrap_or(0)
    }

    /// Returns true if routes are known, so that flows can be placed.
    pub fn has_routes(&self) -> bool {
        self.contains(LIMITS_KEY)
    }

    /// Returns the number of rows, including removed ones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if no rows are known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns an iterator over all rows in no particular order.
    pub fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.values()
    }

    /// Applies the changes up to `head`. Returns the rows that were new to this list.
    pub fn apply_changes(&mut self, now: ClockTime, rows: Vec<ListRow>, head: u64) -> Vec<ListRow> {
        let former_head = self.head;
        let changed: Vec<_> = rows
            .into_iter()
            .filter(|row| row.revision > former_head && !self.is_superseded(row))
            .collect();
        let applied = changed.into_iter().filter_map(|row| self.insert_row(now, row)).collect();
        self.head = self.head.max(head);
        applied
    }

    /// Applies the changes up to `head` from an instance that read the whole list, across the
    /// resulting gap. Returns the rows that were new to this list. `bounds` are those of the
    /// sender's list.
    pub fn apply_changes_across_gap(
        &mut self,
        now: ClockTime,
        rows: Vec<ListRow>,
        bounds: ListBounds,
    ) -> Vec<ListRow> {
        let former = self.bounds();
        let applied = self.apply_changes(now, rows, bounds.head);
        self.newest_page = self.newest_page.max(bounds.newest_page);
        self.record_gap(former, bounds.head.max(bounds.floor));
        applied
    }

    /// Applies a full transfer and removes rows that it lacks.
    ///
    /// A snapshot that isn't newer than this list is ignored. `bounds` are those of the sender's
    /// list.
    pub fn apply_snapshot(
        &mut self,
        now: ClockTime,
        rows: Vec<ListRow>,
        bounds: ListBounds,
    ) -> Vec<ListRow> {
        let head = bounds.head;
        if head <= self.head {
            return Vec::new();
        }
        let mut rows = newest_by_key(rows);
        // The operators' list may come from a page that is newer than the snapshot.
        let is_newer_config =
            |row: &ListRow| row.key == LIMITS_KEY && row.revision >= self.config_revision();
        let keeps_config = self.config_revision() > head && !rows.iter().any(is_newer_config);
        if keeps_config {
            rows.retain(|row| !is_config_key(&row.key));
        }
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let removals: Vec<_> = self
            .rows
            .values()
            .filter(|row| !is_removed(row) && row.revision <= head)
            .filter(|row| !listed.contains(row.key.as_str()))
            .filter(|row| !(keeps_config && is_config_key(&row.key)))
            .map(|row| removal_row(row, head))
            .collect();
        let rows: Vec<_> =
            rows.into_iter().map(|row| self.with_effective_revision(row, head)).collect();
        let mut applied: Vec<_> =
            rows.into_iter().filter_map(|row| self.insert_row(now, row)).collect();
        applied.extend(removals.into_iter().filter_map(|row| self.insert_row(now, row)));
        self.head = head;
        self.newest_page = self.newest_page.max(bounds.newest_page);
        self.raise_floor(bounds.floor);
        applied
    }

    /// Converts a whole reading of the store into rows and applies them.
    pub fn apply_reading(&mut self, now: ClockTime, reading: ListReading) -> Vec<ListRow> {
        if reading.head < self.head {
            return Vec::new();
        }
        let (head, newest_page) = (reading.head, reading.newest_head);
        let listed: BTreeSet<String> = reading.items.iter().filter_map(item_row_key).collect();
        // If the reading lacks the operators' list, the known one stays, unless a restored store
        // lost it.
        let is_config = |item: &ItemChange| matches!(item, ItemChange::Config { .. });
        let has_lost_config =
            epoch_of(head) > epoch_of(self.head) && !reading.items.iter().any(is_config);
        let is_lost = |row: &ListRow| has_lost_config && is_config_key(&row.key);
        let removals: Vec<_> = self
            .rows
            .values()
            .filter(|row| is_item_row(row) || is_lost(row) && !is_removed(row))
            .filter(|row| row.revision <= head && !listed.contains(&row.key))
            .map(|row| removal_row(row, head))
            .collect();
        let mut applied = self.apply_items(now, reading.items);
        applied.extend(removals.into_iter().filter_map(|row| self.insert_row(now, row)));
        let former = self.bounds();
        self.head = head;
        self.newest_page = self.newest_page.max(newest_page);
        // Rows that were added and removed since this list was last complete aren't in the reading.
        // An instance that knows the list up to a revision in between may know such a row, and
        // would keep it for ever if it got only the changes known here. The same holds for routes
        // that were removed after the head if the operators' list comes from a newer page.
        self.record_gap(former, head.max(self.config_revision()));
        applied
    }

    /// Converts a part of a reading into rows without applying them.
    pub fn partial_rows(&self, items: Vec<ItemChange>) -> Vec<ListRow> {
        items.into_iter().flat_map(|item| self.rows_from_item(item)).collect()
    }

    /// Returns true if the list contains a row with this key that isn't removed.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| !is_removed(row))
    }

    /// Converts changes from the store into rows and applies them.
    pub fn apply_watch(&mut self, now: ClockTime, reading: ListReading) -> Vec<ListRow> {
        let former_head = self.head;
        let is_new = |item: &ItemChange| item.revision() > former_head;
        let changes = reading.items.into_iter().filter(is_new).collect();
        let applied = self.apply_items(now, changes);
        self.head = self.head.max(reading.head);
        applied
    }

    /// Returns the remembered removed backend servers whose number satisfies `is_requested`.
    pub fn removed_backends(
        &self,
        now: ClockTime,
        is_requested: impl Fn(u64) -> bool,
    ) -> Vec<ListRow> {
        let removed = self.removal_times.keys().filter_map(|key| self.rows.get(key));
        let matching = removed.filter(|row| removed_backend_number(row).is_some_and(&is_requested));
        let mut rows: Vec<_> = matching.map(|row| self.with_age(now, row)).collect();
        rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        rows
    }

    /// Adds backend servers that were removed before this list knew them, and returns those. Keys
    /// that the list knows are skipped, so that older rows don't override them.
    pub fn apply_removed_backends(&mut self, now: ClockTime, rows: Vec<ListRow>) -> Vec<ListRow> {
        let removed = rows.into_iter().filter(|row| removed_backend_number(row).is_some());
        let removed: Vec<_> =
            removed.filter(|row| !self.rows.contains_key(row.key.as_str())).collect();
        removed.into_iter().filter_map(|row| self.insert_row(now, row)).collect()
    }

    /// Returns the rows after a cursor in the order of changes, up to `budget` encoded bytes but at
    /// least one.
    pub fn page(&self, now: ClockTime, cursor: &ListCursor, budget: usize) -> ListPage {
        self.page_with_size(now, cursor, budget, |row| row.encoded_len() + ROW_FRAME_BYTES)
    }

    /// Works like [`FleetList::page`], with `size_of` returning the bytes that each row adds; it is
    /// called in the order of the rows.
    pub fn page_with_size(
        &self,
        now: ClockTime,
        cursor: &ListCursor,
        budget: usize,
        mut size_of: impl FnMut(&ListRow) -> usize,
    ) -> ListPage {
        let from = (cursor.revision, cursor.key.clone());
        let mut page = ListPage::default();
        let mut size = 0;
        for (revision, key) in self.by_revision.range((Bound::Excluded(from), Bound::Unbounded)) {
            let Some(row) = self.rows.get(key) else { continue };
            let row = self.with_age(now, row);
            size += size_of(&row);
            if size > budget && !page.rows.is_empty() {
                let last = page.rows.last().map(|row| row.key.as_str()).unwrap_or_default();
                let before = page.rows.last().map_or(*revision, |row| row.revision);
                page.next = Some(ListCursor { revision: before, key: Arc::from(last) });
                return page;
            }
            page.rows.push(row);
        }
        page
    }

    /// Drops removed rows that are older than any open flow.
    pub fn remove_expired(&mut self, now: ClockTime) {
        let expired: Vec<_> = self
            .removal_times
            .iter()
            .filter(|(_, removed_at)| removed_at.after_millis(REMOVED_ROW_TTL_MS).is_past(now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.removal_times.remove(&key);
            let Some(row) = self.rows.remove(&key) else { continue };
            self.by_revision.remove(&(row.revision, key));
            self.raise_floor(row.revision);
        }
    }

    /// Records that changes between the head of the bounds `former` and `until` aren't all known.
    fn record_gap(&mut self, former: ListBounds, until: u64) {
        // An uneven list may have lacked rows at its former head, and can't tell that they are gone.
        let was_complete = former.head > 0 && former.newest_page <= former.head;
        if !was_complete || epoch_of(former.head) < epoch_of(self.head) {
            return self.raise_floor(until);
        }
        if former.head < until {
            self.gaps.push(ListGap { after: former.head, until });
        }
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.remove(0);
            self.raise_floor(oldest.until);
        }
    }

    /// Returns the revision of the operators' list.
    fn config_revision(&self) -> u64 {
        self.rows.get(LIMITS_KEY).map_or(0, |row| row.revision)
    }

    /// Returns true for a row of a version of the operators' list that a known one has replaced: a
    /// page past the head may have contained a newer version.
    fn is_superseded(&self, row: &ListRow) -> bool {
        is_config_key(&row.key) && row.revision < self.config_revision()
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        let floor = self.floor;
        self.gaps.retain(|gap| gap.until > floor);
    }

    /// Returns a row of a snapshot of revision `head`, with a revision at which it takes effect.
    ///
    /// A reader of the whole list doesn't see that a route was removed and restored: the route's
    /// row is as old as the route. An instance that saw the removal knows a newer row, and yet the
    /// snapshot is right, as it is newer as a whole.
    fn with_effective_revision(&self, mut row: ListRow, head: u64) -> ListRow {
        let Some(known) = self.rows.get(row.key.as_str()) else { return row };
        let is_ignored = known.revision >= row.revision && known.revision < head;
        let are_removed = is_removed(known) && is_removed(&row);
        if is_ignored && !are_removed && known.value != row.value {
            row.revision = head;
        }
        row
    }

    /// Applies items one after the other.
    ///
    /// One response of the store may contain several versions of the operators' list. Each is
    /// compared with the one before it: otherwise a route that is removed and restored within one
    /// response would stay removed, as it returns just as it was known before.
    fn apply_items(&mut self, now: ClockTime, items: Vec<ItemChange>) -> Vec<ListRow> {
        let mut applied = Vec::new();
        for item in items {
            let rows = self.rows_from_item(item);
            applied.extend(rows.into_iter().filter_map(|row| self.insert_row(now, row)));
        }
        applied
    }

    fn rows_from_item(&self, item: ItemChange) -> Vec<ListRow> {
        match item {
            ItemChange::Config { revision, config } => self.config_rows(revision, config),
            ItemChange::Backend { revision, id, backend } => vec![ListRow {
                key: backend_key(&id),
                revision,
                value: Some(RowValue::Backend(backend)),
            }],
            ItemChange::BackendRemoved { revision, id } => {
                vec![self.removal_row(backend_key(&id), revision)]
            }
            ItemChange::EvacuationBegun { revision, data_centre } => {
                vec![evacuation_row(revision, data_centre)]
            }
            ItemChange::EvacuationEnded { revision, data_centre } => {
                vec![self.removal_row(evacuation_key(&data_centre), revision)]
            }
            ItemChange::BackendInvalid { revision, id, .. } => {
                vec![tombstone_row(backend_key(&id), revision)]
            }
            ItemChange::Malformed { .. } => Vec::new(),
        }
    }

    /// Returns the removal of a row, also of an unknown one: the newest page of a reading lacks rows
    /// that were removed after the head, and an instance that knows such a row receives its changes
    /// from this one.
    fn removal_row(&self, key: String, revision: u64) -> ListRow {
        match self.rows.get(key.as_str()) {
            Some(row) => removal_row(row, revision),
            None => tombstone_row(key, revision),
        }
    }

    /// Returns the rows that differ from the operators' list in force.
    ///
    /// An unchanged row keeps its revision, so that instances pass on one row for one changed
    /// route. At 350 routes that is about 60 bytes instead of 20 KB.
    fn config_rows(&self, revision: u64, config: ConfigReading) -> Vec<ListRow> {
        if revision < self.config_revision() {
            return Vec::new();
        }
        let mut listed = BTreeSet::new();
        let mut rows = Vec::new();
        let limits = (LIMITS_KEY.to_owned(), RowValue::Limits(config.limits));
        let routes = with_positions(config.routes)
            .into_iter()
            .map(|route| (route_key(&route.name), RowValue::Route(route)));
        let services = config.services.into_iter().map(|service| {
            (
                service_key(&service.name),
                RowValue::from_extension(&ExtensionValue::Service(service)),
            )
        });
        let invalid = config.invalid_services.iter();
        listed.extend(invalid.map(|service| service_key(&service.name)));
        for (key, value) in routes.chain(services).chain([limits]) {
            let known = self.rows.get(key.as_str()).and_then(|row| row.value.as_ref());
            if known != Some(&value) {
                rows.push(ListRow { key: key.clone(), revision, value: Some(value) });
            }
            listed.insert(key);
        }
        let removed = self
            .rows
            .values()
            .filter(|row| is_config_row(row))
            .filter(|row| row.revision < revision && !listed.contains(&row.key))
            .map(|row| removal_row(row, revision));
        rows.extend(removed);
        rows
    }

    /// Inserts a row unless a newer one is known.
    fn insert_row(&mut self, now: ClockTime, mut row: ListRow) -> Option<ListRow> {
        let key: Arc<str> = Arc::from(row.key.as_str());
        if let Some(known) = self.rows.get(&key) {
            if known.revision >= row.revision {
                return None;
            }
            row = keep_known_backend(known, row);
            self.by_revision.remove(&(known.revision, key.clone()));
        }
        match &row.value {
            Some(RowValue::Removed(removed)) => {
                let age_us = u64::from(removed.age_ms) * 1_000;
                let removed_at = ClockTime::from_micros(now.as_micros().saturating_sub(age_us));
                self.removal_times.insert(key.clone(), removed_at);
            }
            _ => {
                self.removal_times.remove(&key);
            }
        }
        self.by_revision.insert((row.revision, key.clone()));
        self.rows.insert(key, row.clone());
        Some(row)
    }

    /// Returns the row as it is sent, with the time since its removal.
    fn with_age(&self, now: ClockTime, row: &ListRow) -> ListRow {
        let mut row = row.clone();
        if let Some(RowValue::Removed(removed)) = &mut row.value {
            let removed_at = self.removal_times.get(row.key.as_str()).copied().unwrap_or(now);
            removed.age_ms = u32::try_from(now.since(removed_at).as_millis()).unwrap_or(u32::MAX);
        }
        row
    }
}

/// The bytes that a row adds to a message besides its own: a tag and a length.
const ROW_FRAME_BYTES: usize = 4;
