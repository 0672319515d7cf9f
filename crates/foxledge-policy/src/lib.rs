//! Admission at a home: slots, fair order, target choice, health and retries.
//!
//! [`HomeDesk`] is pure: time and seeds come in, [`DeskEffect`]s go out.

mod admission;
pub mod demand;
pub mod desk;
pub mod dispatches;
pub mod effects;
pub mod errors;
pub mod health;
pub mod options;
pub mod policies;
pub mod queue;
pub mod retries;
mod running;
pub mod runtimes;
pub mod slots;
pub mod status;
pub mod targets;
pub mod work;

pub use desk::HomeDesk;
pub use effects::{DeskEffect, DeskRefusal, RefuseReason, RunState, TargetLoad, TargetSignal};
pub use errors::{Error, Result};
pub use options::DeskOptions;
pub use policies::{TargetPolicy, TargetState, policy_by_name};
pub use status::DeskStatus;
pub use work::WorkItem;
