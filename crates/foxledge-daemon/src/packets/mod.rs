//! The packet path: an instance that forwards the packets of callers to backend servers.
//!
//! [`PacketDaemon`] is the process. Its main thread runs these parts under the
//! supervisor: [`flow_part`] reads, routes and forwards packets of callers,
//! [`fleet_part`] maintains the list and exchanges messages with other instances,
//! and [`lifecycle_part`] starts and stops serving. A side thread calls the
//! store and serves HTTP ([`side`]).

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
