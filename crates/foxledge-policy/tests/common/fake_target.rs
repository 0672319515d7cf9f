//! A target that remembers what it was told of each dispatch.

use std::collections::BTreeMap;

use foxledge_core::{lists::TargetSpec, time::ClockTime};
use foxledge_policy::{RefuseReason, TargetSignal};

/// `FakeTarget` is one process behind a target's name.
#[derive(Debug, Default)]
pub struct FakeTarget {
    incarnation: u64,
    /// It refuses new work.
    pub sheds: bool,
    known: BTreeMap<u64, TargetSignal>,
}

/// `RunStart` is whether an opening packet started a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStart {
    /// It did.
    New,
    /// It was refused, or a copy.
    None,
}

impl FakeTarget {
    /// Makes a process that knows no dispatch.
    pub fn new(incarnation: u64) -> FakeTarget {
        FakeTarget { incarnation, ..FakeTarget::default() }
    }

    /// Takes an opening packet.
    pub fn open(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        target: &TargetSpec,
        give_up: ClockTime,
    ) -> (TargetSignal, RunStart) {
        let signal = self.answer_open(now, dispatch, target, give_up);
        let is_new = self.known.insert(dispatch, signal).is_none();
        let is_started = is_new && signal == TargetSignal::Accepted;
        (signal, if is_started { RunStart::New } else { RunStart::None })
    }

    /// Takes the word that nobody waits for a dispatch any more.
    pub fn cancel(&mut self, dispatch: u64, target: &TargetSpec) -> TargetSignal {
        let reason =
            if self.is_other(target) { RefuseReason::WrongTarget } else { RefuseReason::Cancelled };
        let known = self.known.entry(dispatch).or_insert(TargetSignal::NotRun(reason));
        if *known == TargetSignal::Accepted {
            *known = TargetSignal::Unknown;
        }
        *known
    }

    /// Says what became of a dispatch.
    pub fn check(&self, dispatch: u64, target: &TargetSpec) -> TargetSignal {
        if self.is_other(target) {
            return TargetSignal::Unknown;
        }
        match self.known.get(&dispatch) {
            Some(TargetSignal::Accepted) => TargetSignal::Accepted,
            _ => TargetSignal::Ended,
        }
    }

    /// Dispatches that run.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        let open = self.known.iter().filter(|(_, signal)| **signal == TargetSignal::Accepted);
        open.map(|(&dispatch, _)| dispatch)
    }

    /// Ends a run.
    pub fn end(&mut self, dispatch: u64) {
        if let Some(signal) = self.known.get_mut(&dispatch) {
            *signal = TargetSignal::Ended;
        }
    }

    fn answer_open(
        &self,
        now: ClockTime,
        dispatch: u64,
        target: &TargetSpec,
        give_up: ClockTime,
    ) -> TargetSignal {
        if self.is_other(target) {
            return TargetSignal::NotRun(RefuseReason::WrongTarget);
        }
        if let Some(signal) = self.known.get(&dispatch) {
            return *signal;
        }
        if give_up.is_past(now) {
            TargetSignal::NotRun(RefuseReason::DeadlinePassed)
        } else if self.sheds {
            TargetSignal::NotRun(RefuseReason::TargetShed)
        } else {
            TargetSignal::Accepted
        }
    }

    fn is_other(&self, target: &TargetSpec) -> bool {
        target.incarnation != self.incarnation
    }
}
