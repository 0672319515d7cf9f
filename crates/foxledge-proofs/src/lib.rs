//! Scenario helpers of the proofs with real processes; the proofs are in `tests`.
//!
//! [`once`] serves the promises that a request runs once, that "not run" is true and that answers
//! come from the right service; [`lasting`] those that feeds, rule lists and planned stops last.

pub mod fleet_helpers;
pub mod fleet_limit;
pub mod manual_caller;
pub mod request_helpers;
