//! Messages between instances, usually one to a datagram.

use std::net::{Ipv4Addr, SocketAddrV4};

use prost::{Message, Oneof};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::packing::PackedRows;

/// Maximum size of a datagram in bytes, which isn't fragmented on any usual link.
pub const MAX_MESSAGE_BYTES: usize = 1_400;

/// Maximum size of a message body in bytes: without the digest, the tag of the body and its length.
pub(crate) const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - DIGEST_BYTES - 3;
/// Size of the digest in front of a message, in bytes.
const DIGEST_BYTES: usize = 8;
/// Version of the message format, used as the seed of the digest: messages of another format fail
/// the digest check.
///
/// Builds of format 2 drop the fields of a row that they don't know and pass the rest on under the
/// right revision; builds of format 3 don't know epochs in revisions. Instances of this format
/// therefore exchange no messages with those, and get their list from each other and the store.
const MESSAGE_FORMAT: u64 = 4;

/// `FleetMessage` is one message between instances.
#[derive(Clone, PartialEq, Message)]
pub struct FleetMessage {
    /// Body of the message.
    #[prost(oneof = "MessageBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<MessageBody>,
}

impl FleetMessage {
    /// Encodes the message as a datagram that starts with a digest of it.
    ///
    /// A corrupted number would be accepted and passed on: a revision that was never published
    /// makes every newer row look old, on all instances, until all are restarted. The 16-bit
    /// checksum of a UDP datagram misses one in 65,000 corrupted messages, and all messages that a
    /// program sends to the wrong port. The digest has no key: anything that can reach the port can
    /// forge messages.
    pub fn to_datagram(&self) -> Vec<u8> {
        let mut datagram = vec![0; DIGEST_BYTES];
        datagram.append(&mut self.encode_to_vec());
        let digest = digest_of(&datagram[DIGEST_BYTES..]);
        datagram[..DIGEST_BYTES].copy_from_slice(&digest);
        datagram
    }

    /// Decodes a datagram; returns `None` if it isn't a message as it was sent.
    pub fn from_datagram(datagram: &[u8]) -> Option<FleetMessage> {
        let (digest, message) = datagram.split_at_checked(DIGEST_BYTES)?;
        if digest != digest_of(message) {
            return None;
        }
        FleetMessage::decode(message).ok()
    }
}

fn digest_of(message: &[u8]) -> [u8; DIGEST_BYTES] {
    xxh3_64_with_seed(message, MESSAGE_FORMAT).to_be_bytes()
}

/// `MessageBody` is the content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum MessageBody {
    /// Heartbeat with updates.
    #[prost(message, tag = "1")]
    Heartbeat(HeartbeatMessage),
    /// Request for rows of the list.
    #[prost(message, tag = "2")]
    PullRequest(PullRequest),
    /// Response to a request for rows.
    #[prost(message, tag = "3")]
    PullPage(PullPage),
    /// Health evidence of backend servers.
    #[prost(message, tag = "4")]
    Evidence(EvidenceMessage),
    /// Query for removed backend servers.
    #[prost(message, tag = "5")]
    TokenQuery(TokenQuery),
    /// Response with removed backend servers.
    #[prost(message, tag = "6")]
    TokenResponse(TokenResponse),
    /// Packet of a caller that the sender can't map to a backend server.
    #[prost(message, tag = "7")]
    RelayedPacket(RelayedPacket),
    /// Request for rows of the operators' list that the receiver retains.
    #[prost(message, tag = "8")]
    ConfigRequest(ConfigRequest),
    /// Response to a request for rows of the retained list.
    #[prost(message, tag = "9")]
    ConfigPage(ConfigPage),
    /// Load of services.
    #[prost(message, tag = "10")]
    Load(LoadMessage),
    /// Part of a message that exceeds one datagram.
    #[prost(message, tag = "11")]
    Fragment(MessageFragment),
}

/// `MessageFragment` is a part of an encoded message that exceeds one datagram.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MessageFragment {
    /// Chosen by the sender; the same in all fragments of a message.
    #[prost(fixed32, tag = "1")]
    pub message_id: u32,
    /// Index of the fragment, from 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of fragments of the message.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// The bytes of the message in this fragment.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
}

/// `ConfigRequest` asks for rows of the operators' list that the receiver retains.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Version of that list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Key after which rows are wanted; empty for the first.
    #[prost(string, tag = "2")]
    pub after: String,
}

/// `ConfigPage` holds rows of the operators' list that the sender retains.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPage {
    /// Version of that list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Key from the request.
    #[prost(string, tag = "2")]
    pub after: String,
    /// The rows, in order of their keys.
    #[prost(message, optional, tag = "3")]
    pub rows: Option<PackedRows>,
    /// More rows follow after the last one.
    #[prost(bool, tag = "4")]
    pub has_more: bool,
}

/// `RelayedPacket` is a caller's packet, unchanged.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedPacket {
    /// The bytes of the packet.
    #[prost(bytes = "vec", tag = "1")]
    pub bytes: Vec<u8>,
}

/// `TokenQuery` asks which backend servers the tokens of open flows named.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenQuery {
    /// The tokens.
    #[prost(fixed32, repeated, tag = "1")]
    pub tokens: Vec<u32>,
}

/// `TokenResponse` holds removed backend servers.
#[derive(Clone, PartialEq, Message)]
pub struct TokenResponse {
    /// Rows of the removed backend servers.
    #[prost(message, optional, tag = "1")]
    pub rows: Option<PackedRows>,
}

/// `PeerDescriptor` identifies an instance, and describes it to others.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerDescriptor {
    /// IPv4 address for messages, as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port for messages.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Data centre of the instance.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Incarnation of the process; differs after each start.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// The instance is stopping.
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

impl PeerDescriptor {
    /// Returns the address for messages; `None` if the port is invalid.
    pub fn address(&self) -> Option<SocketAddrV4> {
        let port = u16::try_from(self.port).ok().filter(|port| *port > 0)?;
        Some(SocketAddrV4::new(Ipv4Addr::from(self.ip), port))
    }
}

/// `HeartbeatMessage` is a heartbeat with recent updates.
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
    /// Some of the instances that the sender knows.
    #[prost(message, repeated, tag = "7")]
    pub peers: Vec<PeerEntry>,
    /// Latest confirmations by the store, one for each reader.
    #[prost(message, repeated, tag = "8")]
    pub confirmations: Vec<ConfirmationMessage>,
    /// The sender asks for a heartbeat in response.
    #[prost(bool, tag = "9")]
    pub wants_response: bool,
    /// Number of instances that the sender knows.
    #[prost(uint32, tag = "10")]
    pub peer_count: u32,
    /// The newest of these updates came to the sender's data centre from another one.
    #[prost(bool, tag = "11")]
    pub is_from_remote_centre: bool,
    /// Version of the operators' list that the sender retains because the store has an older one; 0
    /// if it retains none.
    #[prost(uint64, tag = "12")]
    pub retained_version: u64,
    /// Revision after which `rows` hold the differences at `head`, if the sender read the whole
    /// list in between and so doesn't know every change.
    #[prost(uint64, optional, tag = "13")]
    pub gap_base: Option<u64>,
}

/// `PeerEntry` is an instance and the time since any instance last heard from it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerEntry {
    /// The instance.
    #[prost(message, optional, tag = "1")]
    pub descriptor: Option<PeerDescriptor>,
    /// Time since it was last heard from, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Revision up to which it knew the list then.
    #[prost(uint64, tag = "3")]
    pub head: u64,
}

/// `ConfirmationMessage` is the latest response of the store to one reader.
///
/// Times are sent as ages. They don't include the time in transit, so a confirmation seems younger
/// after every hop; the sequence number tells a newer confirmation from one that only seems newer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfirmationMessage {
    /// The reader.
    #[prost(message, optional, tag = "1")]
    pub reader: Option<PeerDescriptor>,
    /// Sequence number of the response at that reader.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// Time since the response, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Revision of the store in the response.
    #[prost(uint64, tag = "4")]
    pub head: u64,
}

/// `EvidenceMessage` holds the health evidence of some backend servers.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// The sender is in another data centre than the receiver.
    #[prost(bool, tag = "1")]
    pub is_remote: bool,
    /// The evidence, one entry for each backend server.
    #[prost(message, repeated, tag = "2")]
    pub backends: Vec<EvidenceEntry>,
}

/// `EvidenceEntry` holds the observations of one process start of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvidenceEntry {
    /// Number of the backend server.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Incarnation of the backend server; 0 if incarnations are not registered.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The observations: identity, kind and age of each in 32 bits.
    #[prost(fixed32, repeated, tag = "3")]
    pub observations: Vec<u32>,
}

/// `PullRequest` asks for the rows after a cursor.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PullRequest {
    /// Chosen by the requester, and returned with the pages.
    #[prost(fixed32, tag = "1")]
    pub request_id: u32,
    /// Revision of the cursor.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Key of the cursor.
    #[prost(string, tag = "3")]
    pub key: String,
    /// The requester is receiving a snapshot.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Revision up to which the requester knows the list, if it accepts changes across a gap in the
    /// history.
    #[prost(uint64, optional, tag = "5")]
    pub known_head: Option<u64>,
}

/// Number of pages sent together in response to one request.
///
/// With one page per request, each page of a long list would cost a round trip.
pub const PAGES_PER_REQUEST: u32 = 8;

/// `PullPage` holds rows after a cursor.
#[derive(Clone, PartialEq, Message)]
pub struct PullPage {
    /// Id from the request.
    #[prost(fixed32, tag = "1")]
    pub request_id: u32,
    /// The rows.
    #[prost(message, optional, tag = "2")]
    pub rows: Option<PackedRows>,
    /// Index of the page among those that respond to the request, from 0.
    #[prost(uint32, tag = "8")]
    pub index: u32,
    /// More rows follow after the last one.
    #[prost(bool, tag = "3")]
    pub has_more: bool,
    /// The rows are part of a snapshot.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// Revision up to which the sender knows the list in full.
    #[prost(uint64, tag = "5")]
    pub head: u64,
    /// Revision after which the sender knows every change.
    #[prost(uint64, tag = "7")]
    pub floor: u64,
    /// Latest confirmations by the store, one for each reader.
    #[prost(message, repeated, tag = "6")]
    pub confirmations: Vec<ConfirmationMessage>,
    /// The sender is serving others and sends no rows in this page.
    #[prost(bool, tag = "9")]
    pub is_busy: bool,
    /// Instances that may serve the request instead.
    #[prost(message, repeated, tag = "10")]
    pub peers: Vec<PeerEntry>,
    /// Incarnation of the sender's process.
    #[prost(fixed64, tag = "11")]
    pub incarnation: u64,
    /// The rows are differences across a gap in the history.
    #[prost(bool, tag = "12")]
    pub has_gap: bool,
    /// Revision of the newest page of the store that the sender's list was read from.
    #[prost(uint64, tag = "13")]
    pub newest_page: u64,
    /// The next row exceeds the longest message; the page has no rows.
    #[prost(bool, tag = "14")]
    pub is_too_long: bool,
}

/// `LoadMessage` holds the load of services: by instance of the same data centre, or by data
/// centre.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The sender is in another data centre than the receiver.
    #[prost(bool, tag = "1")]
    pub is_remote: bool,
    /// Reports of instances of the data centre, the sender's first.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<InstanceReportRow>,
    /// Aggregates of data centres; between data centres only the sender's own.
    #[prost(message, repeated, tag = "3")]
    pub aggregates: Vec<CentreAggregateRow>,
    /// Clock that all instances share, in milliseconds; it orders the return of flows to their data
    /// centres.
    #[prost(uint32, tag = "4")]
    pub fleet_clock_ms: u32,
    /// The sender's data centre is loaded.
    #[prost(bool, tag = "5")]
    pub is_loaded: bool,
    /// The sender reports at the fast pace.
    #[prost(bool, tag = "6")]
    pub is_fast: bool,
}

/// `InstanceReportRow` is the load that one instance measures.
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
    /// Sequence number of the report.
    #[prost(uint32, tag = "4")]
    pub serial: u32,
    /// Age of the report, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Load by service.
    #[prost(message, repeated, tag = "6")]
    pub services: Vec<ServiceLoadRow>,
    /// Hashes of sampled client accounts, 32 bits each with the low byte first.
    #[prost(bytes = "vec", tag = "7")]
    pub sampled_accounts: Vec<u8>,
    /// Number of openings that one sampled client account stands for; 0 if there is no sample.
    #[prost(uint32, tag = "8")]
    pub openings_per_sample: u32,
}

/// `CentreAggregateRow` is the load of all callers of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct CentreAggregateRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Sequence number, which rises with time.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// Age of the aggregate, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Number of instances in the data centre.
    #[prost(uint32, tag = "4")]
    pub instances: u32,
    /// Load by service.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceLoadRow>,
    /// Time for which the data centre still counts as loaded, in milliseconds; 0 if it doesn't.
    #[prost(uint32, tag = "6")]
    pub loaded_ms: u32,
}

/// `ServiceLoadRow` is the load of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoadRow {
    /// Low half of the hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service_hash: u32,
    /// Pairs of a priority and its arrivals, in thousandths per second.
    #[prost(uint32, repeated, tag = "2")]
    pub arrivals: Vec<u32>,
    /// Pairs of a priority and its work time, in microseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub work_us: Vec<u32>,
    /// Number of requests that run in the data centre of the report or aggregate.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests that run in other data centres.
    #[prost(message, repeated, tag = "5")]
    pub remote_running: Vec<RemoteRunningRow>,
}

/// `RemoteRunningRow` is the number of requests that run in another data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RemoteRunningRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub running: u32,
}
