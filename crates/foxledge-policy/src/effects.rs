//! The inputs from targets and the effects that a scheduler requests.

use std::{sync::Arc, time::Duration};

use foxledge_core::{audit::AuditChange, lists::TargetSpec};
use serde::Serialize;

/// An action that the owner of the scheduler has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Send the work item to the target under a new dispatch.
    Dispatch {
        /// The id of the work item.
        work: u64,
        /// The id of the dispatch; random and never 0.
        dispatch: u64,
        /// The target to send to.
        target: Arc<TargetSpec>,
    },
    /// Send the opening packet of the same dispatch to the same target again.
    Resend {
        /// The id of the work item.
        work: u64,
        /// The id of the dispatch.
        dispatch: u64,
        /// The target to send to.
        target: Arc<TargetSpec>,
    },
    /// Query the target for the state of a dispatch that it has accepted.
    ///
    /// The query must not start anything at a target that no longer knows the dispatch: the
    /// opening packet, sent again, would run there as new work.
    Check {
        /// The id of the work item.
        work: u64,
        /// The id of the dispatch.
        dispatch: u64,
        /// The target to query.
        target: Arc<TargetSpec>,
    },
    /// Send the final refusal to the caller.
    Refuse {
        /// The id of the work item.
        work: u64,
        /// The refusal.
        refusal: WorkRefusal,
    },
    /// Cancel the dispatch at the target, because the caller no longer waits for it.
    Cancel {
        /// The id of the dispatch.
        dispatch: u64,
        /// The target to send to.
        target: Arc<TargetSpec>,
    },
    /// Discard the state of the work item without a response: it is an open feed whose target
    /// stopped responding, which its caller notices itself.
    Discard {
        /// The id of the work item.
        work: u64,
    },
    /// Request a load report from the target.
    Probe {
        /// The target to query.
        target: Arc<TargetSpec>,
    },
    /// Record a change in the audit log.
    Audit(AuditChange),
}

/// The final response to a work item that the scheduler refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkRefusal {
    /// Whether the work item may have run.
    pub run_state: RunState,
    /// The reason of the refusal.
    pub reason: RefuseReason,
    /// The time after which the caller should retry; zero means no hint.
    pub retry_after: Duration,
}

/// Whether a refused work item ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and will not run later.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The reason why a work item was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The queue is full for this member, or the work item must not be queued.
    QueueFull,
    /// It could not start before its deadline, or did not end in time.
    DeadlinePassed,
    /// No target is open for new work.
    NoTarget,
    /// The target had no capacity and shed the work item.
    TargetShed,
    /// The target stopped responding.
    TargetLost,
    /// The member has reached its limit of outstanding work items.
    Limit,
    /// The caller cancelled it.
    Cancelled,
    /// Another process than the published one responded at the address of the target.
    WrongTarget,
}

/// The state of a dispatch as reported by its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSignal {
    /// The target accepted the work item.
    Accepted,
    /// The request ended, or the feed was closed.
    Ended,
    /// The work item did not run and will not run under this dispatch.
    NotRun(RefuseReason),
    /// The work item may have run.
    Unknown,
}

/// The load that a target reports of itself, which may be stale or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TargetLoad {
    /// Slots in use, by the dispatches of any scheduler.
    pub busy_slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Requests in the target's own short queue.
    pub queued: u32,
    /// The target is draining and takes no new work.
    pub draining: bool,
    /// The target is cold, and therefore slow.
    pub cold: bool,
    /// The target considers itself healthy.
    pub healthy: bool,
}
