//! A first part of a large list, on which flows are served until all of it is known.
//!
//! When a large fleet starts together, the store's link carries the whole list to each
//! instance: all are served at once, and each has its list late. One answer holds the operators'
//! list and some backend servers: enough to place new flows.

use foxledge_flows::rows::{LIMITS_KEY, ListRow};

/// `PartialList` is the part that serves.
#[derive(Debug, Default)]
pub(crate) struct PartialList {
    rows: Vec<ListRow>,
    /// Revision of the part: older lists aren't taken after it.
    head: u64,
}

impl PartialList {
    /// A part of the list as of a revision.
    pub(crate) fn new(rows: Vec<ListRow>, head: u64) -> PartialList {
        PartialList { rows, head }
    }

    /// The rows of the part.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.iter()
    }

    /// Takes the rows out, as the list itself serves from now on.
    pub(crate) fn take_rows(&mut self) -> Vec<ListRow> {
        std::mem::take(&mut self.rows)
    }

    /// True when routes are known by it.
    pub(crate) fn has_routes(&self) -> bool {
        self.rows.iter().any(|row| row.key == LIMITS_KEY)
    }

    /// True once there was one.
    pub(crate) fn was_received(&self) -> bool {
        self.head > 0
    }

    /// Revision of the part; 0 without one.
    pub(crate) fn head(&self) -> u64 {
        self.head
    }
}
