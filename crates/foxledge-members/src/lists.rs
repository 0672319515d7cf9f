//! The newest accepted list, and the fetching of newer ones.

mod audit;
mod builder;
mod held;
mod options;
mod parts;
mod sources;
mod store;

pub use builder::ListBuilder;
pub use held::ListSnapshot;
pub use options::{ListOptions, StaleLists};
pub use store::ListStore;
