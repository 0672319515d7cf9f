//! What a desk tells operators.

use std::collections::BTreeMap;

use foxledge_core::names::{MemberName, TargetName};
use serde::Serialize;

use crate::{demand::WorkTier, effects::RefuseReason};

/// `SchedulerStatus` is a desk at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// Name of the target policy.
    pub policy: &'static str,
    /// Requests and feeds that wait.
    pub queued: usize,
    /// Most that may wait.
    pub queue_limit: u32,
    /// What waits, by priority and member.
    pub waiting: Vec<WaitingStatus>,
    /// Dispatches whose caller waits, feeds included.
    pub running: usize,
    /// Expected wait of a newcomer that is served last, in microseconds.
    pub expected_wait_us: u64,
    /// Retries left in the budget.
    pub retries_left: f64,
    /// Totals since the desk began.
    pub counters: SchedulerCounters,
    /// The targets.
    pub targets: Vec<TargetStatus>,
}

/// `WaitingStatus` is the waiting work of one member in one priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingStatus {
    /// Paid priority.
    pub priority: u8,
    /// Whether it is within the member's fair part.
    pub tier: WorkTier,
    /// The member.
    pub member: MemberName,
    /// How many works wait.
    pub queued: usize,
}

/// `TargetStatus` is what the desk believes of one target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Its name.
    pub name: TargetName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Slots held.
    pub busy: u32,
    /// Slots published.
    pub slots: u32,
    /// Connections held.
    pub connections: u32,
    /// Why it gets no work, or "open".
    pub state: &'static str,
    /// Run time as a multiple of the usual.
    #[serde(rename = "pace")]
    pub run_time_ratio: f64,
    /// From 0 (new or cold) to 1 (warm).
    #[serde(rename = "warmth")]
    pub warmup_progress: f64,
}

/// `SchedulerCounters` are totals since a desk began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerCounters {
    /// Works offered.
    pub offered: u64,
    /// First dispatches.
    pub dispatched: u64,
    /// Further dispatches of the same work.
    pub retried: u64,
    /// Sendings of the same dispatch after the first.
    pub resent: u64,
    /// Works that ended.
    pub ended: u64,
    /// Works refused, by reason.
    pub refused: BTreeMap<RefuseReason, u64>,
}
