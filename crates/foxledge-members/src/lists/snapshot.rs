//! The accepted list and snapshots of it.

use std::sync::Arc;

use foxledge_core::lists::RuleList;
use foxledge_wire::control::Manifest;

use super::parts::PartTable;

/// An accepted list with its manifest.
#[derive(Clone, Debug)]
pub(super) struct AcceptedList {
    pub(super) manifest: Manifest,
    pub(super) list: Arc<RuleList>,
}

/// The list in force with its parts, from which another store can be restored.
///
/// It shares its data with the store: copying 7 MB at each of 16,000 changes a day would cost time
/// and, as long as the snapshot is kept, memory.
#[derive(Clone, Debug)]
pub struct ListSnapshot {
    pub(super) accepted: AcceptedList,
    pub(super) parts: PartTable,
}

impl ListSnapshot {
    /// Returns the list.
    pub fn list(&self) -> &Arc<RuleList> {
        &self.accepted.list
    }
}
