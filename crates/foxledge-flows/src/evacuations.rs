//! Data centres whose backend servers are to get no new flows.
//!
//! Operators evacuate a data centre before work on it. Open flows stay where they are; new ones
//! go to other data centres from the moment at which an instance hears of it, and come back when
//! it is taken back. The wish is a row of the list: it travels, starts and never goes back to an
//! older state as routes do. What a restored store says of wishes waits until operators have had
//! the time to write again what it lost.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::rows::{ExtensionValue, ListRow, RowValue, evacuation_key};

/// `Evacuation` is a data centre that is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Revision of the operators' wish.
    pub revision: u64,
    /// When this instance heard of it.
    pub received_at: ClockTime,
    /// New flows that this instance sent there since.
    pub late_flows: u64,
}

/// `EvacuationEvent` is a change of what operators want of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The data centre.
    pub data_centre: CentreName,
    /// What is wanted from now on.
    pub change: EvacuationChange,
    /// Revision of the wish.
    pub revision: u64,
}

/// `EvacuationChange` is what happens to a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It is evacuated.
    Begun,
    /// It is taken back.
    Ended {
        /// For how long it was evacuated, as far as is known here.
        after_ms: u64,
    },
}

/// `EvacuationTable` is every data centre that is evacuated.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    begun: BTreeMap<CentreName, Evacuation>,
    /// Rows of a restored store by key, and when they count.
    deferred: BTreeMap<String, (ClockTime, ListRow)>,
}

impl EvacuationTable {
    /// Takes a row; rows of other kinds change nothing.
    pub fn apply_row(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        self.deferred.remove(&row.key);
        self.apply(now, row)
    }

    /// Lets a row of a restored store count from `until` on, unless another comes before; false
    /// for rows of other kinds.
    pub fn defer_row(&mut self, until: ClockTime, row: &ListRow) -> bool {
        let is_wish = row.key.starts_with(&evacuation_key(""));
        if is_wish {
            self.deferred.insert(row.key.clone(), (until, row.clone()));
        }
        is_wish
    }

    /// Takes the deferred rows that count by now.
    pub fn apply_deferred(&mut self, now: ClockTime) -> Vec<EvacuationEvent> {
        let is_due = |(until, _): &(ClockTime, ListRow)| until.is_past(now);
        let due: Vec<_> =
            self.deferred.values().filter(|one| is_due(one)).map(|(_, row)| row.clone()).collect();
        due.iter().filter_map(|row| self.apply_row(now, row)).collect()
    }

    fn apply(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        match &row.value {
            Some(RowValue::Extension(extension)) => match extension.decode()? {
                ExtensionValue::Evacuation(wish) => self.begin(now, row, &wish.data_centre),
                ExtensionValue::Service(_) => None,
            },
            Some(RowValue::Removed(_)) => self.end(now, row),
            _ => None,
        }
    }

    /// True when a data centre is evacuated.
    pub fn contains(&self, data_centre: &CentreName) -> bool {
        self.begun.contains_key(data_centre)
    }

    /// Counts a new flow to a backend server of a data centre, if that is evacuated.
    pub fn record_flow(&mut self, data_centre: &CentreName) {
        if let Some(known) = self.begun.get_mut(data_centre) {
            known.late_flows += 1;
        }
    }

    /// Every data centre that is evacuated, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&CentreName, &Evacuation)> {
        self.begun.iter()
    }

    fn begin(
        &mut self,
        now: ClockTime,
        row: &ListRow,
        data_centre: &str,
    ) -> Option<EvacuationEvent> {
        let data_centre = CentreName::new(data_centre);
        let (revision, known_at) = (row.revision, now);
        if let Some(known) = self.begun.get_mut(&data_centre) {
            known.revision = revision;
            return None;
        }
        self.begun.insert(
            data_centre.clone(),
            Evacuation { revision, received_at: known_at, late_flows: 0 },
        );
        Some(EvacuationEvent { data_centre, change: EvacuationChange::Begun, revision })
    }

    fn end(&mut self, now: ClockTime, row: &ListRow) -> Option<EvacuationEvent> {
        let name = row.key.strip_prefix(&evacuation_key(""))?;
        let data_centre = CentreName::new(name);
        let known = self.begun.remove(&data_centre)?;
        let after_ms = now.since(known.received_at).as_millis() as u64;
        let change = EvacuationChange::Ended { after_ms };
        Some(EvacuationEvent { data_centre, change, revision: row.revision })
    }
}
