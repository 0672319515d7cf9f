//! The dispatches that a scheduler waits for.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use foxledge_core::{lists::TargetSpec, time::ClockTime, traffic::TrafficKind};

use crate::work::PendingWork;

/// Holds every dispatch that has not ended, and orders them by their next deadline.
#[derive(Debug, Default)]
pub struct DispatchTable {
    dispatches: HashMap<u64, RunningDispatch>,
    // Invariant: one entry for each dispatch, with its next deadline.
    deadlines: BTreeSet<(ClockTime, u64)>,
}

/// One work item sent to one target.
#[derive(Clone, Debug)]
pub struct RunningDispatch {
    /// The work item.
    pub pending: PendingWork,
    /// The id of the target in the target table.
    pub target_id: u64,
    /// The target as it was published at the time of the dispatch.
    pub spec: Arc<TargetSpec>,
    /// The progress at the target: whether it has acknowledged the dispatch.
    pub phase: DispatchPhase,
    /// Whether the caller still waits for the work item.
    pub caller: CallerState,
    /// Whether the dispatch is counted in the slot ledger of the target.
    pub slot: SlotState,
    /// Retransmissions since the last response of the target, or since the cancellation.
    pub unanswered_sends: u32,
    /// The number of packets sent for this dispatch, the first one included.
    pub send_count: u32,
    /// When the dispatch was sent first.
    pub sent_at: ClockTime,
    /// When the next retransmission or status query is sent.
    pub next_check_at: ClockTime,
    /// The time after which the opening packet must not be sent to the same target again.
    pub resend_deadline: ClockTime,
    /// When the slot is released even without a response.
    pub lease_deadline: ClockTime,
}

/// The progress of a dispatch at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchPhase {
    /// Sent, but not acknowledged.
    Sent,
    /// Acknowledged by the target.
    Accepted,
}

/// The state of the caller of a dispatched work item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// Waits for the work item.
    Waiting,
    /// Gave up; a cancellation was sent to the target.
    Cancelled,
    /// Passed its deadline; a cancellation was sent to the target.
    Overdue,
    /// Received the final response; only the slot is still held.
    Answered,
}

/// Whether a dispatch is counted in the slot ledger of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Counted in the ledger.
    Held,
    /// Released early, because the report of the end is presumed lost.
    Reclaimed,
}

impl RunningDispatch {
    /// Returns the kind of traffic.
    pub fn kind(&self) -> TrafficKind {
        self.pending.item.kind
    }

    /// Returns the time since the dispatch was sent.
    pub fn elapsed(&self, now: ClockTime) -> Duration {
        now.since(self.sent_at)
    }

    /// Returns whether the caller's deadline has passed and no cancellation was sent yet.
    pub fn is_overdue(&self, now: ClockTime) -> bool {
        self.caller == CallerState::Waiting && self.caller_deadline().is_past(now)
    }

    // The deadline of a feed applies to its opening only.
    fn caller_deadline(&self) -> ClockTime {
        let is_open = self.pending.item.is_feed() && self.phase == DispatchPhase::Accepted;
        if is_open { ClockTime::MAX } else { self.pending.item.deadline }
    }

    fn next_deadline(&self) -> ClockTime {
        let deadline = self.next_check_at.min(self.lease_deadline);
        match self.caller {
            CallerState::Waiting => deadline.min(self.caller_deadline()),
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

    /// Returns whether the dispatch is in the table.
    pub fn contains(&self, dispatch: u64) -> bool {
        self.dispatches.contains_key(&dispatch)
    }

    /// Returns the dispatch with this id.
    pub fn get(&self, dispatch: u64) -> Option<&RunningDispatch> {
        self.dispatches.get(&dispatch)
    }

    /// Changes a dispatch and updates its position in the deadline order.
    pub fn update(&mut self, dispatch: u64, change: impl FnOnce(&mut RunningDispatch)) {
        let Some(running) = self.dispatches.get_mut(&dispatch) else {
            return;
        };
        self.deadlines.remove(&(running.next_deadline(), dispatch));
        change(running);
        self.deadlines.insert((running.next_deadline(), dispatch));
    }

    /// Removes a dispatch and returns it.
    pub fn remove(&mut self, dispatch: u64) -> Option<RunningDispatch> {
        let running = self.dispatches.remove(&dispatch)?;
        self.deadlines.remove(&(running.next_deadline(), dispatch));
        Some(running)
    }

    /// Returns the ids of the dispatches whose next deadline has passed.
    pub fn due_dispatches(&self, now: ClockTime) -> Vec<u64> {
        let due = self.deadlines.iter().take_while(|(deadline, _)| deadline.is_past(now));
        due.map(|&(_, dispatch)| dispatch).collect()
    }

    /// Returns the ids of the requests that hold a slot of a target and were sent before
    /// `sent_before`, the oldest first.
    pub fn requests_sent_before(&self, target_id: u64, sent_before: ClockTime) -> Vec<u64> {
        let is_old = |running: &RunningDispatch| {
            running.target_id == target_id
                && running.slot == SlotState::Held
                && !running.pending.item.is_feed()
                && running.sent_at < sent_before
        };
        let found = self.dispatches.iter().filter(|(_, running)| is_old(running));
        let mut old: Vec<_> = found.map(|(&id, running)| (running.sent_at, id)).collect();
        old.sort_unstable();
        old.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns every dispatch, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &RunningDispatch> {
        self.dispatches.values()
    }
}
