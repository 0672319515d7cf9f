//! The first part of a large list, used for placing flows until the whole list is known.
//!
//! When a large fleet starts at once, the store's link carries the whole list to each instance: all
//! are served at the same time, and each receives its list late. A single response contains the
//! operators' list and some backend servers, which is enough to place new flows.

use foxledge_flows::{
    ListReading,
    rows::{LIMITS_KEY, ListRow},
};

/// The rows of the first part of the list.
#[derive(Debug, Default)]
pub(crate) struct PartialList {
    rows: Vec<ListRow>,
    /// The first page of the store, which its other pages complete; `None` if they can't.
    first_page: Option<ListReading>,
    /// Revision of the part: older lists aren't applied after it.
    head: u64,
}

impl PartialList {
    /// Creates the part with these rows from the first page of the store.
    pub(crate) fn new(rows: Vec<ListRow>, first_page: ListReading) -> PartialList {
        let head = first_page.head;
        PartialList { rows, first_page: Some(first_page), head }
    }

    /// Returns the reading of the first page and the other ones. Returns `None`, and gives up the
    /// first page, if they are of different epochs.
    pub(crate) fn join_remainder(&mut self, remainder: ListReading) -> Option<ListReading> {
        let first_page = self.first_page.take()?;
        let is_same_epoch = first_page.epoch() == remainder.epoch();
        is_same_epoch.then(|| first_page.joined_with(remainder))
    }

    /// Returns the rows of the part.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.iter()
    }

    /// Removes and returns the rows, because the whole list is used from now on.
    pub(crate) fn drain_rows(&mut self) -> Vec<ListRow> {
        self.first_page = None;
        std::mem::take(&mut self.rows)
    }

    /// Returns whether the part contains the routes.
    pub(crate) fn has_routes(&self) -> bool {
        self.rows.iter().any(|row| row.key == LIMITS_KEY)
    }

    /// Returns whether a part of the list has ever been received.
    pub(crate) fn was_received(&self) -> bool {
        self.head > 0
    }

    /// Returns the revision of the part; 0 if none was received.
    pub(crate) fn head(&self) -> u64 {
        self.head
    }
}
