//! Construction and classification of list rows from items of the store.

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

/// Returns the newest row of each key. A paged transfer contains both the old and the new version
/// of a row that changed meanwhile.
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

/// Returns the key of the row that an existing item of the store is converted to. Returns `None`
/// for the operators' list, which is converted to many rows, for removals, and for malformed items
/// other than backend servers.
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

/// Returns true for rows of items that exist in the store as long as the row is in force: backend
/// servers and evacuations. A full reading without the item means that it was removed.
pub(crate) fn is_item_row(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Backend(_)) => true,
        Some(RowValue::Extension(row)) => {
            matches!(row.decode_value(), Some(ExtensionValue::Evacuation(_)))
        }
        _ => false,
    }
}

/// Returns true for routes and services, which a new operators' list without them removes. Limits
/// stay in force until they are replaced.
pub(crate) fn is_config_row(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Route(_)) => true,
        Some(RowValue::Extension(row)) => {
            matches!(row.decode_value(), Some(ExtensionValue::Service(_)))
        }
        _ => false,
    }
}

/// Creates the row of a data centre that is evacuated.
pub(crate) fn evacuation_row(revision: u64, data_centre: String) -> ListRow {
    let key = evacuation_key(&data_centre);
    let value = ExtensionValue::Evacuation(EvacuationRow { data_centre });
    ListRow { key, revision, value: Some(RowValue::from_extension(&value)) }
}

/// Returns the number of the backend server that a row removes, or `None` for other rows and for a
/// removal without a known backend server.
pub(crate) fn removed_backend_number(row: &ListRow) -> Option<u64> {
    match &row.value {
        Some(RowValue::Removed(removed)) => Some(removed.backend.as_ref()?.number),
        _ => None,
    }
}

/// Returns true for rows of removed items.
pub(crate) fn is_removed(row: &ListRow) -> bool {
    matches!(row.value, Some(RowValue::Removed(_)) | None)
}

/// Creates the row of a removed item of which nothing is known, or of an entry that can't be
/// decoded. It is added even if no valid entry was known, as an instance that receives its list
/// from this one may know one.
pub(crate) fn tombstone_row(key: String, revision: u64) -> ListRow {
    let removed = RemovedRow { backend: None, age_ms: 0 };
    ListRow { key, revision, value: Some(RowValue::Removed(removed)) }
}

/// Adds the known backend server, as draining, to the row of an entry that can no longer be
/// decoded: its open flows continue, and it receives no new ones.
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

/// Creates the row that replaces `row` when its item is removed at `revision`.
pub(crate) fn removal_row(row: &ListRow, revision: u64) -> ListRow {
    let backend = match &row.value {
        Some(RowValue::Backend(backend)) => Some(backend.clone()),
        Some(RowValue::Removed(removed)) => removed.backend.clone(),
        _ => None,
    };
    let removed = RemovedRow { backend, age_ms: 0 };
    ListRow { key: row.key.clone(), revision, value: Some(RowValue::Removed(removed)) }
}
