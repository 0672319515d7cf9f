//! Problems found by a check, with their locations, reported together.

use std::fmt;

use serde::Serialize;

/// One problem found by a check, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The file, or the part of a list.
    pub source: String,
    /// Line number from 1; 0 if the finding has no line.
    pub line: usize,
    /// The key, such as `listen.data` or `rule[3].when.member`.
    pub key: String,
    /// A short sentence that describes the problem.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.source)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.text)
    }
}

/// All findings of one check, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> FindingList {
        FindingList::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, source: &str, line: usize, key: &str, text: impl Into<String>) {
        let finding =
            Finding { source: source.to_owned(), line, key: key.to_owned(), text: text.into() };
        self.findings.push(finding);
    }

    /// Appends all findings of another list.
    pub fn append(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Returns `true` if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Iterates over the findings in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}
