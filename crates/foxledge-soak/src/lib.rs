//! A soak: real instances of foxledge among stand-ins, with faults from outside.
//!
//! The instances are processes of their own; the store, backend servers, callers
//! and the links between them are stand-ins in this process. A seed decides which
//! faults come and when. What callers and backend servers see is held against the
//! promises while it happens.

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
