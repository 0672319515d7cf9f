//! Every backend server that a router knows, to be found by what packets and rows name.

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::{Backend, BackendEvent, REMOVAL_GRACE_MS, token_of},
    groups::GroupTable,
    revisions::epoch_of,
    rows::{BackendRow, ListRow, RowValue},
};

/// How long packets of open flows still find a backend server that is gone, in milliseconds.
const GONE_KEPT_MS: u64 = 90_000;

/// `BackendTable` is every backend server, those lately gone included.
///
/// Indexes stay valid until [`BackendTable::forget`] frees them, so that tracks
/// and openings can hold them.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    slots: Vec<Option<Backend>>,
    free: Vec<usize>,
    by_address: HashMap<SocketAddrV4, Vec<usize>>,
    by_key: HashMap<Arc<str>, usize>,
    by_token: HashMap<u32, Vec<usize>>,
    by_service: HashMap<ServiceName, Vec<usize>>,
    groups: GroupTable,
}

impl BackendTable {
    /// The backend server at an index.
    pub fn get(&self, index: usize) -> Option<&Backend> {
        self.slots.get(index)?.as_ref()
    }

    /// The backend server at an index, to be changed.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Backend> {
        self.slots.get_mut(index)?.as_mut()
    }

    /// Indexes of a service's backend servers.
    pub fn service_indexes(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Backend servers by service and data centre.
    pub(crate) fn groups(&self) -> &GroupTable {
        &self.groups
    }

    /// Forgets what backend servers left unanswered.
    pub fn clear_unanswered(&mut self) {
        for backend in self.slots.iter_mut().flatten() {
            backend.health.clear_unanswered();
        }
    }

    /// Lets the backend servers of a data centre count as cold for as long as their service's
    /// are, told by `warm_up_of` in milliseconds, unless their entries are newer than `revision`.
    pub fn mark_cold(
        &mut self,
        now: ClockTime,
        data_centre: &CentreName,
        revision: u64,
        warm_up_of: impl Fn(&ServiceName) -> u64,
    ) {
        for backend in self.slots.iter_mut().flatten() {
            if backend.data_centre == *data_centre && backend.revision < revision {
                let warm_at = now.after_millis(warm_up_of(&backend.service));
                backend.warm_at = backend.warm_at.max(warm_at);
            }
        }
    }

    /// Every backend server.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.slots.iter().flatten()
    }

    /// The backend server that a token names, if need be the one that `fits`.
    ///
    /// Two backend servers may share a token. The wrong one refuses packets that
    /// name the other's number, so this must choose right.
    pub fn by_token(&self, token: u32, fits: impl Fn(&Backend) -> bool) -> Option<usize> {
        match self.by_token.get(&token)?.as_slice() {
            [index] => Some(*index),
            several => several
                .iter()
                .copied()
                .find(|index| self.get(*index).is_some_and(|one| !one.is_shadowed && fits(one)))
                .or(several.last().copied()),
        }
    }

    /// The backend server of a number.
    pub fn by_number(&self, number: u64) -> Option<usize> {
        let indexes = self.by_token.get(&token_of(number))?;
        let is_it = |backend: &Backend| backend.number == number && !backend.is_shadowed;
        indexes.iter().copied().find(|index| self.get(*index).is_some_and(is_it))
    }

    /// Takes a row; rows of other kinds change nothing.
    pub fn apply_row(&mut self, now: ClockTime, row: &ListRow) -> Option<BackendEvent> {
        match &row.value {
            Some(RowValue::Backend(spec)) => self.put(now, row, spec, None),
            Some(RowValue::Removed(removed)) => {
                let age = u64::from(removed.age_ms) * 1_000;
                let gone = ClockTime::from_micros(now.as_micros().saturating_sub(age));
                match &removed.backend {
                    Some(spec) => self.put(now, row, spec, Some(gone)),
                    None => {
                        self.refuse(&row.key, gone);
                        None
                    }
                }
            }
            _ => None,
        }
    }

    /// True when another backend server that is listed has the address of one that is gone, and
    /// registered after it. Between epochs that can't be told: a restored store may list who had
    /// the address before.
    pub fn is_replaced(&self, index: usize) -> bool {
        let Some(gone) = self.get(index) else { return false };
        let Some(indexes) = self.by_address.get(&gone.address) else { return false };
        let others = indexes.iter().filter(|other| **other != index);
        let mut others = others.filter_map(|other| self.get(*other));
        let is_later = |other: &Backend| {
            other.revision > gone.revision && epoch_of(other.revision) == epoch_of(gone.revision)
        };
        others.any(|other| other.removed_at.is_none() && is_later(other))
    }

    /// Forgets those that are gone for longer than flows last; returns their indexes.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<usize> {
        let is_old = |backend: &Backend| {
            backend.removed_at.is_some_and(|gone| gone.after_millis(GONE_KEPT_MS).is_past(now))
        };
        let old: Vec<_> =
            (0..self.slots.len()).filter(|index| self.get(*index).is_some_and(is_old)).collect();
        for index in &old {
            let Some(backend) = self.unlink(*index) else { continue };
            self.by_key.remove(&backend.key);
            if let Some(indexes) = self.by_token.get_mut(&backend.token) {
                indexes.retain(|other| other != index);
            }
            self.settle_number(backend.number);
            self.free.push(*index);
        }
        old
    }

    /// Lets the grace of entries that vanished begin anew when the store was away or came back
    /// from a copy between two confirmations, and they were in their grace at the first.
    ///
    /// Entries that lapse as the store goes away are back some two seconds after its
    /// return. Counted from the lapse, the grace is over at the return, and an instance
    /// that missed what happened in between refuses flows that all others serve.
    pub fn restart_grace(&mut self, former: ClockTime, confirmed: ClockTime) {
        for backend in self.slots.iter_mut().flatten() {
            let is_in_grace =
                |gone: &ClockTime| !gone.after_millis(REMOVAL_GRACE_MS).is_past(former);
            if backend.removed_at.as_ref().is_some_and(is_in_grace) {
                backend.removed_at = Some(confirmed);
            }
        }
    }

    /// Takes note that nobody knows what the entry of a key means: no new flows.
    fn refuse(&mut self, key: &str, gone: ClockTime) {
        let Some(index) = self.by_key.get(key).copied() else { return };
        if let Some(backend) = self.get_mut(index) {
            (backend.removed_at, backend.is_draining) = (Some(gone), true);
        }
    }

    fn put(
        &mut self,
        now: ClockTime,
        row: &ListRow,
        spec: &BackendRow,
        gone: Option<ClockTime>,
    ) -> Option<BackendEvent> {
        let address = spec.address()?;
        self.retire_address(address, row, now);
        let mut newer = Backend::new(now, row, spec, address, gone);
        newer.apply_draining(row, spec);
        let Some(index) = self.by_key.get(row.key.as_str()).copied() else {
            self.add(newer);
            return None;
        };
        let known = self.get_mut(index)?;
        // What an older row says of a start doesn't hold any more, whatever its clock said.
        if row.revision < known.revision {
            return None;
        }
        let former = known.incarnation;
        if newer.incarnation != former && newer.incarnation != 0 {
            if let Some(known) = self.unlink(index) {
                newer.cold_flows = known.cold_flows;
            }
            self.link(index, newer);
            self.settle_number(spec.number);
            return Some(BackendEvent::Restarted { index, former });
        }
        known.removed_at = gone;
        known.revision = row.revision;
        known.apply_draining(row, spec);
        if known.is_same_process(&newer) {
            known.slots = newer.slots;
            known.warm_at = newer.warm_at;
            return None;
        }
        // Its open flows go on where they are: it may well live there. The entry names
        // nobody who could be sure to be meant.
        known.is_draining = true;
        Some(BackendEvent::EntryConflict { index, address })
    }

    /// Ends the grace of one that is gone when another has its address in the same epoch: it
    /// can't live.
    fn retire_address(&mut self, address: SocketAddrV4, row: &ListRow, now: ClockTime) {
        let Some(indexes) = self.by_address.get(&address) else { return };
        for index in indexes {
            let Some(backend) = self.slots[*index].as_mut() else { continue };
            let is_other =
                *backend.key != *row.key && epoch_of(backend.revision) == epoch_of(row.revision);
            if is_other && backend.removed_at.is_some_and(|gone| gone <= now) {
                backend.is_draining = true;
            }
        }
    }

    fn add(&mut self, backend: Backend) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let number = backend.number;
        self.by_key.insert(backend.key.clone(), index);
        self.by_token.entry(backend.token).or_default().push(index);
        self.link(index, backend);
        self.settle_number(number);
    }

    /// Puts a backend server in place, to be found by what may differ between its starts.
    fn link(&mut self, index: usize, mut backend: Backend) {
        backend.group = self.groups.add(&backend.service, &backend.data_centre, index);
        self.by_service.entry(backend.service.clone()).or_default().push(index);
        self.by_address.entry(backend.address).or_default().push(index);
        self.slots[index] = Some(backend);
    }

    fn unlink(&mut self, index: usize) -> Option<Backend> {
        let backend = self.slots[index].take()?;
        self.groups.remove(backend.group, index);
        if let Some(indexes) = self.by_service.get_mut(&backend.service) {
            indexes.retain(|other| *other != index);
        }
        if let Some(indexes) = self.by_address.get_mut(&backend.address) {
            indexes.retain(|other| *other != index);
            if indexes.is_empty() {
                self.by_address.remove(&backend.address);
            }
        }
        Some(backend)
    }

    /// Decides which entry a number means: the one that had it first, for as long as its
    /// flows may last.
    ///
    /// Packets of open flows name their backend server by its number alone. If another
    /// writer's entry with the same number were followed, they would all break.
    fn settle_number(&mut self, number: u64) {
        let Some(indexes) = self.by_token.get(&token_of(number)) else { return };
        let same = indexes.iter().copied().filter(|index| {
            self.slots[*index].as_ref().is_some_and(|backend| backend.number == number)
        });
        let same: Vec<usize> = same.collect();
        let first = same.iter().copied().min_by_key(|index| {
            self.slots[*index]
                .as_ref()
                .map(|backend| (backend.created_revision, backend.key.clone()))
        });
        for index in same {
            if let Some(backend) = self.slots[index].as_mut() {
                backend.is_shadowed = Some(index) != first;
            }
        }
    }
}
