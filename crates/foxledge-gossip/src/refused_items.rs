//! Items of the store that couldn't be parsed, as far as this instance has read the store.

use std::collections::BTreeMap;

use foxledge_flows::{
    ItemChange, ListReading,
    revisions::serialize_number,
    rows::{LIMITS_KEY, backend_key, service_key},
};
use serde::Serialize;

/// Maximum number of refused items that are kept for operators. A writer that corrupts more than
/// these is visible from them as well.
const MAX_REFUSED_ITEMS: usize = 50;

/// Maximum number of characters of a fault that are kept: decoding errors may quote the whole item.
const MAX_FAULT_CHARS: usize = 200;

/// `RefusedItem` is an item of the store that couldn't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedItem {
    /// Key of the item.
    pub key: String,
    /// Revision of the item.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// What is wrong with the item.
    pub fault: String,
}

/// `RefusedTable` holds the refused items that are in the store, as far as is known here.
#[derive(Debug, Default)]
pub(crate) struct RefusedTable {
    items: BTreeMap<String, RefusedItem>,
}

impl RefusedTable {
    /// Returns the refused items, by key.
    pub(crate) fn items(&self) -> impl Iterator<Item = &RefusedItem> {
        self.items.values()
    }

    /// Records the refused items of a reading; returns those that weren't known before.
    ///
    /// An item that stays in the store is returned once, not with each reading.
    pub(crate) fn record_reading(
        &mut self,
        reading: &ListReading,
        scope: ReadingScope,
    ) -> Vec<RefusedItem> {
        let known = match scope {
            ReadingScope::Complete => std::mem::take(&mut self.items),
            ReadingScope::Changes => BTreeMap::new(),
        };
        let mut new_items = Vec::new();
        for item in &reading.items {
            let faults = refused_items(item);
            if !matches!(item, ItemChange::Malformed { .. } | ItemChange::BackendInvalid { .. }) {
                self.remove_replaced(item);
            }
            for refused in faults {
                let former = known.get(&refused.key).or(self.items.get(&refused.key));
                if former.is_none_or(|former| former.revision != refused.revision) {
                    new_items.push(refused.clone());
                }
                self.insert(refused);
            }
        }
        new_items
    }

    fn insert(&mut self, item: RefusedItem) {
        if self.items.len() < MAX_REFUSED_ITEMS || self.items.contains_key(&item.key) {
            self.items.insert(item.key.clone(), item);
        }
    }

    /// Removes the refused items that a valid item, or a removal, has replaced.
    fn remove_replaced(&mut self, item: &ItemChange) {
        if let ItemChange::Backend { id, .. } | ItemChange::BackendRemoved { id, .. } = item {
            self.items.remove(&backend_key(id));
        }
        if let ItemChange::Config { .. } = item {
            self.items.retain(|key, _| key != LIMITS_KEY && !key.starts_with(&service_key("")));
        }
    }
}

/// `ReadingScope` is what a response of the store covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadingScope {
    /// The whole list.
    Complete,
    /// Changes only.
    Changes,
}

fn refused_items(item: &ItemChange) -> Vec<RefusedItem> {
    let refused = |key: String, fault: &str| RefusedItem {
        key,
        revision: item.revision(),
        fault: fault.chars().take(MAX_FAULT_CHARS).collect(),
    };
    match item {
        ItemChange::Malformed { key, fault, .. } => vec![refused(key.clone(), fault)],
        ItemChange::BackendInvalid { id, fault, .. } => vec![refused(backend_key(id), fault)],
        ItemChange::Config { config, .. } => {
            let services = config.invalid_services.iter();
            services.map(|service| refused(service_key(&service.name), &service.fault)).collect()
        }
        _ => Vec::new(),
    }
}
