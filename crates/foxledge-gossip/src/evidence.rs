//! What is told of the health of backend servers: one state each, merged from what instances saw.
//!
//! A hall that loses power kills a hundred backend servers in one moment, and each instance
//! that has a caller there sees something of it. Told as single observations, hundreds compete
//! for a message's room, and most never get beyond the instance that made them. As states they
//! don't: of each backend server the few signs are kept that decide what is believed, whoever
//! saw them, and signs of different instances add up.

use std::collections::BTreeMap;

use foxledge_core::time::ClockTime;
use foxledge_flows::HealthObservation;
use rand::{Rng, rngs::StdRng};

use crate::backend_evidence::{
    BackendEvidence, ObservationOrigin, ObservationRecord, PROMPT_SENDS, RemoteScope, is_expired,
};

/// Most backend servers that are told of at a time, at some 150 bytes each: those of a data
/// centre of the largest deployment.
const MOST_BACKENDS: usize = 5_000;

/// `BackendKey` is one start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BackendKey {
    /// Its number.
    pub number: u64,
    /// Which start.
    pub incarnation: u64,
}

/// `DueEvidence` is a backend server that is to be told of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueEvidence {
    /// Which.
    pub key: BackendKey,
    /// Which other data centres are to be told too.
    pub remote_scope: RemoteScope,
}

/// `EvidenceTable` is what an instance tells of backend servers.
#[derive(Debug, Default)]
pub(crate) struct EvidenceTable {
    states: BTreeMap<BackendKey, BackendEvidence>,
}

impl EvidenceTable {
    /// Takes a sign; returns it if it changes what is believed, as the observation that it is
    /// together with what was known.
    pub fn record(
        &mut self,
        now: ClockTime,
        start: BackendKey,
        sign: ObservationRecord,
        origin: ObservationOrigin,
    ) -> Option<HealthObservation> {
        if is_expired(now, &sign) {
            return None;
        }
        if self.states.len() >= MOST_BACKENDS && !self.states.contains_key(&start) {
            self.remove_expired(now);
            if self.states.len() >= MOST_BACKENDS {
                return None;
            }
        }
        let state = self.states.entry(start).or_insert_with(|| BackendEvidence::new(origin));
        let kind = state.record(now, sign)?;
        (state.send_count, state.echo_count, state.next_send_at, state.origin) =
            (0, 0, now, origin);
        let BackendKey { number, incarnation } = start;
        Some(HealthObservation { number, incarnation, kind, observed_at: sign.observed_at })
    }

    /// Counts that another instance told all that is believed here.
    pub fn record_echo(&mut self, now: ClockTime, start: BackendKey, signs: &[ObservationRecord]) {
        let Some(state) = self.states.get_mut(&start) else { return };
        if !state.is_covered_by(signs) {
            return;
        }
        state.echo_count = state.echo_count.saturating_add(1);
        if state.send_count < PROMPT_SENDS && state.send_count + state.echo_count >= PROMPT_SENDS {
            state.send_count = PROMPT_SENDS;
            state.next_send_at = state.next_send_time(now);
        }
    }

    /// Counts that a backend server was told of.
    pub fn record_send(&mut self, now: ClockTime, start: &BackendKey) {
        let Some(state) = self.states.get_mut(start) else { return };
        state.send_count = state.send_count.saturating_add(1);
        state.next_send_at = state.next_send_time(now);
    }

    /// Forgets what is too old to be told.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.states.retain(|_, state| state.disseminated_records(now).next().is_some());
    }

    /// When something is to be told next, if anything is.
    pub fn next_send_at(&self) -> Option<ClockTime> {
        let times = self.states.values().map(|state| state.next_send_at);
        times.min().filter(|at| *at < ClockTime::MAX)
    }

    /// What is to be told now, the least told first.
    pub fn due_evidence(&self, rng: &mut StdRng, now: ClockTime) -> Vec<DueEvidence> {
        self.least_told(rng, |state| state.next_send_at.is_past(now))
    }

    /// All there is, the least told first.
    pub fn all_evidence(&self, rng: &mut StdRng) -> Vec<DueEvidence> {
        self.least_told(rng, |_| true)
    }

    /// Those told as often come in random order, so that no backend server comes last at all
    /// instances.
    fn least_told(
        &self,
        rng: &mut StdRng,
        is_meant: impl Fn(&BackendEvidence) -> bool,
    ) -> Vec<DueEvidence> {
        let meant = self.states.iter().filter(|(_, state)| is_meant(state));
        let mut meant: Vec<_> = meant
            .map(|(start, state)| {
                (state.send_count, rng.random::<u32>(), *start, state.remote_scope())
            })
            .collect();
        meant.sort_unstable();
        let due = |(_, _, start, reach)| DueEvidence { key: start, remote_scope: reach };
        meant.into_iter().map(due).collect()
    }

    /// The signs of a backend server that are still told.
    pub fn records(&self, now: ClockTime, start: &BackendKey) -> Vec<ObservationRecord> {
        let state = self.states.get(start).into_iter();
        state.flat_map(|state| state.disseminated_records(now)).collect()
    }
}
