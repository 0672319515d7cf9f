//! What makes a list of its parts.

use foxledge_core::{findings::FindingList, lists::RuleList};
use foxledge_rules::{ListText, build_list};

/// `ListBuilder` is what makes a list of its parts, or findings.
///
/// It must be a pure function of its arguments: every instance has to give the
/// same verdict on the same list.
pub trait ListBuilder: Send {
    /// Builds the list of that revision from its parts in order.
    fn build(&self, revision: u64, parts: &[ListText]) -> Result<RuleList, FindingList>;
}

/// `RulesBuilder` is the builder that production uses, [`build_list`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RulesBuilder;

impl ListBuilder for RulesBuilder {
    fn build(&self, revision: u64, parts: &[ListText]) -> Result<RuleList, FindingList> {
        build_list(revision, parts)
    }
}
