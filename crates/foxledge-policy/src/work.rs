//! What a home is offered.

use std::time::Duration;

use foxledge_core::{
    lists::{FullAction, PaidPriority},
    names::MemberName,
    time::ClockTime,
    traffic::TrafficKind,
};

use crate::{demand::WorkTier, effects::RunState};

// A reserve is at most one of this many parts of the time left.
const LARGEST_RESERVE: u32 = 4;

/// `WorkItem` is one request or feed that asks for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// Names the work at this desk; an id that the desk still holds is not taken twice.
    pub id: u64,
    /// The flow, for policies that hash it.
    pub flow: u64,
    /// Whom the work is counted for.
    pub member: MemberName,
    /// Kind of traffic: a feed holds a connection, the others a slot.
    pub kind: TrafficKind,
    /// Paid priority.
    pub priority: PaidPriority,
    /// Share among members of one priority, from 1.
    pub weight: u32,
    /// Most work of the member in slots and queue, by request or feed; 0 means no limit.
    pub member_limit: u32,
    /// What to do when no slot is free.
    pub when_full: FullAction,
    /// True when a second run does no harm.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: ClockTime,
    /// Until when the work may be started; [`ClockTime::FAR`] without a ticket.
    pub start_deadline: ClockTime,
}

impl WorkItem {
    /// The latest start that leaves `reserve` until the caller's deadline, though
    /// never more than a part of the time that is left now.
    ///
    /// Under overload the lowest priority waits until its deadline. Work that
    /// is started just before it takes a slot and ends for nobody, and its
    /// caller is told "unknown" instead of "not run".
    pub fn start_by(&self, now: ClockTime, reserve: Duration) -> ClockTime {
        let reserve = reserve.min(self.deadline.remaining(now) / LARGEST_RESERVE);
        let micros = self.deadline.as_micros() - reserve.as_micros() as u64;
        self.start_deadline.min(ClockTime::from_micros(micros))
    }

    /// True for work that holds a connection instead of a slot.
    pub fn is_feed(&self) -> bool {
        self.kind == TrafficKind::Feed
    }
}

/// `PendingWork` is a work item with the targets that it was sent to before.
#[derive(Clone, Debug)]
pub struct PendingWork {
    /// The work.
    pub item: WorkItem,
    /// Targets that had it and gave it back, the last one last.
    pub tried: Vec<u64>,
    /// Unknown once an earlier dispatch may have run: a later refusal must not
    /// say "not run" then, whatever the last target said.
    pub ran: RunState,
    /// It isn't started at or after this point.
    pub start_by: ClockTime,
    /// Whether it is within its member's fair part.
    pub tier: WorkTier,
}

impl PendingWork {
    /// Makes work that no target had yet.
    pub fn new(item: WorkItem, start_by: ClockTime, tier: WorkTier) -> PendingWork {
        PendingWork { item, tried: Vec::new(), ran: RunState::NotRun, start_by, tier }
    }
}
