//! Storage of the newest accepted rule list, and fetching of newer ones.

mod audit;
mod builder;
mod options;
mod parts;
mod snapshot;
mod sources;
mod store;

pub use builder::ListBuilder;
pub use options::{ListOptions, StaleLists};
pub use snapshot::ListSnapshot;
pub use store::ListStore;
