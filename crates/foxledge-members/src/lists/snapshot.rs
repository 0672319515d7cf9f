//! The list in force.

use std::sync::Arc;

use foxledge_core::lists::RuleList;
use foxledge_wire::control::Manifest;

use super::parts::PartTable;

/// `HeldList` is a list in force, with its manifest.
#[derive(Clone, Debug)]
pub(super) struct HeldList {
    pub(super) manifest: Manifest,
    pub(super) list: Arc<RuleList>,
}

/// `ListSnapshot` is the list in force with its parts, for a store that follows.
///
/// It shares all of it with the store it was taken from: a copy of 7 MB at each
/// of 16,000 changes a day would cost time and, while it is kept, memory.
#[derive(Clone, Debug)]
pub struct ListSnapshot {
    pub(super) held: HeldList,
    pub(super) parts: PartTable,
}

impl ListSnapshot {
    /// The list.
    pub fn list(&self) -> &Arc<RuleList> {
        &self.held.list
    }
}
