//! Helpers for tests with real processes, which are in `tests`.
//!
//! [`request_helpers`] serves the tests of single requests: that a request runs once, that "not
//! run" is true, and that answers come from the right service. [`fleet_helpers`] serves the tests
//! of feeds, rule lists and planned stops.

pub mod fleet_helpers;
pub mod fleet_limit;
pub mod manual_caller;
pub mod request_helpers;
