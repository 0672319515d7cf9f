//! The backend servers that a router knows, indexed by what packets and rows refer to.

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

/// The time, in milliseconds, for which a removed backend server is kept for its open flows.
const REMOVED_BACKEND_TTL_MS: u64 = 90_000;

/// The known backend servers, including recently removed ones.
///
/// Indexes stay valid until [`BackendTable::remove_expired`] frees them, so that tracks and
/// openings can store them.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    slots: Vec<Option<Backend>>,
    free_slots: Vec<usize>,
    by_address: HashMap<SocketAddrV4, Vec<usize>>,
    by_key: HashMap<Arc<str>, usize>,
    by_token: HashMap<u32, Vec<usize>>,
    by_service: HashMap<ServiceName, Vec<usize>>,
    groups: GroupTable,
}

impl BackendTable {
    /// Returns the backend server at an index.
    pub fn get(&self, index: usize) -> Option<&Backend> {
        self.slots.get(index)?.as_ref()
    }

    /// Returns the backend server at an index for modification.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Backend> {
        self.slots.get_mut(index)?.as_mut()
    }

    /// Returns the indexes of a service's backend servers.
    pub fn service_indexes(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the backend servers grouped by service and data centre.
    pub(crate) fn groups(&self) -> &GroupTable {
        &self.groups
    }

    /// Clears the counts of unanswered packets of all backend servers.
    pub fn clear_unanswered(&mut self) {
        for backend in self.slots.iter_mut().flatten() {
            backend.health.clear_unanswered();
        }
    }

    /// Marks the backend servers of a data centre as cold for the warm-up time of their service,
    /// which `warm_up_of` returns in milliseconds. Entries newer than `revision` are left alone.
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

    /// Returns an iterator over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.slots.iter().flatten()
    }

    /// Returns the index of the backend server with a token. If several share the token, the one
    /// that satisfies `fits` is preferred.
    ///
    /// A backend server refuses packets that carry another one's number, so a wrong choice breaks
    /// the flow.
    pub fn by_token(&self, token: u32, fits: impl Fn(&Backend) -> bool) -> Option<usize> {
        match self.by_token.get(&token)?.as_slice() {
            [index] => Some(*index),
            indexes => indexes
                .iter()
                .copied()
                .find(|index| {
                    self.get(*index).is_some_and(|backend| !backend.is_shadowed && fits(backend))
                })
                .or(indexes.last().copied()),
        }
    }

    /// Returns the index of the backend server with a number.
    pub fn by_number(&self, number: u64) -> Option<usize> {
        let indexes = self.by_token.get(&token_of(number))?;
        let is_match = |backend: &Backend| backend.number == number && !backend.is_shadowed;
        indexes.iter().copied().find(|index| self.get(*index).is_some_and(is_match))
    }

    /// Applies a list row. Rows of other kinds are ignored.
    pub fn apply_row(&mut self, now: ClockTime, row: &ListRow) -> Option<BackendEvent> {
        match &row.value {
            Some(RowValue::Backend(spec)) => self.apply_backend(now, row, spec, None),
            Some(RowValue::Removed(removed)) => {
                let age_us = u64::from(removed.age_ms) * 1_000;
                let removed_at = ClockTime::from_micros(now.as_micros().saturating_sub(age_us));
                match &removed.backend {
                    Some(spec) => self.apply_backend(now, row, spec, Some(removed_at)),
                    None => {
                        self.mark_invalid(&row.key, removed_at);
                        None
                    }
                }
            }
            _ => None,
        }
    }

    /// Returns true if another listed backend server registered at the address of a removed one
    /// after it. Revisions of different epochs aren't compared: a restored store may list the
    /// previous owner of the address.
    pub fn is_replaced(&self, index: usize) -> bool {
        let Some(removed) = self.get(index) else { return false };
        let Some(indexes) = self.by_address.get(&removed.address) else { return false };
        let others = indexes.iter().filter(|other| **other != index);
        let mut others = others.filter_map(|other| self.get(*other));
        let is_later = |other: &Backend| {
            other.revision > removed.revision
                && epoch_of(other.revision) == epoch_of(removed.revision)
        };
        others.any(|other| other.removed_at.is_none() && is_later(other))
    }

    /// Drops the backend servers that were removed longer ago than flows last, and returns their
    /// indexes.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<usize> {
        let is_expired = |backend: &Backend| {
            backend.removed_at.is_some_and(|removed_at| {
                removed_at.after_millis(REMOVED_BACKEND_TTL_MS).is_past(now)
            })
        };
        let expired: Vec<_> = (0..self.slots.len())
            .filter(|index| self.get(*index).is_some_and(is_expired))
            .collect();
        for index in &expired {
            let Some(backend) = self.unlink(*index) else { continue };
            self.by_key.remove(&backend.key);
            if let Some(indexes) = self.by_token.get_mut(&backend.token) {
                indexes.retain(|other| other != index);
            }
            self.resolve_number(backend.number);
            self.free_slots.push(*index);
        }
        expired
    }

    /// Restarts the grace period of removed entries after an outage or a restore of the store
    /// between two confirmations, if the period hadn't ended at the first of them.
    ///
    /// Entries that expire as the store goes down are back about two seconds after its return.
    /// Counted from the expiry, the grace period would be over at the return, and an instance that
    /// missed what happened in between would refuse flows that all others serve.
    pub fn restart_grace(&mut self, former_confirmed_at: ClockTime, confirmed_at: ClockTime) {
        for backend in self.slots.iter_mut().flatten() {
            let is_in_grace = |removed_at: &ClockTime| {
                !removed_at.after_millis(REMOVAL_GRACE_MS).is_past(former_confirmed_at)
            };
            if backend.removed_at.as_ref().is_some_and(is_in_grace) {
                backend.removed_at = Some(confirmed_at);
            }
        }
    }

    /// Marks the backend server of a key as removed and draining because its entry can't be
    /// decoded.
    fn mark_invalid(&mut self, key: &str, removed_at: ClockTime) {
        let Some(index) = self.by_key.get(key).copied() else { return };
        if let Some(backend) = self.get_mut(index) {
            (backend.removed_at, backend.is_draining) = (Some(removed_at), true);
        }
    }

    fn apply_backend(
        &mut self,
        now: ClockTime,
        row: &ListRow,
        spec: &BackendRow,
        removed_at: Option<ClockTime>,
    ) -> Option<BackendEvent> {
        let address = spec.address()?;
        self.end_grace_at_address(address, row, now);
        let mut newer = Backend::new(now, row, spec, address, removed_at);
        newer.apply_draining(row, spec);
        let Some(index) = self.by_key.get(row.key.as_str()).copied() else {
            self.insert(newer);
            return None;
        };
        let known = self.get_mut(index)?;
        // An older row doesn't override a newer one, whatever start time it carries.
        if row.revision < known.revision {
            return None;
        }
        let former = known.incarnation;
        if newer.incarnation != former && newer.incarnation != 0 {
            if let Some(known) = self.unlink(index) {
                newer.cold_flows = known.cold_flows;
            }
            self.link(index, newer);
            self.resolve_number(spec.number);
            return Some(BackendEvent::Restarted { index, former });
        }
        // Neither a removal nor a row that is known already says how warm the process is now.
        let has_warm_up = removed_at.is_none() && row.revision > known.revision;
        known.removed_at = removed_at;
        known.revision = row.revision;
        known.apply_draining(row, spec);
        if known.is_same_process(&newer) {
            known.slots = newer.slots;
            if has_warm_up {
                known.warm_at = newer.warm_at;
            }
            return None;
        }
        // Its open flows stay where they are, as the process may still be alive there. The new
        // entry can't be trusted to belong to it.
        known.is_draining = true;
        Some(BackendEvent::EntryConflict { index, address })
    }

    /// Ends the grace period of a removed backend server when another one registers at its address
    /// in the same epoch: the removed one can't be alive.
    fn end_grace_at_address(&mut self, address: SocketAddrV4, row: &ListRow, now: ClockTime) {
        let Some(indexes) = self.by_address.get(&address) else { return };
        for index in indexes {
            let Some(backend) = self.slots[*index].as_mut() else { continue };
            let is_other =
                *backend.key != *row.key && epoch_of(backend.revision) == epoch_of(row.revision);
            if is_other && backend.removed_at.is_some_and(|removed_at| removed_at <= now) {
                backend.is_draining = true;
            }
        }
    }

    fn insert(&mut self, backend: Backend) {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let number = backend.number;
        self.by_key.insert(backend.key.clone(), index);
        self.by_token.entry(backend.token).or_default().push(index);
        self.link(index, backend);
        self.resolve_number(number);
    }

    /// Stores a backend server in its slot and in the indexes of what may change between its
    /// starts.
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

    /// Decides which entry a number refers to: the entry that used it first, until the flows of
    /// that one have ended.
    ///
    /// Packets of open flows identify their backend server by number only. Switching to another
    /// writer's entry with the same number would break all of them.
    fn resolve_number(&mut self, number: u64) {
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
