//! Construction of list rows from items of the store.

use std::collections::HashMap;

use crate::{
    rows::{
        BackendRow, EvacuationRow, ExtensionValue, ListRow, RemovedRow, RouteRow, RowValue,
        backend_key, evacuation_key,
    },
    source::ItemChange,
};

/// Assigns each route its position among the routes of the same address, in the operators' order.
///
/// A position among all routes would change for most routes whenever one is added or removed: with
/// 1,400 routes, about 1,000 rows were sent for each such change.
pub(crate) fn with_positions(mut routes: Vec<RouteRow>) -> Vec<RouteRow> {
    let mut counts: HashMap<(u32, u32), u32> = HashMap::new();
    for route in &mut routes {
        let count = counts.entry((route.ip, route.port)).or_default();
        route.position = *count;
        *count += 1;
    }
    routes
}

/// Returns the newest row of each key. A row that changed during a paged transfer is contained in
/// it both as it was and as it is.
pub(crate) fn newest_by_key(rows: Vec<ListRow>) -> Vec<ListRow> {
    let mut newest: HashMap<String, ListRow> = HashMap::new();
    for row in rows {
        match newest.get(&row.key) {
            Some(known) if known.revision >= row.revision => {}
            _ => drop(newest.insert(row.key.clone(), row)),
        }
    }
    newest.into_values().collect()
}

/// Returns the key of an item's row, or `None` for the operators' list, which yields many rows, for
/// removals and for other malformed items.
pub(crate) fn item_row_key(item: &ItemChange) -> Option<String> {
    match item {
        ItemChange::Backend { id, .. } => Some(backend_key(id)),
        ItemChange::BackendInvalid { id, .. } => Some(backend_key(id)),
        ItemChange::EvacuationBegun { data_centre, .. } => Some(evacuation_key(data_centre)),
        ItemChange::Malformed { .. }
        | ItemChange::Config { .. }
        | ItemChange::EvacuationEnded { .. }
        | ItemChange::BackendRemoved { .. } => None,
    }
}

/// Returns true for rows that a whole reading contains as items of their own while they are in
/// force.
pub(crate) fn is_item_row(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Backend(_)) => true,
        Some(RowValue::Extension(row)) => {
            matches!(row.decode_value(), Some(ExtensionValue::Evacuation(_)))
        }
        _ => false,
    }
}

/// Returns true for rows that are part of the operators' list. Limits aren't among them, as they
/// stay until they are replaced.
pub(crate) fn is_config_row(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Route(_)) => true,
        Some(RowValue::Extension(row)) => {
            matches!(row.decode_value(), Some(ExtensionValue::Service(_)))
        }
        _ => false,
    }
}

/// Returns the row of a data centre that is evacuated.
pub(crate) fn evacuation_row(revision: u64, data_centre: String) -> ListRow {
    let key = evacuation_key(&data_centre);
    let value = ExtensionValue::Evacuation(EvacuationRow { data_centre });
    ListRow { key, revision, value: Some(RowValue::from_extension(&value)) }
}

/// Returns the number of a removed backend server.
pub(crate) fn removed_backend_number(row: &ListRow) -> Option<u64> {
    match &row.value {
        Some(RowValue::Removed(removed)) => Some(removed.backend.as_ref()?.number),
        _ => None,
    }
}

pub(crate) fn is_removed(row: &ListRow) -> bool {
    matches!(row.value, Some(RowValue::Removed(_)) | None)
}

/// Returns the row of an entry that can't be decoded. It names no backend server. It is added even
/// if no valid entry was known, as an instance that gets its list from this one may know one.
pub(crate) fn invalid_entry_row(key: String, revision: u64) -> ListRow {
    let removed = RemovedRow { backend: None, age_ms: 0 };
    ListRow { key, revision, value: Some(RowValue::Removed(removed)) }
}

/// Keeps the known backend server in the row of an entry that can no longer be decoded: its open
/// flows continue, and it gets no new ones.
pub(crate) fn keep_known_backend(known: &ListRow, mut row: ListRow) -> ListRow {
    let backend = match &known.value {
        Some(RowValue::Backend(backend)) => backend,
        Some(RowValue::Removed(RemovedRow { backend: Some(backend), .. })) => backend,
        _ => return row,
    };
    if let Some(RowValue::Removed(removed)) = &mut row.value {
        removed.backend.get_or_insert_with(|| BackendRow { draining: true, ..backend.clone() });
    }
    row
}

pub(crate) fn removal_row(row: &ListRow, revision: u64) -> ListRow {
    let backend = match &row.value {
        Some(RowValue::Backend(backend)) => Some(backend.clone()),
        Some(RowValue::Removed(removed)) => removed.backend.clone(),
        _ => None,
    };
    let removed = RemovedRow { backend, age_ms: 0 };
    ListRow { key: row.key.clone(), revision, value: Some(RowValue::Removed(removed)) }
}
