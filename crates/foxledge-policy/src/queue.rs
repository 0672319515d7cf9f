//! The bounded queue in fair order.
//!
//! Start-time fair queueing on two levels: classes share by tier and paid
//! priority ([`FAIR_SHARE`], [`PRIORITY_SHARES`]), members of one class by
//! their weights. Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for integrated
//! services packet switching networks", ACM SIGCOMM 1996.

use std::collections::{BTreeSet, HashMap, VecDeque};

use foxledge_core::{lists::PaidPriority, names::MemberName, time::ClockTime};

use crate::{demand::WorkTier, work::PendingWork};

/// Shares of paid priorities 0 to 7 while all of them wait.
///
/// Each level gets twice the share of the one below. A share is a floor too:
/// the lowest priority goes on being served while higher ones overload the
/// service, which strict order would not do.
pub const PRIORITY_SHARES: [u64; 8] = [1, 2, 4, 8, 16, 32, 64, 128];

/// Share of the fair tier beside the excess tier of the same priority.
///
/// The lowest priority's fair part so goes before the highest's excess, and
/// the excess still has a floor.
pub const FAIR_SHARE: u64 = 256;

// The fair tier's classes come after the excess tier's.
const PRIORITIES: usize = PRIORITY_SHARES.len();
const CLASSES: usize = 2 * PRIORITIES;

// Virtual time of one unit of cost at share 1.
const TAG_SCALE: u64 = 1 << 16;

// Idle members that are remembered before the list is cleared.
const IDLE_MEMBERS: usize = 1024;

/// `FairQueue` is the waiting work of a desk in fair order.
#[derive(Debug, Default)]
pub struct FairQueue {
    entries: HashMap<u64, PendingWork>,
    expiries: BTreeSet<(ClockTime, u64)>,
    classes: [PriorityClass; CLASSES],
    virtual_time: u64,
}

/// `QueueShare` is the work of one member that waits in one priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueShare {
    /// Paid priority.
    pub priority: u8,
    /// Whether it is within the member's fair part.
    pub tier: WorkTier,
    /// The member.
    pub member: MemberName,
    /// How many works wait.
    pub queued: usize,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new() -> FairQueue {
        FairQueue::default()
    }

    /// Number of works that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// True when that work waits.
    pub fn contains(&self, work: u64) -> bool {
        self.entries.contains_key(&work)
    }

    /// Adds work behind its member's other work.
    pub fn push(&mut self, pending: PendingWork) {
        self.insert(pending, QueueEnd::Back);
    }

    /// Adds work that a target gave back in front of its member's other work.
    pub fn push_again(&mut self, pending: PendingWork) {
        self.insert(pending, QueueEnd::Front);
    }

    /// The work whose turn it is among the tiers up to `last`.
    pub fn peek(&self, last: WorkTier) -> Option<&PendingWork> {
        let class = &self.classes[self.next_class(last)?];
        self.entries.get(&class.next_work()?)
    }

    /// Takes the work whose turn it is among the tiers up to `last`, and charges
    /// its member `cost`.
    pub fn pop(&mut self, last: WorkTier, cost: u64) -> Option<PendingWork> {
        let number = self.next_class(last)?;
        let class = &mut self.classes[number];
        let work = class.pop(cost)?;
        // The class's virtual time moves to the start tag of what is served,
        // its own tag by the cost over its share.
        self.virtual_time = class.start;
        class.finish = class.start + cost * TAG_SCALE / share_of(number);
        class.start = class.finish;
        let pending = self.forget(work);
        self.settle();
        pending
    }

    /// Takes work out of its place.
    pub fn remove(&mut self, work: u64) -> Option<PendingWork> {
        let pending = self.forget(work)?;
        let class = &mut self.classes[class_of(pending.item.priority, pending.tier)];
        class.remove(&pending.item.member, work);
        self.settle();
        Some(pending)
    }

    /// Takes out the work that can't be started any more.
    pub fn take_expired(&mut self, now: ClockTime) -> Vec<PendingWork> {
        let mut expired = Vec::new();
        while let Some(&(deadline, work)) = self.expiries.first() {
            if !deadline.is_past(now) {
                break;
            }
            expired.extend(self.remove(work));
        }
        expired
    }

    /// Takes out all work, in the order of deadlines.
    pub fn take_all(&mut self) -> Vec<PendingWork> {
        self.take_expired(ClockTime::MAX)
    }

    /// Takes out the newest work of the heaviest member, if that member is
    /// heavier than the member of `pending` would be with it.
    ///
    /// Without it a member that sends ten times its share fills the queue, and
    /// the others' work is refused at the door, however fair the order inside.
    pub fn displace_for(&mut self, pending: &PendingWork) -> Option<PendingWork> {
        let own = class_of(pending.item.priority, pending.tier);
        let own_load = (self.classes[own].queued as u64 + 1) * shares_product(own);
        let heaviest = (0..self.classes.len())
            .filter(|&number| self.classes[number].queued > 0)
            .max_by_key(|&number| self.classes[number].queued as u64 * shares_product(number))?;
        let heaviest_load = self.classes[heaviest].queued as u64 * shares_product(heaviest);
        let work = if heaviest != own && heaviest_load > own_load {
            self.classes[heaviest].newest_of_heaviest()?
        } else {
            self.classes[own].newest_of_heavier(&pending.item.member, pending.item.weight)?
        };
        self.remove(work)
    }

    /// How many works would go before that one if it came now, in fair order.
    pub fn ahead_of(&self, pending: &PendingWork) -> f64 {
        let item = &pending.item;
        let own = class_of(item.priority, pending.tier);
        let waiting = |number: &usize| *number == own || self.classes[*number].queued > 0;
        let shares: u64 = (0..CLASSES).filter(waiting).map(share_of).sum();
        let class_part = share_of(own) as f64 / shares as f64;
        let (queued, member_part) = self.classes[own].part_of(&item.member, item.weight);
        let in_turn = (queued as f64 + 1.0) / (class_part * member_part) - 1.0;
        in_turn.min(self.len() as f64)
    }

    /// What waits, by priority and member.
    pub fn shares(&self) -> Vec<QueueShare> {
        let mut shares = Vec::new();
        for (number, class) in self.classes.iter().enumerate() {
            for line in class.lines.iter().filter(|line| !line.works.is_empty()) {
                let member = line.member.clone();
                let queued = line.works.len();
                let priority = (number % PRIORITIES) as u8;
                let tier = if number < PRIORITIES { WorkTier::Excess } else { WorkTier::Fair };
                shares.push(QueueShare { priority, tier, member, queued });
            }
        }
        shares
    }

    fn insert(&mut self, pending: PendingWork, end: QueueEnd) {
        let item = &pending.item;
        let (work, number) = (item.id, class_of(item.priority, pending.tier));
        let class = &mut self.classes[number];
        if class.queued == 0 {
            class.start = class.finish.max(self.virtual_time);
        }
        class.push(&item.member, item.weight, work, end);
        self.expiries.insert((pending.start_by, work));
        self.entries.insert(work, pending);
    }

    fn forget(&mut self, work: u64) -> Option<PendingWork> {
        let pending = self.entries.remove(&work)?;
        self.expiries.remove(&(pending.start_by, work));
        Some(pending)
    }

    fn next_class(&self, last: WorkTier) -> Option<usize> {
        let first = match last {
            WorkTier::Fair => PRIORITIES,
            WorkTier::Excess => 0,
        };
        // Of equal tags the higher priority goes first.
        (first..CLASSES)
            .rev()
            .filter(|&number| self.classes[number].queued > 0)
            .min_by_key(|&number| self.classes[number].start)
    }

    // At the end of a busy period the virtual time moves to the highest finish
    // tag given, so that nobody owes for the past.
    fn settle(&mut self) {
        if !self.entries.is_empty() {
            return;
        }
        for class in &mut self.classes {
            self.virtual_time = self.virtual_time.max(class.finish);
            class.settle();
        }
    }
}

#[derive(Clone, Copy)]
enum QueueEnd {
    Front,
    Back,
}

fn class_of(priority: PaidPriority, tier: WorkTier) -> usize {
    let level = usize::from(priority.0.min(PaidPriority::HIGHEST.0));
    match tier {
        WorkTier::Excess => level,
        WorkTier::Fair => PRIORITIES + level,
    }
}

fn share_of(class: usize) -> u64 {
    let share = PRIORITY_SHARES[class % PRIORITIES];
    if class < PRIORITIES { share } else { share * FAIR_SHARE }
}

// Loads of classes are compared as queued / share, in whole numbers.
fn shares_product(number: usize) -> u64 {
    share_of(CLASSES - 1) / share_of(number)
}

/// `PriorityClass` is the waiting work of one paid priority.
#[derive(Debug, Default)]
struct PriorityClass {
    lines: Vec<MemberLine>,
    places: HashMap<MemberName, usize>,
    // Start tag and place of each member that waits, the next one first.
    turns: BTreeSet<(u64, usize)>,
    weights: u64,
    queued: usize,
    virtual_time: u64,
    start: u64,
    finish: u64,
}

/// `MemberLine` is the waiting work of one member in one priority.
#[derive(Debug)]
struct MemberLine {
    member: MemberName,
    works: VecDeque<u64>,
    weight: u64,
    start: u64,
    finish: u64,
}

impl PriorityClass {
    fn push(&mut self, member: &MemberName, weight: u32, work: u64, end: QueueEnd) {
        let place = self.place_of(member);
        let line = &mut self.lines[place];
        if line.works.is_empty() {
            line.weight = u64::from(weight.max(1));
            line.start = line.finish.max(self.virtual_time);
            self.turns.insert((line.start, place));
            self.weights += line.weight;
        }
        match end {
            QueueEnd::Front => line.works.push_front(work),
            QueueEnd::Back => line.works.push_back(work),
        }
        self.queued += 1;
    }

    fn place_of(&mut self, member: &MemberName) -> usize {
        if let Some(&place) = self.places.get(member) {
            return place;
        }
        let place = self.lines.len();
        let member = member.clone();
        self.places.insert(member.clone(), place);
        let works = VecDeque::new();
        self.lines.push(MemberLine { member, works, weight: 1, start: 0, finish: 0 });
        place
    }

    fn next_work(&self) -> Option<u64> {
        let &(_, place) = self.turns.first()?;
        self.lines[place].works.front().copied()
    }

    fn pop(&mut self, cost: u64) -> Option<u64> {
        let (start, place) = self.turns.pop_first()?;
        self.virtual_time = start;
        let line = &mut self.lines[place];
        let work = line.works.pop_front()?;
        line.finish = start + cost * TAG_SCALE / line.weight;
        line.start = line.finish;
        self.queued -= 1;
        self.keep_turn(place);
        Some(work)
    }

    fn remove(&mut self, member: &MemberName, work: u64) {
        let Some(&place) = self.places.get(member) else {
            return;
        };
        let line = &mut self.lines[place];
        // Displaced work is the newest and expired work mostly the oldest.
        let found = if line.works.back() == Some(&work) {
            Some(line.works.len() - 1)
        } else {
            line.works.iter().position(|&other| other == work)
        };
        let Some(position) = found else {
            return;
        };
        line.works.remove(position);
        self.turns.remove(&(line.start, place));
        self.queued -= 1;
        self.keep_turn(place);
    }

    // Invariant: `turns` and `weights` hold exactly the members that wait.
    fn keep_turn(&mut self, place: usize) {
        let line = &self.lines[place];
        if line.works.is_empty() {
            self.weights -= line.weight;
        } else {
            self.turns.insert((line.start, place));
        }
    }

    fn newest_of_heaviest(&self) -> Option<u64> {
        self.heaviest()?.works.back().copied()
    }

    fn newest_of_heavier(&self, member: &MemberName, weight: u32) -> Option<u64> {
        let heaviest = self.heaviest()?;
        let queued = self.places.get(member).map_or(0, |&place| self.lines[place].works.len());
        let own = (queued as u64 + 1) * heaviest.weight;
        let other = heaviest.works.len() as u64 * u64::from(weight.max(1));
        if heaviest.member == *member || other <= own {
            return None;
        }
        heaviest.works.back().copied()
    }

    fn heaviest(&self) -> Option<&MemberLine> {
        let waiting = self.turns.iter().map(|&(_, place)| &self.lines[place]);
        // Compares queued / weight; of equals the one whose turn is last.
        waiting.max_by(|a, b| {
            let left = a.works.len() as u64 * b.weight;
            let right = b.works.len() as u64 * a.weight;
            left.cmp(&right)
        })
    }

    // Work of the member that waits, and its part of the class if it waits too.
    fn part_of(&self, member: &MemberName, weight: u32) -> (usize, f64) {
        let line = self.places.get(member).map(|&place| &self.lines[place]);
        let queued = line.map_or(0, |line| line.works.len());
        let weight = u64::from(weight.max(1));
        let weights = if queued == 0 { self.weights + weight } else { self.weights };
        (queued, (weight as f64 / weights.max(1) as f64).min(1.0))
    }

    fn settle(&mut self) {
        for line in &self.lines {
            self.virtual_time = self.virtual_time.max(line.finish);
        }
        if self.lines.len() > IDLE_MEMBERS {
            self.lines.clear();
            self.places.clear();
        }
    }
}
