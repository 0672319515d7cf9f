//! What is believed of one backend server, and by which signs.

use foxledge_core::time::ClockTime;
use foxledge_flows::{NoteKind, health::SUSPECT_MS};

/// How long signs are told, in milliseconds: as long as they count as evidence of a death.
const TELL_MS: u64 = 3_000;
/// A sign replaces one that says the same only if it is newer by this, in milliseconds.
///
/// A dead backend server goes on leaving requests unanswered. One more sign changes nothing
/// that is believed, but the evidence must not grow old while the death lasts: a third of
/// [`TELL_MS`] renews it in time.
const RENEW_MS: u64 = 1_000;
/// Signs that suffice for the death of a backend server, if one is of an open flow.
const DEATH_SIGNS: usize = 2;
/// How often an instance tells a change at once, less the times that it hears the same. Once
/// reaches 94 of 100 instances, twice 99.7.
pub(crate) const PROMPT_TELLINGS: u32 = 2;
/// How often it tells it in all: the last instances hear of it when all others repeat it. Where
/// 600 backend servers die before 437 instances, five tellings leave one death unknown to one
/// instance, six none.
const TELLINGS: u32 = 6;
/// Time until a change is told again, in milliseconds, each time: an instance
/// that it missed hears of it before its callers' second copies, at 600 ms.
const REPEAT_MS: u64 = 200;

/// `HealthSign` is what one instance saw of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HealthSign {
    /// Chosen at random by the observer: copies that come by several ways are one. Two signs
    /// that share theirs count as one, which delays a belief and never makes one.
    pub id: u16,
    /// What was seen.
    pub kind: NoteKind,
    /// When, on the clock of this process.
    pub at: ClockTime,
}

/// `SignOrigin` is where a sign was seen, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignOrigin {
    /// Here.
    Own,
    /// At another instance of the own data centre.
    Near,
    /// From another one, whose instances tell all others.
    Far,
}

/// `FarReach` is which other data centres are told of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FarReach {
    /// None: they tell each other.
    None,
    /// All of them by some of the instances that tell it.
    Some,
    /// All of them by this instance, which saw it first.
    Sure,
}

/// `BackendEvidence` is the signs of one backend server that decide what is believed.
#[derive(Clone, Debug)]
pub(crate) struct BackendEvidence {
    /// The newest sign of life that meant a change.
    alive: Option<HealthSign>,
    /// At most one suspicion, one ejection and [`DEATH_SIGNS`] of silence that stand, and
    /// some that `alive` refutes.
    signs: Vec<HealthSign>,
    /// How often it was told here since it last changed.
    pub told: u32,
    /// How often others told it here since then.
    pub heard: u32,
    /// When it is told next.
    pub tell_at: ClockTime,
    /// Where its last change was heard of.
    pub origin: SignOrigin,
}

impl BackendEvidence {
    /// Nothing yet.
    pub fn new(origin: SignOrigin) -> BackendEvidence {
        BackendEvidence {
            alive: None,
            signs: Vec::new(),
            told: 0,
            heard: 0,
            tell_at: ClockTime::FAR,
            origin,
        }
    }

    /// When it is told after it was told so often.
    pub fn next_telling(&self, now: ClockTime) -> ClockTime {
        match self.told {
            ..PROMPT_TELLINGS => now,
            // A suspicion has lapsed by then.
            ..TELLINGS if belief(self.standing()) != HealthBelief::Suspected => {
                now.after_millis(REPEAT_MS)
            }
            _ => ClockTime::FAR,
        }
    }

    /// Which other data centres are told: at once by those where it was seen, and once more
    /// by all, as ways between some of them may be cut.
    pub fn reach(&self) -> FarReach {
        match (self.told, self.origin) {
            (0, SignOrigin::Own) => FarReach::Sure,
            (..PROMPT_TELLINGS, SignOrigin::Far) => FarReach::None,
            (..PROMPT_TELLINGS, _) => FarReach::Some,
            (told, _) if told + 1 == TELLINGS => FarReach::Some,
            _ => FarReach::None,
        }
    }

    /// True when who told these signs believes no less.
    pub fn is_known_by(&self, signs: &[HealthSign]) -> bool {
        let knows_life =
            self.alive.is_none_or(|alive| signs.iter().any(|sign| sign.id == alive.id));
        knows_life && belief(signs.iter()) >= belief(self.standing())
    }

    /// Takes a sign; returns what it means if it changes what is believed.
    pub fn take(&mut self, sign: HealthSign) -> Option<NoteKind> {
        if let Some(known) = self.signs.iter_mut().find(|known| known.id == sign.id) {
            // Told from hop to hop, a sign seems later by the way; the first word is truest.
            known.at = known.at.min(sign.at);
            return None;
        }
        if self.is_refuted(&sign) {
            return None;
        }
        match sign.kind {
            NoteKind::Alive => self.take_life(sign),
            NoteKind::Suspect => self.take_suspicion(sign),
            NoteKind::Ejected => self.take_ejection(sign),
            NoteKind::Silent | NoteKind::Lost => self.take_silence(sign),
        }
    }

    /// Takes a sign of life. What it refutes is kept until it is too old to be told, so that
    /// late copies of it are known for what they are.
    fn take_life(&mut self, sign: HealthSign) -> Option<NoteKind> {
        let is_needless = self.standing().next().is_none()
            && self.alive.is_some_and(|known| !is_renewed(&known, &sign));
        if is_needless {
            return None;
        }
        self.alive = Some(sign);
        Some(NoteKind::Alive)
    }

    /// Takes a suspicion; a second one soon after the first ejects, whoever has them.
    fn take_suspicion(&mut self, sign: HealthSign) -> Option<NoteKind> {
        let former = self.newest_of(|kind| kind == NoteKind::Suspect);
        if former.is_some_and(|former| are_close(&former, &sign)) {
            return self.take_ejection(HealthSign { kind: NoteKind::Ejected, ..sign });
        }
        if former.is_some_and(|former| sign.at < former.at) {
            return None;
        }
        self.replace(sign);
        Some(NoteKind::Suspect)
    }

    fn take_ejection(&mut self, sign: HealthSign) -> Option<NoteKind> {
        let newest = self.newest_of(NoteKind::ejects);
        if newest.is_some_and(|newest| !is_renewed(&newest, &sign)) {
            return None;
        }
        self.replace(sign);
        Some(NoteKind::Ejected)
    }

    /// Takes what stayed unanswered though its caller sent it again.
    fn take_silence(&mut self, sign: HealthSign) -> Option<NoteKind> {
        let known: Vec<_> = self.standing().filter(|known| is_silence(known)).copied().collect();
        if known.len() >= DEATH_SIGNS {
            let completes =
                belief(known.iter()) < HealthBelief::Dead && sign.kind == NoteKind::Lost;
            if !completes && !known.iter().all(|known| is_renewed(known, &sign)) {
                return None;
            }
            // The weakest makes room, so that a sign of an open flow stays.
            let strength = |known: &&HealthSign| (known.kind == NoteKind::Lost, known.at);
            let weakest = known.iter().min_by_key(strength)?.id;
            self.signs.retain(|known| known.id != weakest);
        }
        self.signs.push(sign);
        Some(sign.kind)
    }

    /// Signs of silence that no sign of life refutes.
    fn standing(&self) -> impl Iterator<Item = &HealthSign> {
        self.signs.iter().filter(|sign| !self.is_refuted(sign))
    }

    fn is_refuted(&self, sign: &HealthSign) -> bool {
        self.alive.is_some_and(|alive| sign.at <= alive.at)
    }

    fn newest_of(&self, is_meant: impl Fn(NoteKind) -> bool) -> Option<HealthSign> {
        let meant = self.standing().filter(|sign| is_meant(sign.kind));
        meant.max_by_key(|sign| sign.at).copied()
    }

    /// Puts a sign in the place of those of its kind.
    fn replace(&mut self, sign: HealthSign) {
        self.signs.retain(|known| known.kind != sign.kind);
        self.signs.push(sign);
    }

    /// What is still told: weaker signs that silence implies aren't.
    pub fn told_signs(&self, now: ClockTime) -> impl Iterator<Item = &HealthSign> {
        let silence = self.standing().filter(|sign| is_silence(sign)).map(|sign| sign.at).max();
        let is_implied = move |sign: &&HealthSign| {
            !is_silence(sign) && silence.is_some_and(|silence| sign.at <= silence)
        };
        let standing = self.standing().filter(move |sign| !is_implied(sign));
        self.alive.iter().chain(standing).filter(move |sign| !is_old(now, sign))
    }
}

/// `HealthBelief` is what signs come to, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HealthBelief {
    Unharmed,
    Suspected,
    Ejected,
    Silent,
    Dead,
}

fn belief<'a>(signs: impl Iterator<Item = &'a HealthSign>) -> HealthBelief {
    let (mut strongest, mut silent, mut is_lost) = (HealthBelief::Unharmed, 0, false);
    for sign in signs {
        strongest = strongest.max(match sign.kind {
            NoteKind::Alive => HealthBelief::Unharmed,
            NoteKind::Suspect => HealthBelief::Suspected,
            NoteKind::Ejected => HealthBelief::Ejected,
            NoteKind::Silent | NoteKind::Lost => HealthBelief::Silent,
        });
        silent += usize::from(is_silence(sign));
        is_lost |= sign.kind == NoteKind::Lost;
    }
    if is_lost && silent >= DEATH_SIGNS { HealthBelief::Dead } else { strongest }
}

fn is_silence(sign: &HealthSign) -> bool {
    matches!(sign.kind, NoteKind::Silent | NoteKind::Lost)
}

/// True when a sign is too old to be told.
pub(crate) fn is_old(now: ClockTime, sign: &HealthSign) -> bool {
    sign.at.after_millis(TELL_MS).is_past(now)
}

/// True when `sign` is so much newer than one that says the same that it counts anew.
fn is_renewed(known: &HealthSign, sign: &HealthSign) -> bool {
    known.at.after_millis(RENEW_MS).is_past(sign.at)
}

/// True when the second of two suspicions comes before the first has lapsed.
fn are_close(one: &HealthSign, other: &HealthSign) -> bool {
    let (first, second) = (one.at.min(other.at), one.at.max(other.at));
    !first.after_millis(SUSPECT_MS).is_past(second)
}
