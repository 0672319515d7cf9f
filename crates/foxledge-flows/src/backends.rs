//! Backend servers as the router knows them.

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    health::HealthState,
    latency::LatencyGauge,
    rows::{BackendRow, ListRow, RowValue},
};

/// How long a backend server whose entry vanished may still get new flows, in
/// milliseconds, if nothing said before that it was leaving.
///
/// When the store was away, entries of live processes lapse and are back about
/// two seconds after its return. Without this span all of a service's backend
/// servers could be missing at once, and every new flow would be refused. It
/// stays below the 3 s within which a leaving one must get no new flow.
const LAPSE_MS: u64 = 2_200;
/// Age of the store's last confirmation at which it counts as away, in
/// milliseconds: more than any instance in touch sees.
const STORE_AWAY_MS: u64 = 2_500;
/// How long packets of open flows still find a backend server that is gone, in milliseconds.
const GONE_KEPT_MS: u64 = 90_000;

/// `Backend` is one process of a backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its key in the list.
    pub key: Arc<str>,
    /// The number by which packets name it.
    pub number: u64,
    /// The token by which flows name it.
    pub token: u32,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Requests that it runs at once, 1 at least.
    pub slots: u32,
    /// It is leaving: no new flows.
    pub is_draining: bool,
    /// When it will be warm.
    pub warm_at: ClockTime,
    /// When its entry was seen to be gone; none while it is listed.
    pub gone_at: Option<ClockTime>,
    /// Its entry's revision.
    pub revision: u64,
    /// What packets tell of its health.
    pub health: HealthState,
    /// How long it takes for an answer, as far as this instance sees.
    pub latency: LatencyGauge,
    /// Requests that run there, as far as this instance sees.
    pub running: u32,
    /// Flows open there, as far as this instance sees.
    pub flows: u32,
    /// Counter of the last placement there.
    pub picked: u64,
}

impl Backend {
    /// True when new flows may go there.
    ///
    /// One whose entry vanished without a word gets them for [`LAPSE_MS`]. While
    /// nothing is heard of the store (`confirmed` is when it last was), the span
    /// doesn't run out: the entry can't come back before the store does, and has
    /// the whole span from then on ([`BackendTable::renew_grace`]).
    pub fn takes_flows(&self, now: ClockTime, confirmed: Option<ClockTime>) -> bool {
        if self.is_draining {
            return false;
        }
        let Some(gone) = self.gone_at else { return true };
        let until = gone.after_millis(LAPSE_MS);
        let is_store_away = confirmed.is_some_and(|at| is_away(at, now) && !until.is_past(at));
        is_store_away || !until.is_past(now)
    }
}

/// True when the store counts as away at `now`, heard of last at `confirmed`.
fn is_away(confirmed: ClockTime, now: ClockTime) -> bool {
    confirmed.after_millis(STORE_AWAY_MS).is_past(now)
}

/// The token of a backend server's number; never 0, which names none.
///
/// Numbers of 32 bits are their own tokens, so those can't collide. Longer ones
/// are folded; flows tell colliding ones apart by their service.
pub fn token_of(number: u64) -> u32 {
    let folded = (number ^ (number >> 32)) as u32;
    folded.max(1)
}

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
    pub fn of_service(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
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
                .find(|index| self.get(*index).is_some_and(&fits))
                .or(several.last().copied()),
        }
    }

    /// The backend server of a number.
    pub fn by_number(&self, number: u64) -> Option<usize> {
        let indexes = self.by_token.get(&token_of(number))?;
        indexes.iter().copied().find(|i| self.get(*i).is_some_and(|b| b.number == number))
    }

    /// Takes a row; rows of other kinds change nothing.
    pub fn take(&mut self, now: ClockTime, row: &ListRow) {
        match &row.value {
            Some(RowValue::Backend(spec)) => self.put(now, row, spec, None),
            Some(RowValue::Removed(removed)) => {
                let age = u64::from(removed.age_ms) * 1_000;
                let gone = ClockTime::from_micros(now.as_micros().saturating_sub(age));
                match &removed.backend {
                    Some(spec) => self.put(now, row, spec, Some(gone)),
                    None => self.mark_gone(&row.key, gone),
                }
            }
            _ => {}
        }
    }

    /// Forgets those that are gone for longer than flows last; returns their indexes.
    pub fn forget(&mut self, now: ClockTime) -> Vec<usize> {
        let is_old = |backend: &Backend| {
            backend.gone_at.is_some_and(|gone| gone.after_millis(GONE_KEPT_MS).is_past(now))
        };
        let old: Vec<_> =
            (0..self.slots.len()).filter(|index| self.get(*index).is_some_and(is_old)).collect();
        for index in &old {
            let Some(backend) = self.slots[*index].take() else { continue };
            self.by_key.remove(&backend.key);
            if let Some(indexes) = self.by_token.get_mut(&backend.token) {
                indexes.retain(|other| other != index);
            }
            if let Some(indexes) = self.by_service.get_mut(&backend.service) {
                indexes.retain(|other| other != index);
            }
            if let Some(indexes) = self.by_address.get_mut(&backend.address) {
                indexes.retain(|other| other != index);
            }
            self.free.push(*index);
        }
        self.by_address.retain(|_, indexes| !indexes.is_empty());
        old
    }

    /// Lets the grace of entries that vanished begin anew when the store was away between
    /// two confirmations, and they were in their grace at the first.
    ///
    /// Entries that lapse as the store goes away are back some two seconds after its
    /// return. Counted from the lapse, the grace is over at the return, and an instance
    /// that missed what happened in between refuses flows that all others serve.
    pub fn renew_grace(&mut self, former: ClockTime, confirmed: ClockTime) {
        if !is_away(former, confirmed) {
            return;
        }
        for backend in self.slots.iter_mut().flatten() {
            let is_in_grace = |gone: &ClockTime| !gone.after_millis(LAPSE_MS).is_past(former);
            if backend.gone_at.as_ref().is_some_and(is_in_grace) {
                backend.gone_at = Some(confirmed);
            }
        }
    }

    fn mark_gone(&mut self, key: &str, gone: ClockTime) {
        let Some(index) = self.by_key.get(key).copied() else { return };
        if let Some(backend) = self.get_mut(index) {
            backend.gone_at = Some(gone);
        }
    }

    fn put(&mut self, now: ClockTime, row: &ListRow, spec: &BackendRow, gone: Option<ClockTime>) {
        let Some(address) = spec.address() else { return };
        self.retire_address(address, &row.key, now);
        if let Some(index) = self.by_key.get(row.key.as_str()).copied()
            && let Some(backend) = self.get_mut(index)
        {
            backend.is_draining = spec.draining;
            backend.gone_at = gone;
            backend.revision = row.revision;
            return;
        }
        let backend = Backend {
            key: Arc::from(row.key.as_str()),
            number: spec.number,
            token: token_of(spec.number),
            service: ServiceName::new(&spec.service),
            address,
            data_centre: CentreName::new(&spec.data_centre),
            slots: spec.slots.max(1),
            is_draining: spec.draining,
            warm_at: now.after_millis(u64::from(spec.warm_in_ms)),
            gone_at: gone,
            revision: row.revision,
            health: HealthState::default(),
            latency: LatencyGauge::default(),
            running: 0,
            flows: 0,
            picked: 0,
        };
        self.add(backend);
    }

    /// Ends the grace of one that is gone when another has its address: it can't live.
    fn retire_address(&mut self, address: SocketAddrV4, key: &str, now: ClockTime) {
        let Some(indexes) = self.by_address.get(&address) else { return };
        for index in indexes {
            let Some(backend) = self.slots[*index].as_mut() else { continue };
            if &*backend.key != key && backend.gone_at.is_some_and(|gone| gone <= now) {
                backend.is_draining = true;
            }
        }
    }

    fn add(&mut self, backend: Backend) {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_key.insert(backend.key.clone(), index);
        self.by_token.entry(backend.token).or_default().push(index);
        self.by_service.entry(backend.service.clone()).or_default().push(index);
        self.by_address.entry(backend.address).or_default().push(index);
        self.slots[index] = Some(backend);
    }
}
