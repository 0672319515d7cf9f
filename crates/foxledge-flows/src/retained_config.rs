//! The operators' list that stays in force while a restored store holds an older one.
//!
//! A store that was restored from an older backup has lost the newest versions until operators
//! write them again. [`FleetList`](crate::FleetList) follows the store, as instances disseminate
//! the store's changes, but the list in force doesn't go back to an older version.

use std::{collections::BTreeMap, ops::Bound};

use crate::{
    list_rows::removal_row,
    rows::{ListRow, RowValue, is_config_key},
};

/// The operators' list in force, from an older epoch than the store's.
#[derive(Clone, Debug)]
pub struct RetainedConfig {
    version: u64,
    rows: BTreeMap<String, ListRow>,
}

impl RetainedConfig {
    /// Returns the operators' list contained in `rows`, or `None` if they name no version.
    pub fn from_rows<'a>(rows: impl Iterator<Item = &'a ListRow>) -> Option<RetainedConfig> {
        let rows = rows.filter(|row| is_current_config_row(row));
        let rows: BTreeMap<_, _> = rows.map(|row| (row.key.clone(), row.clone())).collect();
        let version = rows.values().find_map(ListRow::config_version)?;
        Some(RetainedConfig { version, rows })
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an iterator over the rows, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = &ListRow> {
        self.rows.values()
    }

    /// Returns the number of rows after the key `after` that fit into one page, at least one, and
    /// whether more follow. `fits` tells whether one more row fits.
    pub fn page_length(
        &self,
        after: &str,
        mut fits: impl FnMut(&ListRow) -> bool,
    ) -> (usize, bool) {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let mut count = 0;
        for (_, row) in self.rows.range::<str, _>(from) {
            if !fits(row) && count > 0 {
                return (count, true);
            }
            count += 1;
        }
        (count, false)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.rows.values().filter(|row| matches!(row.value, Some(RowValue::Route(_)))).count()
    }

    /// Returns the rows that turn this list into `other`, with removals at `revision`.
    pub fn changes_to(&self, other: &RetainedConfig, revision: u64) -> Vec<ListRow> {
        let is_new =
            |row: &&ListRow| self.rows.get(&row.key).is_none_or(|known| known.value != row.value);
        let mut changes: Vec<_> = other.rows().filter(is_new).cloned().collect();
        let removed = self.rows().filter(|row| !other.rows.contains_key(&row.key));
        changes.extend(removed.map(|row| removal_row(row, revision)));
        changes
    }
}

fn is_current_config_row(row: &ListRow) -> bool {
    is_config_key(&row.key) && !matches!(row.value, Some(RowValue::Removed(_)) | None)
}
