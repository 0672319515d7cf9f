//! Spreading of lists and observations between instances.
//!
//! Two or three instances of the fleet read the store; all others learn from
//! peers by UDP. Nobody appoints the readers: an instance that hasn't heard for
//! a while that its list is the newest reads by itself, and stops when better
//! ranked ones do. News spread as an epidemic: whoever hears something new
//! tells a few others at once, so that the traffic of one instance doesn't grow
//! with the fleet.
//!
//! [`FleetMember`] is decision logic: datagrams, the store's answers and the
//! time go in, [`FleetEffect`]s come out.

pub mod backend_evidence;
mod config_pull;
mod dissemination;
mod effective_config;
mod effects;
mod election;
mod evidence;
mod evidence_rounds;
mod heartbeat_handling;
mod list_pull;
mod list_transfer;
mod load_packing;
mod load_reporting;
mod member;
mod messages;
mod observation_packing;
mod options;
mod packet_relay;
pub mod packing;
mod partial_list;
mod partial_start;
mod peer_selection;
mod peers;
mod refused_items;
mod removed_backends;
mod store_reading;

pub use effects::{FleetEffect, FleetEvent, ReadReason, StoreCall, StoreQuery};
pub use member::FleetMember;
pub use messages::{FleetMessage, MAX_MESSAGE_BYTES};
pub use options::MemberOptions;
pub use refused_items::RefusedItem;
