//! Orders on the platform's control port, and the client that gives them.

use std::{collections::BTreeMap, net::SocketAddr};

use foxledge_wire::control::{MemberListing, PeerRecord, PeerState};
use serde::{Deserialize, Serialize};

use crate::control::LineClient;

/// `PartText` is one named part of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartText {
    /// Its name in the manifest.
    pub name: String,
    /// Its TOML text.
    pub text: String,
}

/// `ListedState` is what the membership listing says of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It serves.
    #[default]
    Alive,
    /// It will stop.
    Leaving,
}

/// `ListedMember` is one instance in the membership listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers' and backend servers' datagrams arrive.
    pub data_address: SocketAddr,
    /// Where datagrams of other instances arrive.
    pub peer_address: SocketAddr,
    /// Where control calls arrive.
    pub control_address: SocketAddr,
    /// Alive or leaving.
    #[serde(default)]
    pub state: ListedState,
}

impl ListedMember {
    fn record(&self) -> PeerRecord {
        let state = match self.state {
            ListedState::Alive => PeerState::Alive,
            ListedState::Leaving => PeerState::Leaving,
        };
        PeerRecord {
            name: self.name.clone(),
            // The platform knows no process incarnations.
            incarnation: 0,
            refutation: 0,
            state: state.into(),
            data_centre: self.data_centre.clone(),
            data_address: self.data_address.to_string(),
            peer_address: self.peer_address.to_string(),
            control_address: self.control_address.to_string(),
        }
    }
}

/// The listing as it is served under the key `members`.
pub fn listing_of(members: &[ListedMember]) -> MemberListing {
    MemberListing { members: members.iter().map(ListedMember::record).collect() }
}

/// `PlatformHealth` is whether the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformHealth {
    /// It answers.
    #[default]
    Up,
    /// It refuses every call at once, waiting watches included.
    Down,
    /// It takes calls and answers none.
    Silent,
}

/// `PlatformOrder` is one order on the control port, such as
/// `{"do": "set_health", "health": "down"}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum PlatformOrder {
    /// Publishes a list under a new revision.
    PublishList {
        /// The parts in order.
        parts: Vec<PartText>,
        /// Lowest revision to use, to get past one that readers have seen before a rewind.
        #[serde(default)]
        at_least: u64,
    },
    /// Publishes the membership listing; it may be empty.
    PublishMembers {
        /// The instances listed.
        members: Vec<ListedMember>,
    },
    /// Makes the platform answer, refuse or go silent.
    SetHealth {
        /// The health from now on.
        health: PlatformHealth,
    },
    /// Goes back to the state at an older revision.
    Rewind {
        /// The revision to stand at.
        revision: u64,
    },
    /// Shows one reader the state at one revision at the newest; none ends it.
    Hold {
        /// The reader's name as it gives it in its reads.
        reader: String,
        /// The revision, or none.
        revision: Option<u64>,
    },
    /// Delays every answer.
    SetDelay {
        /// Milliseconds before an answer.
        millis: u64,
    },
    /// Asks what was read.
    Report,
}

/// `ReaderCount` is what one reader asked and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderCount {
    /// Calls, a waiting watch counted once, refused ones included.
    pub calls: u64,
    /// Calls refused because the ration was used up.
    pub rationed: u64,
    /// Calls refused because the platform was down.
    pub failed: u64,
    /// Bytes of values sent.
    pub bytes: u64,
}

/// `PlatformReport` is the state of the platform, the answer to every order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformReport {
    /// Revision of the newest write.
    pub revision: u64,
    /// Counts by reader.
    pub readers: BTreeMap<String, ReaderCount>,
}

impl PlatformReport {
    /// Counts over all readers.
    pub fn total(&self) -> ReaderCount {
        let mut total = ReaderCount::default();
        for count in self.readers.values() {
            total.calls += count.calls;
            total.rationed += count.rationed;
            total.failed += count.failed;
            total.bytes += count.bytes;
        }
        total
    }
}

/// `PlatformClient` gives orders to a platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: LineClient,
}

impl PlatformClient {
    /// Makes a client of the control port at `address`.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { client: LineClient::new(address) }
    }

    /// Address of the control port.
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Gives any order.
    pub fn order(&self, order: &PlatformOrder) -> anyhow::Result<PlatformReport> {
        self.client.ask(order)
    }

    /// Publishes a list and returns its revision.
    pub fn publish_list(&self, parts: Vec<PartText>) -> anyhow::Result<u64> {
        let report = self.order(&PlatformOrder::PublishList { parts, at_least: 0 })?;
        Ok(report.revision)
    }

    /// Publishes the membership listing and returns its revision.
    pub fn publish_members(&self, members: Vec<ListedMember>) -> anyhow::Result<u64> {
        let report = self.order(&PlatformOrder::PublishMembers { members })?;
        Ok(report.revision)
    }

    /// Makes the platform answer, refuse or go silent.
    pub fn set_health(&self, health: PlatformHealth) -> anyhow::Result<()> {
        self.order(&PlatformOrder::SetHealth { health }).map(drop)
    }

    /// Goes back to the state at `revision`.
    pub fn rewind(&self, revision: u64) -> anyhow::Result<()> {
        self.order(&PlatformOrder::Rewind { revision }).map(drop)
    }

    /// Holds `reader` at `revision`; none ends it.
    pub fn hold(&self, reader: &str, revision: Option<u64>) -> anyhow::Result<()> {
        let reader = reader.to_owned();
        self.order(&PlatformOrder::Hold { reader, revision }).map(drop)
    }

    /// Delays every answer.
    pub fn set_delay(&self, millis: u64) -> anyhow::Result<()> {
        self.order(&PlatformOrder::SetDelay { millis }).map(drop)
    }

    /// What was read so far.
    pub fn report(&self) -> anyhow::Result<PlatformReport> {
        self.order(&PlatformOrder::Report)
    }
}
