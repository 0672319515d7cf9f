//! What a desk sent out and waits for.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use foxledge_core::{lists::TargetSpec, time::ClockTime, traffic::TrafficKind};

use crate::work::PendingWork;

/// `DispatchTable` is every dispatch that holds a slot or connection.
#[derive(Debug, Default)]
pub struct DispatchTable {
    dispatches: HashMap<u64, RunningDispatch>,
    // Invariant: one entry for each dispatch whose next deadline isn't far.
    deadlines: BTreeSet<(ClockTime, u64)>,
}

/// `RunningDispatch` is one work at one target.
#[derive(Clone, Debug)]
pub struct RunningDispatch {
    /// The work.
    pub pending: PendingWork,
    /// The desk's number of the target.
    pub target: u64,
    /// The target as it was published then.
    pub spec: Arc<TargetSpec>,
    /// Whether the target has it.
    pub phase: DispatchPhase,
    /// Whether the caller still waits.
    pub caller: CallerState,
    /// Whether it is counted in the target's ledger.
    pub hold: SlotHold,
    /// Sendings since the last sign of the target.
    pub unanswered: u32,
    /// All sendings.
    pub sendings: u32,
    /// When it was sent first.
    pub sent_at: ClockTime,
    /// When it is asked about next.
    pub check_at: ClockTime,
    /// Until when it may be sent again to the same target.
    pub resend_deadline: ClockTime,
    /// When the slot is given back whatever happens.
    pub lease_deadline: ClockTime,
}

/// `DispatchPhase` is whether a target has a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchPhase {
    /// Sent.
    Sent,
    /// The target said so.
    Accepted,
}

/// `CallerState` is whether a dispatch's caller still waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// Waits.
    Waiting,
    /// Gave up; the target was told so.
    Cancelled,
    /// Its deadline has passed; the target was told so.
    Overdue,
    /// Has its final answer; only the slot is still held.
    Answered,
}

/// `SlotHold` is whether a dispatch is counted in its target's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotHold {
    /// Counted.
    Held,
    /// Its end seems to be lost; the slot was given back before.
    Presumed,
}

impl RunningDispatch {
    /// Kind of traffic.
    pub fn kind(&self) -> TrafficKind {
        self.pending.item.kind
    }

    /// Time since it was sent.
    pub fn run_time(&self, now: ClockTime) -> Duration {
        now.since(self.sent_at)
    }

    /// True when the caller's deadline has passed and the target wasn't told yet.
    pub fn is_overdue(&self, now: ClockTime) -> bool {
        self.caller == CallerState::Waiting && self.give_up_at().is_past(now)
    }

    // Until when the caller waits; the deadline of a feed is for its opening.
    fn give_up_at(&self) -> ClockTime {
        let is_open = self.pending.item.is_feed() && self.phase == DispatchPhase::Accepted;
        if is_open { ClockTime::MAX } else { self.pending.item.deadline }
    }

    fn next_deadline(&self) -> ClockTime {
        let deadline = self.check_at.min(self.lease_deadline);
        match self.caller {
            CallerState::Waiting => deadline.min(self.give_up_at()),
            _ => deadline,
        }
    }
}

impl DispatchTable {
    /// Adds a dispatch.
    pub fn insert(&mut self, dispatch: u64, running: RunningDispatch) {
        self.deadlines.insert((running.next_deadline(), dispatch));
        self.dispatches.insert(dispatch, running);
    }

    /// True when the table holds it.
    pub fn contains(&self, dispatch: u64) -> bool {
        self.dispatches.contains_key(&dispatch)
    }

    /// The dispatch.
    pub fn get(&self, dispatch: u64) -> Option<&RunningDispatch> {
        self.dispatches.get(&dispatch)
    }

    /// Changes a dispatch and keeps its deadline in order.
    pub fn update(&mut self, dispatch: u64, change: impl FnOnce(&mut RunningDispatch)) {
        let Some(running) = self.dispatches.get_mut(&dispatch) else {
            return;
        };
        self.deadlines.remove(&(running.next_deadline(), dispatch));
        change(running);
        self.deadlines.insert((running.next_deadline(), dispatch));
    }

    /// Takes a dispatch out.
    pub fn remove(&mut self, dispatch: u64) -> Option<RunningDispatch> {
        let running = self.dispatches.remove(&dispatch)?;
        self.deadlines.remove(&(running.next_deadline(), dispatch));
        Some(running)
    }

    /// The dispatches whose next deadline has passed.
    pub fn due(&self, now: ClockTime) -> Vec<u64> {
        let due = self.deadlines.iter().take_while(|(deadline, _)| deadline.is_past(now));
        due.map(|&(_, dispatch)| dispatch).collect()
    }

    /// Requests at a target that hold a slot and were sent before `sent_before`,
    /// the oldest first.
    pub fn old_requests(&self, target: u64, sent_before: ClockTime) -> Vec<u64> {
        let is_old = |running: &RunningDispatch| {
            running.target == target
                && running.hold == SlotHold::Held
                && !running.pending.item.is_feed()
                && running.sent_at < sent_before
        };
        let found = self.dispatches.iter().filter(|(_, running)| is_old(running));
        let mut old: Vec<_> = found.map(|(&id, running)| (running.sent_at, id)).collect();
        old.sort_unstable();
        old.into_iter().map(|(_, id)| id).collect()
    }

    /// Every dispatch, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &RunningDispatch> {
        self.dispatches.values()
    }
}
