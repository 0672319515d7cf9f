//! When a first part of the list is taken, and when it ends.

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

/// Time in which peers may bring the rest, in milliseconds, before it is read: those that
/// read it at once need about as long, and hand it on from then.
const REST_MS: u64 = 600;
/// Spread of that time in milliseconds, in which most get the rest from peers.
const REST_SPREAD_MS: u64 = 900;
/// One of this many instances reads the rest at once, so that there are peers that have it.
const EAGER: u32 = 10;

impl FleetMember {
    /// True when flows can be placed: by the list, or by a part of it.
    pub fn can_serve(&self) -> bool {
        self.list.has_routes() || self.preview.has_routes() || self.is_retaining_config()
    }

    /// Takes a part of the list; the rest comes from peers, or is read later.
    pub(crate) fn apply_partial_list(&mut self, now: ClockTime, reading: ListReading) {
        if self.list.head() > 0 {
            return;
        }
        let head = reading.head;
        let rows = self.list.partial_rows(reading.items);
        let version = rows.iter().find_map(ListRow::config_version).unwrap_or(0);
        let (epoch, revision) = (epoch_of(head), number_of(head));
        let event = FleetEvent::ListPreviewed { version, epoch, revision, rows: rows.len() };
        self.effects.push(FleetEffect::LogEvent(event));
        self.effects.push(FleetEffect::ApplyRows(rows.clone()));
        self.preview = PartialList::new(rows, head);
        let is_seed = self.options.seeds.contains(&self.options.address);
        let wait = match is_seed || self.rng.random_ratio(1, EAGER) {
            true => 0,
            false => REST_MS + self.rng.random_range(0..REST_SPREAD_MS),
        };
        self.first_read_at = now.after_millis(wait);
    }

    /// Rows that take out what the part held and the list, known now, doesn't.
    ///
    /// Otherwise a backend server that left in between would get new flows for ever, as
    /// the list never tells that it is gone.
    pub(crate) fn end_partial_list(&mut self) -> Vec<ListRow> {
        let rows = self.preview.take_rows();
        let head = self.list.head();
        let is_gone = |row: &ListRow| !self.list.contains(&row.key);
        rows.into_iter().filter(is_gone).map(|row| gone(row, head)).collect()
    }
}

/// The row of something that left as planned: it gets no grace.
fn gone(row: ListRow, revision: u64) -> ListRow {
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
