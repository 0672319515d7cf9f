//! The store of the accepted list.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use foxledge_core::{
    audit::AuditKind,
    lists::{ListVersion, RuleList},
    time::ClockTime,
};
use foxledge_rules::list_version;
use foxledge_wire::control::{ListPart, Manifest};

use super::{
    audit::{audit_effect, describe_changes, describe_findings},
    options::{ListOptions, StaleLists},
    parts::PartTable,
    snapshot::{AcceptedList, ListSnapshot},
    sources::SourceTable,
};
use crate::{ListEffect, ListSource};

/// The maximum number of refused versions remembered.
const MAX_REFUSED: usize = 16;

/// A newer list whose parts are being fetched.
#[derive(Debug)]
struct PendingList {
    manifest: Manifest,
    version: ListVersion,
    /// The source of the manifest.
    source: ListSource,
    /// The number of parts that were missing when the manifest arrived.
    initially_missing: usize,
}

/// The newest accepted list with its parts.
///
/// Lists are ordered by the platform's revision. Unless [`StaleLists::Accept`] is set, the store
/// never goes back: an older list from a platform restarted at an older state, or from a peer that
/// lags, is ignored. The list in force
/// remains until a newer one has all its parts and has been validated.
#[derive(Debug)]
pub struct ListStore {
    options: ListOptions,
    accepted: Option<AcceptedList>,
    pending: Option<PendingList>,
    parts: PartTable,
    sources: SourceTable,
    /// The versions of invalid lists, which are not fetched again.
    refused: VecDeque<ListVersion>,
    newest_known: ListVersion,
    /// The last version ignored, so that the audit trail records it once.
    last_ignored: Option<(ListSource, ListVersion)>,
}

impl ListStore {
    /// Creates a store without a list.
    pub fn new(options: ListOptions) -> ListStore {
        ListStore {
            options,
            accepted: None,
            pending: None,
            parts: PartTable::default(),
            sources: SourceTable::default(),
            refused: VecDeque::new(),
            newest_known: ListVersion::default(),
            last_ignored: None,
        }
    }

    /// Creates a store from a snapshot of another one.
    pub fn restore(options: ListOptions, snapshot: ListSnapshot) -> ListStore {
        let ListSnapshot { accepted, parts } = snapshot;
        ListStore { accepted: Some(accepted), parts, ..ListStore::new(options) }
    }

    /// Returns the list in force with its parts, or `None` without a list.
    pub fn snapshot(&self) -> Option<ListSnapshot> {
        let accepted = self.accepted.clone()?;
        let mut parts = self.parts.clone();
        parts.retain(Some(&accepted.manifest), None);
        Some(ListSnapshot { accepted, parts })
    }

    /// Handles a manifest that was fetched or received from the platform's watch.
    pub fn on_manifest(
        &mut self,
        now: ClockTime,
        from: ListSource,
        manifest: Manifest,
    ) -> Vec<ListEffect> {
        self.sources.end_fetch(from);
        let version = manifest_version(&manifest);
        let mut effects = Vec::new();
        if !self.is_wanted(&version) {
            self.sources.remove(from);
            effects.extend(self.audit_ignored(from, version));
        } else {
            self.record_source(now, from, version);
            self.set_pending(from, version, manifest, &mut effects);
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Handles received parts. Those still missing are requested again.
    pub fn on_parts(
        &mut self,
        now: ClockTime,
        from: ListSource,
        parts: Vec<ListPart>,
    ) -> Vec<ListEffect> {
        let wanted = self.missing_digests();
        let mut accepted_count = 0;
        for part in parts {
            let digest = part.digest;
            if wanted.contains(&digest) && self.parts.insert(part) {
                accepted_count += 1;
                self.prepare(digest);
            }
        }
        if accepted_count == 0 {
            self.sources.fail_fetch(now, from, self.options.retry_backoff);
        } else {
            self.sources.end_fetch(from);
        }
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Handles the list version that a peer reports.
    pub fn on_peer_version(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        version: ListVersion,
    ) -> Vec<ListEffect> {
        let from = ListSource::Peer(from);
        let mut effects = Vec::new();
        if self.is_wanted(&version) {
            self.record_source(now, from, version);
        } else if self.conflicts_with_accepted(version) {
            effects.extend(self.audit_ignored(from, version));
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Handles the failure of a fetch.
    pub fn on_fetch_failed(&mut self, now: ClockTime, from: ListSource) -> Vec<ListEffect> {
        self.sources.fail_fetch(now, from, self.options.retry_backoff);
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Gives up timed-out fetches and starts due ones.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<ListEffect> {
        for source in self.sources.overdue_fetches(now) {
            self.sources.fail_fetch(now, source, self.options.retry_backoff);
        }
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Returns the manifest of the accepted list.
    pub fn manifest(&self) -> Option<Manifest> {
        self.accepted.as_ref().map(|accepted| accepted.manifest.clone())
    }

    /// Returns the stored parts among `digests`, in bounded size. The requester requests the rest
    /// again.
    pub fn parts(&self, digests: &[u64]) -> Vec<ListPart> {
        self.parts.read_bounded(digests, self.options.max_reply_bytes)
    }

    /// Returns the list in force.
    pub fn current_list(&self) -> Option<Arc<RuleList>> {
        self.accepted.as_ref().map(|accepted| accepted.list.clone())
    }

    /// Returns the version of the list in force; revision 0 without one.
    pub fn version(&self) -> ListVersion {
        self.accepted.as_ref().map(|accepted| accepted.list.version).unwrap_or_default()
    }

    /// Returns the newest version known that was not refused, fetched or not.
    pub fn newest_known_version(&self) -> ListVersion {
        self.newest_known.max(self.version())
    }

    /// Returns true if a list is in force and no newer one is known.
    pub fn is_up_to_date(&self) -> bool {
        self.accepted.is_some() && self.newest_known_version() == self.version()
    }

    /// Returns the size of the stored parts, in bytes.
    pub fn part_bytes(&self) -> usize {
        self.parts.total_bytes()
    }

    fn is_wanted(&self, version: &ListVersion) -> bool {
        let is_newer = match self.options.stale_lists {
            StaleLists::Refuse => version.revision > self.version().revision,
            StaleLists::Accept => *version != self.version(),
        };
        is_newer && !self.refused.contains(version)
    }

    /// Returns true for a different list with the revision that is in force.
    fn conflicts_with_accepted(&self, version: ListVersion) -> bool {
        let current = self.version();
        current.revision > 0 && version.revision == current.revision && version != current
    }

    fn record_source(&mut self, now: ClockTime, from: ListSource, version: ListVersion) {
        self.newest_known = self.newest_known.max(version);
        self.sources.record_version(now, from, version);
    }

    /// Creates the audit entry of a list that is older than the one in force or conflicts with it.
    fn audit_ignored(&mut self, from: ListSource, version: ListVersion) -> Option<ListEffect> {
        let ignored = Some((from, version));
        if version == self.version()
            || self.refused.contains(&version)
            || self.last_ignored == ignored
        {
            return None;
        }
        self.last_ignored = ignored;
        let cause = if self.conflicts_with_accepted(version) {
            "contradicts the list in force under its revision"
        } else {
            "older than the list in force"
        };
        Some(audit_effect(AuditKind::ListIgnored, self.version(), version, cause, from))
    }

    /// Makes a manifest the pending one, unless the pending one is as new or newer, or the manifest
    /// has too many parts.
    fn set_pending(
        &mut self,
        from: ListSource,
        version: ListVersion,
        manifest: Manifest,
        effects: &mut Vec<ListEffect>,
    ) {
        if let Some(pending) = &self.pending
            && pending.version >= version
        {
            return;
        }
        if manifest.parts.len() > self.options.max_list_parts {
            self.refuse(from, version, "more parts than allowed", effects);
            return;
        }
        let initially_missing = self.parts.missing(&manifest).len();
        self.pending = Some(PendingList { manifest, version, source: from, initially_missing });
        self.drop_unreferenced_parts();
    }

    /// Validates the pending list if it is complete, and starts the next fetch.
    fn advance(&mut self, now: ClockTime, effects: &mut Vec<ListEffect>) {
        self.validate_pending(effects);
        let timeout = self.options.fetch_timeout;

        let newest = self.sources.newest_ready(now, |version| self.is_wanted(version));
        self.drop_stalled_pending(now, newest);

        // A newer manifest is fetched before further parts, which may no longer be needed.
        let pending = self.pending.as_ref().map(|pending| pending.version);
        if let Some(newest) =
            newest.filter(|newest| pending.is_none_or(|pending| pending < *newest))
        {
            if !self.sources.is_fetching(newest)
                && let Some(from) = self.sources.start_fetch(now, newest, timeout)
            {
                effects.push(ListEffect::FetchManifest { from });
            }
            return;
        }
        let Some(pending) = pending else { return };
        if self.sources.is_fetching(pending) {
            return;
        }
        if let Some(from) = self.sources.start_fetch(now, pending, timeout) {
            effects.push(ListEffect::FetchParts { from, digests: self.missing_digests() });
        }
    }

    /// Drops a pending list that no source can complete now, if another list is available.
    ///
    /// Otherwise a list whose parts were lost at its only source would block the next older one,
    /// which other sources have complete.
    fn drop_stalled_pending(&mut self, now: ClockTime, other: Option<ListVersion>) {
        let Some(pending) = &self.pending else { return };
        if other.is_some() && !self.sources.is_ready(now, pending.version) {
            self.pending = None;
            self.drop_unreferenced_parts();
        }
    }

    /// Accepts or refuses the pending list once all its parts are stored.
    fn validate_pending(&mut self, effects: &mut Vec<ListEffect>) {
        let Some(pending) = &self.pending else { return };
        let is_too_large =
            self.parts.manifest_bytes(&pending.manifest) > self.options.max_list_bytes;
        if !is_too_large && !self.parts.missing(&pending.manifest).is_empty() {
            return;
        }
        let Some(pending) = self.pending.take() else { return };
        if is_too_large {
            self.refuse(pending.source, pending.version, "larger than allowed", effects);
            return;
        }
        let built = self
            .parts
            .part_texts(&pending.manifest)
            .and_then(|texts| self.options.builder.build(pending.version.revision, &texts));
        match built {
            Ok(list) => self.accept(pending, list, effects),
            Err(findings) => {
                let cause = describe_findings(&findings);
                self.refuse(pending.source, pending.version, &cause, effects);
            }
        }
    }

    fn accept(&mut self, pending: PendingList, list: RuleList, effects: &mut Vec<ListEffect>) {
        let version = pending.version;
        let list = Arc::new(RuleList { version, ..list });
        let cause = format!(
            "{} parts, {} of them fetched; {}",
            pending.manifest.parts.len(),
            pending.initially_missing,
            describe_changes(self.current_list().as_deref(), &list)
        );
        let change =
            audit_effect(AuditKind::ListAccepted, self.version(), version, &cause, pending.source);
        self.accepted = Some(AcceptedList { manifest: pending.manifest, list: list.clone() });
        self.drop_unreferenced_parts();
        self.sources.retain(|known| known.revision > version.revision);
        effects.push(ListEffect::Accepted(list));
        effects.push(change);
    }

    /// Records a list as invalid. The one in force remains.
    fn refuse(
        &mut self,
        from: ListSource,
        version: ListVersion,
        cause: &str,
        effects: &mut Vec<ListEffect>,
    ) {
        if self.refused.len() == MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(version);
        self.drop_unreferenced_parts();
        self.sources.retain(|known| *known != version);
        if self.newest_known == version {
            self.newest_known = self.sources.newest_version().unwrap_or_default();
        }
        effects.push(audit_effect(AuditKind::ListRefused, self.version(), version, cause, from));
    }

    fn prepare(&mut self, digest: u64) {
        if let Some(text) = self.parts.part_text(digest) {
            self.options.builder.prepare(text);
        }
    }

    fn drop_unreferenced_parts(&mut self) {
        let accepted = self.accepted.as_ref().map(|accepted| &accepted.manifest);
        let pending = self.pending.as_ref().map(|pending| &pending.manifest);
        self.parts.retain(accepted, pending);
        let parts = &self.parts;
        self.options.builder.retain(&|digest| parts.contains(digest));
    }

    /// Returns the digests of the parts that the pending list lacks.
    fn missing_digests(&self) -> Vec<u64> {
        let pending = self.pending.as_ref();
        pending.map(|pending| self.parts.missing(&pending.manifest)).unwrap_or_default()
    }
}

fn manifest_version(manifest: &Manifest) -> ListVersion {
    let parts = manifest.parts.iter().map(|part| (part.name.as_str(), part.digest));
    list_version(manifest.revision, parts)
}
