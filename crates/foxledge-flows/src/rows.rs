//! Rows: published content in units that change independently.
//!
//! A list of routes may take a megabyte and change thousands of times a day. Instances pass on only
//! the rows that changed, each with the revision of its change.

use std::net::{Ipv4Addr, SocketAddrV4};

use prost::{Message, Oneof};

/// A published row with its key.
#[derive(Clone, PartialEq, Message)]
pub struct ListRow {
    /// The key, unique in the list: the kind of the row and a name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The revision at which the row last changed.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The content of the row.
    #[prost(oneof = "RowValue", tags = "3, 4, 5, 6, 7")]
    pub value: Option<RowValue>,
}

impl ListRow {
    /// Returns the operators' version of the list if the row contains it.
    pub fn config_version(&self) -> Option<u64> {
        match &self.value {
            Some(RowValue::Limits(limits)) => Some(limits.version),
            _ => None,
        }
    }
}

/// The content of a row.
#[derive(Clone, PartialEq, Oneof)]
pub enum RowValue {
    /// A route, one when-then rule.
    #[prost(message, tag = "3")]
    Route(RouteRow),
    /// A backend server.
    #[prost(message, tag = "4")]
    Backend(BackendRow),
    /// The limits of the whole list.
    #[prost(message, tag = "5")]
    Limits(LimitsRow),
    /// The row was removed.
    #[prost(message, tag = "6")]
    Removed(RemovedRow),
    /// A row of a kind that not every build knows.
    #[prost(message, tag = "7")]
    Extension(ExtensionRow),
}

/// A row of a kind that not every build knows.
///
/// Instances pass their list on to others. During an upgrade of the fleet, instances of the older
/// build must pass on rows that they can't decode unchanged. As a separate field of the message,
/// such a row would be dropped on decoding and passed on empty with the right revision, and newer
/// instances would accept it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ExtensionRow {
    /// The kind; never reused for another one.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The encoded message of that kind.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// The content of an extension row of a kind that this build knows.
#[derive(Clone, Debug, PartialEq)]
pub enum ExtensionValue {
    /// A data centre is evacuated.
    Evacuation(EvacuationRow),
    /// The limits of a service.
    Service(ServiceRow),
}

const EVACUATION_KIND: u32 = 1;
const SERVICE_KIND: u32 = 2;

impl ExtensionRow {
    /// Returns the content of the row, or `None` for a kind that this build doesn't know.
    pub fn decode_value(&self) -> Option<ExtensionValue> {
        match self.kind {
            EVACUATION_KIND => {
                EvacuationRow::decode(&*self.body).ok().map(ExtensionValue::Evacuation)
            }
            SERVICE_KIND => ServiceRow::decode(&*self.body).ok().map(ExtensionValue::Service),
            _ => None,
        }
    }
}

impl RowValue {
    /// Returns the row value with this content.
    pub fn from_extension(value: &ExtensionValue) -> RowValue {
        let (kind, body) = match value {
            ExtensionValue::Evacuation(row) => (EVACUATION_KIND, row.encode_to_vec()),
            ExtensionValue::Service(row) => (SERVICE_KIND, row.encode_to_vec()),
        };
        RowValue::Extension(ExtensionRow { kind, body })
    }
}

/// The operators' request that a data centre's backend servers get no new flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvacuationRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
}

/// The limits that apply to the backend servers of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceRow {
    /// The service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The warm-up time of a backend server after its start, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub warm_up_ms: u32,
    /// The rate of new flows that a cold backend server can take, in flows per 1,000 seconds; 0 for
    /// no limit.
    #[prost(uint64, tag = "3")]
    pub cold_flows_per_ks: u64,
}

/// A when-then rule that routes flows to an address to services.
#[derive(Clone, PartialEq, Message)]
pub struct RouteRow {
    /// The name of the route.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The position among the routes of the same address: the first route that matches decides.
    #[prost(uint32, tag = "2")]
    pub position: u32,
    /// The IPv4 address that callers connect to, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// The port that callers connect to.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// The services with their weights; several if flows are split.
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<ServiceShare>,
    /// The paid priority; 0 is the highest.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// The time, in milliseconds, that a request may take.
    #[prost(uint32, tag = "7")]
    pub timeout_ms: u32,
    /// True if requests may be repeated.
    #[prost(bool, tag = "8")]
    pub idempotent: bool,
    /// The regions in which the backend servers must be; empty for any.
    #[prost(string, repeated, tag = "9")]
    pub regions: Vec<String>,
    /// The latency target of responses, in milliseconds; 0 for none.
    #[prost(uint32, tag = "10")]
    pub aim_ms: u32,
}

/// A service's share of a route's flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceShare {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The weight of the service among the shares of the route.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// One process of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendRow {
    /// The number that identifies it in packets.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Its IPv4 address, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Its port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Its data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// The number of requests that it processes at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// True if it is about to stop and must get no new flows.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// The remaining warm-up time at the time of writing, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub warm_in_ms: u32,
    /// Identifies the start of the process among those with the same key; 0 if unknown.
    /// Incarnations have no order: the revision of the row tells which is newer.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// The revision at which the entry was created; 0 if unknown.
    #[prost(uint64, tag = "10")]
    pub created_revision: u64,
}

impl BackendRow {
    /// Returns the address at which it receives packets, or `None` if the row contains no valid
    /// port.
    pub fn address(&self) -> Option<SocketAddrV4> {
        let port = u16::try_from(self.port).ok().filter(|port| *port > 0)?;
        Some(SocketAddrV4::new(Ipv4Addr::from(self.ip), port))
    }
}

/// The limits that apply to all flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LimitsRow {
    /// The operators' version of the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The time without packets, in milliseconds, after which a flow may be dropped.
    #[prost(uint32, tag = "2")]
    pub idle_ms: u32,
}

/// The remainder of a removed row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RemovedRow {
    /// The removed backend server, whose open flows may continue. `None` for a route, and for an
    /// entry that can't be decoded if no valid one was known.
    #[prost(message, optional, tag = "1")]
    pub backend: Option<BackendRow>,
    /// The time between the removal and the sending of the row, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// The key of the limits row.
pub const LIMITS_KEY: &str = "limits";

/// Returns the key of a route's row.
pub fn route_key(name: &str) -> String {
    format!("route/{name}")
}

/// Returns the key of the row of a service's limits.
pub fn service_key(name: &str) -> String {
    format!("service/{name}")
}

/// Returns true for the keys of rows that are part of the operators' list.
pub fn is_config_key(key: &str) -> bool {
    key == LIMITS_KEY || key.starts_with("route/") || key.starts_with("service/")
}

/// Returns the key of the row of a data centre's evacuation.
pub fn evacuation_key(data_centre: &str) -> String {
    format!("evacuation/{data_centre}")
}

/// Returns the key of a backend server's row.
pub fn backend_key(id: &str) -> String {
    format!("backend/{id}")
}
