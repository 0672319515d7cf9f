//! What the audit trail says of lists.

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    findings::FindingList,
    lists::{ListVersion, RuleList},
};
use foxledge_rules::summarize_changes;

use crate::{ListEffect, ListSource};

/// Most findings that an entry tells.
const MAX_FINDINGS: usize = 5;
/// Most changes that an entry tells.
const MAX_CHANGES: usize = 5;
/// Longest finding or change in an entry, in characters.
///
/// One that repeats an operator's text or the addresses of a rule can have a
/// megabyte, and the audit trail keeps thousands of entries.
const MAX_ITEM: usize = 300;
/// Subject of the entries.
const SUBJECT: &str = "rule list";

/// Makes an entry.
pub(super) fn audit(
    kind: AuditKind,
    old: ListVersion,
    new: ListVersion,
    cause: &str,
    from: ListSource,
) -> ListEffect {
    let source = match from {
        ListSource::Platform => "platform".to_owned(),
        ListSource::Peer(address) => format!("peer {address}"),
    };
    let change = AuditChange::new(kind, SUBJECT)
        .with_values(version_text(old), version_text(new))
        .with_cause(cause, source);
    ListEffect::Audit(change)
}

fn version_text(version: ListVersion) -> String {
    format!("revision {} ({:016x})", version.revision, version.digest)
}

/// What a list changes, in bounded size.
pub(super) fn change_text(old: Option<&RuleList>, new: &RuleList) -> String {
    let Some(old) = old else { return "the first list".to_owned() };
    let summary = summarize_changes(old, new, MAX_CHANGES);
    if summary.changes.is_empty() && summary.omitted == 0 {
        return "no changes".to_owned();
    }
    joined(summary.changes.iter(), summary.omitted)
}

/// What is wrong with a list, in bounded size.
pub(super) fn finding_text(findings: &FindingList) -> String {
    joined(findings.iter().take(MAX_FINDINGS), findings.len().saturating_sub(MAX_FINDINGS))
}

/// The items as one text, none of them longer than [`MAX_ITEM`].
fn joined<T: ToString>(items: impl Iterator<Item = T>, more: usize) -> String {
    let told: Vec<_> = items.map(|item| shortened(item.to_string())).collect();
    let text = told.join("; ");
    if more == 0 { text } else { format!("{text}; and {more} more") }
}

fn shortened(text: String) -> String {
    match text.char_indices().nth(MAX_ITEM) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
