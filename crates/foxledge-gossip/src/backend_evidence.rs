//! What is believed of one backend server, and by which signs.
//!
//! # Signs add up, whatever their way
//!
//! A [`ObservationRecord`] is one observation of one instance. Copies of it come by many ways, late and
//! repeatedly; all are one sign, named by its identity, at the time of its earliest copy. What
//! is believed depends on the set of signs alone: taking them is commutative, associative and
//! idempotent, as of each kind the newest decide and only a sign of life takes something away.
//!
//! - A sign of life refutes what was seen no later than it, and nothing that is newer.
//! - A copy is never news. A sign is remembered after it was refuted or made needless, so that
//!   its copies, which seem later from hop to hop, are known for what they are. Without that,
//!   old signs of life made dead backend servers look healthy and idle, and new flows went there.
//! - Signs older than [`TELL_MS`] are forgotten everywhere.

use foxledge_core::time::ClockTime;
use foxledge_flows::{ObservationKind, health::SUSPICION_TIMEOUT_MS};

/// How long signs are told, in milliseconds: as long as they count as evidence of a death.
const TELL_MS: u64 = 3_000;
/// A sign that changes no belief is news if it is newer by this, in milliseconds.
///
/// A dead backend server goes on leaving requests unanswered. One more sign changes nothing
/// that is believed, but the evidence must not grow old while the death lasts: a third of
/// [`TELL_MS`] renews it in time.
const RENEW_MS: u64 = 1_000;
/// Signs that suffice for the death of a backend server, if one is of an open flow.
const DEATH_SIGNS: usize = 2;
/// Signs of one kind that can decide what is believed: a death or an ejection takes two.
const DECIDING_SIGNS: usize = 2;
/// Most signs remembered of one backend server; more than those that can decide.
const MOST_SIGNS: usize = 16;
/// How often an instance tells a change at once, less the times that it hears the same: told once,
/// a change misses one instance in twenty.
pub(crate) const PROMPT_SENDS: u32 = 2;
/// How often it tells it in all: the last instances of a large data centre hear of it when all
/// others repeat it.
const TELLINGS: u32 = 6;
/// Time until a change is told again, in milliseconds, each time: an instance
/// that it missed hears of it before its callers' second copies, at 600 ms.
const REPEAT_MS: u64 = 200;

/// `ObservationRecord` is what one instance saw of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservationRecord {
    /// Chosen at random by the observer: copies that come by several ways are one. Two signs
    /// that share theirs count as one, which delays a belief and never makes one.
    pub id: u16,
    /// What was seen.
    pub kind: ObservationKind,
    /// When, on the clock of this process.
    pub observed_at: ClockTime,
}

/// `ObservationOrigin` is where a sign was seen, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationOrigin {
    /// Here.
    Local,
    /// At another instance of the own data centre.
    SameCentre,
    /// From another one, whose instances tell all others.
    RemoteCentre,
}

/// `RemoteScope` is which other data centres are told of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemoteScope {
    /// None: they tell each other.
    None,
    /// All of them by some of the instances that tell it.
    Sampled,
    /// All of them by this instance, which saw it first.
    Always,
}

/// `BackendEvidence` is the signs of one backend server, and how far they were told.
#[derive(Clone, Debug)]
pub struct BackendEvidence {
    /// Signs that count, and others that are remembered for their copies.
    signs: Vec<ObservationRecord>,
    /// How often it was told here since it last changed.
    pub(crate) send_count: u32,
    /// How often others told it here since then.
    pub(crate) echo_count: u32,
    /// When it is told next.
    pub(crate) next_send_at: ClockTime,
    /// Where its last change was heard of.
    pub(crate) origin: ObservationOrigin,
}

impl BackendEvidence {
    /// Nothing yet.
    pub fn new(origin: ObservationOrigin) -> BackendEvidence {
        BackendEvidence {
            signs: Vec::new(),
            send_count: 0,
            echo_count: 0,
            next_send_at: ClockTime::MAX,
            origin,
        }
    }

    /// Takes a sign; returns what it means if it is news.
    pub fn record(&mut self, now: ClockTime, sign: ObservationRecord) -> Option<ObservationKind> {
        self.signs.retain(|known| !is_expired(now, known));
        if is_expired(now, &sign) {
            return None;
        }
        if let Some(known) = self.signs.iter_mut().find(|known| known.id == sign.id) {
            // Told from hop to hop, a sign seems later by the way; the first word is truest.
            known.observed_at = known.observed_at.min(sign.observed_at);
            return None;
        }
        let (life, before) = (self.life(), self.verdict());
        self.signs.push(sign);
        self.forget_needless();
        let after = self.verdict();
        if sign.kind == ObservationKind::Alive {
            let is_renewal = life.is_none_or(|life| is_renewed(life.observed_at, sign.observed_at));
            return (after.belief < before.belief || is_renewal).then_some(ObservationKind::Alive);
        }
        let is_stronger = after.belief > before.belief;
        if !is_stronger && !after.renews(&before) {
            return None;
        }
        match after.belief {
            InferredHealth::Ejected => Some(ObservationKind::Ejected),
            _ => Some(sign.kind),
        }
    }

    /// What is believed.
    pub fn inferred_health(&self) -> InferredHealth {
        self.verdict().belief
    }

    /// When it is told after it was told so often.
    pub(crate) fn next_send_time(&self, now: ClockTime) -> ClockTime {
        match self.send_count {
            ..PROMPT_SENDS => now,
            // A suspicion has lapsed by then.
            ..TELLINGS if self.inferred_health() != InferredHealth::Suspected => {
                now.after_millis(REPEAT_MS)
            }
            _ => ClockTime::MAX,
        }
    }

    /// Which other data centres are told: at once by those where it was seen, and once more
    /// by all, as ways between some of them may be cut.
    pub(crate) fn remote_scope(&self) -> RemoteScope {
        match (self.send_count, self.origin) {
            (0, ObservationOrigin::Local) => RemoteScope::Always,
            (..PROMPT_SENDS, ObservationOrigin::RemoteCentre) => RemoteScope::None,
            (..PROMPT_SENDS, _) => RemoteScope::Sampled,
            (told, _) if told + 1 == TELLINGS => RemoteScope::Sampled,
            _ => RemoteScope::None,
        }
    }

    /// True when who told these signs believes no less.
    pub(crate) fn is_covered_by(&self, signs: &[ObservationRecord]) -> bool {
        let is_newer = |sign: &ObservationRecord, life: &ObservationRecord| {
            sign.kind == ObservationKind::Alive
                && (sign.id == life.id || sign.observed_at >= life.observed_at)
        };
        let knows_life =
            self.life().is_none_or(|life| signs.iter().any(|sign| is_newer(sign, &life)));
        knows_life && verdict_of(signs).belief >= self.inferred_health()
    }

    /// What is still told: the newest sign of life, and of the others those that suffice for
    /// what is believed.
    pub fn disseminated_records(&self, now: ClockTime) -> impl Iterator<Item = ObservationRecord> {
        let told = self.life().into_iter().chain(self.sufficient());
        told.filter(move |sign| !is_expired(now, sign))
    }

    /// The newest signs from which others conclude the same.
    fn sufficient(&self) -> Vec<ObservationRecord> {
        let deciding = deciding(&self.signs);
        let newest = |is_meant: &dyn Fn(&ObservationRecord) -> bool| {
            let meant = deciding.iter().copied().filter(|sign| is_meant(sign));
            meant.max_by_key(by_age)
        };
        let lost = newest(&|sign| sign.kind == ObservationKind::DataUnanswered);
        let silence = newest(&|sign| is_silence(sign) && Some(*sign) != lost);
        match self.inferred_health() {
            InferredHealth::Healthy => Vec::new(),
            InferredHealth::Dead => lost.into_iter().chain(silence).collect(),
            InferredHealth::Unresponsive => lost.or(silence).into_iter().collect(),
            InferredHealth::Ejected => {
                match newest(&|sign| sign.kind == ObservationKind::Ejected) {
                    Some(ejection) => vec![ejection],
                    None => deciding,
                }
            }
            InferredHealth::Suspected => {
                newest(&|sign| sign.kind == ObservationKind::Suspect).into_iter().collect()
            }
        }
    }

    /// The newest sign of life.
    fn life(&self) -> Option<ObservationRecord> {
        newest_life(&self.signs)
    }

    fn verdict(&self) -> HealthVerdict {
        verdict_of(&self.signs)
    }

    /// Forgets the oldest sign that decides nothing, when there are too many.
    fn forget_needless(&mut self) {
        if self.signs.len() <= MOST_SIGNS {
            return;
        }
        let mut needed = deciding(&self.signs);
        needed.extend(self.life());
        let needless = self.signs.iter().filter(|sign| !needed.contains(sign));
        if let Some(oldest) = needless.min_by_key(|sign| by_age(sign)).copied() {
            self.signs.retain(|sign| *sign != oldest);
        }
    }
}

/// `InferredHealth` is what signs come to, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InferredHealth {
    /// Nothing speaks against it.
    Healthy,
    /// One new flow wasn't answered as fast as others.
    Suspected,
    /// It gets no new flows for a while.
    Ejected,
    /// Something stayed unanswered though it was sent again.
    Unresponsive,
    /// Two flows stayed unanswered, one of them open.
    Dead,
}

/// `HealthVerdict` is what is believed, and how new the signs for it are.
struct HealthVerdict {
    belief: InferredHealth,
    newest_at: ClockTime,
}

impl HealthVerdict {
    /// True when the same is believed on evidence so much newer that it counts anew.
    fn renews(&self, former: &HealthVerdict) -> bool {
        let is_newer = match self.belief {
            InferredHealth::Healthy => false,
            // The former suspicion has lapsed, or the two would eject.
            InferredHealth::Suspected => self.newest_at > former.newest_at,
            _ => is_renewed(former.newest_at, self.newest_at),
        };
        self.belief == former.belief && is_newer
    }
}

fn verdict_of(signs: &[ObservationRecord]) -> HealthVerdict {
    let deciding = deciding(signs);
    let of = |is_meant: &dyn Fn(&ObservationRecord) -> bool| -> Vec<ClockTime> {
        deciding.iter().filter(|sign| is_meant(sign)).map(|sign| sign.observed_at).collect()
    };
    let silences = of(&is_silence);
    let ejections = of(&|sign| sign.kind == ObservationKind::Ejected);
    let suspicions = of(&|sign| sign.kind == ObservationKind::Suspect);
    let is_lost = deciding.iter().any(|sign| sign.kind == ObservationKind::DataUnanswered);
    let are_close = match suspicions[..] {
        [one, other] => are_close(one, other),
        _ => false,
    };
    let newest_at = |times: &[ClockTime]| times.iter().copied().max().unwrap_or(ClockTime::ZERO);
    let (belief, newest_at) = if !silences.is_empty() {
        let is_dead = is_lost && silences.len() >= DEATH_SIGNS;
        let belief = if is_dead { InferredHealth::Dead } else { InferredHealth::Unresponsive };
        (belief, newest_at(&silences))
    } else if are_close {
        (InferredHealth::Ejected, newest_at(&ejections).max(newest_at(&suspicions)))
    } else if !ejections.is_empty() {
        (InferredHealth::Ejected, newest_at(&ejections))
    } else if !suspicions.is_empty() {
        (InferredHealth::Suspected, newest_at(&suspicions))
    } else {
        (InferredHealth::Healthy, ClockTime::ZERO)
    };
    HealthVerdict { belief, newest_at }
}

/// Of each kind the newest signs of silence that no sign of life refutes.
fn deciding(signs: &[ObservationRecord]) -> Vec<ObservationRecord> {
    let life = newest_life(signs);
    let is_standing =
        |sign: &&ObservationRecord| life.is_none_or(|life| sign.observed_at > life.observed_at);
    let is_against = |sign: &&ObservationRecord| sign.kind != ObservationKind::Alive;
    let mut standing: Vec<_> = signs.iter().filter(is_against).filter(is_standing).collect();
    standing.sort_unstable_by_key(|sign| std::cmp::Reverse(by_age(sign)));
    let mut counts = [0; 5];
    let is_among_newest = |sign: &&ObservationRecord| {
        let count = &mut counts[sign.kind as usize];
        *count += 1;
        *count <= DECIDING_SIGNS
    };
    standing.into_iter().filter(is_among_newest).copied().collect()
}

fn newest_life(signs: &[ObservationRecord]) -> Option<ObservationRecord> {
    let lives = signs.iter().filter(|sign| sign.kind == ObservationKind::Alive);
    lives.max_by_key(|sign| by_age(sign)).copied()
}

/// Orders signs by time; the same everywhere for those of one moment.
fn by_age(sign: &ObservationRecord) -> (ClockTime, u16) {
    (sign.observed_at, sign.id)
}

fn is_silence(sign: &ObservationRecord) -> bool {
    matches!(sign.kind, ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered)
}

/// True when a sign is too old to be told.
pub(crate) fn is_expired(now: ClockTime, sign: &ObservationRecord) -> bool {
    sign.observed_at.after_millis(TELL_MS).is_past(now)
}

/// True when what was seen at `at` is so much newer than what says the same that it counts anew.
fn is_renewed(known_at: ClockTime, at: ClockTime) -> bool {
    known_at.after_millis(RENEW_MS).is_past(at)
}

/// True when the second of two suspicions comes before the first has lapsed.
fn are_close(one: ClockTime, other: ClockTime) -> bool {
    !one.min(other).after_millis(SUSPICION_TIMEOUT_MS).is_past(one.max(other))
}
