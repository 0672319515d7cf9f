//! Scheduling of the work of a service shard: admission, fair queueing, slot accounting, choice
//! of targets, target health and retries.
//!
//! A target is a backend server, and a member is a client account. A work item is a request or a
//! feed that a caller submits; a dispatch is one attempt to run it at a target.
//!
//! [`ShardScheduler`] does no I/O: it takes the time and a random seed as arguments, and returns
//! [`SchedulerEffect`]s.

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
