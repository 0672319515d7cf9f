//! Work items: the requests and feeds that are submitted to a scheduler.

use std::time::Duration;

use foxledge_core::{
    lists::{FullAction, PaidPriority},
    names::MemberName,
    time::ClockTime,
    traffic::TrafficKind,
};

use crate::{demand::WorkTier, effects::RunState};

// The time reserved for the run is at most the time left divided by this.
const MAX_RESERVE_DIVISOR: u32 = 4;

/// One request or feed that is to be dispatched to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// The id, unique within the scheduler; a second item with an outstanding id is ignored.
    pub id: u64,
    /// The flow id, for policies that hash it.
    pub flow: u64,
    /// The client account that the work item belongs to.
    pub member: MemberName,
    /// The kind of traffic: a feed occupies a connection, other kinds a slot.
    pub kind: TrafficKind,
    /// The paid priority.
    pub priority: PaidPriority,
    /// The weight of the member among those of the same priority, at least 1.
    pub weight: u32,
    /// The maximum of outstanding work items of the member, queued or dispatched, counted
    /// separately for requests and feeds; 0 means no limit.
    pub member_limit: u32,
    /// Whether the work item is queued or refused if no slot is free.
    pub when_full: FullAction,
    /// Whether the work item may run twice.
    pub idempotent: bool,
    /// The time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// The time until which the work item may be started; [`ClockTime::MAX`] without a ticket.
    pub start_deadline: ClockTime,
}

impl WorkItem {
    /// Returns the latest start that leaves `reserve`, or a quarter of the time left now if
    /// that is shorter, until the caller's deadline.
    ///
    /// Under overload, work of the lowest priority waits until its deadline. If it were started
    /// just before, it would occupy a slot without a caller that waits for the result, and the
    /// caller would get the run state "unknown" instead of "not run".
    pub fn latest_start(&self, now: ClockTime, reserve: Duration) -> ClockTime {
        let reserve = reserve.min(self.deadline.remaining(now) / MAX_RESERVE_DIVISOR);
        let micros = self.deadline.as_micros() - reserve.as_micros() as u64;
        self.start_deadline.min(ClockTime::from_micros(micros))
    }

    /// Returns whether the work item is a feed, which occupies a connection instead of a slot.
    pub fn is_feed(&self) -> bool {
        self.kind == TrafficKind::Feed
    }
}

/// A work item with the state of its earlier dispatches.
#[derive(Clone, Debug)]
pub struct PendingWork {
    /// The work item.
    pub item: WorkItem,
    /// The ids of the targets of its earlier dispatches, in order.
    pub tried_targets: Vec<u64>,
    /// [`RunState::Unknown`] once an earlier dispatch may have run. A later refusal must not say
    /// "not run" then, even if the last target did.
    pub run_state: RunState,
    /// The time from which on the work item is not started any more.
    pub latest_start: ClockTime,
    /// Whether the work item is within the fair share of its member.
    pub tier: WorkTier,
}

impl PendingWork {
    /// Creates pending work without earlier dispatches.
    pub fn new(item: WorkItem, latest_start: ClockTime, tier: WorkTier) -> PendingWork {
        PendingWork {
            item,
            tried_targets: Vec::new(),
            run_state: RunState::NotRun,
            latest_start,
            tier,
        }
    }
}
