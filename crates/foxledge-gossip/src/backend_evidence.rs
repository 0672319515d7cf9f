//! Inference of one backend server's health from the observations of all instances.
//!
//! # Merging is independent of order and duplication
//!
//! An [`ObservationRecord`] is one observation by one instance. Copies of it arrive over several
//! paths, late and repeatedly; the copies share an id and count as one observation, made at the
//! time of the earliest copy. The inferred health depends on the set of observations alone: merging
//! is commutative, associative and idempotent, because of each kind only the newest observations
//! decide, and only an alive observation refutes others.
//!
//! - An alive observation refutes what was observed at the same time or before, and nothing newer.
//! - A copy never counts as a new observation. Records are kept after they were refuted or
//!   superseded, because their copies seem later at each hop and must be recognised. Without that,
//!   old alive observations made dead backend servers look healthy and idle, and new flows were
//!   sent there.
//! - Observations older than [`RECORD_TTL_MS`] are removed at all instances.

use foxledge_core::time::ClockTime;
use foxledge_flows::{ObservationKind, health::SUSPICION_TIMEOUT_MS};

/// Time after which an observation expires, in milliseconds: the time for which it counts as
/// evidence of a death.
const RECORD_TTL_MS: u64 = 3_000;
/// Time, in milliseconds, by which an observation that doesn't change the inferred health must be
/// newer than the known ones to be disseminated.
///
/// A dead backend server goes on leaving requests unanswered. One more observation changes no
/// conclusion, but the evidence must not expire while the backend server is dead: a third of
/// [`RECORD_TTL_MS`] renews it in time.
const RENEWAL_INTERVAL_MS: u64 = 1_000;
/// Observations that are enough for a death if one of them is of an open flow.
const MIN_DEATH_OBSERVATIONS: usize = 2;
/// Observations of one kind that can be decisive: a death or an ejection takes two.
const MAX_DECISIVE_PER_KIND: usize = 2;
/// Maximum number of records kept for one backend server; more than can be decisive.
const MAX_RECORDS: usize = 16;
/// Number of times an instance sends a change immediately, reduced by each message of others with
/// the same content: sent once, a change misses one instance in twenty.
pub(crate) const PROMPT_SENDS: u32 = 2;
/// Number of times a change is sent in total: the last instances of a large data centre receive it
/// when all others repeat it.
const TOTAL_SENDS: u32 = 6;
/// Time between two repetitions of a change, in milliseconds: an instance that was missed receives
/// it before its callers' second retransmissions, at 600 ms.
const REPEAT_INTERVAL_MS: u64 = 200;

/// An observation of a backend server's health, as it is deduplicated and disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservationRecord {
    /// Random id chosen by the observer: copies that arrive over several paths share it. Two
    /// observations with the same id by chance count as one, which delays a conclusion and never
    /// causes one.
    pub id: u16,
    /// What was observed.
    pub kind: ObservationKind,
    /// When it was observed, on the clock of this process.
    pub observed_at: ClockTime,
}

/// Where an observation was made, as far as the receiver knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOrigin {
    /// At this instance.
    Local,
    /// At another instance of the local data centre.
    SameCentre,
    /// At an instance of another data centre, whose instances also inform all other data centres.
    RemoteCentre,
}

/// Which other data centres evidence is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemoteScope {
    /// None: the data centre of its origin informs them.
    None,
    /// All of them, each by a random sample of the instances that have the evidence.
    Sampled,
    /// All of them by this instance, which made the observation.
    Always,
}

/// The observations of one backend server, and the state of their dissemination.
#[derive(Clone, Debug)]
pub struct BackendEvidence {
    /// Records that count, and others that are kept to recognise their copies.
    records: Vec<ObservationRecord>,
    /// Number of times this instance has sent the evidence since it last changed.
    pub(crate) send_count: u32,
    /// Number of messages with the same evidence received from others since then.
    pub(crate) echo_count: u32,
    /// When the evidence is sent next.
    pub(crate) next_send_at: ClockTime,
    /// Where the observation was made that last changed the evidence.
    pub(crate) origin: ObservationOrigin,
}

impl BackendEvidence {
    /// Creates evidence without observations.
    pub fn new(origin: ObservationOrigin) -> BackendEvidence {
        BackendEvidence {
            records: Vec::new(),
            send_count: 0,
            echo_count: 0,
            next_send_at: ClockTime::MAX,
            origin,
        }
    }

    /// Adds an observation. Returns the kind to report if the observation changes or renews the
    /// inferred health.
    pub fn record(&mut self, now: ClockTime, record: ObservationRecord) -> Option<ObservationKind> {
        self.records.retain(|known| !is_expired(now, known));
        if is_expired(now, &record) {
            return None;
        }
        if let Some(known) = self.records.iter_mut().find(|known| known.id == record.id) {
            // Ages on the wire omit the transmission time, so an observation seems later with each
            // hop. The earliest time is the most accurate.
            known.observed_at = known.observed_at.min(record.observed_at);
            return None;
        }
        let (alive, before) = (self.newest_alive(), self.conclusion());
        self.records.push(record);
        self.remove_redundant();
        let after = self.conclusion();
        if record.kind == ObservationKind::Alive {
            let is_renewal =
                alive.is_none_or(|alive| is_renewal_due(alive.observed_at, record.observed_at));
            return (after.health < before.health || is_renewal).then_some(ObservationKind::Alive);
        }
        let is_worse = after.health > before.health;
        if !is_worse && !after.renews(&before) {
            return None;
        }
        match after.health {
            InferredHealth::Ejected => Some(ObservationKind::Ejected),
            _ => Some(record.kind),
        }
    }

    /// Returns the health inferred from the observations.
    pub fn inferred_health(&self) -> InferredHealth {
        self.conclusion().health
    }

    /// Returns when the evidence is sent next, given the number of times it was sent.
    pub(crate) fn next_send_time(&self, now: ClockTime) -> ClockTime {
        match self.send_count {
            ..PROMPT_SENDS => now,
            // A suspicion has expired by the time of a repetition.
            ..TOTAL_SENDS if self.inferred_health() != InferredHealth::Suspected => {
                now.after_millis(REPEAT_INTERVAL_MS)
            }
            _ => ClockTime::MAX,
        }
    }

    /// Returns which other data centres the evidence is sent to: immediately by instances of the
    /// data centre of its origin, and once more by all instances, as links between some data
    /// centres may be cut.
    pub(crate) fn remote_scope(&self) -> RemoteScope {
        match (self.send_count, self.origin) {
            (0, ObservationOrigin::Local) => RemoteScope::Always,
            (..PROMPT_SENDS, ObservationOrigin::RemoteCentre) => RemoteScope::None,
            (..PROMPT_SENDS, _) => RemoteScope::Sampled,
            (send_count, _) if send_count + 1 == TOTAL_SENDS => RemoteScope::Sampled,
            _ => RemoteScope::None,
        }
    }

    /// Returns whether the sender of these records infers a health at least as bad from them, and
    /// knows an alive observation that is at least as new.
    pub(crate) fn is_covered_by(&self, records: &[ObservationRecord]) -> bool {
        let is_newer = |record: &ObservationRecord, alive: &ObservationRecord| {
            record.kind == ObservationKind::Alive
                && (record.id == alive.id || record.observed_at >= alive.observed_at)
        };
        let has_alive = self
            .newest_alive()
            .is_none_or(|alive| records.iter().any(|record| is_newer(record, &alive)));
        has_alive && conclude(records).health >= self.inferred_health()
    }

    /// Returns the records to disseminate: the newest alive observation, and those of the others
    /// that suffice for the inferred health.
    pub fn disseminated_records(&self, now: ClockTime) -> impl Iterator<Item = ObservationRecord> {
        let records = self.newest_alive().into_iter().chain(self.sufficient_records());
        records.filter(move |record| !is_expired(now, record))
    }

    /// Returns the newest records from which other instances infer the same health.
    fn sufficient_records(&self) -> Vec<ObservationRecord> {
        let decisive = decisive_records(&self.records);
        let newest = |is_selected: &dyn Fn(&ObservationRecord) -> bool| {
            let selected = decisive.iter().copied().filter(|record| is_selected(record));
            selected.max_by_key(time_key)
        };
        let unanswered_data = newest(&|record| record.kind == ObservationKind::DataUnanswered);
        let unanswered =
            newest(&|record| is_unanswered(record) && Some(*record) != unanswered_data);
        match self.inferred_health() {
            InferredHealth::Healthy => Vec::new(),
            InferredHealth::Dead => unanswered_data.into_iter().chain(unanswered).collect(),
            InferredHealth::Unresponsive => unanswered_data.or(unanswered).into_iter().collect(),
            InferredHealth::Ejected => {
                match newest(&|record| record.kind == ObservationKind::Ejected) {
                    Some(ejection) => vec![ejection],
                    None => decisive,
                }
            }
            InferredHealth::Suspected => {
                newest(&|record| record.kind == ObservationKind::Suspect).into_iter().collect()
            }
        }
    }

    /// Returns the newest alive observation.
    fn newest_alive(&self) -> Option<ObservationRecord> {
        newest_alive(&self.records)
    }

    fn conclusion(&self) -> HealthConclusion {
        conclude(&self.records)
    }

    /// Removes the oldest record that isn't decisive if there are too many.
    fn remove_redundant(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut needed = decisive_records(&self.records);
        needed.extend(self.newest_alive());
        let redundant = self.records.iter().filter(|record| !needed.contains(record));
        if let Some(oldest) = redundant.min_by_key(|record| time_key(record)).copied() {
            self.records.retain(|record| *record != oldest);
        }
    }
}

/// Health of a backend server as inferred from observations, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InferredHealth {
    /// No observation against it stands.
    Healthy,
    /// One new flow wasn't answered as fast as others.
    Suspected,
    /// It receives no new flows for a while.
    Ejected,
    /// A packet stayed unanswered although it was retransmitted.
    Unresponsive,
    /// Packets of two flows stayed unanswered, one of them an open flow.
    Dead,
}

/// Inferred health, and the time of the newest observation that supports it.
struct HealthConclusion {
    health: InferredHealth,
    newest_at: ClockTime,
}

impl HealthConclusion {
    /// Returns whether the same health is inferred from observations that are so much newer that
    /// they have to be disseminated.
    fn renews(&self, previous: &HealthConclusion) -> bool {
        let is_newer = match self.health {
            InferredHealth::Healthy => false,
            // The former suspicion has expired, or else the two together would cause an ejection.
            InferredHealth::Suspected => self.newest_at > previous.newest_at,
            _ => is_renewal_due(previous.newest_at, self.newest_at),
        };
        self.health == previous.health && is_newer
    }
}

fn conclude(records: &[ObservationRecord]) -> HealthConclusion {
    let decisive = decisive_records(records);
    let times_of = |is_selected: &dyn Fn(&ObservationRecord) -> bool| -> Vec<ClockTime> {
        decisive
            .iter()
            .filter(|record| is_selected(record))
            .map(|record| record.observed_at)
            .collect()
    };
    let unanswered = times_of(&is_unanswered);
    let ejections = times_of(&|record| record.kind == ObservationKind::Ejected);
    let suspicions = times_of(&|record| record.kind == ObservationKind::Suspect);
    let has_unanswered_data =
        decisive.iter().any(|record| record.kind == ObservationKind::DataUnanswered);
    let are_overlapping = match suspicions[..] {
        [first, second] => are_overlapping(first, second),
        _ => false,
    };
    let newest_at = |times: &[ClockTime]| times.iter().copied().max().unwrap_or(ClockTime::ZERO);
    let (health, newest_at) = if !unanswered.is_empty() {
        let is_dead = has_unanswered_data && unanswered.len() >= MIN_DEATH_OBSERVATIONS;
        let health = if is_dead { InferredHealth::Dead } else { InferredHealth::Unresponsive };
        (health, newest_at(&unanswered))
    } else if are_overlapping {
        (InferredHealth::Ejected, newest_at(&ejections).max(newest_at(&suspicions)))
    } else if !ejections.is_empty() {
        (InferredHealth::Ejected, newest_at(&ejections))
    } else if !suspicions.is_empty() {
        (InferredHealth::Suspected, newest_at(&suspicions))
    } else {
        (InferredHealth::Healthy, ClockTime::ZERO)
    };
    HealthConclusion { health, newest_at }
}

/// Returns the decisive records: of each kind the newest ones that aren't refuted by an alive
/// observation.
fn decisive_records(records: &[ObservationRecord]) -> Vec<ObservationRecord> {
    let alive = newest_alive(records);
    let is_unrefuted = |record: &&ObservationRecord| {
        alive.is_none_or(|alive| record.observed_at > alive.observed_at)
    };
    let is_adverse = |record: &&ObservationRecord| record.kind != ObservationKind::Alive;
    let mut unrefuted: Vec<_> = records.iter().filter(is_adverse).filter(is_unrefuted).collect();
    unrefuted.sort_unstable_by_key(|record| std::cmp::Reverse(time_key(record)));
    let mut counts = [0; 5];
    let is_among_newest = |record: &&ObservationRecord| {
        let count = &mut counts[record.kind as usize];
        *count += 1;
        *count <= MAX_DECISIVE_PER_KIND
    };
    unrefuted.into_iter().filter(is_among_newest).copied().collect()
}

fn newest_alive(records: &[ObservationRecord]) -> Option<ObservationRecord> {
    let alive = records.iter().filter(|record| record.kind == ObservationKind::Alive);
    alive.max_by_key(|record| time_key(record)).copied()
}

/// Sort key by time, with the id as a tie-breaker so that the order is the same at all instances.
fn time_key(record: &ObservationRecord) -> (ClockTime, u16) {
    (record.observed_at, record.id)
}

fn is_unanswered(record: &ObservationRecord) -> bool {
    matches!(record.kind, ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered)
}

/// Returns whether an observation is too old to be disseminated.
pub(crate) fn is_expired(now: ClockTime, record: &ObservationRecord) -> bool {
    record.observed_at.after_millis(RECORD_TTL_MS).is_past(now)
}

/// Returns whether an observation at `observed_at` is so much newer than the known one, which says
/// the same, that it has to be disseminated.
fn is_renewal_due(known_at: ClockTime, observed_at: ClockTime) -> bool {
    known_at.after_millis(RENEWAL_INTERVAL_MS).is_past(observed_at)
}

/// Returns whether the later of two suspicions comes before the earlier one expires.
fn are_overlapping(first: ClockTime, second: ClockTime) -> bool {
    !first.min(second).after_millis(SUSPICION_TIMEOUT_MS).is_past(first.max(second))
}
