//! Effects that a fleet member asks its caller to carry out.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, rows::ListRow};
use serde::Serialize;

use crate::{
    messages::PeerDescriptor,
    peers::{PeerChange, PeerLoss},
    refused_items::RefusedItem,
};

/// `StoreQuery` is one query to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreQuery {
    /// Reads the first page only; it may be stale.
    FirstPage,
    /// Reads the pages after the first one; they may be stale.
    Remainder,
    /// Reads everything, as it stands now.
    All,
    /// Waits for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: u64,
        /// Maximum time to wait, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreQuery {
    /// Returns the name of the query in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreQuery::FirstPage => "first",
            StoreQuery::Remainder => "remainder",
            StoreQuery::All => "all",
            StoreQuery::Watch { .. } => "watch",
        }
    }
}

/// `ReadReason` is the reason for a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadReason {
    /// No list is known yet.
    Start,
    /// A part of the list is known, and no peer has sent the rest.
    #[serde(rename = "rest")]
    Remainder,
    /// This instance is a reader and waits for changes.
    Changes,
    /// The last confirmation is too old, so the newest revision is queried without a long wait.
    #[serde(rename = "unsure")]
    Unconfirmed,
    /// The last confirmation is so old that the changes since then would be larger than the whole
    /// list.
    #[serde(rename = "far_behind")]
    Outdated,
    /// The store has compacted the history that a watch asked for.
    HistoryGone,
    /// The last call had no response, or one that couldn't be parsed.
    Unanswered,
}

impl ReadReason {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadReason::Start => "start",
            ReadReason::Remainder => "rest",
            ReadReason::Changes => "changes",
            ReadReason::Unconfirmed => "unsure",
            ReadReason::Outdated => "far_behind",
            ReadReason::HistoryGone => "history_gone",
            ReadReason::Unanswered => "unanswered",
        }
    }
}

/// `AbandonReason` is the reason for which a transfer of rows was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AbandonReason {
    /// The next page didn't arrive in several attempts.
    PageLost,
    /// The next row exceeds the longest message, so that only the store can provide it.
    RowTooLong,
}

impl AbandonReason {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AbandonReason::PageLost => "page_lost",
            AbandonReason::RowTooLong => "row_too_long",
        }
    }
}

/// `StoreCall` is a query to the store with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// The query.
    pub query: StoreQuery,
    /// The reason for it.
    pub reason: ReadReason,
}

/// `FleetEffect` is one action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Sends a datagram to another instance.
    SendDatagram {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Queries the store. At most one call is in flight at a time.
    CallStore(StoreCall),
    /// Applies the rows of the list that changed.
    ApplyRows(Vec<ListRow>),
    /// Applies rows that differ in the list of a store that was restored from a backup.
    ApplyRestoredRows(Vec<ListRow>),
    /// Records that the store confirmed the list as the newest at this time.
    RecordConfirmation(ClockTime),
    /// Records a health observation that another instance made of a backend server.
    RecordObservation(HealthObservation),
    /// Handles a caller's packet that another instance couldn't map to a backend server and relayed
    /// here.
    HandlePacket(Vec<u8>),
    /// Logs an event.
    LogEvent(FleetEvent),
}

/// `FleetEvent` is a change in what this instance knows of the list, the store or its peers, to be
/// logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum FleetEvent {
    /// A newer list was applied.
    #[serde(rename = "list_taken")]
    ListApplied {
        /// Version of the operators' list.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// Revision of the store.
        revision: u64,
        /// Revision up to which the list was known before.
        former_revision: u64,
        /// Number of rows that changed.
        rows: usize,
        /// Source of the rows: `store`, or the address of a peer.
        source: String,
        /// Time since the store last confirmed the list, in milliseconds.
        confirmed_age_ms: Option<u64>,
    },
    /// The first page of a list that is too long for one response was applied; flows are assigned
    /// by it until the rest is known.
    #[serde(rename = "list_previewed")]
    PartialListApplied {
        /// Version of the operators' list.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// Revision of the store.
        revision: u64,
        /// Number of rows in the first page.
        rows: usize,
    },
    /// A transfer of rows from a peer was abandoned.
    TransferAbandoned {
        /// The reason.
        reason: AbandonReason,
        /// Address of the peer.
        peer: String,
        /// Number of rows that had arrived.
        rows: usize,
        /// Number of later pages that had arrived.
        later_pages: usize,
        /// Revision up to which the list is known.
        known_revision: u64,
    },
    /// Some fragments of a message from a peer didn't arrive.
    MessageIncomplete {
        /// Address of the peer.
        peer: String,
        /// Number of fragments that arrived.
        received: usize,
        /// Number of fragments of the message.
        fragments: u32,
    },
    /// A message wasn't sent, as it exceeds what is sent in fragments.
    MessageTooLong {
        /// Address of the receiver.
        peer: String,
        /// Size of the message, in bytes.
        bytes: usize,
    },
    /// This instance starts to read the store.
    #[serde(rename = "reading_begun")]
    ReadingStarted {
        /// Time since the store last confirmed the list, in milliseconds.
        confirmed_age_ms: Option<u64>,
        /// Number of live instances that are ranked before this one.
        rank: usize,
    },
    /// The store is queried for a reason other than [`ReadReason::Changes`].
    StoreCalled {
        /// The query.
        order: &'static str,
        /// The reason for it.
        reason: ReadReason,
        /// Revision up to which the list is known.
        known_revision: u64,
        /// Time since the store last confirmed the list, in milliseconds.
        confirmed_age_ms: Option<u64>,
        /// Number of live instances that are ranked before this one.
        rank: usize,
    },
    /// This instance stops reading the store and leaves it to others.
    ReadingEnded {
        /// Number of other readers that are known.
        readers: usize,
    },
    /// A call to the store failed after earlier ones had succeeded.
    StoreLost {
        /// Error of the first call that failed.
        error: String,
        /// Time since the store last confirmed the list, in milliseconds.
        confirmed_age_ms: Option<u64>,
    },
    /// Calls to the store succeed again.
    StoreRegained {
        /// Number of calls that failed in between.
        failures: u32,
    },
    /// The store's history has another epoch than in the previous response.
    StoreEpochChanged {
        /// The new epoch.
        epoch: u64,
        /// The previous epoch; `None` for the first response.
        former_epoch: Option<u64>,
        /// Revision of the store.
        revision: u64,
        /// Revision up to which the list is known.
        known_revision: u64,
    },
    /// A response of the store is older than the known list and was ignored.
    #[serde(rename = "reading_passed_over")]
    ResponseIgnored {
        /// The query.
        order: &'static str,
        /// Epoch of the response.
        epoch: u64,
        /// Revision of the store in the response.
        revision: u64,
        /// Number of items in the response.
        items: usize,
        /// Revision up to which the list is known.
        known_revision: u64,
        /// Time since the store last confirmed the list, in milliseconds.
        confirmed_age_ms: Option<u64>,
    },
    /// The pages of a reading have different revisions.
    PagesDiffer {
        /// The query.
        order: &'static str,
        /// Revision of the oldest page.
        oldest_revision: u64,
        /// Revision of the newest page.
        newest_revision: u64,
        /// Number of items in the reading.
        items: usize,
        /// Revision up to which the list is known.
        known_revision: u64,
    },
    /// The store was restored and has an older version of the operators' list; this instance
    /// retains the newer version in force.
    #[serde(rename = "config_held")]
    ConfigRetained {
        /// The retained version, which is in force.
        #[serde(rename = "held_version")]
        retained_version: u64,
        /// The version in the store.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// Revision of the store.
        revision: u64,
    },
    /// The retained version was given up, and the version in the store is in force again.
    ConfigReleased {
        /// The version in force.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// Revision of the store.
        revision: u64,
    },
    /// An item of the store couldn't be parsed.
    ItemRefused(RefusedItem),
    /// An instance of the same data centre was heard from for the first time since its start.
    PeerFound {
        /// Address of the instance for messages.
        peer: String,
        /// Its data centre.
        data_centre: String,
    },
    /// An instance of the same data centre doesn't respond.
    PeerLost {
        /// Address of the instance for messages.
        peer: String,
        /// Time since any instance last heard from it, in milliseconds.
        age_ms: u64,
    },
    /// An instance announced that it stops.
    PeerLeft {
        /// Address of the instance for messages.
        peer: String,
        /// Its data centre.
        data_centre: String,
    },
    /// Another data centre is heard from, again or for the first time.
    CentreFound {
        /// Name of the data centre.
        data_centre: String,
        /// Address of an instance in it.
        peer: String,
    },
    /// No instance of another data centre has been heard from for some time.
    CentreLost {
        /// Name of the data centre.
        data_centre: String,
        /// Time since the last instance in it was heard from, in milliseconds.
        age_ms: u64,
    },
}

impl FleetEvent {
    /// Returns the event for a change in the peer table; `None` for a change that isn't logged.
    pub(crate) fn from_change(
        change: PeerChange,
        descriptor: &PeerDescriptor,
    ) -> Option<FleetEvent> {
        let peer = descriptor.address()?.to_string();
        let data_centre = descriptor.data_centre.clone();
        match change {
            PeerChange::Unchanged => None,
            PeerChange::Joined => Some(FleetEvent::PeerFound { peer, data_centre }),
            PeerChange::Left => Some(FleetEvent::PeerLeft { peer, data_centre }),
            PeerChange::CentreReachable => Some(FleetEvent::CentreFound { data_centre, peer }),
        }
    }

    /// Returns the event for a peer or data centre that no longer responds.
    pub(crate) fn from_loss(loss: PeerLoss) -> FleetEvent {
        match loss {
            PeerLoss::Peer { address, age_ms } => {
                FleetEvent::PeerLost { peer: address.to_string(), age_ms }
            }
            PeerLoss::Centre { data_centre, age_ms } => {
                FleetEvent::CentreLost { data_centre, age_ms }
            }
        }
    }

    /// Returns the name of the event in log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            FleetEvent::ListApplied { .. } => "list_taken",
            FleetEvent::PartialListApplied { .. } => "list_previewed",
            FleetEvent::TransferAbandoned { .. } => "transfer_abandoned",
            FleetEvent::MessageIncomplete { .. } => "message_incomplete",
            FleetEvent::MessageTooLong { .. } => "message_too_long",
            FleetEvent::ReadingStarted { .. } => "reading_begun",
            FleetEvent::StoreCalled { .. } => "store_called",
            FleetEvent::ReadingEnded { .. } => "reading_ended",
            FleetEvent::StoreLost { .. } => "store_lost",
            FleetEvent::StoreRegained { .. } => "store_regained",
            FleetEvent::StoreEpochChanged { .. } => "store_epoch_changed",
            FleetEvent::ResponseIgnored { .. } => "reading_passed_over",
            FleetEvent::PagesDiffer { .. } => "pages_differ",
            FleetEvent::ConfigRetained { .. } => "config_held",
            FleetEvent::ConfigReleased { .. } => "config_released",
            FleetEvent::ItemRefused(_) => "item_refused",
            FleetEvent::PeerFound { .. } => "peer_found",
            FleetEvent::PeerLost { .. } => "peer_lost",
            FleetEvent::PeerLeft { .. } => "peer_left",
            FleetEvent::CentreFound { .. } => "centre_found",
            FleetEvent::CentreLost { .. } => "centre_lost",
        }
    }
}
