//! The status of a scheduler for operators.

use std::collections::BTreeMap;

use foxledge_core::names::{MemberName, TargetName};
use serde::Serialize;

use crate::{demand::WorkTier, effects::RefuseReason};

/// A snapshot of a scheduler.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// The name of the target policy.
    pub policy: &'static str,
    /// The number of queued requests and feeds.
    pub queued: usize,
    /// The maximum of queued requests, and of queued feeds.
    pub queue_limit: u32,
    /// The queued work items by priority, tier and member.
    pub waiting: Vec<WaitingStatus>,
    /// The number of dispatches whose caller waits, feeds included.
    pub running: usize,
    /// The expected wait of a new request behind all queued ones, in microseconds.
    pub expected_wait_us: u64,
    /// The retries left in the budget.
    pub retries_left: f64,
    /// The totals since the start of the scheduler.
    pub counters: SchedulerCounters,
    /// The status of each target.
    pub targets: Vec<TargetStatus>,
}

/// The queued work items of one member in one priority and tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingStatus {
    /// The paid priority.
    pub priority: u8,
    /// Whether the work items are within the fair share of the member.
    pub tier: WorkTier,
    /// The name of the member.
    pub member: MemberName,
    /// The number of queued work items.
    pub queued: usize,
}

/// The state of one target as seen by the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub name: TargetName,
    /// The incarnation of the target.
    pub incarnation: u64,
    /// The slots that dispatches of this scheduler occupy.
    pub busy: u32,
    /// The published number of slots.
    pub slots: u32,
    /// The connections that feeds of this scheduler occupy.
    pub connections: u32,
    /// "open", or the reason why the target gets no new work.
    pub state: &'static str,
    /// The ratio of run times at the target to the mean of their kind.
    #[serde(rename = "pace")]
    pub run_time_ratio: f64,
    /// The progress of the slow start, from 0 (new or cold) to 1 (warm).
    #[serde(rename = "warmth")]
    pub warmup_progress: f64,
}

/// The totals since the start of a scheduler.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerCounters {
    /// Submitted work items.
    pub offered: u64,
    /// First dispatches.
    pub dispatched: u64,
    /// Further dispatches of the same work item.
    pub retried: u64,
    /// Retransmissions, status queries and repeated cancellations.
    pub resent: u64,
    /// Work items that ended.
    pub ended: u64,
    /// Refused work items by reason.
    pub refused: BTreeMap<RefuseReason, u64>,
}
