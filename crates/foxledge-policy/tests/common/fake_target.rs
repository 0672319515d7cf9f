//! A simulated target that remembers the state of each dispatch.

use std::collections::BTreeMap;

use foxledge_core::{lists::TargetSpec, time::ClockTime};
use foxledge_policy::{RefuseReason, TargetSignal};

/// One process that serves under the name of a target.
#[derive(Debug, Default)]
pub struct FakeTarget {
    incarnation: u64,
    /// Whether it sheds new work.
    pub sheds: bool,
    dispatches: BTreeMap<u64, TargetSignal>,
}

/// Whether an opening packet started a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// It started a run.
    Started,
    /// It was refused or a duplicate.
    None,
}

impl FakeTarget {
    /// Creates a process without dispatches.
    pub fn new(incarnation: u64) -> FakeTarget {
        FakeTarget { incarnation, ..FakeTarget::default() }
    }

    /// Handles an opening packet.
    pub fn open(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        target: &TargetSpec,
        deadline: ClockTime,
    ) -> (TargetSignal, StartResult) {
        let signal = self.open_response(now, dispatch, target, deadline);
        let is_new = self.dispatches.insert(dispatch, signal).is_none();
        let is_started = is_new && signal == TargetSignal::Accepted;
        (signal, if is_started { StartResult::Started } else { StartResult::None })
    }

    /// Handles the cancellation of a dispatch.
    pub fn cancel(&mut self, dispatch: u64, target: &TargetSpec) -> TargetSignal {
        let reason = if self.is_other_process(target) {
            RefuseReason::WrongTarget
        } else {
            RefuseReason::Cancelled
        };
        let state = self.dispatches.entry(dispatch).or_insert(TargetSignal::NotRun(reason));
        if *state == TargetSignal::Accepted {
            *state = TargetSignal::Unknown;
        }
        *state
    }

    /// Returns the state of a dispatch.
    pub fn check(&self, dispatch: u64, target: &TargetSpec) -> TargetSignal {
        if self.is_other_process(target) {
            return TargetSignal::Unknown;
        }
        match self.dispatches.get(&dispatch) {
            Some(TargetSignal::Accepted) => TargetSignal::Accepted,
            _ => TargetSignal::Ended,
        }
    }

    /// Returns the running dispatches.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        let running =
            self.dispatches.iter().filter(|(_, signal)| **signal == TargetSignal::Accepted);
        running.map(|(&dispatch, _)| dispatch)
    }

    /// Ends the run of a dispatch.
    pub fn end_run(&mut self, dispatch: u64) {
        if let Some(signal) = self.dispatches.get_mut(&dispatch) {
            *signal = TargetSignal::Ended;
        }
    }

    fn open_response(
        &self,
        now: ClockTime,
        dispatch: u64,
        target: &TargetSpec,
        deadline: ClockTime,
    ) -> TargetSignal {
        if self.is_other_process(target) {
            return TargetSignal::NotRun(RefuseReason::WrongTarget);
        }
        if let Some(signal) = self.dispatches.get(&dispatch) {
            return *signal;
        }
        if deadline.is_past(now) {
            TargetSignal::NotRun(RefuseReason::DeadlinePassed)
        } else if self.sheds {
            TargetSignal::NotRun(RefuseReason::TargetShed)
        } else {
            TargetSignal::Accepted
        }
    }

    fn is_other_process(&self, target: &TargetSpec) -> bool {
        target.incarnation != self.incarnation
    }
}
