//! What packets tell of a backend server's health.
//!
//! Backend servers answer callers directly, so an instance sees no answer. It
//! sees what follows one: a caller that got the answer to its opening packet
//! goes on, one that didn't falls silent or sends the opening packet again.

use foxledge_core::time::ClockTime;
use serde::Serialize;

/// How long one sign of silence keeps new flows away, in milliseconds.
///
/// Long enough for the caller's first resend at 200 ms to confirm or refute it;
/// a false alarm after a lost datagram costs one backend server for that long.
pub const SUSPICION_TIMEOUT_MS: u64 = 300;
/// First time without new flows after confirmed silence, in milliseconds.
///
/// Each return risks one caller's 200 ms until its resend. The platform drops the
/// entry of a dead process after about 3.6 s, so two or three are risked.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest time without new flows, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 8_000;

/// How long the belief that a backend server is dead holds without new evidence, in
/// milliseconds.
///
/// One that was cut off and is reached again looks dead until something is sent there.
/// Idle flows are ended within a second of the belief; held for longer, it would end flows
/// that live again.
const DEAD_MS: u64 = 3_000;

/// `ObservationKind` is what one instance tells others of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservationKind {
    /// A new flow wasn't answered as fast as others are.
    Suspect,
    /// Several signs of silence.
    Ejected,
    /// A new flow stayed unanswered though the caller sent its opening packet again.
    #[serde(rename = "silent")]
    OpeningUnanswered,
    /// Data of an open flow stayed unanswered though the caller sent it again and again.
    #[serde(rename = "lost")]
    DataUnanswered,
    /// It answers again.
    Alive,
}

impl ObservationKind {
    /// The kind's word in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ObservationKind::Suspect => "suspect",
            ObservationKind::Ejected => "ejected",
            ObservationKind::OpeningUnanswered => "silent",
            ObservationKind::DataUnanswered => "lost",
            ObservationKind::Alive => "alive",
        }
    }
}

/// `HealthObservation` is one instance's observation of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthObservation {
    /// The number of the backend server.
    pub number: u64,
    /// Which start of it was observed.
    pub incarnation: u64,
    /// What was observed.
    pub kind: ObservationKind,
    /// When, on the clock of this process.
    pub observed_at: ClockTime,
}

/// `UnansweredPacket` is what stayed unanswered although its caller sent it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredPacket {
    /// An opening packet.
    Opening,
    /// Data of a flow that hasn't witnessed before.
    Data,
    /// Data of a flow that has, or where packets are lost on all ways.
    UncertainData,
}

/// Time that each instance has for its trial of an ejected backend server, in
/// milliseconds: a trial that fails shows after 40 ms, and all know some ms later.
///
/// When all try at the end of the ejection, each trial costs a caller 200 ms: of 64
/// instances before 33 dead backend servers, 2,000 flows in one second. In turn, the
/// first failure spares the others theirs, and the first success ends the ejection.
pub const TRIAL_SLOT_MS: u64 = 60;

/// `HealthState` is what is believed of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthState {
    suspect_until: ClockTime,
    /// When the first instance may try it again.
    trials_from: ClockTime,
    /// When this one may.
    ejected_until: ClockTime,
    ejections: u32,
    alive_at: ClockTime,
    strikes: u32,
    /// When something was first found unanswered since the last sign of life.
    unanswered_since: Option<ClockTime>,
    /// Opening packets that stayed unanswered since then.
    silent_openings: u32,
    /// Open flows whose data stayed unanswered since then.
    lost_flows: u32,
    /// When the last of them was found.
    evidence_at: ClockTime,
    /// When the newest of anything that speaks against it was found, here or by a peer.
    against_at: ClockTime,
}

/// `HealthClass` orders backend servers for new flows, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthClass {
    /// Nothing speaks against it.
    Healthy,
    /// Was ejected, and one flow may try it.
    Probation,
    /// One sign of silence.
    Suspect,
    /// Confirmed silence.
    Ejected,
}

impl HealthState {
    /// Of a process that became known at `now`: what was sent before was sent to another.
    pub fn started_at(now: ClockTime) -> HealthState {
        HealthState { alive_at: now, ..HealthState::default() }
    }

    /// Its class at `now`.
    pub fn class(&self, now: ClockTime) -> HealthClass {
        if !self.ejected_until.is_past(now) {
            return HealthClass::Ejected;
        }
        if self.is_suspect(now) {
            return HealthClass::Suspect;
        }
        match self.ejections {
            0 => HealthClass::Healthy,
            _ => HealthClass::Probation,
        }
    }

    /// Takes a sign of life; returns the news for others, if it is any.
    pub fn on_alive(&mut self, now: ClockTime) -> Option<ObservationKind> {
        let was_ejected = self.ejections > 0;
        *self = HealthState::started_at(now);
        was_ejected.then_some(ObservationKind::Alive)
    }

    /// Takes an answer to something asked at `asked`, which came nobody knows when.
    pub fn on_answer_since(&mut self, asked: ClockTime) {
        if self.unanswered_since.is_some_and(|silent| silent < asked) {
            self.clear_unanswered();
        }
    }

    /// Forgets what stayed unanswered, as nobody knows what was answered meanwhile.
    pub fn clear_unanswered(&mut self) {
        (self.unanswered_since, self.silent_openings, self.lost_flows) = (None, 0, 0);
    }

    /// True when it is surely dead, or out of reach: data of an open flow stayed unanswered
    /// through two copies, and so did that of another or the opening of a new one, with no
    /// sign of life between, here or told by peers.
    ///
    /// One that is full of flows answers no opening but does answer data; one that is slow
    /// acknowledges data at once.
    pub fn is_dead(&self, now: ClockTime) -> bool {
        let is_recent = !self.evidence_at.after_millis(DEAD_MS).is_past(now);
        is_recent && self.lost_flows > 0 && self.lost_flows + self.silent_openings > 1
    }

    /// Takes a first sign of silence about something sent at `sent`.
    ///
    /// A second one in a row, or one while the backend server is on probation,
    /// confirms the first; so does one at another instance that comes soon after. Where
    /// each instance waits for a second of its own, a crash that resets its callers'
    /// openings is found after 0.4 to 2 s: by then most of 64 instances have sent one there.
    ///
    /// If that ejects it, this instance tries it again `turn_ms` after the first.
    pub fn on_suspicion(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        turn_ms: u64,
    ) -> Option<ObservationKind> {
        if self.alive_at > sent {
            return None;
        }
        self.against_at = now;
        self.strikes += 1;
        if self.strikes > 1 || self.ejections > 0 || self.is_suspect(now) {
            return self.confirm(now, turn_ms);
        }
        self.suspect_until = now.after_millis(SUSPICION_TIMEOUT_MS);
        Some(ObservationKind::Suspect)
    }

    /// Takes what was sent at `sent` and not answered although its caller sent it again.
    pub fn on_unanswered(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        witness: UnansweredPacket,
        turn_ms: u64,
    ) -> Option<ObservationKind> {
        if self.alive_at > sent {
            return None;
        }
        let is_news = self.unanswered_since.is_none();
        let is_ejected = self.confirm(now, turn_ms).is_some();
        self.unanswered_since.get_or_insert(now);
        (self.evidence_at, self.against_at) = (now, now);
        match witness {
            UnansweredPacket::Opening => {
                self.silent_openings += 1;
                (self.silent_openings == 1 || is_ejected)
                    .then_some(ObservationKind::OpeningUnanswered)
            }
            UnansweredPacket::Data => {
                self.lost_flows += 1;
                // Two suffice at every instance.
                (self.lost_flows <= 2 || is_ejected).then_some(ObservationKind::DataUnanswered)
            }
            UnansweredPacket::UncertainData if is_news => Some(ObservationKind::OpeningUnanswered),
            UnansweredPacket::UncertainData => is_ejected.then_some(ObservationKind::Ejected),
        }
    }

    fn is_suspect(&self, now: ClockTime) -> bool {
        !self.suspect_until.is_past(now)
    }

    /// When something was first found unanswered, if nothing was heard of it since.
    pub fn unanswered_since(&self) -> Option<ClockTime> {
        self.unanswered_since
    }

    /// When something was first found unanswered, if the newest of it was found lately and
    /// nothing was heard of it since.
    pub fn recent_unanswered_since(&self, now: ClockTime) -> Option<ClockTime> {
        self.unanswered_since.filter(|_| !self.evidence_at.after_millis(DEAD_MS).is_past(now))
    }

    /// Ejects it unless it is, and again after the failed trial of any instance.
    fn confirm(&mut self, now: ClockTime, turn_ms: u64) -> Option<ObservationKind> {
        if !self.trials_from.is_past(now) {
            return None;
        }
        self.eject(now, turn_ms);
        Some(ObservationKind::Ejected)
    }

    /// Takes an observation of another instance.
    ///
    /// Notes come late. A sign of life from before the newest evidence refutes what is older
    /// than itself and leaves the rest: else one that was on its way when a backend server died
    /// makes the dead one look healthy and idle, and all new flows go there.
    pub fn on_observation(&mut self, now: ClockTime, note: &HealthObservation, turn_ms: u64) {
        if note.observed_at <= self.alive_at {
            return;
        }
        if note.kind != ObservationKind::Alive {
            self.against_at = self.against_at.max(note.observed_at);
        }
        match note.kind {
            ObservationKind::Alive if note.observed_at < self.against_at => {
                self.alive_at = note.observed_at
            }
            ObservationKind::Alive => *self = HealthState::started_at(note.observed_at),
            ObservationKind::Suspect => {
                let is_second = self.is_suspect(note.observed_at);
                self.suspect_until =
                    self.suspect_until.max(note.observed_at.after_millis(SUSPICION_TIMEOUT_MS));
                if is_second {
                    self.confirm(now, turn_ms);
                }
            }
            ObservationKind::OpeningUnanswered => {
                self.silent_openings += 1;
                self.on_told_silence(now, note.observed_at, turn_ms);
            }
            ObservationKind::DataUnanswered => {
                self.lost_flows += 1;
                self.on_told_silence(now, note.observed_at, turn_ms);
            }
            ObservationKind::Ejected => drop(self.confirm(now, turn_ms)),
        }
    }

    fn on_told_silence(&mut self, now: ClockTime, at: ClockTime, turn_ms: u64) {
        self.unanswered_since = Some(self.unanswered_since.map_or(at, |known| known.min(at)));
        self.evidence_at = self.evidence_at.max(at);
        self.confirm(now, turn_ms);
    }

    fn eject(&mut self, now: ClockTime, turn_ms: u64) {
        let doubled = FIRST_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.trials_from = now.after_millis(doubled.min(LONGEST_EJECTION_MS));
        self.ejected_until = self.trials_from.after_millis(turn_ms);
    }
}
