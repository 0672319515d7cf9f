//! What a member of the fleet wants done.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, rows::ListRow, source::ReadMode};
use serde::Serialize;

use crate::{
    messages::PeerDescriptor,
    peers::{PeerChange, PeerLoss},
    refused_items::RefusedItem,
};

/// `StoreQuery` is one call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreQuery {
    /// Read what one answer holds, perhaps old.
    FirstPage,
    /// Read everything.
    All(ReadMode),
    /// Wait for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
}

impl StoreQuery {
    /// The order's word, as in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreQuery::FirstPage => "first",
            StoreQuery::All(ReadMode::Linearizable) => "all",
            StoreQuery::All(ReadMode::Serializable) => "all_maybe_old",
            StoreQuery::Watch { .. } => "watch",
        }
    }
}

/// `ReadReason` is why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadReason {
    /// No list is known yet.
    Start,
    /// A part of the list is known, and nobody has handed over the rest.
    Rest,
    /// This instance reads, and waits for changes.
    Changes,
    /// Whether the list is the newest is to be known at once.
    Unsure,
    /// The last confirmation is so old that changes are more than the whole.
    FarBehind,
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// The last call had no answer, or none that could be read.
    Unanswered,
}

impl ReadReason {
    /// The reason's word, as in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadReason::Start => "start",
            ReadReason::Rest => "rest",
            ReadReason::Changes => "changes",
            ReadReason::Unsure => "unsure",
            ReadReason::FarBehind => "far_behind",
            ReadReason::HistoryGone => "history_gone",
            ReadReason::Unanswered => "unanswered",
        }
    }
}

/// `StoreCall` is a call of the store and its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// What is asked.
    pub query: StoreQuery,
    /// Why.
    pub reason: ReadReason,
}

/// `FleetEffect` is one thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send a message to an instance.
    SendDatagram {
        /// The receiver.
        to: SocketAddrV4,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Call the store; one call at a time is out.
    CallStore(StoreCall),
    /// Rows changed in the list.
    ApplyRows(Vec<ListRow>),
    /// Rows differ in the list of a store that came back from an older copy.
    ApplyRestoredRows(Vec<ListRow>),
    /// The store confirmed the list as the newest at this time.
    RecordConfirmation(ClockTime),
    /// Another instance observed a backend server.
    RecordObservation(HealthObservation),
    /// Another instance hands on a caller's packet that it can't place.
    HandlePacket(Vec<u8>),
    /// Something worth a log line.
    LogEvent(FleetEvent),
}

/// `FleetEvent` is a change of what this instance believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum FleetEvent {
    /// A newer list is in force.
    ListTaken {
        /// The operators' version.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// The store's revision.
        revision: u64,
        /// Revision before.
        former_revision: u64,
        /// Rows that changed.
        rows: usize,
        /// Who brought it: the store or a peer.
        source: String,
        /// Time since the store confirmed it.
        confirmed_age_ms: Option<u64>,
    },
    /// A part of a list too long for one answer serves until all is known.
    ListPreviewed {
        /// The operators' version.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// The store's revision.
        revision: u64,
        /// Rows of the part.
        rows: usize,
    },
    /// This instance begins to read the store.
    ReadingBegun {
        /// Time since the store last confirmed the list.
        confirmed_age_ms: Option<u64>,
        /// Live instances that are ranked before this one.
        rank: usize,
    },
    /// The store is called, for another reason than to wait for changes.
    StoreCalled {
        /// What is asked.
        order: &'static str,
        /// Why.
        reason: ReadReason,
        /// Revision up to which the list is known.
        known_revision: u64,
        /// Time since the store last confirmed it.
        confirmed_age_ms: Option<u64>,
        /// Live instances that are ranked before this one.
        rank: usize,
    },
    /// This instance leaves reading to others.
    ReadingEnded {
        /// Other readers that were heard of.
        readers: usize,
    },
    /// Calls of the store fail.
    StoreLost {
        /// The first error.
        error: String,
        /// Time since the store last confirmed the list.
        confirmed_age_ms: Option<u64>,
    },
    /// Calls of the store succeed again.
    StoreRegained {
        /// Calls that failed in between.
        failures: u32,
    },
    /// The store's history has another epoch than in the answer before.
    StoreEpochChanged {
        /// The epoch.
        epoch: u64,
        /// The one before; none at the first answer.
        former_epoch: Option<u64>,
        /// The store's revision.
        revision: u64,
        /// Revision up to which the list is known.
        known_revision: u64,
    },
    /// An answer of the store is older than the list, and changes nothing.
    ReadingPassedOver {
        /// What was asked.
        order: &'static str,
        /// Epoch of the answer.
        epoch: u64,
        /// The store's revision in it.
        revision: u64,
        /// Items that it held.
        items: usize,
        /// Revision up to which the list is known.
        known_revision: u64,
        /// Time since the store last confirmed the list.
        confirmed_age_ms: Option<u64>,
    },
    /// A restored store has an older version of the operators' list; the newer one stays in
    /// force.
    ConfigHeld {
        /// The version in force.
        held_version: u64,
        /// The store's version.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// The store's revision.
        revision: u64,
    },
    /// The store's version is in force again.
    ConfigReleased {
        /// The version.
        version: u64,
        /// Epoch of the store's history.
        epoch: u64,
        /// The store's revision.
        revision: u64,
    },
    /// An item of the store can't be understood.
    ItemRefused(RefusedItem),
    /// An instance of the own data centre was heard of for the first time since its start.
    PeerFound {
        /// Where it takes messages.
        peer: String,
        /// Its data centre.
        data_centre: String,
    },
    /// An instance of the own data centre doesn't answer.
    PeerLost {
        /// Where it took messages.
        peer: String,
        /// Time since somebody heard from it.
        age_ms: u64,
    },
    /// An instance said that it stops.
    PeerLeft {
        /// Where it took messages.
        peer: String,
        /// Its data centre.
        data_centre: String,
    },
    /// Another data centre is heard of, again or for the first time.
    CentreFound {
        /// Its name.
        data_centre: String,
        /// An instance there.
        peer: String,
    },
    /// No instance of another data centre has been heard of for long.
    CentreLost {
        /// Its name.
        data_centre: String,
        /// Time since the last was heard of.
        age_ms: u64,
    },
}

impl FleetEvent {
    /// What a report of an instance tells, if it is news.
    pub(crate) fn from_change(change: PeerChange, card: &PeerDescriptor) -> Option<FleetEvent> {
        let peer = card.address()?.to_string();
        let data_centre = card.data_centre.clone();
        match change {
            PeerChange::Unchanged => None,
            PeerChange::Joined => Some(FleetEvent::PeerFound { peer, data_centre }),
            PeerChange::Left => Some(FleetEvent::PeerLeft { peer, data_centre }),
            PeerChange::CentreReachable => Some(FleetEvent::CentreFound { data_centre, peer }),
        }
    }

    /// What silence tells.
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

    /// The event's word, as in log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            FleetEvent::ListTaken { .. } => "list_taken",
            FleetEvent::ListPreviewed { .. } => "list_previewed",
            FleetEvent::ReadingBegun { .. } => "reading_begun",
            FleetEvent::StoreCalled { .. } => "store_called",
            FleetEvent::ReadingEnded { .. } => "reading_ended",
            FleetEvent::StoreLost { .. } => "store_lost",
            FleetEvent::StoreRegained { .. } => "store_regained",
            FleetEvent::StoreEpochChanged { .. } => "store_epoch_changed",
            FleetEvent::ReadingPassedOver { .. } => "reading_passed_over",
            FleetEvent::ConfigHeld { .. } => "config_held",
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
