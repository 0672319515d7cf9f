//! The measuring tool: the desk's policy in virtual time, and its cost.

pub mod arrivals;
mod backends;
mod callers;
pub mod cost;
pub mod events;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod places;
pub mod report;
pub mod sweep;
pub mod tally;
pub mod targets;
pub mod workloads;
pub mod world;
