//! Daemons' reports as text.
//!
//! A daemon may be of another version than this tool, so that a report is read
//! field by field: what is absent is left out, what is unknown is shown as it is.

pub mod audit;
pub mod explain;
pub mod status;
mod values;
