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
    BackendEvidence, FarReach, HealthSign, PROMPT_TELLINGS, SignOrigin, is_old,
};

/// Most backend servers that are told of at a time, at some 150 bytes each: those of a data
/// centre of the largest deployment.
const MOST_BACKENDS: usize = 5_000;

/// `BackendStart` is one start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BackendStart {
    /// Its number.
    pub number: u64,
    /// Which start.
    pub incarnation: u64,
}

/// `DueEvidence` is a backend server that is to be told of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueEvidence {
    /// Which.
    pub start: BackendStart,
    /// Which other data centres are to be told too.
    pub reach: FarReach,
}

/// `EvidenceTable` is what an instance tells of backend servers.
#[derive(Debug, Default)]
pub(crate) struct EvidenceTable {
    states: BTreeMap<BackendStart, BackendEvidence>,
}

impl EvidenceTable {
    /// Takes a sign; returns it if it changes what is believed, as the observation that it is
    /// together with what was known.
    pub fn take(
        &mut self,
        now: ClockTime,
        start: BackendStart,
        sign: HealthSign,
        origin: SignOrigin,
    ) -> Option<HealthObservation> {
        if is_old(now, &sign) {
            return None;
        }
        if self.states.len() >= MOST_BACKENDS && !self.states.contains_key(&start) {
            self.forget(now);
            if self.states.len() >= MOST_BACKENDS {
                return None;
            }
        }
        let state = self.states.entry(start).or_insert_with(|| BackendEvidence::new(origin));
        let kind = state.take(now, sign)?;
        (state.told, state.heard, state.tell_at, state.origin) = (0, 0, now, origin);
        let BackendStart { number, incarnation } = start;
        Some(HealthObservation { number, incarnation, kind, observed_at: sign.at })
    }

    /// Counts that another instance told all that is believed here.
    pub fn heard(&mut self, now: ClockTime, start: BackendStart, signs: &[HealthSign]) {
        let Some(state) = self.states.get_mut(&start) else { return };
        if !state.is_known_by(signs) {
            return;
        }
        state.heard = state.heard.saturating_add(1);
        if state.told < PROMPT_TELLINGS && state.told + state.heard >= PROMPT_TELLINGS {
            state.told = PROMPT_TELLINGS;
            state.tell_at = state.next_telling(now);
        }
    }

    /// Counts that a backend server was told of.
    pub fn told(&mut self, now: ClockTime, start: &BackendStart) {
        let Some(state) = self.states.get_mut(start) else { return };
        state.told = state.told.saturating_add(1);
        state.tell_at = state.next_telling(now);
    }

    /// Forgets what is too old to be told.
    pub fn forget(&mut self, now: ClockTime) {
        self.states.retain(|_, state| state.told_signs(now).next().is_some());
    }

    /// When something is to be told next, if anything is.
    pub fn tell_at(&self) -> Option<ClockTime> {
        let times = self.states.values().map(|state| state.tell_at);
        times.min().filter(|at| *at < ClockTime::MAX)
    }

    /// What is to be told now, the least told first.
    pub fn due(&self, rng: &mut StdRng, now: ClockTime) -> Vec<DueEvidence> {
        self.least_told(rng, |state| state.tell_at.is_past(now))
    }

    /// All there is, the least told first.
    pub fn all(&self, rng: &mut StdRng) -> Vec<DueEvidence> {
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
            .map(|(start, state)| (state.told, rng.random::<u32>(), *start, state.reach()))
            .collect();
        meant.sort_unstable();
        let due = |(_, _, start, reach)| DueEvidence { start, reach };
        meant.into_iter().map(due).collect()
    }

    /// The signs of a backend server that are still told.
    pub fn signs(&self, now: ClockTime, start: &BackendStart) -> Vec<HealthSign> {
        let state = self.states.get(start).into_iter();
        state.flat_map(|state| state.told_signs(now)).collect()
    }
}
