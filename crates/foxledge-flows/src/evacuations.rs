//! Data centres that are evacuated: their backend servers get no new flows.
//!
//! Operators evacuate a data centre before maintenance. Open flows stay where they are. New flows
//! go to other data centres from the moment at which an instance receives the evacuation, and
//! return when it ends. An evacuation is a row of the list: like routes, it is disseminated, loaded
//! at start and never reverts to an older state. What a restored store says of evacuations is
//! deferred until operators have had time to write again what it lost.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::rows::{ExtensionValue, ListRow, RowValue, evacuation_key};

/// The evacuation of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The revision of the operators' request.
    pub revision: u64,
    /// When this instance received it.
    pub received_at: ClockTime,
    /// The number of new flows that this instance has placed there since.
    pub late_flows: u64,
}

/// The start or end of a data centre's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The data centre.
    pub data_centre: CentreName,
    /// What happened.
    pub change: EvacuationChange,
    /// The revision of the operators' request.
    pub revision: u64,
}

/// The kind of an [`EvacuationEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The data centre is evacuated.
    Begun,
    /// The evacuation has ended.
    Ended {
        /// How long it lasted, in milliseconds, as far as this instance knows.
        after_ms: u64,
    },
}

/// The data centres that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    active: BTreeMap<CentreName, Evacuation>,
    /// The rows of a restored store by key, with the time at which each takes effect.
    deferred: BTreeMap<String, (ClockTime, ListRow)>,
}

impl EvacuationTable {
    /// Applies a list row. Rows of other kinds are ignored.
    pub fn apply_row(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        self.deferred.remove(&row.key);
        self.apply_value(now, row)
    }

    /// Defers a row of a restored store until `effective_at`, unless a newer row for its key comes
    /// first. Returns false for rows of other kinds.
    pub fn defer_row(&mut self, effective_at: ClockTime, row: &ListRow) -> bool {
        let is_evacuation = row.key.starts_with(&evacuation_key(""));
        if is_evacuation {
            self.deferred.insert(row.key.clone(), (effective_at, row.clone()));
        }
        is_evacuation
    }

    /// Applies the deferred rows that are due.
    pub fn apply_deferred(&mut self, now: ClockTime) -> Vec<EvacuationEvent> {
        let is_due = |(effective_at, _): &(ClockTime, ListRow)| effective_at.is_past(now);
        let due: Vec<_> = self
            .deferred
            .values()
            .filter(|entry| is_due(entry))
            .map(|(_, row)| row.clone())
            .collect();
        due.iter().filter_map(|row| self.apply_row(now, row)).collect()
    }

    fn apply_value(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        match &row.value {
            Some(RowValue::Extension(extension)) => match extension.decode_value()? {
                ExtensionValue::Evacuation(evacuation) => {
                    self.begin(now, row, &evacuation.data_centre)
                }
                ExtensionValue::Service(_) => None,
            },
            Some(RowValue::Removed(_)) => self.end(now, row),
            _ => None,
        }
    }

    /// Returns true if a data centre is evacuated.
    pub fn contains(&self, data_centre: &CentreName) -> bool {
        self.active.contains_key(data_centre)
    }

    /// Counts a new flow to a backend server of a data centre if that is evacuated.
    pub fn record_flow(&mut self, data_centre: &CentreName) {
        if let Some(evacuation) = self.active.get_mut(data_centre) {
            evacuation.late_flows += 1;
        }
    }

    /// Returns an iterator over the evacuated data centres, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&CentreName, &Evacuation)> {
        self.active.iter()
    }

    fn begin(
        &mut self,
        now: ClockTime,
        row: &ListRow,
        data_centre: &str,
    ) -> Option<EvacuationEvent> {
        let data_centre = CentreName::new(data_centre);
        let (revision, received_at) = (row.revision, now);
        if let Some(evacuation) = self.active.get_mut(&data_centre) {
            evacuation.revision = revision;
            return None;
        }
        self.active
            .insert(data_centre.clone(), Evacuation { revision, received_at, late_flows: 0 });
        Some(EvacuationEvent { data_centre, change: EvacuationChange::Begun, revision })
    }

    fn end(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        let name = row.key.strip_prefix(&evacuation_key(""))?;
        let data_centre = CentreName::new(name);
        let evacuation = self.active.remove(&data_centre)?;
        let after_ms = now.since(evacuation.received_at).as_millis() as u64;
        let change = EvacuationChange::Ended { after_ms };
        Some(EvacuationEvent { data_centre, change, revision: row.revision })
    }
}
