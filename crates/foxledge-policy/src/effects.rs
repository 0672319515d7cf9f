//! What a desk is told and what it wants done.

use std::{sync::Arc, time::Duration};

use foxledge_core::{audit::AuditChange, lists::TargetSpec};
use serde::Serialize;

/// `SchedulerEffect` is one thing that the desk wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Send the work to the target under a new dispatch.
    Dispatch {
        /// The work.
        work: u64,
        /// The dispatch; random and never 0.
        dispatch: u64,
        /// Where to.
        target: Arc<TargetSpec>,
    },
    /// Send the opening packet of the same dispatch to the same target again.
    Resend {
        /// The work.
        work: u64,
        /// The dispatch.
        dispatch: u64,
        /// Where to.
        target: Arc<TargetSpec>,
    },
    /// Ask the target what became of a dispatch that it has accepted.
    ///
    /// It must start nothing at a target that has forgotten the dispatch: the
    /// opening packet sent again would run there as new work.
    Check {
        /// The work.
        work: u64,
        /// The dispatch.
        dispatch: u64,
        /// Whom.
        target: Arc<TargetSpec>,
    },
    /// Give the caller the final answer at once.
    Refuse {
        /// The work.
        work: u64,
        /// The answer.
        refusal: WorkRefusal,
    },
    /// Pass on that nobody waits for the dispatch any more.
    Cancel {
        /// The dispatch.
        dispatch: u64,
        /// Where to.
        target: Arc<TargetSpec>,
    },
    /// The desk holds the work no longer, and nobody needs to be told: an open
    /// feed whose target fell silent, which its caller notices itself.
    Discard {
        /// The work.
        work: u64,
    },
    /// Ask the target for its load.
    Probe {
        /// Whom.
        target: Arc<TargetSpec>,
    },
    /// Record a change.
    Audit(AuditChange),
}

/// `WorkRefusal` is the final answer to work that the desk gave up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkRefusal {
    /// Whether it may have run.
    pub run_state: RunState,
    /// Why.
    pub reason: RefuseReason,
    /// When to come back; zero means no hint.
    pub retry_after: Duration,
}

/// `RunState` is whether refused work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// `RefuseReason` is why work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The queue has no place for this member.
    QueueFull,
    /// It can't start before its deadline, or did not end in time.
    DeadlinePassed,
    /// No target takes work.
    NoTarget,
    /// The target had no room.
    TargetShed,
    /// The target fell silent.
    TargetLost,
    /// The member holds all that it may.
    Limit,
    /// The caller gave up.
    Cancelled,
    /// The target is another one than published.
    WrongTarget,
}

/// `TargetSignal` is what a target said of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSignal {
    /// It has the work.
    Accepted,
    /// The work ended, or the feed closed.
    Ended,
    /// The work did not run and never will under this dispatch.
    NotRun(RefuseReason),
    /// The work may have run.
    Unknown,
}

/// `TargetLoad` is what a target says of its own load; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TargetLoad {
    /// Slots in use, by whomever.
    pub busy_slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Requests in its own short queue.
    pub queued: u32,
    /// It is leaving: no new work.
    pub draining: bool,
    /// It is cold and slow.
    pub cold: bool,
    /// It calls itself healthy.
    pub healthy: bool,
}
