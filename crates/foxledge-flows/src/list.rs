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
        evacuation, is_of_config, is_of_own_item, is_removed, item_row_key, newest_of_each, placed,
        removal, retirement, vanished_number, with_open_flows,
    },
    revisions::epoch_of,
    rows::{
        ExtensionValue, LIMITS_KEY, ListRow, RowValue, backend_key, evacuation_key, is_config_key,
        route_key, service_key,
    },
    source::{ConfigReading, ItemChange, ListReading},
};

/// How long a removed row stays known, in milliseconds.
///
/// A removed backend server keeps its open flows for as long as a flow may last
/// (60 s on the users' platform), and an instance that was cut off for less than
/// this catches up by changes instead of by a whole copy.
const REMOVED_KEPT_MS: u64 = 90_000;

/// Most gaps that are remembered; of older ones the changes are told no longer.
const MOST_GAPS: usize = 8;

/// `ChangeCoverage` is how a list can tell the changes since a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCoverage {
    /// Every change.
    Complete,
    /// What differs, but for what came and went within a gap.
    AcrossGap,
    /// Not at all: a whole copy is needed.
    Unavailable,
}

/// `ListCursor` is a place in the order of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListCursor {
    /// Revision of the last row before the place.
    pub revision: u64,
    /// Its key; empty for a place after all rows of lower revisions.
    pub key: Arc<str>,
}

impl ListCursor {
    /// The place after every row of `revision`.
    pub fn after_revision(revision: u64) -> ListCursor {
        // No key sorts behind this one, as keys are ASCII.
        ListCursor { revision, key: Arc::from("\u{10ffff}") }
    }

    /// The place before every row.
    pub fn start() -> ListCursor {
        ListCursor { revision: 0, key: Arc::from("") }
    }
}

/// `ListPage` is some rows in the order of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The rows.
    pub rows: Vec<ListRow>,
    /// Where the next page begins; none after the last.
    pub next: Option<ListCursor>,
}

/// `ListGap` is a span of revisions in which rows may have come and gone unseen, as the list
/// was read whole at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListGap {
    /// Revision up to which the list was known in full before.
    after: u64,
    /// Revision of the whole reading.
    until: u64,
}

impl ListGap {
    /// True when an instance that knows the list up to `revision` may know rows that came
    /// within the gap.
    fn holds(&self, revision: u64) -> bool {
        self.after < revision && revision < self.until
    }
}

/// `FleetList` is every published row, known in full up to one revision.
///
/// The revision never falls within a process: rows of an older revision than
/// the known one are passed over, whoever brings them.
#[derive(Clone, Debug, Default)]
pub struct FleetList {
    rows: HashMap<Arc<str>, ListRow>,
    order: BTreeSet<(u64, Arc<str>)>,
    removed: HashMap<Arc<str>, ClockTime>,
    head: u64,
    floor: u64,
    /// The oldest first; none reaches below the floor.
    gaps: Vec<ListGap>,
}

impl FleetList {
    /// Makes an empty list, older than every published one.
    pub fn new() -> FleetList {
        FleetList::default()
    }

    /// The revision up to which the list is known in full; 0 before the first.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Changes can be told after this revision and every later one.
    pub fn floor(&self) -> u64 {
        self.gaps.last().map_or(self.floor, |gap| gap.until.max(self.floor))
    }

    /// How the changes after `revision` can be told to an instance that knows the list up to it.
    pub fn coverage_since(&self, revision: u64) -> ChangeCoverage {
        if revision < self.floor || self.gaps.iter().any(|gap| gap.holds(revision)) {
            return ChangeCoverage::Unavailable;
        }
        match self.gaps.iter().any(|gap| revision <= gap.after) {
            true => ChangeCoverage::AcrossGap,
            false => ChangeCoverage::Complete,
        }
    }

    /// True when rows are known that changed after the revision up to which all are.
    ///
    /// Pages of a whole reading are no snapshot: the later ones may hold newer rows.
    pub fn has_rows_past_head(&self) -> bool {
        self.order.last().is_some_and(|(revision, _)| *revision > self.head)
    }

    /// The operators' version of the routes; 0 while none is known.
    pub fn version(&self) -> u64 {
        self.rows.get(LIMITS_KEY).and_then(ListRow::config_version).unwrap_or(0)
    }

    /// True when routes are known, so that flows can be placed.
    pub fn has_routes(&self) -> bool {
        self.contains(LIMITS_KEY)
    }

    /// Number of rows, removed ones included.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True when nothing is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Every row, in no order.
    pub fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.values()
    }

    /// Takes what changed up to `head`; returns the rows that were new here.
    pub fn apply_changes(&mut self, now: ClockTime, rows: Vec<ListRow>, head: u64) -> Vec<ListRow> {
        let known = self.head;
        let news: Vec<_> = rows.into_iter().filter(|row| row.revision > known).collect();
        let taken = news.into_iter().filter_map(|row| self.put(now, row)).collect();
        self.head = self.head.max(head);
        taken
    }

    /// Takes what changed up to `head`, as told over a gap by an instance that read the list
    /// whole; returns the rows that were new here.
    pub fn apply_changes_across_gap(
        &mut self,
        now: ClockTime,
        rows: Vec<ListRow>,
        head: u64,
    ) -> Vec<ListRow> {
        let former = self.head;
        let taken = self.apply_changes(now, rows, head);
        self.note_gap(former);
        taken
    }

    /// Takes a whole copy; rows that it lacks are gone.
    ///
    /// A copy that isn't newer than what is known is passed over. `floor` is that of whoever
    /// made the copy.
    pub fn apply_snapshot(
        &mut self,
        now: ClockTime,
        rows: Vec<ListRow>,
        head: u64,
        floor: u64,
    ) -> Vec<ListRow> {
        if head <= self.head {
            return Vec::new();
        }
        let rows = newest_of_each(rows);
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let gone: Vec<_> = self
            .rows
            .values()
            .filter(|row| !is_removed(row) && row.revision <= head)
            .filter(|row| !listed.contains(row.key.as_str()))
            .map(|row| removal(row, head))
            .collect();
        let rows: Vec<_> = rows.into_iter().map(|row| self.overriding(row, head)).collect();
        let mut taken: Vec<_> = rows.into_iter().filter_map(|row| self.put(now, row)).collect();
        taken.extend(gone.into_iter().filter_map(|row| self.put(now, row)));
        self.head = head;
        self.raise_floor(floor);
        taken
    }

    /// Turns a whole reading of the store into rows and takes them.
    pub fn apply_reading(&mut self, now: ClockTime, reading: ListReading) -> Vec<ListRow> {
        if reading.head < self.head {
            return Vec::new();
        }
        let head = reading.head;
        let listed: BTreeSet<String> = reading.items.iter().filter_map(item_row_key).collect();
        // Without a list of the operators the known one stays, unless a restored store lost it.
        let is_config = |item: &ItemChange| matches!(item, ItemChange::Config { .. });
        let has_lost_config =
            epoch_of(head) > epoch_of(self.head) && !reading.items.iter().any(is_config);
        let is_lost = |row: &ListRow| has_lost_config && is_config_key(&row.key);
        let gone: Vec<_> = self
            .rows
            .values()
            .filter(|row| is_of_own_item(row) || is_lost(row) && !is_removed(row))
            .filter(|row| row.revision <= head && !listed.contains(&row.key))
            .map(|row| removal(row, head))
            .collect();
        let mut taken = self.put_items(now, reading.items);
        taken.extend(gone.into_iter().filter_map(|row| self.put(now, row)));
        let former = std::mem::replace(&mut self.head, head);
        // What came and went since this list was last complete isn't in the
        // reading. An instance that knows the list up to a revision in between may
        // know it, and would keep it for ever if it were given only the changes known here.
        self.note_gap(former);
        taken
    }

    /// Turns a part of a reading into rows and takes none of them.
    pub fn partial_rows(&self, items: Vec<ItemChange>) -> Vec<ListRow> {
        items.into_iter().flat_map(|item| self.rows_of(item)).collect()
    }

    /// True when a row of this key is in the list and not gone.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| !is_removed(row))
    }

    /// Turns changes of the store into rows and takes them.
    pub fn apply_watch(&mut self, now: ClockTime, reading: ListReading) -> Vec<ListRow> {
        let known = self.head;
        let is_news = |item: &ItemChange| item.revision() > known;
        let news = reading.items.into_iter().filter(is_news).collect();
        let taken = self.put_items(now, news);
        self.head = self.head.max(reading.head);
        taken
    }

    /// Backend servers that are gone and still remembered, of the numbers that are meant.
    pub fn removed_backends(&self, now: ClockTime, is_meant: impl Fn(u64) -> bool) -> Vec<ListRow> {
        let known = self.removed.keys().filter_map(|key| self.rows.get(key));
        let meant = known.filter(|row| vanished_number(row).is_some_and(&is_meant));
        let mut rows: Vec<_> = meant.map(|row| self.aged(now, row)).collect();
        rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        rows
    }

    /// Takes backend servers that were gone before this list knew them; returns those. What the
    /// list says of a key stands: an older word of it mustn't come back.
    pub fn apply_removed_backends(&mut self, now: ClockTime, rows: Vec<ListRow>) -> Vec<ListRow> {
        let news = rows.into_iter().filter(|row| vanished_number(row).is_some());
        let news: Vec<_> = news.filter(|row| !self.rows.contains_key(row.key.as_str())).collect();
        news.into_iter().filter_map(|row| self.put(now, row)).collect()
    }

    /// Rows after a cursor, in order of changes, up to `budget` encoded bytes but one at least.
    pub fn page(&self, now: ClockTime, cursor: &ListCursor, budget: usize) -> ListPage {
        self.page_with_size(now, cursor, budget, |row| row.encoded_len() + ROW_FRAME)
    }

    /// The same, with the bytes that each row adds told by `size_of`, in the order of rows.
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
        for (revision, key) in self.order.range((Bound::Excluded(from), Bound::Unbounded)) {
            let Some(row) = self.rows.get(key) else { continue };
            let row = self.aged(now, row);
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

    /// Forgets removals that are older than any open flow.
    pub fn remove_expired(&mut self, now: ClockTime) {
        let old: Vec<_> = self
            .removed
            .iter()
            .filter(|(_, at)| at.after_millis(REMOVED_KEPT_MS).is_past(now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in old {
            self.removed.remove(&key);
            let Some(row) = self.rows.remove(&key) else { continue };
            self.order.remove(&(row.revision, key));
            self.raise_floor(row.revision);
        }
    }

    /// Notes that the list was known in full up to `former`, and is again up to its head.
    fn note_gap(&mut self, former: u64) {
        if former == 0 || epoch_of(former) < epoch_of(self.head) {
            return self.raise_floor(self.head);
        }
        if former < self.head {
            self.gaps.push(ListGap { after: former, until: self.head });
        }
        if self.gaps.len() > MOST_GAPS {
            let oldest = self.gaps.remove(0);
            self.raise_floor(oldest.until);
        }
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        let floor = self.floor;
        self.gaps.retain(|gap| gap.until > floor);
    }

    /// A row of a copy of revision `head`, under a revision at which it counts.
    ///
    /// Who reads a whole list doesn't see a route that went and came back: its row is
    /// as old as the route. An instance that saw it go knows a newer row, and yet the
    /// copy is right, as it is newer as a whole.
    fn overriding(&self, mut row: ListRow, head: u64) -> ListRow {
        let Some(known) = self.rows.get(row.key.as_str()) else { return row };
        let is_passed_over = known.revision >= row.revision && known.revision < head;
        let are_removed = is_removed(known) && is_removed(&row);
        if is_passed_over && !are_removed && known.value != row.value {
            row.revision = head;
        }
        row
    }

    /// Takes items one after the other.
    ///
    /// One answer may hold several lists. Each is compared with the one before it: a
    /// route that goes and comes back within one answer would else stay gone, as it
    /// comes back just as it had been known.
    fn put_items(&mut self, now: ClockTime, items: Vec<ItemChange>) -> Vec<ListRow> {
        let mut taken = Vec::new();
        for item in items {
            let rows = self.rows_of(item);
            taken.extend(rows.into_iter().filter_map(|row| self.put(now, row)));
        }
        taken
    }

    fn rows_of(&self, item: ItemChange) -> Vec<ListRow> {
        match item {
            ItemChange::Config { revision, config } => self.config_rows(revision, config),
            ItemChange::Backend { revision, id, backend } => vec![ListRow {
                key: backend_key(&id),
                revision,
                value: Some(RowValue::Backend(backend)),
            }],
            ItemChange::BackendRemoved { revision, id } => self.gone(&backend_key(&id), revision),
            ItemChange::EvacuationBegun { revision, data_centre } => {
                vec![evacuation(revision, data_centre)]
            }
            ItemChange::EvacuationEnded { revision, data_centre } => {
                self.gone(&evacuation_key(&data_centre), revision)
            }
            ItemChange::BackendInvalid { revision, id, .. } => {
                vec![retirement(backend_key(&id), revision)]
            }
            ItemChange::Malformed { .. } => Vec::new(),
        }
    }

    /// The row of something that is gone, if it was known.
    fn gone(&self, key: &str, revision: u64) -> Vec<ListRow> {
        let known = self.rows.get(key);
        known.map(|row| removal(row, revision)).into_iter().collect()
    }

    /// The rows that differ from the operators' list in force.
    ///
    /// A row that didn't change keeps its revision, so that instances pass on
    /// one row for one changed route. At 350 routes that is some 60 bytes in
    /// place of 20 KB.
    fn config_rows(&self, revision: u64, config: ConfigReading) -> Vec<ListRow> {
        let mut listed = BTreeSet::new();
        let mut rows = Vec::new();
        let limits = (LIMITS_KEY.to_owned(), RowValue::Limits(config.limits));
        let routes = placed(config.routes)
            .into_iter()
            .map(|route| (route_key(&route.name), RowValue::Route(route)));
        let services = config.services.into_iter().map(|service| {
            (
                service_key(&service.name),
                RowValue::from_extension(&ExtensionValue::Service(service)),
            )
        });
        let refused = config.invalid_services.iter();
        listed.extend(refused.map(|service| service_key(&service.name)));
        for (key, value) in routes.chain(services).chain([limits]) {
            let known = self.rows.get(key.as_str()).and_then(|row| row.value.as_ref());
            if known != Some(&value) {
                rows.push(ListRow { key: key.clone(), revision, value: Some(value) });
            }
            listed.insert(key);
        }
        let gone = self
            .rows
            .values()
            .filter(|row| is_of_config(row))
            .filter(|row| row.revision < revision && !listed.contains(&row.key))
            .map(|row| removal(row, revision));
        rows.extend(gone);
        rows
    }

    /// Puts a row in place unless a newer one is known.
    fn put(&mut self, now: ClockTime, mut row: ListRow) -> Option<ListRow> {
        let key: Arc<str> = Arc::from(row.key.as_str());
        if let Some(known) = self.rows.get(&key) {
            if known.revision >= row.revision {
                return None;
            }
            row = with_open_flows(known, row);
            self.order.remove(&(known.revision, key.clone()));
        }
        match &row.value {
            Some(RowValue::Removed(removed)) => {
                let age = u64::from(removed.age_ms) * 1_000;
                let at = ClockTime::from_micros(now.as_micros().saturating_sub(age));
                self.removed.insert(key.clone(), at);
            }
            _ => {
                self.removed.remove(&key);
            }
        }
        self.order.insert((row.revision, key.clone()));
        self.rows.insert(key, row.clone());
        Some(row)
    }

    /// The row with the time since its removal, as it is sent.
    fn aged(&self, now: ClockTime, row: &ListRow) -> ListRow {
        let mut row = row.clone();
        if let Some(RowValue::Removed(removed)) = &mut row.value {
            let at = self.removed.get(row.key.as_str()).copied().unwrap_or(now);
            removed.age_ms = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        }
        row
    }
}

/// Bytes that a row takes in a message beside its own: a tag and a length.
const ROW_FRAME: usize = 4;
