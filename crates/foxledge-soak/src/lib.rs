//! A soak test: runs real instances of foxledge with injected faults.
//!
//! The instances are separate processes; the store, backend servers, callers and the links between
//! them are stand-ins in this process. A seed determines the faults and their times. What callers
//! and backend servers observe is checked against the promises of the system during the run.

pub mod backends;
pub mod callers;
pub mod faults;
pub mod instances;
pub mod links;
mod monitors;
mod networks;
pub mod packets;
pub mod plan;
pub mod promises;
pub mod router;
pub mod soak;
pub mod store;
pub mod world;

pub use instances::BuildSet;
pub use plan::{FaultPlan, FaultRange, SoakOptions};
pub use soak::{SoakReport, run_soak};
