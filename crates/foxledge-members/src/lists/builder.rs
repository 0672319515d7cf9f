//! What makes a list of its parts.

use foxledge_core::{findings::FindingList, lists::RuleList};
use foxledge_rules::{ListAssembler, PartText};

/// `ListBuilder` is what makes a list of its parts, or findings.
///
/// Its verdict must be a pure function of its arguments: every instance has to
/// give the same one on the same list. It may keep what makes the next list
/// cheaper.
pub trait ListBuilder: Send {
    /// Builds the list of that revision from its parts in order.
    fn build(&mut self, revision: u64, parts: &[PartText<'_>]) -> Result<RuleList, FindingList>;

    /// Takes a part that came before the others of its list.
    fn prepare(&mut self, _text: &str) {}

    /// Drops what is kept of parts that no list names any more.
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
