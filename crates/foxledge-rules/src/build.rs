//! From parts to a list, once.

use foxledge_core::{findings::FindingList, lists::RuleList};

use crate::assembler::ListAssembler;

/// `OwnedPart` is one part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedPart {
    /// Its name in the manifest, for the findings.
    pub name: String,
    /// Its contents.
    pub text: String,
}

/// `PartText` is one part of a list whose texts are kept elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartText<'a> {
    /// Its name in the manifest, for the findings.
    pub name: &'a str,
    /// Its contents.
    pub text: &'a str,
}

impl<'a> From<&'a OwnedPart> for PartText<'a> {
    fn from(part: &'a OwnedPart) -> PartText<'a> {
        PartText { name: &part.name, text: &part.text }
    }
}

/// Builds the list that the parts make up, or says all that is wrong with them.
///
/// Pure: the same revision and parts give the same answer on every instance.
pub fn build_list(revision: u64, parts: &[OwnedPart]) -> Result<RuleList, FindingList> {
    let parts: Vec<_> = parts.iter().map(PartText::from).collect();
    ListAssembler::new().build(revision, &parts)
}
