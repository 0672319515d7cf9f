//! List parts to rule lists, or findings.
//!
//! [`build_list`] is a pure function of the parts' contents: every instance
//! gives the same verdict on the same list, and a refused list is refused with
//! all its findings.

mod build;
pub mod changes;
mod checks;
mod draft;
pub mod index;
mod parts;
mod secrets;
mod shadows;
mod sources;
mod version;

pub use build::{ListText, MAX_LIST_BYTES, MAX_RULE_ADDRESSES, MAX_RULES, build_list};
pub use changes::{ChangeSubject, ListChange, diff_lists};
pub use index::RuleIndex;
pub use version::list_version;
