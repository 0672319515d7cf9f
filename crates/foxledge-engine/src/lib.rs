//! Routes callers' datagrams to backend servers and admits new work.
//!
//! [`FlowEngine`] does no I/O: datagrams, lists, peer views and the current time come in, and
//! [`EngineEffect`]s go out. It has two roles.
//!
//! As the *entry instance* it handles whatever the network fabric delivers to this instance and
//! forwards it: a packet with a flow token goes to the backend server that serves the flow, a
//! packet with a ticket goes to the home that issued the ticket, and anything else goes to the home
//! of the service.
//!
//! As the *home* it admits work for the services that rendezvous hashing assigns to it.

pub mod counters;
pub mod dispatch;
pub mod effects;
pub mod engine;
pub mod entry;
pub mod explain;
pub mod forwarding;
pub mod forwards;
pub mod home;
pub mod home_work;
pub mod journal;
pub mod ledger;
pub mod options;
pub mod other_centres;
pub mod packets;
pub mod placement;
pub mod responses;
pub mod schedulers;
pub mod status;
pub mod tickets;
pub mod updates;

pub use counters::EngineCounters;
pub use effects::{EngineEffect, EnginePhase};
pub use engine::FlowEngine;
pub use explain::{ExplainQuery, FlowExplanation};
pub use options::{EngineOptions, TrialSwitches};
pub use placement::PlacementKind;
pub use status::EngineStatus;
