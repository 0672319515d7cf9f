//! Evidence about the health of backend servers, merged from the observations of all instances into
//! one state per backend server.
//!
//! A power failure in a server room stops a hundred backend servers at the same moment, and each
//! instance whose callers use them observes some of the failures. Sent one by one, hundreds of
//! observations compete for the space in a message, and most never leave the instance that made
//! them. Merged states avoid that: for each backend server only the few decisive observations are
//! kept, and observations of different instances add up.

use std::collections::BTreeMap;

use foxledge_core::time::ClockTime;
use foxledge_flows::HealthObservation;
use rand::{Rng, rngs::StdRng};

use crate::backend_evidence::{
    BackendEvidence, ObservationOrigin, ObservationRecord, PROMPT_SENDS, RemoteScope, is_expired,
};

/// Maximum number of backend servers with evidence at a time, at some 150 bytes each: those of a
/// data centre of the largest deployment.
const MAX_BACKENDS: usize = 5_000;

/// One process start of a backend server; the key under which its evidence is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BackendKey {
    /// Number of the backend server.
    pub number: u64,
    /// Incarnation: which start of the backend server this is.
    pub incarnation: u64,
}

/// A backend server whose evidence is to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueEvidence {
    /// The backend server.
    pub key: BackendKey,
    /// Which other data centres the evidence is also sent to.
    pub remote_scope: RemoteScope,
}

/// The evidence that an instance disseminates, by backend server.
#[derive(Debug, Default)]
pub(crate) struct EvidenceTable {
    backends: BTreeMap<BackendKey, BackendEvidence>,
}

impl EvidenceTable {
    /// Adds an observation and merges it with the known ones of the same backend server. Returns an
    /// observation of the resulting kind if the merge changes or renews the inferred health.
    pub fn record(
        &mut self,
        now: ClockTime,
        key: BackendKey,
        record: ObservationRecord,
        origin: ObservationOrigin,
    ) -> Option<HealthObservation> {
        if is_expired(now, &record) {
            return None;
        }
        if self.backends.len() >= MAX_BACKENDS && !self.backends.contains_key(&key) {
            self.remove_expired(now);
            if self.backends.len() >= MAX_BACKENDS {
                return None;
            }
        }
        let evidence = self.backends.entry(key).or_insert_with(|| BackendEvidence::new(origin));
        let kind = evidence.record(now, record)?;
        (evidence.send_count, evidence.echo_count, evidence.next_send_at, evidence.origin) =
            (0, 0, now, origin);
        let BackendKey { number, incarnation } = key;
        Some(HealthObservation { number, incarnation, kind, observed_at: record.observed_at })
    }

    /// Records that another instance sent all the evidence about a backend server that is known
    /// here. With enough such echoes, this instance sends the evidence less often.
    pub fn record_echo(&mut self, now: ClockTime, key: BackendKey, records: &[ObservationRecord]) {
        let Some(evidence) = self.backends.get_mut(&key) else { return };
        if !evidence.is_covered_by(records) {
            return;
        }
        evidence.echo_count = evidence.echo_count.saturating_add(1);
        if evidence.send_count < PROMPT_SENDS
            && evidence.send_count + evidence.echo_count >= PROMPT_SENDS
        {
            evidence.send_count = PROMPT_SENDS;
            evidence.next_send_at = evidence.next_send_time(now);
        }
    }

    /// Records that this instance sent the evidence of a backend server.
    pub fn record_send(&mut self, now: ClockTime, key: &BackendKey) {
        let Some(evidence) = self.backends.get_mut(key) else { return };
        evidence.send_count = evidence.send_count.saturating_add(1);
        evidence.next_send_at = evidence.next_send_time(now);
    }

    /// Removes the evidence of backend servers whose observations have all expired.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.backends.retain(|_, evidence| evidence.disseminated_records(now).next().is_some());
    }

    /// Returns when evidence is sent next, if there is any to send.
    pub fn next_send_at(&self) -> Option<ClockTime> {
        let times = self.backends.values().map(|evidence| evidence.next_send_at);
        times.min().filter(|at| *at < ClockTime::MAX)
    }

    /// Returns the evidence to send now, the least often sent first.
    pub fn due_evidence(&self, rng: &mut StdRng, now: ClockTime) -> Vec<DueEvidence> {
        self.least_sent(rng, |evidence| evidence.next_send_at.is_past(now))
    }

    /// Returns all evidence, the least often sent first.
    pub fn all_evidence(&self, rng: &mut StdRng) -> Vec<DueEvidence> {
        self.least_sent(rng, |_| true)
    }

    /// Returns the matching evidence in ascending order of send count. Equal counts are ordered
    /// randomly, so that no backend server comes last at all instances.
    fn least_sent(
        &self,
        rng: &mut StdRng,
        is_selected: impl Fn(&BackendEvidence) -> bool,
    ) -> Vec<DueEvidence> {
        let selected = self.backends.iter().filter(|(_, evidence)| is_selected(evidence));
        let mut selected: Vec<_> = selected
            .map(|(key, evidence)| {
                (evidence.send_count, rng.random::<u32>(), *key, evidence.remote_scope())
            })
            .collect();
        selected.sort_unstable();
        let due_evidence = |(_, _, key, remote_scope)| DueEvidence { key, remote_scope };
        selected.into_iter().map(due_evidence).collect()
    }

    /// Returns the records of a backend server that are to be disseminated.
    pub fn records(&self, now: ClockTime, key: &BackendKey) -> Vec<ObservationRecord> {
        let evidence = self.backends.get(key).into_iter();
        evidence.flat_map(|evidence| evidence.disseminated_records(now)).collect()
    }
}
