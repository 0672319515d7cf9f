//! Entry and home decisions on datagrams.
//!
//! [`FlowEngine`] is pure: datagrams, lists, views and the time come in,
//! [`EngineEffect`]s go out. It has two roles. As *entry instance* it takes
//! whatever the fabric hands it and sends it on: by flow token to the backend
//! server that serves the flow, by ticket to the home that issued it, anything
//! else to the home of the service. As *home* it admits work for the services
//! that rendezvous hashing gives it.

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
