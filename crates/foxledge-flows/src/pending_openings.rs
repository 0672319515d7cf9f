//! New flows whose opening packet has been sent on and whose caller hasn't gone on yet.

use std::collections::{HashMap, VecDeque};

use foxledge_core::time::ClockTime;

use crate::{groups::GroupCounts, packet::FlowKey};

/// How long an opening packet may stay unanswered, in milliseconds, before it
/// speaks against the backend server.
///
/// A caller 3 ms away goes on 7 ms after its opening packet passed here. The
/// rest is room for a late turn of this process.
pub const OPENING_TIMEOUT_MS: u64 = 40;
/// How long an opening packet is remembered, in milliseconds: callers send
/// copies after 200 and 600 ms and give up after 1.4 s.
const REMEMBERED_MS: u64 = 1_500;
/// Most openings remembered at a time; more come only with a flood, and then
/// the oldest tell least.
const MOST_OPENINGS: usize = 20_000;

/// `Opening` is one opening packet that was sent on.
#[derive(Clone, Copy, Debug)]
pub struct PendingOpening {
    /// Index of the backend server.
    pub backend: usize,
    /// Index of the backend server's group.
    pub group: usize,
    /// When the packet was sent there first.
    pub sent_at: ClockTime,
    /// True once its silence was counted against the backend server, or must not be.
    pub is_overdue: bool,
}

/// `OpeningTable` is every opening that waits for its caller to go on.
#[derive(Debug, Default)]
pub struct OpeningTable {
    waiting: HashMap<FlowKey, PendingOpening>,
    fresh: HashMap<usize, u32>,
    fresh_by_group: GroupCounts,
    by_age: VecDeque<(ClockTime, FlowKey)>,
    overdue: VecDeque<(ClockTime, FlowKey)>,
}

impl OpeningTable {
    /// Notes that an opening packet was sent to a backend server.
    pub fn add(&mut self, now: ClockTime, key: FlowKey, backend: usize, group: usize) {
        if self.put(key, PendingOpening { backend, group, sent_at: now, is_overdue: false }) {
            *self.fresh.entry(backend).or_default() += 1;
            self.fresh_by_group.add(group);
            self.by_age.push_back((now, key));
        }
    }

    /// Notes an opening packet that was sent on so late that its caller may have given
    /// up: that nobody goes on says nothing of the backend server.
    pub fn add_untimed(&mut self, now: ClockTime, key: FlowKey, backend: usize, group: usize) {
        if self.put(key, PendingOpening { backend, group, sent_at: now, is_overdue: true }) {
            self.overdue.push_back((now, key));
        }
    }

    /// Puts an opening in place; false when there is no room.
    fn put(&mut self, key: FlowKey, opening: PendingOpening) -> bool {
        self.remove(&key);
        if self.waiting.len() >= MOST_OPENINGS {
            return false;
        }
        self.waiting.insert(key, opening);
        true
    }

    /// The opening of a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&PendingOpening> {
        self.waiting.get(key)
    }

    /// Takes an opening out, as its caller went on or gave up.
    pub fn remove(&mut self, key: &FlowKey) -> Option<PendingOpening> {
        let opening = self.waiting.remove(key)?;
        if !opening.is_overdue {
            self.end_fresh(&opening);
        }
        Some(opening)
    }

    /// Openings at `backend` that wait and aren't overdue.
    pub fn pending_count(&self, backend: usize) -> u32 {
        self.fresh.get(&backend).copied().unwrap_or(0)
    }

    /// Openings that wait and aren't overdue, by group of their backend server.
    pub fn pending_by_group(&self) -> &GroupCounts {
        &self.fresh_by_group
    }

    /// The next opening that has waited for longer than [`OPENING_TIMEOUT_MS`]; each is told once.
    pub fn next_overdue(&mut self, now: ClockTime) -> Option<PendingOpening> {
        self.forget(now);
        loop {
            let (sent, key) = *self.by_age.front()?;
            if !sent.after_millis(OPENING_TIMEOUT_MS).is_past(now) {
                return None;
            }
            self.by_age.pop_front();
            let Some(opening) = self.waiting.get_mut(&key) else { continue };
            if opening.sent_at != sent {
                continue;
            }
            opening.is_overdue = true;
            let told = *opening;
            self.end_fresh(&told);
            self.overdue.push_back((sent, key));
            return Some(told);
        }
    }

    fn forget(&mut self, now: ClockTime) {
        while let Some((sent, key)) = self.overdue.front() {
            if !sent.after_millis(REMEMBERED_MS).is_past(now) {
                return;
            }
            if self.waiting.get(key).is_some_and(|opening| opening.sent_at == *sent) {
                let key = *key;
                self.remove(&key);
            }
            self.overdue.pop_front();
        }
    }

    fn end_fresh(&mut self, opening: &PendingOpening) {
        if let Some(count) = self.fresh.get_mut(&opening.backend) {
            *count = count.saturating_sub(1);
        }
        self.fresh_by_group.remove(opening.group);
    }
}
