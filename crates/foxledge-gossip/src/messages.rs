//! Messages between instances, one to a datagram.

use std::net::{Ipv4Addr, SocketAddrV4};

use prost::{Message, Oneof};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::packing::PackedRows;

/// Largest message in bytes: fits a datagram on every usual link unfragmented.
pub const MAX_MESSAGE_BYTES: usize = 1_400;

/// Largest body of a message: beside it are the digest, the body's kind and its length.
pub(crate) const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - DIGEST_SIZE - 3;
/// Bytes of the digest in front of a message.
const DIGEST_SIZE: usize = 8;
/// Names the form of messages: those of another form have another digest.
///
/// Builds of form 2 drop what they don't know of a row and hand the rest on under the right
/// revision, those of form 3 know no epoch in revisions. Beside them, instances of this form
/// keep to themselves and the store.
const MESSAGE_FORM: u64 = 4;

/// `FleetMessage` is one datagram between instances.
#[derive(Clone, PartialEq, Message)]
pub struct FleetMessage {
    /// Of what kind.
    #[prost(oneof = "MessageBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<MessageBody>,
}

impl FleetMessage {
    /// The datagram of the message, with a digest of it in front.
    ///
    /// A damaged number would be taken for true and passed on: a revision that was never
    /// published makes every newer row look old, at all instances, until all are started
    /// anew. The 16 bits of a datagram's own checksum let one damaged message in 65,000
    /// pass, and a program that sends to a wrong port all of its own. No key is in it:
    /// who can reach the port can forge messages.
    pub fn to_datagram(&self) -> Vec<u8> {
        let mut datagram = vec![0; DIGEST_SIZE];
        datagram.append(&mut self.encode_to_vec());
        let digest = digest_of(&datagram[DIGEST_SIZE..]);
        datagram[..DIGEST_SIZE].copy_from_slice(&digest);
        datagram
    }

    /// Reads a datagram; none when it isn't a message as it was sent.
    pub fn from_datagram(datagram: &[u8]) -> Option<FleetMessage> {
        let (digest, message) = datagram.split_at_checked(DIGEST_SIZE)?;
        if digest != digest_of(message) {
            return None;
        }
        FleetMessage::decode(message).ok()
    }
}

fn digest_of(message: &[u8]) -> [u8; DIGEST_SIZE] {
    xxh3_64_with_seed(message, MESSAGE_FORM).to_be_bytes()
}

/// `MessageBody` is what a message says.
#[derive(Clone, PartialEq, Oneof)]
pub enum MessageBody {
    /// Heartbeat with news.
    #[prost(message, tag = "1")]
    Heartbeat(HeartbeatMessage),
    /// Question for rows.
    #[prost(message, tag = "2")]
    PullRequest(PullRequest),
    /// Rows that were asked for.
    #[prost(message, tag = "3")]
    PullPage(PullPage),
    /// The health of backend servers.
    #[prost(message, tag = "4")]
    Evidence(EvidenceMessage),
    /// Question for backend servers that vanished.
    #[prost(message, tag = "5")]
    TokenQuery(TokenQuery),
    /// Backend servers that vanished.
    #[prost(message, tag = "6")]
    TokenResponse(TokenResponse),
    /// A caller's packet that the sender can't place.
    #[prost(message, tag = "7")]
    RelayedPacket(RelayedPacket),
    /// Question for the operators' list that is held.
    #[prost(message, tag = "8")]
    ConfigRequest(ConfigRequest),
    /// Rows of it.
    #[prost(message, tag = "9")]
    ConfigPage(ConfigPage),
    /// Load of services.
    #[prost(message, tag = "10")]
    Load(LoadMessage),
}

/// `ConfigQuestion` asks for rows of the operators' list that the receiver holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Key after which rows are wanted; empty for the first.
    #[prost(string, tag = "2")]
    pub after: String,
}

/// `ConfigPage` is some rows of the operators' list that the sender holds.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPage {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The question's key.
    #[prost(string, tag = "2")]
    pub after: String,
    /// The rows, by key.
    #[prost(message, optional, tag = "3")]
    pub rows: Option<PackedRows>,
    /// More follow after the last row.
    #[prost(bool, tag = "4")]
    pub has_more: bool,
}

/// `RelayedPacket` is a caller's packet, as it came.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedPacket {
    /// Its bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
}

/// `TokenQuestion` asks which backend servers tokens of open flows named.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenQuery {
    /// The tokens.
    #[prost(fixed32, repeated, tag = "1")]
    pub tokens: Vec<u32>,
}

/// `TokenAnswer` is backend servers that vanished.
#[derive(Clone, PartialEq, Message)]
pub struct TokenResponse {
    /// The rows of what is gone.
    #[prost(message, optional, tag = "1")]
    pub rows: Option<PackedRows>,
}

/// `PeerDescriptor` is who an instance is.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerDescriptor {
    /// IPv4 address for messages, as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port for messages.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Of its process: differs after each start.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// It is stopping.
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
    /// Bandwidth of its link in Mbit/s, 0 when unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

impl PeerDescriptor {
    /// Where it takes messages; none when the port is none.
    pub fn address(&self) -> Option<SocketAddrV4> {
        let port = u16::try_from(self.port).ok().filter(|port| *port > 0)?;
        Some(SocketAddrV4::new(Ipv4Addr::from(self.ip), port))
    }
}

/// `HeartbeatMessage` is a heartbeat with what may be news.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<PeerDescriptor>,
    /// Revision up to which the sender knows the list in full.
    #[prost(uint64, tag = "2")]
    pub head: u64,
    /// Revision after which `rows` hold every change up to `head`.
    #[prost(uint64, optional, tag = "4")]
    pub base: Option<u64>,
    /// Changed rows.
    #[prost(message, optional, tag = "5")]
    pub rows: Option<PackedRows>,
    /// Some instances that the sender knows.
    #[prost(message, repeated, tag = "7")]
    pub peers: Vec<PeerEntry>,
    /// The last answers of the store that are known, by reader.
    #[prost(message, repeated, tag = "8")]
    pub confirmations: Vec<ConfirmationMessage>,
    /// The sender has just started and asks for an answer.
    #[prost(bool, tag = "9")]
    pub wants_response: bool,
    /// Number of instances that the sender knows.
    #[prost(uint32, tag = "10")]
    pub peer_count: u32,
    /// The newest of this came to the sender's data centre from another one.
    #[prost(bool, tag = "11")]
    pub is_from_remote_centre: bool,
    /// Version of the operators' list that the sender holds, as the store has an older one; 0
    /// when it holds none.
    #[prost(uint64, tag = "12")]
    pub held_version: u64,
    /// Revision after which `rows` hold what differs at `head`, where the sender read the list
    /// whole in between.
    #[prost(uint64, optional, tag = "13")]
    pub gap_base: Option<u64>,
}

/// `PeerEntry` is an instance and how long ago somebody last heard from it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerEntry {
    /// The instance.
    #[prost(message, optional, tag = "1")]
    pub descriptor: Option<PeerDescriptor>,
    /// Time since then in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Revision up to which it knew the list then.
    #[prost(uint64, tag = "3")]
    pub head: u64,
}

/// `ConfirmationMessage` is a reader's last answer from the store.
///
/// What is told of time is told as an age, which shrinks by the way at every
/// hop. The serial number tells what is new from what only seems so.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfirmationMessage {
    /// The reader.
    #[prost(message, optional, tag = "1")]
    pub reader: Option<PeerDescriptor>,
    /// Counts the reader's answers.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// Time since the answer in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// The store's revision.
    #[prost(uint64, tag = "4")]
    pub head: u64,
}

/// `EvidenceMessage` is what the sender believes of some backend servers, and why.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// The sender is of another data centre than the receiver.
    #[prost(bool, tag = "1")]
    pub is_remote: bool,
    /// The backend servers.
    #[prost(message, repeated, tag = "2")]
    pub backends: Vec<EvidenceEntry>,
}

/// `EvidenceEntry` is the signs of health of one start of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvidenceEntry {
    /// The backend server's number.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Which start; 0 when nothing is told of starts.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The signs: identity, kind and age of each in 32 bits.
    #[prost(fixed32, repeated, tag = "3")]
    pub observations: Vec<u32>,
}

/// `PullRequest` asks for the rows after a cursor.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PullRequest {
    /// Chosen by the asker, returned with the page.
    #[prost(fixed32, tag = "1")]
    pub request_id: u32,
    /// Revision of the cursor.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Key of the cursor.
    #[prost(string, tag = "3")]
    pub key: String,
    /// A whole copy is being read.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Revision up to which the asker knows the list, if it takes changes over a gap.
    #[prost(uint64, optional, tag = "5")]
    pub known: Option<u64>,
}

/// Pages that answer one question, sent together.
///
/// One page a question would take a way there and back for each of a long list's pages.
pub const PAGES_PER_REQUEST: u32 = 8;

/// `PullPage` is some rows after a cursor.
#[derive(Clone, PartialEq, Message)]
pub struct PullPage {
    /// The asker's ticket.
    #[prost(fixed32, tag = "1")]
    pub request_id: u32,
    /// The rows.
    #[prost(message, optional, tag = "2")]
    pub rows: Option<PackedRows>,
    /// Place of the page among those that answer the question, from 0.
    #[prost(uint32, tag = "8")]
    pub index: u32,
    /// More follow after the last row.
    #[prost(bool, tag = "3")]
    pub has_more: bool,
    /// The rows are part of a whole copy.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Revision up to which the sender knows the list in full.
    #[prost(uint64, tag = "5")]
    pub head: u64,
    /// Revision after which the sender can tell changes.
    #[prost(uint64, tag = "7")]
    pub floor: u64,
    /// The last answers of the store that are known, by reader.
    #[prost(message, repeated, tag = "6")]
    pub confirmations: Vec<ConfirmationMessage>,
    /// The sender serves others at the moment and holds no rows in this page.
    #[prost(bool, tag = "9")]
    pub is_busy: bool,
    /// Instances that may serve instead.
    #[prost(message, repeated, tag = "10")]
    pub peers: Vec<PeerEntry>,
    /// Of the sender's process.
    #[prost(fixed64, tag = "11")]
    pub incarnation: u64,
    /// The rows are changes over a gap.
    #[prost(bool, tag = "12")]
    pub has_gap: bool,
}

/// `LoadMessage` is the load of services, by instance of the own data centre or by data centre.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The sender is of another data centre than the receiver.
    #[prost(bool, tag = "1")]
    pub is_remote: bool,
    /// Load of instances of the data centre, the sender's first.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<InstanceReportRow>,
    /// Load of data centres; between data centres the sender's alone.
    #[prost(message, repeated, tag = "3")]
    pub aggregates: Vec<CentreAggregateRow>,
    /// Shared clock of the order of return, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub fleet_clock_ms: u32,
    /// The sender's data centre is pressed.
    #[prost(bool, tag = "5")]
    pub is_loaded: bool,
    /// The sender reports at the busy pace.
    #[prost(bool, tag = "6")]
    pub is_fast: bool,
}

/// `InstanceReportRow` is the load that one instance sees.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceReportRow {
    /// IPv4 address of the instance, as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port for messages.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Low half of its incarnation.
    #[prost(fixed32, tag = "3")]
    pub incarnation: u32,
    /// Counts the instance's parts.
    #[prost(uint32, tag = "4")]
    pub serial: u32,
    /// Time since the part was told, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// By service.
    #[prost(message, repeated, tag = "6")]
    pub services: Vec<ServiceLoadRow>,
    /// Hashes of client accounts, 32 bits each with the low byte first.
    #[prost(bytes = "vec", tag = "7")]
    pub sampled_accounts: Vec<u8>,
    /// Openings of which one is in the sample of accounts; 0 when there is none.
    #[prost(uint32, tag = "8")]
    pub openings_per_sample: u32,
}

/// `CentreAggregateRow` is the load of all callers of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct CentreAggregateRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Rises with time.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// Time since the sum was told, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Instances in it.
    #[prost(uint32, tag = "4")]
    pub instances: u32,
    /// By service.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceLoadRow>,
    /// Time for which the data centre still counts as pressed, in milliseconds; 0 when it
    /// doesn't.
    #[prost(uint32, tag = "6")]
    pub loaded_ms: u32,
}

/// `ServiceLoadRow` is the load of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoadRow {
    /// Low half of the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub service_hash: u32,
    /// Pairs of a priority and its arrivals in thousandths a second.
    #[prost(uint32, repeated, tag = "2")]
    pub arrivals: Vec<u32>,
    /// Pairs of a priority and its work time in microseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub work_us: Vec<u32>,
    /// Requests that run in the data centre of the message's part or sum.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests that run in others.
    #[prost(message, repeated, tag = "5")]
    pub remote_running: Vec<RemoteRunningRow>,
}

/// `RemoteRunningRow` is requests that run in another data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RemoteRunningRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub running: u32,
}
