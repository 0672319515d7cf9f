//! Collects the findings in all parts of a list.

use std::cell::RefCell;

use foxledge_core::findings::FindingList;

use crate::{
    locations::{ListLocation, PartLocation},
    parsed::PartFinding,
};

/// The source of findings that concern the whole list.
pub(crate) const LIST_SOURCE: &str = "list";

/// Collects the findings in a list by part.
#[derive(Debug)]
pub(crate) struct ListFindings<'a> {
    part_names: Vec<&'a str>,
    part_findings: RefCell<Vec<Vec<PartFinding>>>,
    list_findings: RefCell<FindingList>,
}

impl<'a> ListFindings<'a> {
    /// Creates a collection from the name of each part and the findings of parsing it.
    pub(crate) fn new(
        parts: impl Iterator<Item = (&'a str, Vec<PartFinding>)>,
    ) -> ListFindings<'a> {
        let (part_names, findings): (Vec<_>, Vec<_>) = parts.unzip();
        ListFindings {
            part_names,
            part_findings: RefCell::new(findings),
            list_findings: RefCell::default(),
        }
    }

    /// Adds a finding at a location in a part.
    pub(crate) fn add(&self, part: usize, location: &PartLocation, text: impl Into<String>) {
        let finding = PartFinding {
            line: location.line as usize,
            key: location.to_string(),
            text: text.into(),
        };
        self.part_findings.borrow_mut()[part].push(finding);
    }

    /// Adds a finding that concerns the whole list.
    pub(crate) fn add_to_list(&self, text: impl Into<String>) {
        self.list_findings.borrow_mut().add(LIST_SOURCE, 0, "", text);
    }

    /// Adds the finding that the name at `location` is already used at `earlier`.
    pub(crate) fn add_duplicate(
        &self,
        location: ListLocation,
        name: impl std::fmt::Display,
        earlier: ListLocation,
    ) {
        let earlier = self.format_location(earlier);
        self.add(
            location.part,
            &location.location,
            format!("\"{name}\" is already used in {earlier}"),
        );
    }

    /// Formats a location as `part:line`.
    pub(crate) fn format_location(&self, location: ListLocation) -> String {
        format!("{}:{}", self.part_names[location.part], location.location.line)
    }

    /// Returns `true` if there are no findings.
    pub(crate) fn is_empty(&self) -> bool {
        self.list_findings.borrow().is_empty()
            && self.part_findings.borrow().iter().all(Vec::is_empty)
    }

    /// Returns the findings sorted by part and line, with those of the whole list
    /// first; findings in one line keep their order.
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
