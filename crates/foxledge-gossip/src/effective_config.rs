//! Which of the list's rows are put in force.

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
    /// Holds the operators' list in force before a list up to `head` is taken, if that is of a
    /// newer epoch.
    pub(crate) fn retain_config_across_restore(&mut self, head: u64) {
        if self.retained_config.is_some() {
            return;
        }
        let (known, previewed) = (self.list.head(), self.preview.head());
        if epoch_of(known.max(previewed)) >= epoch_of(head) {
            return;
        }
        self.retained_config = match known {
            0 => RetainedConfig::from_rows(self.preview.rows()),
            _ => RetainedConfig::from_rows(self.list.rows()),
        };
    }

    /// The rows to put in force of those that changed in the list: none of the operators' list
    /// while the store has an older version than the held one.
    pub(crate) fn filter_retained_rows(&mut self, mut rows: Vec<ListRow>) -> Vec<ListRow> {
        let Some(held) = self.retained_config.take() else { return rows };
        rows.retain(|row| !is_config_key(&row.key));
        let (version, store_version) = (held.version(), self.list.version());
        if store_version >= version
            && let Some(listed) = RetainedConfig::from_rows(self.list.rows())
        {
            rows.extend(held.changes_to(&listed, self.list.head()));
            self.set_retained_version(None);
            return rows;
        }
        self.retained_config = Some(held);
        self.set_retained_version(Some(version));
        rows
    }

    /// Tells which version is held off from now on, if that is news.
    pub(crate) fn set_retained_version(&mut self, held_version: Option<u64>) {
        let former = std::mem::replace(&mut self.logged_retained_version, held_version);
        if former == held_version {
            return;
        }
        let (version, head) = (self.list.version(), self.list.head());
        let (epoch, revision) = (epoch_of(head), number_of(head));
        self.effects.push(FleetEffect::LogEvent(match held_version {
            Some(held_version) => FleetEvent::ConfigHeld { held_version, version, epoch, revision },
            None => FleetEvent::ConfigReleased { version, epoch, revision },
        }));
    }

    /// All rows in force.
    pub fn effective_rows(&self) -> Vec<ListRow> {
        let is_shown = |row: &&ListRow| self.retained_config.is_none() || !is_config_key(&row.key);
        let listed = self.list.rows().filter(is_shown);
        let held = self.retained_config.iter().flat_map(RetainedConfig::rows);
        listed.chain(held).cloned().collect()
    }

    /// The operators' version in force; 0 while none is known.
    pub fn effective_version(&self) -> u64 {
        self.retained_config.as_ref().map_or(self.list.version(), RetainedConfig::version)
    }

    /// Number of routes in force.
    pub fn effective_route_count(&self) -> usize {
        let is_route = |row: &&ListRow| matches!(row.value, Some(RowValue::Route(_)));
        match &self.retained_config {
            Some(held) => held.route_count(),
            None => self.list.rows().filter(is_route).count(),
        }
    }

    /// True while the store has an older version of the operators' list than is in force.
    pub fn is_retaining_config(&self) -> bool {
        self.retained_config.is_some()
    }
}
