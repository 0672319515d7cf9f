//! The rows that are in force, which differ from the list while a newer configuration is retained.

use foxledge_flows::{
    RetainedConfig,
    revisions::{epoch_of, number_of},
    rows::{ListRow, RowValue, is_config_key},
};

use crate::{
    effects::{FleetEffect, FleetEvent},
    member::FleetMember,
};

impl FleetMember {
    /// Retains the configuration in force before a list of revision `head` is applied, if that list
    /// is of a newer epoch.
    pub(crate) fn retain_config_across_restore(&mut self, head: u64) {
        if self.retained_config.is_some() {
            return;
        }
        let (known_head, partial_head) = (self.list.head(), self.partial_list.head());
        if epoch_of(known_head.max(partial_head)) >= epoch_of(head) {
            return;
        }
        self.retained_config = match known_head {
            0 => RetainedConfig::from_rows(self.partial_list.rows()),
            _ => RetainedConfig::from_rows(self.list.rows()),
        };
    }

    /// Filters changed rows of the list for those to put in force: none of the operators' list
    /// while the store's version is older than the retained one.
    pub(crate) fn filter_retained_rows(&mut self, mut rows: Vec<ListRow>) -> Vec<ListRow> {
        let Some(retained) = self.retained_config.take() else { return rows };
        rows.retain(|row| !is_config_key(&row.key));
        let (version, store_version) = (retained.version(), self.list.version());
        if store_version >= version
            && let Some(listed) = RetainedConfig::from_rows(self.list.rows())
        {
            rows.extend(retained.changes_to(&listed, self.list.head()));
            self.set_retained_version(None);
            return rows;
        }
        self.retained_config = Some(retained);
        self.set_retained_version(Some(version));
        rows
    }

    /// Sets the version that is retained and emits an event if it changes.
    pub(crate) fn set_retained_version(&mut self, retained_version: Option<u64>) {
        let former_version = std::mem::replace(&mut self.logged_retained_version, retained_version);
        if former_version == retained_version {
            return;
        }
        let (version, head) = (self.list.version(), self.list.head());
        let (epoch, revision) = (epoch_of(head), number_of(head));
        self.effects.push(FleetEffect::LogEvent(match retained_version {
            Some(retained_version) => {
                FleetEvent::ConfigRetained { retained_version, version, epoch, revision }
            }
            None => FleetEvent::ConfigReleased { version, epoch, revision },
        }));
    }

    /// Returns all rows in force.
    pub fn effective_rows(&self) -> Vec<ListRow> {
        let is_effective =
            |row: &&ListRow| self.retained_config.is_none() || !is_config_key(&row.key);
        let listed = self.list.rows().filter(is_effective);
        let retained = self.retained_config.iter().flat_map(RetainedConfig::rows);
        listed.chain(retained).cloned().collect()
    }

    /// Returns the version of the operators' list in force; 0 if none is known.
    pub fn effective_version(&self) -> u64 {
        self.retained_config.as_ref().map_or(self.list.version(), RetainedConfig::version)
    }

    /// Returns the number of routes in force.
    pub fn effective_route_count(&self) -> usize {
        let is_route = |row: &&ListRow| matches!(row.value, Some(RowValue::Route(_)));
        match &self.retained_config {
            Some(retained) => retained.route_count(),
            None => self.list.rows().filter(is_route).count(),
        }
    }

    /// Returns whether the store's version of the operators' list is older than the one in force.
    pub fn is_retaining_config(&self) -> bool {
        self.retained_config.is_some()
    }
}
