//! Plain types and traits that every part of foxledge shares.
//!
//! Nothing here reads a clock, opens a socket or draws a random number: time
//! and seeds come in from outside.

pub mod audit;
pub mod errors;
pub mod findings;
pub mod hash;
pub mod lists;
pub mod names;
pub mod peers;
pub mod time;
pub mod traffic;
