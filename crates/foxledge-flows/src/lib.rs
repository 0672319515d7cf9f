//! Packet routing between callers and backend servers.
//!
//! An instance sees only the packets that callers send; backend servers reply to callers directly.
//! [`FlowRouter`] decides on every packet: it places a new flow on a backend server, and forwards a
//! packet of an open flow by the 32-bit token that both ends carry. Any instance can therefore
//! continue any flow without a flow table.
//!
//! Operators and backend servers publish a set of [`rows::ListRow`]s, which [`list::FleetList`]
//! keeps in the order of the platform's revisions. This crate contains decision logic only:
//! packets, rows and the current time go in, decisions come out.

mod backend_table;
mod backends;
mod candidates;
mod cold;
mod dead_backends;
mod decisions;
mod evacuations;
mod flow_resets;
mod groups;
mod latency;
mod list_rows;
mod list_updates;
mod load_control;
mod load_exchange;
mod loss_gauge;
mod mechanisms;
mod new_flows;
mod observations;
mod options;
mod pending_openings;
mod retained_config;
mod router;
mod routes;
mod selection;
mod tracks;
mod trial_delays;
mod unknown_tokens;

pub mod health;
pub mod list;
pub mod packet;
pub mod placement;
pub mod revisions;
pub mod rows;
pub mod source;

pub use backend_table::BackendTable;
pub use backends::{Backend, BackendEvent, token_of};
pub use cold::{CentrePeers, ColdQuota, ColdRules, FlowWindow};
pub use decisions::{
    DropReason, FlowDecision, FlowExplanation, FlowReset, FlowStall, OpenReason, RefuseReason,
    ResetReason, RouterCounters,
};
pub use evacuations::{Evacuation, EvacuationChange, EvacuationEvent};
pub use health::{HealthClass, HealthObservation, HealthState, ObservationKind, UnansweredPacket};
pub use latency::LatencyGauge;
pub use list::FleetList;
pub use load_control::{
    AdmissionBasis, CentreLoad, LoadChange, LoadEvent, LoadExplanation, LoadReport,
};
pub use mechanisms::{MechanismSet, RouterMechanism};
pub use options::RouterOptions;
pub use packet::{FlowKey, FlowPacket, PacketCodec, PacketKind};
pub use placement::{LeastLoaded, PlacementPolicy};
pub use retained_config::RetainedConfig;
pub use router::FlowRouter;
pub use routes::{FlowRoute, flow_hash};
pub use source::{ConfigReading, ItemChange, ListReading, ListSource, SourceError};
