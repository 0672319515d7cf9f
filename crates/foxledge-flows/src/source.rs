//! Where lists come from: the border to the platform's store.

use std::{future::Future, pin::Pin};

use thiserror::Error;

use crate::{
    revisions::{epoch_of, revision_of},
    rows::{BackendRow, LimitsRow, RouteRow, ServiceRow},
};

/// `ConfigReading` is the operators' list as published, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigReading {
    /// Version and limits.
    pub limits: LimitsRow,
    /// Routes in the operators' order.
    pub routes: Vec<RouteRow>,
    /// Limits of services.
    pub services: Vec<ServiceRow>,
    /// Services whose limits can't be understood, and why: those known before stay in force.
    pub invalid_services: Vec<InvalidService>,
}

/// `InvalidService` is a service whose limits can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidService {
    /// Its name.
    pub name: String,
    /// What is wrong.
    pub fault: String,
}

/// `ItemChange` is one published item at one revision.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemChange {
    /// The operators' list.
    Config {
        /// Revision of the item.
        revision: u64,
        /// Its contents.
        config: ConfigReading,
    },
    /// A backend server's entry.
    Backend {
        /// Revision of the item.
        revision: u64,
        /// The backend server's id.
        id: String,
        /// Its contents.
        backend: BackendRow,
    },
    /// A backend server's entry is gone.
    BackendRemoved {
        /// Revision of the removal.
        revision: u64,
        /// The backend server's id.
        id: String,
    },
    /// A backend server's entry that can't be understood: it names none that may get new
    /// flows.
    BackendInvalid {
        /// Revision of the item.
        revision: u64,
        /// The id under which it lies.
        id: String,
        /// What is wrong.
        fault: String,
    },
    /// A data centre is to be evacuated.
    EvacuationBegun {
        /// Revision of the item.
        revision: u64,
        /// The data centre.
        data_centre: String,
    },
    /// A data centre is taken back.
    EvacuationEnded {
        /// Revision of the removal.
        revision: u64,
        /// The data centre.
        data_centre: String,
    },
    /// Another item that can't be understood; the last good one stays in force.
    Malformed {
        /// Revision of the item.
        revision: u64,
        /// Where it lies.
        key: String,
        /// What is wrong.
        fault: String,
    },
}

impl ItemChange {
    /// The revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            ItemChange::Config { revision, .. }
            | ItemChange::Backend { revision, .. }
            | ItemChange::BackendRemoved { revision, .. }
            | ItemChange::BackendInvalid { revision, .. }
            | ItemChange::EvacuationBegun { revision, .. }
            | ItemChange::EvacuationEnded { revision, .. }
            | ItemChange::Malformed { revision, .. } => *revision,
        }
    }

    fn set_epoch(&mut self, epoch: u64) {
        let revision = match self {
            ItemChange::Backend { revision, backend, .. } => {
                if backend.created_revision > 0 {
                    backend.created_revision = revision_of(epoch, backend.created_revision);
                }
                revision
            }
            ItemChange::Config { revision, .. }
            | ItemChange::BackendRemoved { revision, .. }
            | ItemChange::BackendInvalid { revision, .. }
            | ItemChange::EvacuationBegun { revision, .. }
            | ItemChange::EvacuationEnded { revision, .. }
            | ItemChange::Malformed { revision, .. } => revision,
        };
        *revision = revision_of(epoch, *revision);
    }
}

/// `ListReading` is an answer of the store: items, and the revision up to which they are complete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListReading {
    /// The items.
    pub items: Vec<ItemChange>,
    /// The store's revision.
    pub head: u64,
    /// Set when there are more items than these.
    pub is_partial: bool,
}

impl ListReading {
    /// A reading to which nothing is missing.
    pub fn complete(items: Vec<ItemChange>, head: u64) -> ListReading {
        ListReading { items, head, is_partial: false }
    }

    /// The reading with its revisions in an epoch of the store's history, where they were
    /// the store's own numbers before.
    pub fn with_epoch(mut self, epoch: u64) -> ListReading {
        self.head = revision_of(epoch, self.head);
        for item in &mut self.items {
            item.set_epoch(epoch);
        }
        self
    }

    /// Epoch of the store's history from which the reading comes; 0 when the store tells none.
    pub fn epoch(&self) -> u64 {
        epoch_of(self.head)
    }
}

/// `ReadMode` is how new a whole reading must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// As new as the store's newest acknowledgement.
    Linearizable,
    /// Cheap for the store, and possibly seconds old.
    Serializable,
}

/// `SourceError` is why the store gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The history that a watch asked for is gone; a whole reading is needed.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer comes from an older epoch of the store's history than the list.
    #[error("epoch {answered} of the store's history, {known} is known")]
    OlderEpoch {
        /// Epoch of the answer.
        answered: u64,
        /// Epoch of the list.
        known: u64,
    },
    /// The store turned the call away.
    #[error("turned away with status {0}")]
    UnexpectedStatus(u16),
    /// No answer in time.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The answer can't be understood.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl SourceError {
    /// The error's word in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            SourceError::HistoryGone => "history_gone",
            SourceError::OlderEpoch { .. } => "older_epoch",
            SourceError::UnexpectedStatus(_) => "refused",
            SourceError::Timeout(_) => "timeout",
            SourceError::Connection(_) => "connection",
            SourceError::Malformed(_) => "malformed",
        }
    }
}

/// `SourceFuture` is a store's answer that is still on its way.
pub type SourceFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ListReading, SourceError>> + Send + 'a>>;

/// `ListSource` reads what operators and backend servers publish.
pub trait ListSource: Send {
    /// Reads the items that one answer holds, in the way that is cheap for the store and
    /// may be old.
    fn read_first_page(&mut self) -> SourceFuture<'_>;

    /// Reads everything.
    fn read_all(&mut self, mode: ReadMode) -> SourceFuture<'_>;

    /// Waits for changes after a revision, `wait_ms` milliseconds at most.
    fn watch(&mut self, after: u64, wait_ms: u64) -> SourceFuture<'_>;
}
