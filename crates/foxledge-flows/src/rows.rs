//! Rows: what is published, cut into pieces that change one by one.
//!
//! A list of routes may be a megabyte long and change thousands of times a day.
//! Instances pass on only the rows that changed, each under the revision at
//! which it did.

use std::net::{Ipv4Addr, SocketAddrV4};

use prost::{Message, Oneof};

/// `ListRow` is one published row under its key.
#[derive(Clone, PartialEq, Message)]
pub struct ListRow {
    /// Unique in the list: a word for the kind and a name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision at which the row last changed.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// What it says.
    #[prost(oneof = "RowValue", tags = "3, 4, 5, 6, 7")]
    pub value: Option<RowValue>,
}

impl ListRow {
    /// The operators' version, if the row tells it.
    pub fn config_version(&self) -> Option<u64> {
        match &self.value {
            Some(RowValue::Limits(limits)) => Some(limits.version),
            _ => None,
        }
    }
}

/// `RowValue` is what a row says.
#[derive(Clone, PartialEq, Oneof)]
pub enum RowValue {
    /// A route: one when-then rule.
    #[prost(message, tag = "3")]
    Route(RouteRow),
    /// A backend server.
    #[prost(message, tag = "4")]
    Backend(BackendRow),
    /// Limits of the whole list.
    #[prost(message, tag = "5")]
    Limits(LimitsRow),
    /// The row is gone.
    #[prost(message, tag = "6")]
    Removed(RemovedRow),
    /// A row of a kind that not every build knows.
    #[prost(message, tag = "7")]
    Extension(ExtensionRow),
}

/// `ExtensionRow` is a row of a kind that not every build knows.
///
/// An instance hands its list on to others. While a fleet is replaced by a newer build, those of
/// the older one must hand on rows that they don't understand as they got them. As a field of
/// its own in the message, such a row would be dropped as it is decoded, and go on as one that
/// says nothing under the right revision: newer instances would take it for true.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ExtensionRow {
    /// Of what kind; never used for two.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The message of that kind.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// `ExtensionValue` is what a row of a kind that this build knows says.
#[derive(Clone, Debug, PartialEq)]
pub enum ExtensionValue {
    /// A data centre is evacuated.
    Evacuation(EvacuationRow),
    /// Limits of a service.
    Service(ServiceRow),
}

const EVACUATION_KIND: u32 = 1;
const SERVICE_KIND: u32 = 2;

impl ExtensionRow {
    /// What the row says; none for kinds that this build doesn't know.
    pub fn decode(&self) -> Option<ExtensionValue> {
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
    /// A row that says this.
    pub fn from_extension(value: &ExtensionValue) -> RowValue {
        let (kind, body) = match value {
            ExtensionValue::Evacuation(row) => (EVACUATION_KIND, row.encode_to_vec()),
            ExtensionValue::Service(row) => (SERVICE_KIND, row.encode_to_vec()),
        };
        RowValue::Extension(ExtensionRow { kind, body })
    }
}

/// `EvacuationRow` is the operators' wish that a data centre's backend servers get no new flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EvacuationRow {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
}

/// `ServiceRow` is what holds for the backend servers of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceRow {
    /// The service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// How long a backend server stays cold after its start, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub warm_up_ms: u32,
    /// New flows that a cold one bears, in thousandths a second; 0 without a limit.
    #[prost(uint64, tag = "3")]
    pub cold_flows_per_ks: u64,
}

/// `RouteRow` is a when-then rule: flows to an address go to services.
#[derive(Clone, PartialEq, Message)]
pub struct RouteRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Place among the routes of its address: the first that matches decides.
    #[prost(uint32, tag = "2")]
    pub position: u32,
    /// IPv4 address that callers want, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Port that callers want.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Services with their weights; several when flows are split.
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<ServiceShare>,
    /// Paid priority, 0 is the highest.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// How long a request may take, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub timeout_ms: u32,
    /// True when requests can be repeated.
    #[prost(bool, tag = "8")]
    pub idempotent: bool,
    /// Regions in which its backend servers must be; any when there are none.
    #[prost(string, repeated, tag = "9")]
    pub regions: Vec<String>,
    /// Time in which answers are wanted, in milliseconds; 0 when none is told.
    #[prost(uint32, tag = "10")]
    pub aim_ms: u32,
}

/// `ServiceShare` is a service's share of a route's flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceShare {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight among the shares of the route.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// `BackendRow` is one process of a backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendRow {
    /// The number by which packets name it.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// IPv4 address, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Its data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// It is leaving: no new flows.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time until it is warm, counted from when the row was written, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub warm_in_ms: u32,
    /// Names the start of the process among those of one key; 0 when nothing is told. No
    /// order: what is newer is told by the row's revision.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// Revision at which its entry was created; 0 when nothing is told.
    #[prost(uint64, tag = "10")]
    pub created_revision: u64,
}

impl BackendRow {
    /// Where it takes packets; none when the row names no port.
    pub fn address(&self) -> Option<SocketAddrV4> {
        let port = u16::try_from(self.port).ok().filter(|port| *port > 0)?;
        Some(SocketAddrV4::new(Ipv4Addr::from(self.ip), port))
    }
}

/// `LimitsRow` is what holds for all flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LimitsRow {
    /// The operators' number of the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Silence after which a flow may be forgotten, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub idle_ms: u32,
}

/// `RemovedRow` is what remains of a row that is gone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RemovedRow {
    /// The backend server that it was; its open flows may go on. None for a route, and for
    /// an entry that can't be understood where no good one was known.
    #[prost(message, optional, tag = "1")]
    pub backend: Option<BackendRow>,
    /// Time since the removal when the row was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Key of the row of limits.
pub const LIMITS_KEY: &str = "limits";

/// Key of a route's row.
pub fn route_key(name: &str) -> String {
    format!("route/{name}")
}

/// Key of the row of a service's limits.
pub fn service_key(name: &str) -> String {
    format!("service/{name}")
}

/// True for keys of rows that the operators' list makes.
pub fn is_config_key(key: &str) -> bool {
    key == LIMITS_KEY || key.starts_with("route/") || key.starts_with("service/")
}

/// Key of the row of a data centre's evacuation.
pub fn evacuation_key(data_centre: &str) -> String {
    format!("evacuation/{data_centre}")
}

/// Key of a backend server's row.
pub fn backend_key(id: &str) -> String {
    format!("backend/{id}")
}
