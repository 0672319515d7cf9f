//! Dissemination of operator lists and health observations between instances.
//!
//! Two or three instances of the fleet read the store; all others receive its contents from peers
//! over UDP. Readers are not appointed: an instance that has received no confirmation for a while
//! that its list is the newest starts to read the store itself, and stops when better ranked
//! instances read it. Updates are disseminated by gossip: an instance that receives an update sends
//! it on to a few others at once, so that the traffic of one instance doesn't grow with the fleet.
//!
//! [`FleetMember`] is decision logic without I/O: datagrams, responses of the store and the time go
//! in, [`FleetEffect`]s come out.

pub mod backend_evidence;
mod config_pull;
mod dissemination;
mod effective_config;
mod effects;
mod election;
mod evidence;
mod evidence_rounds;
pub mod fragments;
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

pub use effects::{AbandonReason, FleetEffect, FleetEvent, ReadReason, StoreCall, StoreQuery};
pub use member::FleetMember;
pub use messages::{FleetMessage, MAX_MESSAGE_BYTES, MessageBody, MessageFragment};
pub use options::MemberOptions;
pub use refused_items::RefusedItem;
