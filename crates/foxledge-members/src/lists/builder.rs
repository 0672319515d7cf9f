//! Building of rule lists from their parts.

use foxledge_core::{findings::FindingList, lists::RuleList};
use foxledge_rules::{ListAssembler, PartText};

/// Builds rule lists from their parts.
///
/// The result must be a pure function of the arguments, because all instances must accept or refuse
/// the same list alike. A builder may cache whatever makes the next list cheaper to build.
pub trait ListBuilder: Send {
    /// Builds the list of a revision from its parts, in order.
    ///
    /// # Errors
    ///
    /// Returns the findings if the list is invalid.
    fn build(&mut self, revision: u64, parts: &[PartText<'_>]) -> Result<RuleList, FindingList>;

    /// Prepares a part that has arrived before the other parts of its list.
    fn prepare(&mut self, _text: &str) {}

    /// Drops cached data of parts that no list refers to any more.
    fn retain(&mut self, _is_named: &dyn Fn(u64) -> bool) {}
}

impl ListBuilder for ListAssembler {
    fn build(&mut self, revision: u64, parts: &[PartText<'_>]) -> Result<RuleList, FindingList> {
        ListAssembler::build(self, revision, parts)
    }

    fn prepare(&mut self, text: &str) {
        ListAssembler::parse_ahead(self, text);
    }

    fn retain(&mut self, is_named: &dyn Fn(u64) -> bool) {
        ListAssembler::retain(self, is_named);
    }
}
