//! The first part of a large list, used for placing flows until the whole list is known.
//!
//! When a large fleet starts at once, the store's link carries the whole list to each instance: all
//! are served at the same time, and each receives its list late. A single response contains the
//! operators' list and some backend servers, which is enough to place new flows.

use foxledge_flows::rows::{LIMITS_KEY, ListRow};

/// The rows of the first part of the list.
#[derive(Debug, Default)]
pub(crate) struct PartialList {
    rows: Vec<ListRow>,
    /// Revision of the part: older lists aren't applied after it.
    head: u64,
}

impl PartialList {
    /// Creates a part of the list as of revision `head`.
    pub(crate) fn new(rows: Vec<ListRow>, head: u64) -> PartialList {
        PartialList { rows, head }
    }

    /// Returns the rows of the part.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.iter()
    }

    /// Removes and returns the rows, because the whole list is used from now on.
    pub(crate) fn drain_rows(&mut self) -> Vec<ListRow> {
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
