//! The foxledge daemon: sockets, timers and threads around the decision logic.
//!
//! The main thread runs the stakker event loop with a supervisor tree of
//! [`parts`]; a side thread runs what needs tokio ([`side`]). Decisions are made by
//! crates that do no I/O; the parts feed them and apply their effects. The modules at
//! the root belong to the request path, [`packets`] is the packet path.

pub mod choices;
pub mod clock;
pub mod context;
pub mod control_link;
pub mod daemon;
pub mod directory;
pub mod engine_part;
pub mod life_cycle;
pub mod list_manager;
pub mod listener;
pub mod member_manager;
pub mod metrics;
pub mod packets;
pub mod part_kind;
pub mod parts;
pub mod phase;
pub mod restarts;
pub mod routes;
pub mod side;
pub mod signals;
pub mod sockets;
pub mod start_gate;
pub mod supervisor;
