//! The tree of parts that routes packets.
//!
//! [`PacketDaemon`] is the process. Its main thread runs two parts under the
//! supervisor: [`flow_part`] reads, decides and sends on packets of callers,
//! [`fleet_part`] keeps the list and talks with other instances. A side thread
//! reads the store and answers HTTP ([`side`]).

pub mod clock;
pub mod context;
pub mod daemon;
pub mod event_log;
pub mod fleet_part;
mod flow_lines;
mod flow_load;
mod flow_log;
pub mod flow_part;
pub mod lifecycle_part;
pub mod metrics;
pub mod part_kind;
pub mod parts;
pub mod reports;
pub mod side;

pub use context::PacketAdapters;
pub use daemon::PacketDaemon;
