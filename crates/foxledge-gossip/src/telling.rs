//! Telling others of the health of backend servers.
//!
//! News are told in rounds, to some instances nearby and now and then to one far away: what
//! comes while a round is awaited shares its messages, so that an instance sends no more when
//! six hundred backend servers die than its budget allows, and no backend server's news wait
//! for those of another for long.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::HealthObservation;
use prost::Message;
use rand::Rng;

use crate::{
    backend_evidence::{FarReach, HealthSign, SignOrigin},
    effects::FleetEffect,
    evidence::{BackendStart, DueEvidence},
    member::FleetMember,
    messages::{EvidenceEntry, EvidenceMessage, MessageBody},
    signs::{pack_sign, unpack_sign},
    spreading::{NEAR_FANOUT, NewsOrigin},
};

/// Shortest time between two rounds, in milliseconds: three hops, which reach a data centre,
/// take less than callers wait before they send anything again.
const ROUND_MS: u64 = 20;
/// Bytes a second that an instance spends on rounds while there is news: 6% of a link of
/// 20 Mbit/s. A round that costs more than its share delays the next. With 120,000 the last
/// of 437 instances knows 600 deaths after 1.7 s, with 160,000 after 1.3 s.
const BYTES_PER_S: u64 = 160_000;
/// Bytes of evidence in one message.
const ENTRY_BUDGET: usize = 1_200;
/// Bytes in front of each entry.
const ENTRY_HEAD: usize = 2;
/// Most messages to an instance that has just started, which it reads before its first flows.
const STARTER_MESSAGES: usize = 4;

impl FleetMember {
    /// Shares what this instance observed of backend servers.
    pub fn share_notes(&mut self, now: ClockTime, notes: &[HealthObservation]) {
        let mut is_news = false;
        for note in notes {
            let start = BackendStart { number: note.number, incarnation: note.incarnation };
            let sign = HealthSign { id: self.rng.random(), kind: note.kind, at: note.observed_at };
            is_news |= self.evidence.take(now, start, sign, SignOrigin::Own).is_some();
        }
        if is_news {
            self.round_at = Some(self.free_at);
            self.tell_evidence(now);
        }
    }

    /// Takes what another instance tells of backend servers.
    pub(crate) fn take_evidence(&mut self, now: ClockTime, message: &EvidenceMessage) {
        let origin = if message.is_far { SignOrigin::Far } else { SignOrigin::Near };
        let mut is_news = false;
        for entry in &message.backends {
            let start = BackendStart { number: entry.number, incarnation: entry.incarnation };
            let words = entry.signs.iter();
            let signs: Vec<_> = words.filter_map(|word| unpack_sign(now, *word)).collect();
            let take = |sign: &HealthSign| self.evidence.take(now, start, *sign, origin);
            let notes: Vec<_> = signs.iter().filter_map(take).collect();
            if notes.is_empty() {
                self.evidence.heard(now, start, &signs);
            }
            is_news |= !notes.is_empty();
            self.effects.extend(notes.into_iter().map(FleetEffect::Note));
        }
        if is_news {
            self.round_at = Some(self.free_at);
            self.tell_evidence(now);
        }
    }

    /// Tells what is due, as far as the budget goes.
    pub(crate) fn tell_evidence(&mut self, now: ClockTime) {
        if !self.round_at.is_some_and(|at| at.is_past(now)) {
            return;
        }
        let due = self.evidence.due(&mut self.rng, now);
        if !due.is_empty() {
            self.tell_round(now, &due);
        }
        self.round_at = self.evidence.tell_at().map(|at| at.max(self.free_at));
    }

    /// Tells an instance that has just started.
    pub(crate) fn tell_starter(&mut self, now: ClockTime, to: SocketAddrV4) {
        let mut all = self.evidence.all(&mut self.rng);
        for _ in 0..STARTER_MESSAGES {
            let message = self.evidence_message(now, all.iter().map(|due| &due.start));
            if message.backends.is_empty() {
                return;
            }
            all.drain(..message.backends.len());
            self.send(to, MessageBody::Evidence(message));
        }
    }

    fn tell_round(&mut self, now: ClockTime, due: &[DueEvidence]) {
        let mut near = self.peers.pick_near(&mut self.rng, now, NEAR_FANOUT);
        near.extend(self.peers.random_quiet(&mut self.rng, now));
        let message = self.evidence_message(now, due.iter().map(|one| &one.start));
        let due = &due[..message.backends.len()];
        let mut bytes = self.send_evidence(near, &message);
        let (reach, far) = self.pick_far_for(now, due);
        let far_due = due.iter().filter(|one| one.reach >= reach);
        let mut message = self.evidence_message(now, far_due.map(|one| &one.start));
        message.is_far = true;
        bytes += self.send_evidence(far, &message);
        due.iter().for_each(|one| self.evidence.told(now, &one.start));
        let cost_ms = bytes as u64 * 1_000 / BYTES_PER_S;
        self.free_at = now.after_millis(cost_ms.max(ROUND_MS));
    }

    /// Instances of other data centres that a round is told to, and the least reach of what
    /// they are told.
    fn pick_far_for(
        &mut self,
        now: ClockTime,
        due: &[DueEvidence],
    ) -> (FarReach, Vec<SocketAddrV4>) {
        let reach = due.iter().map(|one| one.reach).max().unwrap_or(FarReach::None);
        let drawn = match reach {
            FarReach::None => Vec::new(),
            FarReach::Some | FarReach::Sure => self.pick_far_sometimes(now, NewsOrigin::Near),
        };
        match reach {
            FarReach::Sure if drawn.is_empty() => {
                (FarReach::Sure, self.peers.pick_far(&mut self.rng, 1))
            }
            _ => (FarReach::Some, drawn),
        }
    }

    /// Sends a message to some instances; returns the bytes.
    fn send_evidence(&mut self, to: Vec<SocketAddrV4>, message: &EvidenceMessage) -> usize {
        if message.backends.is_empty() {
            return 0;
        }
        let bytes = to.len() * message.encoded_len();
        for address in to {
            self.send(address, MessageBody::Evidence(message.clone()));
        }
        bytes
    }

    /// A message of some backend servers, as many of the first as it holds.
    fn evidence_message<'a>(
        &self,
        now: ClockTime,
        starts: impl Iterator<Item = &'a BackendStart>,
    ) -> EvidenceMessage {
        let mut message = EvidenceMessage::default();
        let mut bytes = 0;
        for start in starts {
            let signs = self.evidence.signs(now, start);
            let entry = EvidenceEntry {
                number: start.number,
                incarnation: start.incarnation,
                signs: signs.iter().map(|sign| pack_sign(now, sign)).collect(),
            };
            bytes += entry.encoded_len() + ENTRY_HEAD;
            if bytes > ENTRY_BUDGET {
                break;
            }
            message.backends.push(entry);
        }
        message
    }
}
