//! Openings that were forwarded and whose caller hasn't continued the flow yet.

use std::collections::{HashMap, VecDeque};

use foxledge_core::time::ClockTime;

use crate::{groups::GroupCounts, packet::FlowKey};

/// Time, in milliseconds, after which an unanswered opening counts against the backend server.
///
/// A caller 3 ms away continues 7 ms after its opening packet passed here. The rest allows for a
/// late wake-up of this process.
pub const OPENING_TIMEOUT_MS: u64 = 40;
/// Time, in milliseconds, for which an opening is kept: callers retransmit after 200 and 600 ms and
/// give up after 1.4 s.
const OPENING_TTL_MS: u64 = 1_500;
/// Maximum number of openings kept. Only a flood exceeds it; openings beyond it are not recorded.
const MAX_OPENINGS: usize = 20_000;

/// An opening packet that was forwarded and not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingOpening {
    /// Index of the backend server.
    pub backend: usize,
    /// Index of the backend server's group.
    pub group: usize,
    /// When the packet was first sent to the backend server.
    pub sent_at: ClockTime,
    /// True once the missing response has counted against the backend server, or if it must not
    /// count.
    pub is_overdue: bool,
}

/// All openings whose caller hasn't continued the flow yet.
#[derive(Debug, Default)]
pub struct OpeningTable {
    by_flow: HashMap<FlowKey, PendingOpening>,
    pending_by_backend: HashMap<usize, u32>,
    pending_by_group: GroupCounts,
    by_age: VecDeque<(ClockTime, FlowKey)>,
    overdue: VecDeque<(ClockTime, FlowKey)>,
}

impl OpeningTable {
    /// Adds an opening that was sent to a backend server.
    pub fn add(&mut self, now: ClockTime, key: FlowKey, backend: usize, group: usize) {
        if self.insert(key, PendingOpening { backend, group, sent_at: now, is_overdue: false }) {
            *self.pending_by_backend.entry(backend).or_default() += 1;
            self.pending_by_group.add(group);
            self.by_age.push_back((now, key));
        }
    }

    /// Adds an opening that was forwarded so late that its caller may have given up. A missing
    /// response then doesn't count against the backend server.
    pub fn add_untimed(&mut self, now: ClockTime, key: FlowKey, backend: usize, group: usize) {
        if self.insert(key, PendingOpening { backend, group, sent_at: now, is_overdue: true }) {
            self.overdue.push_back((now, key));
        }
    }

    /// Inserts an opening. Returns false when the table is full.
    fn insert(&mut self, key: FlowKey, opening: PendingOpening) -> bool {
        self.remove(&key);
        if self.by_flow.len() >= MAX_OPENINGS {
            return false;
        }
        self.by_flow.insert(key, opening);
        true
    }

    /// Returns the opening of a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&PendingOpening> {
        self.by_flow.get(key)
    }

    /// Removes an opening whose caller continued or gave up.
    pub fn remove(&mut self, key: &FlowKey) -> Option<PendingOpening> {
        let opening = self.by_flow.remove(key)?;
        if !opening.is_overdue {
            self.remove_pending(&opening);
        }
        Some(opening)
    }

    /// Returns the number of openings at `backend` that are neither answered nor overdue.
    pub fn pending_count(&self, backend: usize) -> u32 {
        self.pending_by_backend.get(&backend).copied().unwrap_or(0)
    }

    /// Returns the openings that are neither answered nor overdue, by group of their backend
    /// server.
    pub fn pending_by_group(&self) -> &GroupCounts {
        &self.pending_by_group
    }

    /// Returns the next opening that has waited for longer than [`OPENING_TIMEOUT_MS`]. Each
    /// opening is returned once.
    pub fn next_overdue(&mut self, now: ClockTime) -> Option<PendingOpening> {
        self.remove_expired(now);
        loop {
            let (sent_at, key) = *self.by_age.front()?;
            if !sent_at.after_millis(OPENING_TIMEOUT_MS).is_past(now) {
                return None;
            }
            self.by_age.pop_front();
            let Some(opening) = self.by_flow.get_mut(&key) else { continue };
            if opening.sent_at != sent_at {
                continue;
            }
            opening.is_overdue = true;
            let overdue_opening = *opening;
            self.remove_pending(&overdue_opening);
            self.overdue.push_back((sent_at, key));
            return Some(overdue_opening);
        }
    }

    fn remove_expired(&mut self, now: ClockTime) {
        while let Some((sent_at, key)) = self.overdue.front() {
            if !sent_at.after_millis(OPENING_TTL_MS).is_past(now) {
                return;
            }
            if self.by_flow.get(key).is_some_and(|opening| opening.sent_at == *sent_at) {
                let key = *key;
                self.remove(&key);
            }
            self.overdue.pop_front();
        }
    }

    fn remove_pending(&mut self, opening: &PendingOpening) {
        if let Some(count) = self.pending_by_backend.get_mut(&opening.backend) {
            *count = count.saturating_sub(1);
        }
        self.pending_by_group.remove(opening.group);
    }
}
