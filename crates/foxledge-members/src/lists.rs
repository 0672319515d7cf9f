//! The newest accepted list, and the fetching of newer ones.

mod audit;
mod builder;
mod options;
mod parts;
mod sources;
mod store;

pub use builder::ListBuilder;
pub use options::{ListOptions, StaleLists};
pub use store::ListStore;
