//! The findings of all parts of a list.

use std::cell::RefCell;

use foxledge_core::findings::FindingList;

use crate::{
    locations::{ListLocation, PartLocation},
    parsed::PartFinding,
};

/// Source of the findings that have no place in a part.
pub(crate) const LIST_SOURCE: &str = "list";

/// `ListFindings` collects the findings of a list by part.
#[derive(Debug)]
pub(crate) struct ListFindings<'a> {
    part_names: Vec<&'a str>,
    part_findings: RefCell<Vec<Vec<PartFinding>>>,
    list_findings: RefCell<FindingList>,
}

impl<'a> ListFindings<'a> {
    /// Makes a collection for the parts of these names and what was found on reading each.
    pub(crate) fn new(
        parts: impl Iterator<Item = (&'a str, Vec<PartFinding>)>,
    ) -> ListFindings<'a> {
        let (names, findings): (Vec<_>, Vec<_>) = parts.unzip();
        ListFindings {
            part_names: names,
            part_findings: RefCell::new(findings),
            list_findings: RefCell::default(),
        }
    }

    /// Notes a finding.
    pub(crate) fn add(&self, part: usize, spot: &PartLocation, text: impl Into<String>) {
        let finding =
            PartFinding { line: spot.line as usize, key: spot.to_string(), text: text.into() };
        self.part_findings.borrow_mut()[part].push(finding);
    }

    /// Notes a finding that has no place in a part.
    pub(crate) fn add_to_list(&self, text: impl Into<String>) {
        self.list_findings.borrow_mut().add(LIST_SOURCE, 0, "", text);
    }

    /// Notes that the name at `spot` was given before, at `earlier`.
    pub(crate) fn add_duplicate(
        &self,
        spot: ListLocation,
        name: impl std::fmt::Display,
        earlier: ListLocation,
    ) {
        let place = self.format_location(earlier);
        self.add(spot.part, &spot.location, format!("\"{name}\" stands already in {place}"));
    }

    /// The spot as `part:line`.
    pub(crate) fn format_location(&self, spot: ListLocation) -> String {
        format!("{}:{}", self.part_names[spot.part], spot.location.line)
    }

    /// True when nothing was found wrong.
    pub(crate) fn is_empty(&self) -> bool {
        self.list_findings.borrow().is_empty()
            && self.part_findings.borrow().iter().all(Vec::is_empty)
    }

    /// The findings by part and line, those without a part first; those of one
    /// line stay in the order found.
    pub(crate) fn into_findings(self) -> FindingList {
        let mut list = self.list_findings.into_inner();
        for (name, mut findings) in self.part_names.into_iter().zip(self.part_findings.into_inner())
        {
            findings.sort_by_key(|finding| finding.line);
            for finding in findings {
                list.add(name, finding.line, &finding.key, finding.text);
            }
        }
        list
    }
}
