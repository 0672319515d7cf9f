//! Routing of packets between callers and backend servers.
//!
//! An instance sees the packets of callers only; backend servers answer callers
//! directly. [`FlowRouter`] decides on each packet: a new flow is placed on a
//! backend server, a packet of an open flow follows the 32-bit token that both
//! ends carry, so that any instance can continue any flow without a table.
//!
//! What operators and backend servers publish is a set of [`rows::ListRow`]s,
//! kept by [`list::FleetList`] in the order of the platform's revisions.
//! Everything here is decision logic: packets, rows and the time go in,
//! decisions come out.

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
