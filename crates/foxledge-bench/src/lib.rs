//! The measuring tool: the desk and the placement of flows in virtual time, and costs.

pub mod arrivals;
mod backends;
mod callers;
pub mod cost;
pub mod events;
pub mod fault_plan;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod flows;
pub mod matrix;
pub mod outage;
pub mod places;
pub mod report;
pub mod run_plan;
pub mod sweep;
pub mod tally;
pub mod targets;
pub mod workloads;
pub mod world;
