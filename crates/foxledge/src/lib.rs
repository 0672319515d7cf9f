//! The decision logic of foxledge as one crate, for external benchmarks and tools.
//!
//! The crates exported here do no input or output. Their inputs are datagrams, lists, views, the
//! time and seeds; their outputs are effects that the caller carries out. [`engine`] runs all
//! parts of one instance, [`policy`] is the admission of requests at one home, and [`members`] is
//! membership and the dissemination of lists.

pub use foxledge_core as core;
pub use foxledge_engine as engine;
pub use foxledge_members as members;
pub use foxledge_policy as policy;
pub use foxledge_rules as rules;
pub use foxledge_seal as seal;
pub use foxledge_wire as wire;
