//! Findings: what a check found wrong, with its place, reported together.

use std::fmt;

use serde::Serialize;

/// `Finding` is one thing that a check found wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The file or list part.
    pub source: String,
    /// Line from 1; 0 when the finding has no line.
    pub line: usize,
    /// The key, such as `listen.data` or `rule[3].when.member`.
    pub key: String,
    /// What is wrong, as a short sentence.
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

/// `FindingList` is every finding of one check, in the order found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Makes an empty list.
    pub fn new() -> FindingList {
        FindingList::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, source: &str, line: usize, key: &str, text: impl Into<String>) {
        let finding =
            Finding { source: source.to_owned(), line, key: key.to_owned(), text: text.into() };
        self.findings.push(finding);
    }

    /// Adds all of another list.
    pub fn append(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// True when nothing was found wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// The findings in order.
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
