//! Stand-ins for what foxledge meets: platform, backend servers, fabric and callers, each a real
//! process started by tests and by hand, and the harness that starts them.

mod arguments;
pub mod backend;
pub mod caller;
pub mod control;
pub mod demo;
pub mod fabric;
pub mod harness;
pub mod logs;
pub mod platform;
pub mod publish;
pub mod report;
