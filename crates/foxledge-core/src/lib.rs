//! Basic types and traits shared by all crates of foxledge.
//!
//! Nothing in this crate reads a clock, opens a socket or draws a random number: time and seeds are
//! passed in.

pub mod audit;
pub mod errors;
pub mod findings;
pub mod hash;
pub mod lists;
pub mod names;
pub mod peers;
pub mod time;
pub mod traffic;
