//! List parts to rule lists, or findings.
//!
//! [`build_list`] is a pure function of the parts' contents: every instance
//! gives the same verdict on the same list, and a refused list is refused with
//! all its findings. [`ListAssembler`] gives the same verdicts and reads only
//! the parts that it hasn't read before.

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
