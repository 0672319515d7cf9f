//! The interface to the platform's store, from which lists are read.

use std::{future::Future, pin::Pin};

use thiserror::Error;

use crate::{
    revisions::{epoch_of, revision_of},
    rows::{BackendRow, LimitsRow, RouteRow, ServiceRow},
};

/// A complete version of the operators' list as published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigReading {
    /// The version and the limits.
    pub limits: LimitsRow,
    /// The routes in the operators' order.
    pub routes: Vec<RouteRow>,
    /// The limits of services.
    pub services: Vec<ServiceRow>,
    /// The services whose limits can't be decoded; their known limits stay in force.
    pub invalid_services: Vec<InvalidService>,
}

/// A service whose limits can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidService {
    /// The name of the service.
    pub name: String,
    /// The reason, for operators.
    pub fault: String,
}

/// A published item at one revision.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemChange {
    /// The operators' list.
    Config {
        /// The revision of the item.
        revision: u64,
        /// The content of the list.
        config: ConfigReading,
    },
    /// A backend server's entry.
    Backend {
        /// The revision of the item.
        revision: u64,
        /// The backend server's id.
        id: String,
        /// The content of the entry.
        backend: BackendRow,
    },
    /// A backend server's entry was removed.
    BackendRemoved {
        /// The revision of the removal.
        revision: u64,
        /// The backend server's id.
        id: String,
    },
    /// A backend server's entry can't be decoded and names no backend server for new flows.
    BackendInvalid {
        /// The revision of the item.
        revision: u64,
        /// The id in the entry's key.
        id: String,
        /// The reason, for operators.
        fault: String,
    },
    /// A data centre is evacuated.
    EvacuationBegun {
        /// The revision of the item.
        revision: u64,
        /// The data centre.
        data_centre: String,
    },
    /// The evacuation of a data centre has ended.
    EvacuationEnded {
        /// The revision of the removal.
        revision: u64,
        /// The data centre.
        data_centre: String,
    },
    /// Another item can't be decoded; the last valid one stays in force.
    Malformed {
        /// The revision of the item.
        revision: u64,
        /// The key of the item.
        key: String,
        /// The reason, for operators.
        fault: String,
    },
}

impl ItemChange {
    /// Returns the revision of the change.
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

/// Items read from the store, and the revision up to which they are complete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListReading {
    /// The items.
    pub items: Vec<ItemChange>,
    /// The store's revision at the oldest page. Pages aren't one snapshot: they are read one after
    /// the other, and possibly from replicas of the store that differ in age.
    pub head: u64,
    /// The store's revision at the newest page.
    pub newest_head: u64,
    /// True if the store holds more items than these.
    pub is_partial: bool,
}

impl ListReading {
    /// Creates a reading that isn't missing any items.
    pub fn complete(items: Vec<ItemChange>, head: u64) -> ListReading {
        ListReading { items, head, newest_head: head, is_partial: false }
    }

    /// Returns the reading of the items of two parts, which is as old as the older one.
    pub fn joined_with(mut self, later: ListReading) -> ListReading {
        self.items.extend(later.items);
        self.head = self.head.min(later.head);
        self.newest_head = self.newest_head.max(later.newest_head);
        self.is_partial = later.is_partial;
        self
    }

    /// Returns the reading with the store's own numbers turned into revisions of an epoch.
    pub fn with_epoch(mut self, epoch: u64) -> ListReading {
        self.head = revision_of(epoch, self.head);
        self.newest_head = revision_of(epoch, self.newest_head);
        for item in &mut self.items {
            item.set_epoch(epoch);
        }
        self
    }

    /// Returns the epoch of the store's history that the reading comes from; 0 if the store names
    /// none.
    pub fn epoch(&self) -> u64 {
        epoch_of(self.head)
    }
}

/// The reason why the store gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The history that a watch requested is no longer available; a whole reading is needed.
    #[error("the requested history is no longer available")]
    HistoryGone,
    /// The response comes from an older epoch of the store's history than the list.
    #[error("response is from epoch {answered} of the store's history, but epoch {known} is known")]
    OlderEpoch {
        /// The epoch of the response.
        answered: u64,
        /// The epoch of the list.
        known: u64,
    },
    /// The store responded with this error status.
    #[error("store responded with status {0}")]
    UnexpectedStatus(u16),
    /// The store didn't respond within this time, in milliseconds.
    #[error("no response within {0} ms")]
    Timeout(u64),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(String),
    /// The response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

impl SourceError {
    /// Returns the name of the error in metrics.
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

/// A pending response of the store.
pub type SourceFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ListReading, SourceError>> + Send + 'a>>;

/// A reader of what operators and backend servers publish.
pub trait ListSource: Send {
    /// Reads the items that fit into one response, in the mode that is cheap for the store and may
    /// return old items.
    fn read_first_page(&mut self) -> SourceFuture<'_>;

    /// Reads the items that follow the first page that was read last, in the same mode.
    fn read_remainder(&mut self) -> SourceFuture<'_>;

    /// Reads all items, with every write that the store had acknowledged.
    fn read_all(&mut self) -> SourceFuture<'_>;

    /// Waits up to `wait_ms` milliseconds for changes after a revision.
    fn watch(&mut self, after: u64, wait_ms: u64) -> SourceFuture<'_>;
}
