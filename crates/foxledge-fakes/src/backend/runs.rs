//! The record of what ran: the ground truth that reports are judged by.

use std::collections::HashMap;

use crate::report::{RequestId, RunRecord};

/// Most requests whose runs are recorded.
pub const MAX_RUNS: usize = 1_000_000;

/// `RunTable` counts how often each request started to run, whatever dispatch it came by.
#[derive(Default)]
pub struct RunTable {
    counts: HashMap<RequestId, RunRecord>,
    total: u64,
    unrecorded: u64,
}

impl RunTable {
    /// Counts a run that starts.
    pub fn record(&mut self, id: RequestId, idempotent: bool) {
        self.total += 1;
        if self.counts.len() >= MAX_RUNS && !self.counts.contains_key(&id) {
            self.unrecorded += 1;
            return;
        }
        let record = self.counts.entry(id).or_insert(RunRecord { id, runs: 0, idempotent });
        record.runs += 1;
    }

    /// The record of one request.
    pub fn find(&self, id: RequestId) -> Option<RunRecord> {
        self.counts.get(&id).copied()
    }

    /// Runs in all.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Runs that found the table full.
    pub fn unrecorded(&self) -> u64 {
        self.unrecorded
    }

    /// Requests that ran more than once.
    pub fn repeated(&self) -> Vec<RunRecord> {
        self.all().into_iter().filter(|record| record.runs > 1).collect()
    }

    /// Every record, in the order of requests.
    pub fn all(&self) -> Vec<RunRecord> {
        let mut records: Vec<_> = self.counts.values().copied().collect();
        records.sort_unstable_by_key(|record| record.id);
        records
    }
}
