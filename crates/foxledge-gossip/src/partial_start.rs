//! Start of an instance on the first part of a large list.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    ListReading,
    revisions::{epoch_of, number_of},
    rows::{ListRow, RemovedRow, RowValue},
};
use rand::Rng;

use crate::{
    effects::{FleetEffect, FleetEvent},
    member::FleetMember,
    partial_list::PartialList,
};

/// Time in which peers may deliver the rest before it is read from the store, in milliseconds:
/// instances that read it immediately need about as long, and serve it from then on.
const REST_WAIT_MS: u64 = 600;
/// Random spread of that time, in milliseconds, during which most instances get the rest from
/// peers.
const REST_WAIT_SPREAD_MS: u64 = 900;
/// One in this many instances reads the rest immediately, so that some peers can serve it.
const EAGER_READER_RATIO: u32 = 10;

impl FleetMember {
    /// Returns whether flows can be placed, by the list or by its first part.
    pub fn can_serve(&self) -> bool {
        self.list.has_routes() || self.partial_list.has_routes() || self.is_retaining_config()
    }

    /// Applies the first part of the list; the rest comes from peers or is read later.
    pub(crate) fn apply_partial_list(&mut self, now: ClockTime, reading: ListReading) {
        if self.list.head() > 0 {
            return;
        }
        let head = reading.head;
        let rows = self.list.partial_rows(reading.items.clone());
        let version = rows.iter().find_map(ListRow::config_version).unwrap_or(0);
        let (epoch, revision) = (epoch_of(head), number_of(head));
        let event = FleetEvent::PartialListApplied { version, epoch, revision, rows: rows.len() };
        self.effects.push(FleetEffect::LogEvent(event));
        self.effects.push(FleetEffect::ApplyRows(rows.clone()));
        self.partial_list = PartialList::new(rows, reading);
        let is_seed = self.options.seeds.contains(&self.options.address);
        let wait = match is_seed || self.rng.random_ratio(1, EAGER_READER_RATIO) {
            true => 0,
            false => REST_WAIT_MS + self.rng.random_range(0..REST_WAIT_SPREAD_MS),
        };
        self.first_read_at = now.after_millis(wait);
    }

    /// Returns rows that remove what the first part contained and the complete list doesn't.
    ///
    /// Otherwise a backend server that left in between would receive new flows forever, because the
    /// list never says that it is gone.
    pub(crate) fn end_partial_list(&mut self) -> Vec<ListRow> {
        let rows = self.partial_list.drain_rows();
        let head = self.list.head();
        let is_unlisted = |row: &ListRow| !self.list.contains(&row.key);
        rows.into_iter().filter(is_unlisted).map(|row| removed_row(row, head)).collect()
    }
}

/// Returns the row of an entry that was removed as planned: it gets no grace period.
fn removed_row(row: ListRow, revision: u64) -> ListRow {
    let backend = match row.value {
        Some(RowValue::Backend(mut backend)) => {
            backend.draining = true;
            Some(backend)
        }
        _ => None,
    };
    let value = Some(RowValue::Removed(RemovedRow { backend, age_ms: 0 }));
    ListRow { key: row.key, revision, value }
}
