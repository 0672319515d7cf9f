//! Formatting of daemons' reports as text.
//!
//! A daemon may be of another version than this tool, so a report is read field by field: missing
//! fields are left out, and unknown fields are shown as they are.

pub mod audit;
pub mod explain;
pub mod status;
mod values;
