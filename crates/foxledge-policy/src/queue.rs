//! A fair queue of work items.
//!
//! Start-time fair queueing on two levels: classes of tier and paid priority share the service
//! by [`FAIR_TIER_WEIGHT`] and [`PRIORITY_WEIGHTS`], members of one class by their weights.
//! Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for integrated
//! services packet switching networks", ACM SIGCOMM 1996.

use std::collections::{BTreeSet, HashMap, VecDeque};

use foxledge_core::{lists::PaidPriority, names::MemberName, time::ClockTime};

use crate::{demand::WorkTier, work::PendingWork};

/// The weights of paid priorities 0 to 7 while all of them have queued work.
///
/// Each priority has twice the weight of the one below. A weight also guarantees a minimum: the
/// lowest priority is still served while higher ones overload the service, unlike with strict
/// priority order.
pub const PRIORITY_WEIGHTS: [u64; 8] = [1, 2, 4, 8, 16, 32, 64, 128];

/// The weight of the fair tier relative to the excess tier of the same priority.
///
/// With this factor, fair work of the lowest priority has more weight than excess work of the
/// highest, and excess work still has a guaranteed minimum.
pub const FAIR_TIER_WEIGHT: u64 = 256;

// The classes of the fair tier come after those of the excess tier.
const PRIORITIES: usize = PRIORITY_WEIGHTS.len();
const CLASSES: usize = 2 * PRIORITIES;

// The virtual time of one unit of cost at weight 1.
const TAG_SCALE: u64 = 1 << 16;

// The number of members above which an idle class drops its member queues.
const MAX_IDLE_MEMBERS: usize = 1024;

/// The queued work items of a scheduler in fair order.
#[derive(Debug, Default)]
pub struct FairQueue {
    entries: HashMap<u64, PendingWork>,
    expiries: BTreeSet<(ClockTime, u64)>,
    classes: [PriorityClass; CLASSES],
    virtual_time: u64,
}

/// The number of queued work items of one member in one priority and tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberBacklog {
    /// The paid priority.
    pub priority: u8,
    /// Whether the work items are within the fair share of the member.
    pub tier: WorkTier,
    /// The name of the member.
    pub member: MemberName,
    /// The number of queued work items.
    pub queued: usize,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> FairQueue {
        FairQueue::default()
    }

    /// Returns the number of queued work items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the work item with this id is queued.
    pub fn contains(&self, work: u64) -> bool {
        self.entries.contains_key(&work)
    }

    /// Adds a work item behind those of the same member.
    pub fn push_back(&mut self, pending: PendingWork) {
        self.insert(pending, QueueEnd::Back);
    }

    /// Adds a work item that is retried in front of those of the same member.
    pub fn push_front(&mut self, pending: PendingWork) {
        self.insert(pending, QueueEnd::Front);
    }

    /// Returns the next work item of the tiers up to `max_tier`.
    pub fn peek(&self, max_tier: WorkTier) -> Option<&PendingWork> {
        let class = &self.classes[self.next_class(max_tier)?];
        self.entries.get(&class.next_work()?)
    }

    /// Removes the next work item of the tiers up to `max_tier`, and charges `cost` to its class
    /// and member.
    pub fn pop(&mut self, max_tier: WorkTier, cost: u64) -> Option<PendingWork> {
        let index = self.next_class(max_tier)?;
        let class = &mut self.classes[index];
        let work = class.pop(cost)?;
        // The virtual time advances to the start tag of the served class, and the tags of that
        // class advance by the cost divided by its weight.
        self.virtual_time = class.start_tag;
        class.finish_tag = class.start_tag + cost * TAG_SCALE / class_weight(index);
        class.start_tag = class.finish_tag;
        let pending = self.remove_entry(work);
        self.end_busy_period();
        pending
    }

    /// Removes the work item with this id from any position.
    pub fn remove(&mut self, work: u64) -> Option<PendingWork> {
        let pending = self.remove_entry(work)?;
        let class = &mut self.classes[class_index(pending.item.priority, pending.tier)];
        class.remove(&pending.item.member, work);
        self.end_busy_period();
        Some(pending)
    }

    /// Removes the work items whose latest start has passed.
    pub fn drain_expired(&mut self, now: ClockTime) -> Vec<PendingWork> {
        let mut expired = Vec::new();
        while let Some(&(deadline, work)) = self.expiries.first() {
            if !deadline.is_past(now) {
                break;
            }
            expired.extend(self.remove(work));
        }
        expired
    }

    /// Removes all work items, in the order of their latest start.
    pub fn drain_all(&mut self) -> Vec<PendingWork> {
        self.drain_expired(ClockTime::MAX)
    }

    /// Removes the newest work item of the class or member with the largest backlog relative to
    /// its weight, if that backlog is larger than the one of `pending` would be.
    ///
    /// Without displacement, a member that sends ten times its share fills the queue, and the
    /// work of the others is refused on submission, however fair the order in the queue is.
    pub fn displace_for(&mut self, pending: &PendingWork) -> Option<PendingWork> {
        let own_index = class_index(pending.item.priority, pending.tier);
        let own_backlog =
            (self.classes[own_index].queued as u64 + 1) * inverse_class_weight(own_index);
        let heaviest = (0..self.classes.len())
            .filter(|&index| self.classes[index].queued > 0)
            .max_by_key(|&index| self.classes[index].queued as u64 * inverse_class_weight(index))?;
        let heaviest_backlog =
            self.classes[heaviest].queued as u64 * inverse_class_weight(heaviest);
        let work = if heaviest != own_index && heaviest_backlog > own_backlog {
            self.classes[heaviest].newest_of_heaviest()?
        } else {
            self.classes[own_index].newest_if_heavier(&pending.item.member, pending.item.weight)?
        };
        self.remove(work)
    }

    /// Returns the estimated number of work items that would be served before this one if it
    /// were queued now.
    pub fn expected_ahead_of(&self, pending: &PendingWork) -> f64 {
        let item = &pending.item;
        let own_index = class_index(item.priority, pending.tier);
        let is_waiting = |index: &usize| *index == own_index || self.classes[*index].queued > 0;
        let total_weight: u64 = (0..CLASSES).filter(is_waiting).map(class_weight).sum();
        let class_share = class_weight(own_index) as f64 / total_weight as f64;
        let (queued, member_share) =
            self.classes[own_index].member_share(&item.member, item.weight);
        let ahead = (queued as f64 + 1.0) / (class_share * member_share) - 1.0;
        ahead.min(self.len() as f64)
    }

    /// Returns the backlogs by priority, tier and member.
    pub fn backlogs(&self) -> Vec<MemberBacklog> {
        let mut backlogs = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            for queue in class.queues.iter().filter(|queue| !queue.work_ids.is_empty()) {
                let member = queue.member.clone();
                let queued = queue.work_ids.len();
                let priority = (index % PRIORITIES) as u8;
                let tier = if index < PRIORITIES { WorkTier::Excess } else { WorkTier::Fair };
                backlogs.push(MemberBacklog { priority, tier, member, queued });
            }
        }
        backlogs
    }

    fn insert(&mut self, pending: PendingWork, end: QueueEnd) {
        let item = &pending.item;
        let (work, index) = (item.id, class_index(item.priority, pending.tier));
        let class = &mut self.classes[index];
        if class.queued == 0 {
            class.start_tag = class.finish_tag.max(self.virtual_time);
        }
        class.push(&item.member, item.weight, work, end);
        self.expiries.insert((pending.latest_start, work));
        self.entries.insert(work, pending);
    }

    fn remove_entry(&mut self, work: u64) -> Option<PendingWork> {
        let pending = self.entries.remove(&work)?;
        self.expiries.remove(&(pending.latest_start, work));
        Some(pending)
    }

    fn next_class(&self, max_tier: WorkTier) -> Option<usize> {
        let first = match max_tier {
            WorkTier::Fair => PRIORITIES,
            WorkTier::Excess => 0,
        };
        // With equal start tags, the class of the higher priority is served first.
        (first..CLASSES)
            .rev()
            .filter(|&index| self.classes[index].queued > 0)
            .min_by_key(|&index| self.classes[index].start_tag)
    }

    // At the end of a busy period the virtual time advances to the highest finish tag, so that
    // earlier service has no effect on the next period.
    fn end_busy_period(&mut self) {
        if !self.entries.is_empty() {
            return;
        }
        for class in &mut self.classes {
            self.virtual_time = self.virtual_time.max(class.finish_tag);
            class.end_busy_period();
        }
    }
}

#[derive(Clone, Copy)]
enum QueueEnd {
    Front,
    Back,
}

fn class_index(priority: PaidPriority, tier: WorkTier) -> usize {
    let level = usize::from(priority.0.min(PaidPriority::HIGHEST.0));
    match tier {
        WorkTier::Excess => level,
        WorkTier::Fair => PRIORITIES + level,
    }
}

fn class_weight(class: usize) -> u64 {
    let weight = PRIORITY_WEIGHTS[class % PRIORITIES];
    if class < PRIORITIES { weight } else { weight * FAIR_TIER_WEIGHT }
}

// Backlogs of classes are compared as queued / weight, in integers.
fn inverse_class_weight(index: usize) -> u64 {
    class_weight(CLASSES - 1) / class_weight(index)
}

/// The queued work items of one paid priority and tier.
#[derive(Debug, Default)]
struct PriorityClass {
    queues: Vec<MemberQueue>,
    indexes: HashMap<MemberName, usize>,
    // The start tag and the queue index of each member with queued work, the next one first.
    start_tags: BTreeSet<(u64, usize)>,
    total_weight: u64,
    queued: usize,
    virtual_time: u64,
    start_tag: u64,
    finish_tag: u64,
}

/// The queued work items of one member in one class, first in, first out.
#[derive(Debug)]
struct MemberQueue {
    member: MemberName,
    work_ids: VecDeque<u64>,
    weight: u64,
    start_tag: u64,
    finish_tag: u64,
}

impl PriorityClass {
    fn push(&mut self, member: &MemberName, weight: u32, work: u64, end: QueueEnd) {
        let index = self.index_of(member);
        let queue = &mut self.queues[index];
        if queue.work_ids.is_empty() {
            queue.weight = u64::from(weight.max(1));
            queue.start_tag = queue.finish_tag.max(self.virtual_time);
            self.start_tags.insert((queue.start_tag, index));
            self.total_weight += queue.weight;
        }
        match end {
            QueueEnd::Front => queue.work_ids.push_front(work),
            QueueEnd::Back => queue.work_ids.push_back(work),
        }
        self.queued += 1;
    }

    fn index_of(&mut self, member: &MemberName) -> usize {
        if let Some(&index) = self.indexes.get(member) {
            return index;
        }
        let index = self.queues.len();
        let member = member.clone();
        self.indexes.insert(member.clone(), index);
        let work_ids = VecDeque::new();
        self.queues.push(MemberQueue { member, work_ids, weight: 1, start_tag: 0, finish_tag: 0 });
        index
    }

    fn next_work(&self) -> Option<u64> {
        let &(_, index) = self.start_tags.first()?;
        self.queues[index].work_ids.front().copied()
    }

    fn pop(&mut self, cost: u64) -> Option<u64> {
        let (start, index) = self.start_tags.pop_first()?;
        self.virtual_time = start;
        let queue = &mut self.queues[index];
        let work = queue.work_ids.pop_front()?;
        queue.finish_tag = start + cost * TAG_SCALE / queue.weight;
        queue.start_tag = queue.finish_tag;
        self.queued -= 1;
        self.update_start_tag(index);
        Some(work)
    }

    fn remove(&mut self, member: &MemberName, work: u64) {
        let Some(&index) = self.indexes.get(member) else {
            return;
        };
        let queue = &mut self.queues[index];
        // A displaced work item is the newest one, an expired one mostly the oldest.
        let found = if queue.work_ids.back() == Some(&work) {
            Some(queue.work_ids.len() - 1)
        } else {
            queue.work_ids.iter().position(|&other| other == work)
        };
        let Some(position) = found else {
            return;
        };
        queue.work_ids.remove(position);
        self.start_tags.remove(&(queue.start_tag, index));
        self.queued -= 1;
        self.update_start_tag(index);
    }

    // Invariant: `start_tags` and `total_weight` cover exactly the members with queued work.
    fn update_start_tag(&mut self, index: usize) {
        let queue = &self.queues[index];
        if queue.work_ids.is_empty() {
            self.total_weight -= queue.weight;
        } else {
            self.start_tags.insert((queue.start_tag, index));
        }
    }

    fn newest_of_heaviest(&self) -> Option<u64> {
        self.heaviest()?.work_ids.back().copied()
    }

    fn newest_if_heavier(&self, member: &MemberName, weight: u32) -> Option<u64> {
        let heaviest = self.heaviest()?;
        let queued = self.indexes.get(member).map_or(0, |&index| self.queues[index].work_ids.len());
        let own_index = (queued as u64 + 1) * heaviest.weight;
        let other = heaviest.work_ids.len() as u64 * u64::from(weight.max(1));
        if heaviest.member == *member || other <= own_index {
            return None;
        }
        heaviest.work_ids.back().copied()
    }

    fn heaviest(&self) -> Option<&MemberQueue> {
        let is_waiting = self.start_tags.iter().map(|&(_, index)| &self.queues[index]);
        // Compares queued / weight; of equal ones, the one that is served last.
        is_waiting.max_by(|a, b| {
            let left = a.work_ids.len() as u64 * b.weight;
            let right = b.work_ids.len() as u64 * a.weight;
            left.cmp(&right)
        })
    }

    // Returns the number of queued work items of the member, and the fraction of the service of
    // the class that the member gets while it has queued work.
    fn member_share(&self, member: &MemberName, weight: u32) -> (usize, f64) {
        let queue = self.indexes.get(member).map(|&index| &self.queues[index]);
        let queued = queue.map_or(0, |queue| queue.work_ids.len());
        let weight = u64::from(weight.max(1));
        let total_weight = if queued == 0 { self.total_weight + weight } else { self.total_weight };
        (queued, (weight as f64 / total_weight.max(1) as f64).min(1.0))
    }

    fn end_busy_period(&mut self) {
        for queue in &self.queues {
            self.virtual_time = self.virtual_time.max(queue.finish_tag);
        }
        if self.queues.len() > MAX_IDLE_MEMBERS {
            self.queues.clear();
            self.indexes.clear();
        }
    }
}
