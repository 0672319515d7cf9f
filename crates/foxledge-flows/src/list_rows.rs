//! Rows as a list makes them from what it reads.

use std::collections::HashMap;

use crate::{
    rows::{
        BackendRow, EvacuationRow, ExtensionValue, ListRow, RemovedRow, RouteRow, RowValue,
        backend_key, evacuation_key,
    },
    source::ItemChange,
};

/// Gives each route its place among those of the same address, in the operators' order.
///
/// A place among all routes would change for most of them with every route that
/// comes or goes: of 1,400 routes some 1,000 rows were sent for each such change.
pub(crate) fn placed(mut routes: Vec<RouteRow>) -> Vec<RouteRow> {
    let mut counts: HashMap<(u32, u32), u32> = HashMap::new();
    for route in &mut routes {
        let count = counts.entry((route.ip, route.port)).or_default();
        route.position = *count;
        *count += 1;
    }
    routes
}

/// Each row once, the newest: one that changed while a copy was sent page by page is
/// in it as it was and as it is.
pub(crate) fn newest_of_each(rows: Vec<ListRow>) -> Vec<ListRow> {
    let mut newest: HashMap<String, ListRow> = HashMap::new();
    for row in rows {
        match newest.get(&row.key) {
            Some(known) if known.revision >= row.revision => {}
            _ => drop(newest.insert(row.key.clone(), row)),
        }
    }
    newest.into_values().collect()
}

/// The key of the row of an item of its own, and none for the operators' list, which makes many.
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

/// True for rows that a whole reading names if they are in force.
pub(crate) fn is_of_own_item(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Backend(_)) => true,
        Some(RowValue::Extension(row)) => {
            matches!(row.decode(), Some(ExtensionValue::Evacuation(_)))
        }
        _ => false,
    }
}

/// True for rows that the operators' list makes; limits stay until there are others.
pub(crate) fn is_of_config(row: &ListRow) -> bool {
    match &row.value {
        Some(RowValue::Route(_)) => true,
        Some(RowValue::Extension(row)) => matches!(row.decode(), Some(ExtensionValue::Service(_))),
        _ => false,
    }
}

/// The row of a data centre that is to be evacuated.
pub(crate) fn evacuation(revision: u64, data_centre: String) -> ListRow {
    let key = evacuation_key(&data_centre);
    let value = ExtensionValue::Evacuation(EvacuationRow { data_centre });
    ListRow { key, revision, value: Some(RowValue::from_extension(&value)) }
}

/// The number of a backend server that is gone.
pub(crate) fn vanished_number(row: &ListRow) -> Option<u64> {
    match &row.value {
        Some(RowValue::Removed(removed)) => Some(removed.backend.as_ref()?.number),
        _ => None,
    }
}

pub(crate) fn is_removed(row: &ListRow) -> bool {
    matches!(row.value, Some(RowValue::Removed(_)) | None)
}

/// The row of an entry that can't be understood. It names nobody, and is a row also where
/// no good entry was known: an instance that has its list from here may know one.
pub(crate) fn retirement(key: String, revision: u64) -> ListRow {
    let removed = RemovedRow { backend: None, age_ms: 0 };
    ListRow { key, revision, value: Some(RowValue::Removed(removed)) }
}

/// Keeps the known backend server in the row of an entry that can't be understood any
/// more: its open flows go on, and it gets no new ones.
pub(crate) fn with_open_flows(known: &ListRow, mut row: ListRow) -> ListRow {
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

pub(crate) fn removal(row: &ListRow, revision: u64) -> ListRow {
    let backend = match &row.value {
        Some(RowValue::Backend(backend)) => Some(backend.clone()),
        Some(RowValue::Removed(removed)) => removed.backend.clone(),
        _ => None,
    };
    let removed = RemovedRow { backend, age_ms: 0 };
    ListRow { key: row.key.clone(), revision, value: Some(RowValue::Removed(removed)) }
}
