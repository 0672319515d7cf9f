//! The findings in one source text, with byte offsets converted to lines.

use std::cell::RefCell;

use foxledge_core::findings::{Finding, FindingList};

use crate::paths::KeyPath;

/// The location of a key or value in a source.
#[derive(Clone, Debug, Default)]
pub struct KeyLocation {
    /// The line number from 1; 0 if unknown.
    pub line: usize,
    /// The path of the key.
    pub path: KeyPath,
}

/// Collects the findings in one source.
#[derive(Debug)]
pub struct SourceFindings {
    name: String,
    line_starts: Vec<usize>,
    findings: RefCell<Vec<Finding>>,
    warnings: RefCell<Vec<Finding>>,
}

impl SourceFindings {
    /// Creates an empty collection for the source `name`, whose contents are `text`.
    pub fn new(name: &str, text: &str) -> SourceFindings {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1)).collect();
        SourceFindings {
            name: name.to_owned(),
            line_starts,
            findings: RefCell::default(),
            warnings: RefCell::default(),
        }
    }

    /// Returns the name of the source.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the line, counted from 1, that contains a byte offset.
    pub fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Adds a finding at a location.
    pub fn add(&self, location: &KeyLocation, text: impl Into<String>) {
        self.findings.borrow_mut().push(self.finding_at(location, text.into()));
    }

    /// Adds a warning at a location: unlike a finding, it doesn't invalidate the source.
    pub fn add_warning(&self, location: &KeyLocation, text: impl Into<String>) {
        self.warnings.borrow_mut().push(self.finding_at(location, text.into()));
    }

    fn finding_at(&self, location: &KeyLocation, text: String) -> Finding {
        let key = location.path.to_string();
        Finding { source: self.name.clone(), line: location.line, key, text }
    }

    /// Returns `true` if there are no findings so far.
    pub fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// Returns the number of findings so far.
    pub fn len(&self) -> usize {
        self.findings.borrow().len()
    }

    /// Returns the findings sorted by line; findings in one line keep their order.
    pub fn into_findings(self) -> FindingList {
        sorted_list(self.findings.into_inner())
    }

    /// Returns the warnings sorted by line; warnings in one line keep their order.
    pub fn into_warnings(self) -> FindingList {
        sorted_list(self.warnings.into_inner())
    }
}

fn sorted_list(mut findings: Vec<Finding>) -> FindingList {
    findings.sort_by_key(|finding| finding.line);
    let mut list = FindingList::new();
    for finding in findings {
        list.add(&finding.source, finding.line, &finding.key, finding.text);
    }
    list
}
