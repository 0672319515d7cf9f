//! Membership of the instances of a data centre, and the distribution of rule lists between
//! instances.
//!
//! This crate is decision logic only: events and the current time go in, effects come out.
//! [`Membership`] detects which instances of the data centre are alive and which other data centres
//! are reachable. [`ListStore`] stores the newest accepted rule list and fetches newer ones.

mod centres;
mod effects;
mod hints;
mod observed_peers;
mod options;
mod rings;
mod table;
mod update_queue;

pub mod lists;
pub mod membership;

pub use effects::{ListEffect, ListSource, MemberEffect, ProbeResult};
pub use lists::{ListBuilder, ListOptions, ListSnapshot, ListStore, StaleLists};
pub use membership::Membership;
pub use options::MemberOptions;
