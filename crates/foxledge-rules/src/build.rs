//! Builds a list from its parts without keeping anything for the next list.

use foxledge_core::{findings::FindingList, lists::RuleList};

use crate::assembler::ListAssembler;

/// One part of a list, with its own copy of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedPart {
    /// The name in the manifest, which findings refer to.
    pub name: String,
    /// The contents of the part.
    pub text: String,
}

/// One part of a list, whose name and text are borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartText<'a> {
    /// The name in the manifest, which findings refer to.
    pub name: &'a str,
    /// The contents of the part.
    pub text: &'a str,
}

impl<'a> From<&'a OwnedPart> for PartText<'a> {
    fn from(part: &'a OwnedPart) -> PartText<'a> {
        PartText { name: &part.name, text: &part.text }
    }
}

/// Builds a list from its parts.
///
/// The result depends only on the revision and the parts, so it is the same on
/// every instance.
///
/// # Errors
///
/// Returns all findings if the parts don't form a valid list.
pub fn build_list(revision: u64, parts: &[OwnedPart]) -> Result<RuleList, FindingList> {
    let parts: Vec<_> = parts.iter().map(PartText::from).collect();
    ListAssembler::new().build(revision, &parts)
}
