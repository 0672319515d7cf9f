//! Membership between instances, and the spreading of rule lists between them.
//!
//! Everything here is decision logic: events and the present time go in,
//! effects come out. [`Membership`] tells which instances of the data centre
//! live and which other data centres answer; [`ListStore`] keeps the newest
//! accepted list and fetches newer ones.

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
