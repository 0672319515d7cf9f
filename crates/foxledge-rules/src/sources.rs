//! The findings of all parts of a list.

use std::cell::RefCell;

use foxledge_core::findings::FindingList;

use crate::{
    draft::PartFinding,
    spots::{ListSpot, PartSpot},
};

/// Source of the findings that have no place in a part.
pub(crate) const WHOLE_LIST: &str = "list";

/// `ListSources` collects the findings of a list by part.
#[derive(Debug)]
pub(crate) struct ListSources<'a> {
    names: Vec<&'a str>,
    findings: RefCell<Vec<Vec<PartFinding>>>,
    whole: RefCell<FindingList>,
}

impl<'a> ListSources<'a> {
    /// Makes a collection for the parts of these names and what was found on reading each.
    pub(crate) fn new(parts: impl Iterator<Item = (&'a str, Vec<PartFinding>)>) -> ListSources<'a> {
        let (names, findings): (Vec<_>, Vec<_>) = parts.unzip();
        ListSources { names, findings: RefCell::new(findings), whole: RefCell::default() }
    }

    /// Notes a finding.
    pub(crate) fn add(&self, part: usize, spot: &PartSpot, text: impl Into<String>) {
        let finding =
            PartFinding { line: spot.line as usize, key: spot.to_string(), text: text.into() };
        self.findings.borrow_mut()[part].push(finding);
    }

    /// Notes a finding that has no place in a part.
    pub(crate) fn add_whole(&self, text: impl Into<String>) {
        self.whole.borrow_mut().add(WHOLE_LIST, 0, "", text);
    }

    /// Notes that the name at `spot` was given before, at `earlier`.
    pub(crate) fn add_repeat(
        &self,
        spot: ListSpot,
        name: impl std::fmt::Display,
        earlier: ListSpot,
    ) {
        let place = self.describe(earlier);
        self.add(spot.part, &spot.spot, format!("\"{name}\" stands already in {place}"));
    }

    /// The spot as `part:line`.
    pub(crate) fn describe(&self, spot: ListSpot) -> String {
        format!("{}:{}", self.names[spot.part], spot.spot.line)
    }

    /// True when nothing was found wrong.
    pub(crate) fn are_clean(&self) -> bool {
        self.whole.borrow().is_empty() && self.findings.borrow().iter().all(Vec::is_empty)
    }

    /// The findings by part and line, those without a part first; those of one
    /// line stay in the order found.
    pub(crate) fn into_findings(self) -> FindingList {
        let mut list = self.whole.into_inner();
        for (name, mut findings) in self.names.into_iter().zip(self.findings.into_inner()) {
            findings.sort_by_key(|finding| finding.line);
            for finding in findings {
                list.add(name, finding.line, &finding.key, finding.text);
            }
        }
        list
    }
}
