//! Failure detection for backend servers.
//!
//! Backend servers respond to callers directly, so an instance sees no response. It sees what
//! follows one: a caller that got the response to its opening packet continues, and one that didn't
//! falls silent or retransmits the opening packet.

use foxledge_core::time::ClockTime;
use serde::Serialize;

/// The time, in milliseconds, for which one suspicion keeps new flows away.
///
/// It is long enough for the caller's first retransmission at 200 ms to confirm or refute the
/// suspicion. A false alarm after a lost datagram costs one backend server for this long.
pub const SUSPICION_TIMEOUT_MS: u64 = 300;
/// The duration, in milliseconds, of the first ejection, in which a backend server gets no new
/// flows.
///
/// Each trial after an ejection costs one caller the 200 ms until its retransmission if it fails.
/// The platform removes the entry of a dead process after about 3.6 s, so two or three trials
/// happen.
const MIN_EJECTION_MS: u64 = 1_000;
/// The maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;

/// The time, in milliseconds, for which a backend server counts as dead without new evidence.
///
/// A backend server that was partitioned and is reachable again looks dead until a packet is sent
/// there. Idle flows are reset within a second of the detection; with a longer time, flows that
/// work again would be reset.
const DEATH_EVIDENCE_TTL_MS: u64 = 3_000;

/// What an instance observed of a backend server and reports to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservationKind {
    /// A new flow received no response within the usual time.
    Suspect,
    /// The backend server was ejected after several unanswered packets.
    Ejected,
    /// A new flow stayed unanswered although the caller retransmitted its opening packet, or data
    /// did so that is uncertain evidence ([`UnansweredPacket::UncertainData`]).
    #[serde(rename = "silent")]
    OpeningUnanswered,
    /// Data of an open flow stayed unanswered although the caller retransmitted it repeatedly.
    #[serde(rename = "lost")]
    DataUnanswered,
    /// It responds again.
    Alive,
}

impl ObservationKind {
    /// Returns the name of the kind in metrics.
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

/// One instance's observation of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthObservation {
    /// The number of the backend server.
    pub number: u64,
    /// The incarnation that was observed.
    pub incarnation: u64,
    /// What was observed.
    pub kind: ObservationKind,
    /// The time of the observation on the clock of this process.
    pub observed_at: ClockTime,
}

/// The kind of a packet that stayed unanswered although its caller retransmitted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredPacket {
    /// An opening packet.
    Opening,
    /// Data of a flow that hasn't counted as evidence before.
    Data,
    /// Data of a flow that has counted before, or where packets are lost on all paths.
    UncertainData,
}

/// The time slot, in milliseconds, of each instance's trial of an ejected backend server. A failed
/// trial shows after 40 ms, and all instances know of it some milliseconds later.
///
/// If all instances tried at the end of the ejection, each trial would cost a caller 200 ms: with
/// 64 instances and 33 dead backend servers, 2,000 flows within one second. With slots, the first
/// failure spares the other instances their trials, and the first success ends the ejection.
pub const TRIAL_SLOT_MS: u64 = 60;

/// The health of one backend server, as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthState {
    suspect_until: ClockTime,
    /// When the ejection ends and the first instance may try the backend server again.
    first_trial_at: ClockTime,
    /// When this instance may try it.
    own_trial_at: ClockTime,
    ejection_count: u32,
    last_alive_at: ClockTime,
    suspicion_count: u32,
    /// When a packet was first found unanswered since the last response.
    unanswered_since: Option<ClockTime>,
    /// The number of opening packets that stayed unanswered since the last response.
    unanswered_openings: u32,
    /// The number of open flows whose data stayed unanswered since the last response.
    unanswered_flows: u32,
    /// When the latest unanswered packet was found.
    last_unanswered_at: ClockTime,
    /// The time of the latest negative observation, by this instance or a peer.
    last_negative_at: ClockTime,
}

/// The order in which backend servers are preferred for new flows, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthClass {
    /// There is no negative observation.
    Healthy,
    /// The ejection is over, and one flow may try the backend server.
    Probation,
    /// One packet received no response in time.
    Suspect,
    /// Several packets stayed unanswered.
    Ejected,
}

impl HealthState {
    /// Returns the state of a process discovered at `now`. Packets sent earlier were meant for the
    /// process before it.
    pub fn started_at(now: ClockTime) -> HealthState {
        HealthState { last_alive_at: now, ..HealthState::default() }
    }

    /// Returns the class at `now`.
    pub fn class(&self, now: ClockTime) -> HealthClass {
        if !self.own_trial_at.is_past(now) {
            return HealthClass::Ejected;
        }
        if self.is_suspect(now) {
            return HealthClass::Suspect;
        }
        match self.ejection_count {
            0 => HealthClass::Healthy,
            _ => HealthClass::Probation,
        }
    }

    /// Records a response. Returns the observation to report if this ends an ejection.
    pub fn on_alive(&mut self, now: ClockTime) -> Option<ObservationKind> {
        let was_ejected = self.ejection_count > 0;
        *self = HealthState::started_at(now);
        was_ejected.then_some(ObservationKind::Alive)
    }

    /// Records the response to a request sent at `sent_at` when the time of the response is
    /// unknown.
    pub fn on_response_since(&mut self, sent_at: ClockTime) {
        if self.unanswered_since.is_some_and(|since| since < sent_at) {
            self.clear_unanswered();
        }
    }

    /// Clears the counts of unanswered packets, as responses may have been missed.
    pub fn clear_unanswered(&mut self) {
        (self.unanswered_since, self.unanswered_openings, self.unanswered_flows) = (None, 0, 0);
    }

    /// Returns true if the backend server is certainly dead or unreachable: data of an open flow
    /// stayed unanswered through two retransmissions, and so did that of another flow or the
    /// opening of a new one, without a response in between, observed by this instance or a peer.
    ///
    /// A backend server that is full doesn't answer openings but does answer data, and a slow one
    /// acknowledges data at once.
    pub fn is_dead(&self, now: ClockTime) -> bool {
        let is_recent = !self.last_unanswered_at.after_millis(DEATH_EVIDENCE_TTL_MS).is_past(now);
        is_recent
            && self.unanswered_flows > 0
            && self.unanswered_flows + self.unanswered_openings > 1
    }

    /// Records the first timeout of a packet sent at `sent_at`.
    ///
    /// A second timeout in a row, or one during probation, confirms the suspicion. So does a
    /// timeout at another instance soon after: if each instance waited for a second timeout of its
    /// own, a crash that resets its callers' openings would be found after 0.4 to 2 s, by when most
    /// of 64 instances have sent one there.
    ///
    /// If that ejects the backend server, this instance tries it again `trial_delay_ms` after the
    /// first one.
    pub fn on_suspicion(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        trial_delay_ms: u64,
    ) -> Option<ObservationKind> {
        if self.last_alive_at > sent_at {
            return None;
        }
        self.last_negative_at = now;
        self.suspicion_count += 1;
        if self.suspicion_count > 1 || self.ejection_count > 0 || self.is_suspect(now) {
            return self.eject_if_due(now, trial_delay_ms);
        }
        self.suspect_until = now.after_millis(SUSPICION_TIMEOUT_MS);
        Some(ObservationKind::Suspect)
    }

    /// Records a packet sent at `sent_at` that stayed unanswered although its caller retransmitted
    /// it.
    pub fn on_unanswered(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        packet: UnansweredPacket,
        trial_delay_ms: u64,
    ) -> Option<ObservationKind> {
        if self.last_alive_at > sent_at {
            return None;
        }
        let is_first = self.unanswered_since.is_none();
        let is_ejected = self.eject_if_due(now, trial_delay_ms).is_some();
        self.unanswered_since.get_or_insert(now);
        (self.last_unanswered_at, self.last_negative_at) = (now, now);
        match packet {
            UnansweredPacket::Opening => {
                self.unanswered_openings += 1;
                (self.unanswered_openings == 1 || is_ejected)
                    .then_some(ObservationKind::OpeningUnanswered)
            }
            UnansweredPacket::Data => {
                self.unanswered_flows += 1;
                // Two flows suffice for every instance to detect the death.
                (self.unanswered_flows <= 2 || is_ejected)
                    .then_some(ObservationKind::DataUnanswered)
            }
            UnansweredPacket::UncertainData if is_first => Some(ObservationKind::OpeningUnanswered),
            UnansweredPacket::UncertainData => is_ejected.then_some(ObservationKind::Ejected),
        }
    }

    fn is_suspect(&self, now: ClockTime) -> bool {
        !self.suspect_until.is_past(now)
    }

    /// Returns when a packet was first found unanswered, if there was no response since.
    pub fn unanswered_since(&self) -> Option<ClockTime> {
        self.unanswered_since
    }

    /// Returns when a packet was first found unanswered, if there was no response since and the
    /// latest such packet was found recently.
    pub fn recent_unanswered_since(&self, now: ClockTime) -> Option<ClockTime> {
        self.unanswered_since
            .filter(|_| !self.last_unanswered_at.after_millis(DEATH_EVIDENCE_TTL_MS).is_past(now))
    }

    /// Ejects the backend server unless it is ejected, and again after any instance's failed trial.
    fn eject_if_due(&mut self, now: ClockTime, trial_delay_ms: u64) -> Option<ObservationKind> {
        if !self.first_trial_at.is_past(now) {
            return None;
        }
        self.eject(now, trial_delay_ms);
        Some(ObservationKind::Ejected)
    }

    /// Applies another instance's observation.
    ///
    /// Observations may arrive late. A response observed before the latest negative observation
    /// refutes only what is older than itself. Otherwise, an observation still in transit when a
    /// backend server died would make the dead one look healthy and idle, and all new flows would
    /// go there.
    pub fn on_observation(
        &mut self,
        now: ClockTime,
        observation: &HealthObservation,
        trial_delay_ms: u64,
    ) {
        if observation.observed_at <= self.last_alive_at {
            return;
        }
        if observation.kind != ObservationKind::Alive {
            self.last_negative_at = self.last_negative_at.max(observation.observed_at);
        }
        match observation.kind {
            ObservationKind::Alive if observation.observed_at < self.last_negative_at => {
                self.last_alive_at = observation.observed_at
            }
            ObservationKind::Alive => *self = HealthState::started_at(observation.observed_at),
            ObservationKind::Suspect => {
                let is_second = self.is_suspect(observation.observed_at);
                self.suspect_until = self
                    .suspect_until
                    .max(observation.observed_at.after_millis(SUSPICION_TIMEOUT_MS));
                if is_second {
                    self.eject_if_due(now, trial_delay_ms);
                }
            }
            ObservationKind::OpeningUnanswered => {
                self.unanswered_openings += 1;
                self.on_peer_unanswered(now, observation.observed_at, trial_delay_ms);
            }
            ObservationKind::DataUnanswered => {
                self.unanswered_flows += 1;
                self.on_peer_unanswered(now, observation.observed_at, trial_delay_ms);
            }
            ObservationKind::Ejected => drop(self.eject_if_due(now, trial_delay_ms)),
        }
    }

    fn on_peer_unanswered(&mut self, now: ClockTime, observed_at: ClockTime, trial_delay_ms: u64) {
        self.unanswered_since =
            Some(self.unanswered_since.map_or(observed_at, |since| since.min(observed_at)));
        self.last_unanswered_at = self.last_unanswered_at.max(observed_at);
        self.eject_if_due(now, trial_delay_ms);
    }

    fn eject(&mut self, now: ClockTime, trial_delay_ms: u64) {
        let duration_ms = MIN_EJECTION_MS << self.ejection_count.min(8);
        self.ejection_count += 1;
        self.first_trial_at = now.after_millis(duration_ms.min(MAX_EJECTION_MS));
        self.own_trial_at = self.first_trial_at.after_millis(trial_delay_ms);
    }
}
