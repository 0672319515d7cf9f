//! The decisions of foxledge under one name, for other benches and tools.
//!
//! Everything here is pure: datagrams, lists, views, time and seeds come in,
//! effects go out. [`engine`] drives a whole instance; [`policy`] is one home's
//! admission; [`members`] is membership and the spreading of lists.

pub use foxledge_core as core;
pub use foxledge_engine as engine;
pub use foxledge_members as members;
pub use foxledge_policy as policy;
pub use foxledge_rules as rules;
pub use foxledge_seal as seal;
pub use foxledge_wire as wire;
