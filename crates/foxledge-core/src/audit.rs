//! The audit trail: changes with their causes and sources.

use std::collections::VecDeque;

use serde::Serialize;

use crate::time::ClockTime;

/// The kind of change that an audit entry records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// A rule list came into force.
    ListAccepted,
    /// A rule list was refused because of its findings.
    ListRefused,
    /// A rule list was older than the one in force, or had the same revision but different
    /// contents.
    ListIgnored,
    /// An instance joined, left, was suspected, refuted a suspicion or failed.
    MemberChanged,
    /// A backend server was observed draining.
    TargetDraining,
    /// A backend server was ejected or readmitted.
    TargetEjected,
    /// Token keys changed.
    KeysRotated,
    /// This process started, became ready, drained or stopped.
    ProcessChanged,
    /// A component failed and was restarted by its supervisor.
    PartRestarted,
    /// The decision for one traced flow.
    FlowDecided,
}

/// One recorded change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AuditEntry {
    /// Sequence number in this process, from 1; a gap means that older entries were dropped.
    pub number: u64,
    /// Time of the change in microseconds on the process's monotonic clock.
    pub at_us: u64,
    /// The kind of change.
    pub kind: AuditKind,
    /// What changed: an instance, backend server, list or flow.
    pub subject: String,
    /// The value before the change.
    pub old: String,
    /// The value after the change.
    pub new: String,
    /// The reason for the change.
    pub cause: String,
    /// The source of the information: the platform, another instance, an observation or an
    /// operator.
    pub source: String,
    /// The revision of the rule list in force.
    pub revision: u64,
}

/// A change that has no sequence number yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditChange {
    /// The kind of change.
    pub kind: AuditKind,
    /// What changed.
    pub subject: String,
    /// The value before the change.
    pub old: String,
    /// The value after the change.
    pub new: String,
    /// The reason for the change.
    pub cause: String,
    /// The source of the information.
    pub source: String,
}

impl AuditChange {
    /// Creates a change of `subject`; the other texts are empty.
    pub fn new(kind: AuditKind, subject: impl Into<String>) -> AuditChange {
        AuditChange {
            kind,
            subject: subject.into(),
            old: String::new(),
            new: String::new(),
            cause: String::new(),
            source: String::new(),
        }
    }

    /// Sets the values before and after the change.
    pub fn with_values(mut self, old: impl Into<String>, new: impl Into<String>) -> AuditChange {
        self.old = old.into();
        self.new = new.into();
        self
    }

    /// Sets the reason for the change and the source of the information.
    pub fn with_cause(
        mut self,
        cause: impl Into<String>,
        source: impl Into<String>,
    ) -> AuditChange {
        self.cause = cause.into();
        self.source = source.into();
        self
    }
}

/// A bounded record of changes; the oldest entry is evicted first.
#[derive(Debug)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    limit: usize,
    last_number: u64,
}

impl AuditTrail {
    /// Creates an empty trail of at most `limit` entries, and at least one.
    pub fn new(limit: usize) -> AuditTrail {
        AuditTrail { entries: VecDeque::new(), limit: limit.max(1), last_number: 0 }
    }

    /// Records a change and returns its entry.
    pub fn record(&mut self, now: ClockTime, revision: u64, change: AuditChange) -> &AuditEntry {
        if self.entries.len() == self.limit {
            self.entries.pop_front();
        }
        self.last_number += 1;
        self.entries.push_back(AuditEntry {
            number: self.last_number,
            at_us: now.as_micros(),
            kind: change.kind,
            subject: change.subject,
            old: change.old,
            new: change.new,
            cause: change.cause,
            source: change.source,
            revision,
        });
        &self.entries[self.entries.len() - 1]
    }

    /// Returns at most `limit` entries with a number above `after`, the oldest first.
    pub fn read(&self, after: u64, limit: usize) -> Vec<AuditEntry> {
        self.entries.iter().filter(|entry| entry.number > after).take(limit).cloned().collect()
    }
}
