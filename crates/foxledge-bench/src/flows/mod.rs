//! Flows in virtual time: callers, instances that route packets, backend servers.
//!
//! The routers are the daemon's own. What surrounds them is a model of the first
//! user's site: four data centres, seven instances, 14 backend servers with two
//! slots and a short queue, flows of many requests and flows of one.

mod asking;
mod callers;
pub mod plan;
pub mod policies;
mod published;
pub mod report;
mod routing;
mod servers;
mod serving;
pub mod sites;
pub mod tally;
mod world;

pub use plan::{FlowChoice, FlowPlan, FlowVariant, SITE_LEVEL, flow_plans};
pub use policies::PolicyKind;
pub use report::{FlowResult, flow_table};
pub use world::run_flows;
