//! Items of the store that can't be understood, as far as this instance reads it.

use std::collections::BTreeMap;

use foxledge_flows::{
    ItemChange, ListReading,
    revisions::serialize_number,
    rows::{LIMITS_KEY, backend_key, service_key},
};
use serde::Serialize;

/// Most of them that are kept for operators: a writer that spoils more of them shows in
/// these as well.
const MOST_REFUSED: usize = 50;

/// `RefusedItem` is an item that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedItem {
    /// Where it lies.
    pub key: String,
    /// Its revision.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// What is wrong with it.
    pub fault: String,
}

/// `RefusedTable` is those that lie in the store, as far as is known here.
#[derive(Debug, Default)]
pub(crate) struct RefusedTable {
    items: BTreeMap<String, RefusedItem>,
}

impl RefusedTable {
    /// Those that lie in the store, by key.
    pub(crate) fn items(&self) -> impl Iterator<Item = &RefusedItem> {
        self.items.values()
    }

    /// Takes changes, or everything when `reading` is whole; returns what is new.
    ///
    /// An item that lies there for long is told once, not with each reading.
    pub(crate) fn record_reading(
        &mut self,
        reading: &ListReading,
        scope: ReadingScope,
    ) -> Vec<RefusedItem> {
        let known = match scope {
            ReadingScope::Everything => std::mem::take(&mut self.items),
            ReadingScope::Changes => BTreeMap::new(),
        };
        let mut news = Vec::new();
        for item in &reading.items {
            let faults = refused_items(item);
            if !matches!(item, ItemChange::Malformed { .. } | ItemChange::BackendInvalid { .. }) {
                self.end(item);
            }
            for refused in faults {
                let before = known.get(&refused.key).or(self.items.get(&refused.key));
                if before.is_none_or(|before| before.revision != refused.revision) {
                    news.push(refused.clone());
                }
                self.add(refused);
            }
        }
        news
    }

    fn add(&mut self, item: RefusedItem) {
        if self.items.len() < MOST_REFUSED || self.items.contains_key(&item.key) {
            self.items.insert(item.key.clone(), item);
        }
    }

    /// Forgets the item that lay where a good one does now, or none.
    fn end(&mut self, item: &ItemChange) {
        if let ItemChange::Backend { id, .. } | ItemChange::BackendRemoved { id, .. } = item {
            self.items.remove(&backend_key(id));
        }
        if let ItemChange::Config { .. } = item {
            self.items.retain(|key, _| key != LIMITS_KEY && !key.starts_with(&service_key("")));
        }
    }
}

/// `ReadingScope` is what an answer of the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadingScope {
    /// Everything.
    Everything,
    /// What changed.
    Changes,
}

fn refused_items(item: &ItemChange) -> Vec<RefusedItem> {
    let refused = |key: String, fault: &str| RefusedItem {
        key,
        revision: item.revision(),
        fault: fault.to_owned(),
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
