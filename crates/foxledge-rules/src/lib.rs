//! Parses, validates and builds rule lists from their parts.
//!
//! [`build_list`] is a pure function of the parts' contents: every instance
//! accepts or rejects the same lists, and a rejected list is returned with all of
//! its findings. [`ListAssembler`] returns the same results but parses only the
//! parts that it hasn't parsed before.

mod assembler;
mod build;
pub mod changes;
mod checks;
pub mod index;
mod list_findings;
mod locations;
mod parsed;
mod part_reader;
mod secrets;
mod shadows;
mod version;

pub use assembler::{
    ListAssembler, MAX_LIST_BYTES, MAX_PART_BYTES, MAX_PARTS, MAX_RULE_ADDRESSES, MAX_RULES,
};
pub use build::{OwnedPart, PartText, build_list};
pub use changes::{ChangeSubject, ChangeSummary, ListChange, diff_lists, summarize_changes};
pub use index::RuleIndex;
pub use version::list_version;
