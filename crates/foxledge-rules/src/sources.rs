//! The findings of all parts of a list.

use foxledge_core::findings::FindingList;
use foxledge_document::{Place, SourceNotes};

use crate::build::ListText;

/// Source of the findings that have no place in a part.
pub(crate) const WHOLE_LIST: &str = "list";

/// `ListSpot` is where in a list something stands.
#[derive(Clone, Debug)]
pub(crate) struct ListSpot {
    /// Index of the part.
    pub(crate) part: usize,
    /// Where in the part.
    pub(crate) place: Place,
}

/// `ListSources` collects the findings of a list by part.
#[derive(Debug)]
pub(crate) struct ListSources {
    notes: Vec<SourceNotes>,
    whole: SourceNotes,
}

impl ListSources {
    /// Makes an empty collection for the parts.
    pub(crate) fn new(parts: &[ListText]) -> ListSources {
        let notes = parts.iter().map(|part| SourceNotes::new(&part.name, &part.text)).collect();
        ListSources { notes, whole: SourceNotes::new(WHOLE_LIST, "") }
    }

    /// The notes of one part.
    pub(crate) fn notes(&self, part: usize) -> &SourceNotes {
        &self.notes[part]
    }

    /// Notes a finding.
    pub(crate) fn add(&self, spot: &ListSpot, text: impl Into<String>) {
        self.notes[spot.part].add(&spot.place, text);
    }

    /// Notes a finding that has no place in a part.
    pub(crate) fn add_whole(&self, text: impl Into<String>) {
        self.whole.add(&Place::default(), text);
    }

    /// Notes that the name at `spot` was given before, at `earlier`.
    pub(crate) fn add_repeat(
        &self,
        spot: &ListSpot,
        name: impl std::fmt::Display,
        earlier: &ListSpot,
    ) {
        let place = self.describe(earlier);
        self.add(spot, format!("\"{name}\" stands already in {place}"));
    }

    /// The spot as `part:line`.
    pub(crate) fn describe(&self, spot: &ListSpot) -> String {
        format!("{}:{}", self.notes[spot.part].name(), spot.place.line)
    }

    /// True when nothing was found wrong.
    pub(crate) fn are_clean(&self) -> bool {
        self.whole.is_clean() && self.notes.iter().all(SourceNotes::is_clean)
    }

    /// The findings by part and line, those without a part first.
    pub(crate) fn into_findings(self) -> FindingList {
        let mut findings = self.whole.into_findings();
        for notes in self.notes {
            findings.append(notes.into_findings());
        }
        findings
    }
}
