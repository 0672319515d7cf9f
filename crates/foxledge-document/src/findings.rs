//! Findings of one source, with offsets turned into lines.

use std::cell::RefCell;

use foxledge_core::findings::{Finding, FindingList};

use crate::paths::KeyPath;

/// `KeyLocation` is where in a source something stands.
#[derive(Clone, Debug, Default)]
pub struct KeyLocation {
    /// Line from 1; 0 when unknown.
    pub line: usize,
    /// The path of the key.
    pub path: KeyPath,
}

/// `SourceFindings` collects the findings of one source.
#[derive(Debug)]
pub struct SourceFindings {
    name: String,
    line_starts: Vec<usize>,
    findings: RefCell<Vec<Finding>>,
}

impl SourceFindings {
    /// Makes notes without findings for the source `name` with contents `text`.
    pub fn new(name: &str, text: &str) -> SourceFindings {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(at, _)| at + 1)).collect();
        SourceFindings { name: name.to_owned(), line_starts, findings: RefCell::default() }
    }

    /// The source's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The line, from 1, of a byte offset.
    pub fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Notes a finding.
    pub fn add(&self, place: &KeyLocation, text: impl Into<String>) {
        let finding = Finding {
            source: self.name.clone(),
            line: place.line,
            key: place.path.to_string(),
            text: text.into(),
        };
        self.findings.borrow_mut().push(finding);
    }

    /// True when nothing was found wrong so far.
    pub fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// Number of findings so far.
    pub fn len(&self) -> usize {
        self.findings.borrow().len()
    }

    /// The findings by line; those of one line stay in the order found.
    pub fn into_findings(self) -> FindingList {
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| finding.line);
        let mut list = FindingList::new();
        for finding in findings {
            list.add(&finding.source, finding.line, &finding.key, finding.text);
        }
        list
    }
}
