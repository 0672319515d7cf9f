//! Audit trail entries about rule lists.

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    findings::FindingList,
    lists::{ListVersion, RuleList},
};
use foxledge_rules::summarize_changes;

use crate::{ListEffect, ListSource};

/// The maximum number of findings in one entry.
const MAX_FINDINGS: usize = 5;
/// The maximum number of changes in one entry.
const MAX_CHANGES: usize = 5;
/// The maximum length of a finding or change in an entry, in characters.
///
/// An item that contains an operator's text or the addresses of a rule can be a megabyte long, and
/// the audit trail keeps thousands of entries.
const MAX_ITEM_CHARS: usize = 300;
/// The subject of the entries.
const SUBJECT: &str = "rule list";

/// Creates the effect that records an audit entry.
pub(super) fn audit_effect(
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
        .with_values(describe_version(old), describe_version(new))
        .with_cause(cause, source);
    ListEffect::Audit(change)
}

fn describe_version(version: ListVersion) -> String {
    format!("revision {} ({:016x})", version.revision, version.digest)
}

/// Describes the changes between two lists, in bounded length.
pub(super) fn describe_changes(old: Option<&RuleList>, new: &RuleList) -> String {
    let Some(old) = old else { return "the first list".to_owned() };
    let summary = summarize_changes(old, new, MAX_CHANGES);
    if summary.changes.is_empty() && summary.omitted == 0 {
        return "no changes".to_owned();
    }
    join_items(summary.changes.iter(), summary.omitted)
}

/// Describes the findings in a list, in bounded length.
pub(super) fn describe_findings(findings: &FindingList) -> String {
    join_items(findings.iter().take(MAX_FINDINGS), findings.len().saturating_sub(MAX_FINDINGS))
}

/// Joins the items into one text. Each is truncated to [`MAX_ITEM_CHARS`].
fn join_items<T: ToString>(items: impl Iterator<Item = T>, omitted: usize) -> String {
    let texts: Vec<_> = items.map(|item| truncate_item(item.to_string())).collect();
    let text = texts.join("; ");
    if omitted == 0 { text } else { format!("{text}; and {omitted} more") }
}

fn truncate_item(text: String) -> String {
    match text.char_indices().nth(MAX_ITEM_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
