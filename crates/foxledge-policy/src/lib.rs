//! Admission at a home: slots, fair order, target choice, health and retries.
//!
//! [`ShardScheduler`] is pure: time and seeds come in, [`SchedulerEffect`]s go out.

mod admission;
pub mod demand;
mod dispatch_events;
pub mod dispatches;
pub mod effects;
pub mod errors;
pub mod health;
pub mod options;
pub mod policies;
pub mod queue;
pub mod retries;
pub mod run_times;
pub mod scheduler;
pub mod slots;
pub mod status;
pub mod targets;
pub mod work;

pub use effects::{RefuseReason, RunState, SchedulerEffect, TargetLoad, TargetSignal, WorkRefusal};
pub use errors::{Error, Result};
pub use options::SchedulerOptions;
pub use policies::{TargetPolicy, TargetState, policy_by_name};
pub use scheduler::ShardScheduler;
pub use status::SchedulerStatus;
pub use work::WorkItem;
