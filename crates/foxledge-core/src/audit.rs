//! The audit trail: what changed, why, and on whose word.

use std::collections::VecDeque;

use serde::Serialize;

use crate::time::ClockTime;

/// `AuditKind` is the kind of change that an entry records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// A rule list came into force.
    ListAccepted,
    /// A rule list was refused, with its findings.
    ListRefused,
    /// A rule list was older than the one in force, or contradicted it.
    ListIgnored,
    /// An instance joined, left, was suspected, refuted or died.
    MemberChanged,
    /// A backend server was seen draining.
    TargetDraining,
    /// A backend server was ejected or taken back.
    TargetEjected,
    /// Token keys changed.
    KeysRotated,
    /// This process started, became ready, drained or stopped.
    ProcessChanged,
    /// A part failed and was started anew by its supervisor.
    PartRestarted,
    /// What one flow was decided, when it is followed.
    FlowDecided,
}

/// `AuditEntry` is one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AuditEntry {
    /// Counts entries of this process from 1; gaps show that older ones were dropped.
    pub number: u64,
    /// Microseconds on the process's own monotonic clock.
    pub at_us: u64,
    /// What kind of change.
    pub kind: AuditKind,
    /// What changed: an instance, backend server, list or flow.
    pub subject: String,
    /// Value before.
    pub old: String,
    /// Value after.
    pub new: String,
    /// Why.
    pub cause: String,
    /// Who said so: the platform, a peer, an observation, an operator.
    pub source: String,
    /// Revision of the rule list in force.
    pub revision: u64,
}

/// `AuditChange` is an entry before it is numbered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditChange {
    /// What kind of change.
    pub kind: AuditKind,
    /// What changed.
    pub subject: String,
    /// Value before.
    pub old: String,
    /// Value after.
    pub new: String,
    /// Why.
    pub cause: String,
    /// Who said so.
    pub source: String,
}

impl AuditChange {
    /// Makes a change of `subject`; the other texts start empty.
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

    /// Sets the values before and after.
    pub fn with_values(mut self, old: impl Into<String>, new: impl Into<String>) -> AuditChange {
        self.old = old.into();
        self.new = new.into();
        self
    }

    /// Sets why, and on whose word.
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

/// `AuditTrail` is the bounded record of changes; the oldest entry makes room.
#[derive(Debug)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    limit: usize,
    last_number: u64,
}

impl AuditTrail {
    /// Makes an empty trail of at most `limit` entries.
    pub fn new(limit: usize) -> AuditTrail {
        AuditTrail { entries: VecDeque::new(), limit: limit.max(1), last_number: 0 }
    }

    /// Records a change and returns the entry.
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

    /// Entries numbered above `after`, the oldest first, at most `limit`.
    pub fn read(&self, after: u64, limit: usize) -> Vec<AuditEntry> {
        self.entries.iter().filter(|entry| entry.number > after).take(limit).cloned().collect()
    }
}
