//! A soak: real instances of foxledge among stand-ins, with faults from outside.
//!
//! The instances are processes of their own; the store, backend servers, callers
//! and the links between them are stand-ins in this process. A seed decides which
//! faults come and when. What callers and backend servers see is held against the
//! promises while it happens.

pub mod backends;
pub mod callers;
pub mod faults;
pub mod heads;
pub mod instances;
pub mod links;
mod nets;
pub mod plan;
pub mod promises;
pub mod router;
pub mod soak;
pub mod store;
mod watches;
pub mod world;

pub use instances::BuildSet;
pub use plan::{FaultPlan, FaultRange, SoakOptions};
pub use soak::{SoakReport, run_soak};
