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
    audit::{audit, change_text, finding_text},
    options::{ListOptions, StaleLists},
    parts::PartTable,
    snapshot::{HeldList, ListSnapshot},
    sources::SourceTable,
};
use crate::{ListEffect, ListSource};

/// Most refused versions that are remembered.
const MAX_REFUSED: usize = 16;

/// `PendingList` is a newer list whose parts are being fetched.
#[derive(Debug)]
struct PendingList {
    manifest: Manifest,
    version: ListVersion,
    /// Who gave the manifest.
    source: ListSource,
    /// Parts that were missing when the manifest came.
    missing_first: usize,
}

/// `ListStore` is the newest accepted list with its parts.
///
/// The order of lists is the platform's revision, and the store never goes
/// back: a platform that was restarted at an older state, or a peer that lags,
/// is heard and ignored. The list in force stays until a newer one has all its
/// parts and was found right.
#[derive(Debug)]
pub struct ListStore {
    options: ListOptions,
    accepted: Option<HeldList>,
    pending: Option<PendingList>,
    parts: PartTable,
    sources: SourceTable,
    /// Lists that were found wrong; they aren't fetched again.
    refused: VecDeque<ListVersion>,
    newest_known_version: ListVersion,
    /// What was ignored last, so that the audit trail tells it once.
    ignored: Option<(ListSource, ListVersion)>,
}

impl ListStore {
    /// Makes a store without a list.
    pub fn new(options: ListOptions) -> ListStore {
        ListStore {
            options,
            accepted: None,
            pending: None,
            parts: PartTable::default(),
            sources: SourceTable::default(),
            refused: VecDeque::new(),
            newest_known_version: ListVersion::default(),
            ignored: None,
        }
    }

    /// Makes a store that holds what another one held.
    pub fn restore(options: ListOptions, snapshot: ListSnapshot) -> ListStore {
        let ListSnapshot { held, parts } = snapshot;
        ListStore { accepted: Some(held), parts, ..ListStore::new(options) }
    }

    /// The list in force with its parts; none without a list.
    pub fn snapshot(&self) -> Option<ListSnapshot> {
        let held = self.accepted.clone()?;
        let mut parts = self.parts.clone();
        parts.retain(Some(&held.manifest), None);
        Some(ListSnapshot { held, parts })
    }

    /// Takes a manifest, fetched or told by the platform's watch.
    pub fn on_manifest(
        &mut self,
        now: ClockTime,
        from: ListSource,
        manifest: Manifest,
    ) -> Vec<ListEffect> {
        self.sources.end_fetch(from);
        let version = version_of(&manifest);
        let mut effects = Vec::new();
        if !self.is_wanted(&version) {
            self.sources.forget(from);
            effects.extend(self.ignore(from, version));
        } else {
            self.hear(now, from, version);
            self.set_pending(from, version, manifest, &mut effects);
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Takes parts. What isn't among them is asked for again.
    pub fn on_parts(
        &mut self,
        now: ClockTime,
        from: ListSource,
        parts: Vec<ListPart>,
    ) -> Vec<ListEffect> {
        let wanted = self.missing();
        let mut taken = 0;
        for part in parts {
            let digest = part.digest;
            if wanted.contains(&digest) && self.parts.insert(part) {
                taken += 1;
                self.prepare(digest);
            }
        }
        if taken == 0 {
            self.sources.fail_fetch(now, from, self.options.retry_wait);
        } else {
            self.sources.end_fetch(from);
        }
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Takes the version that a peer holds.
    pub fn on_peer_version(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        version: ListVersion,
    ) -> Vec<ListEffect> {
        let from = ListSource::Peer(from);
        let mut effects = Vec::new();
        if self.is_wanted(&version) {
            self.hear(now, from, version);
        } else if self.contradicts(version) {
            effects.extend(self.ignore(from, version));
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Takes the failure of a fetch.
    pub fn on_fetch_failed(&mut self, now: ClockTime, from: ListSource) -> Vec<ListEffect> {
        self.sources.fail_fetch(now, from, self.options.retry_wait);
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Gives up fetches that are overdue, and starts those that are due.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<ListEffect> {
        for source in self.sources.overdue(now) {
            self.sources.fail_fetch(now, source, self.options.retry_wait);
        }
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// The manifest of the accepted list.
    pub fn manifest(&self) -> Option<Manifest> {
        self.accepted.as_ref().map(|held| held.manifest.clone())
    }

    /// The parts held among `digests`, bounded in size; the asker asks again for the rest.
    pub fn parts(&self, digests: &[u64]) -> Vec<ListPart> {
        self.parts.read(digests, self.options.reply_bytes)
    }

    /// The list in force.
    pub fn current_list(&self) -> Option<Arc<RuleList>> {
        self.accepted.as_ref().map(|held| held.list.clone())
    }

    /// Version of the list in force; revision 0 without one.
    pub fn version(&self) -> ListVersion {
        self.accepted.as_ref().map(|held| held.list.version).unwrap_or_default()
    }

    /// The newest version heard of that wasn't refused, fetched or not.
    pub fn newest_known_version(&self) -> ListVersion {
        self.newest_known_version.max(self.version())
    }

    /// True when a list is in force and no newer one was heard of.
    pub fn is_up_to_date(&self) -> bool {
        self.accepted.is_some() && self.newest_known_version() == self.version()
    }

    /// Bytes of the parts held.
    pub fn part_bytes(&self) -> usize {
        self.parts.bytes()
    }

    fn is_wanted(&self, version: &ListVersion) -> bool {
        let is_newer = match self.options.stale_lists {
            StaleLists::Refuse => version.revision > self.version().revision,
            StaleLists::Accept => *version != self.version(),
        };
        is_newer && !self.refused.contains(version)
    }

    /// True for another list under the revision in force.
    fn contradicts(&self, version: ListVersion) -> bool {
        let held = self.version();
        held.revision > 0 && version.revision == held.revision && version != held
    }

    fn hear(&mut self, now: ClockTime, from: ListSource, version: ListVersion) {
        self.newest_known_version = self.newest_known_version.max(version);
        self.sources.note(now, from, version);
    }

    /// Records that a list was older than the one in force, or contradicts it.
    fn ignore(&mut self, from: ListSource, version: ListVersion) -> Option<ListEffect> {
        let told = Some((from, version));
        if version == self.version() || self.refused.contains(&version) || self.ignored == told {
            return None;
        }
        self.ignored = told;
        let cause = if self.contradicts(version) {
            "contradicts the list in force under its revision"
        } else {
            "older than the list in force"
        };
        Some(audit(AuditKind::ListIgnored, self.version(), version, cause, from))
    }

    /// Makes a manifest the pending one, unless that one is newer already.
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
        if manifest.parts.len() > self.options.list_parts {
            self.refuse(from, version, "more parts than allowed", effects);
            return;
        }
        let missing_first = self.parts.missing(&manifest).len();
        self.pending = Some(PendingList { manifest, version, source: from, missing_first });
        self.drop_unnamed_parts();
    }

    /// Does what can be done now: accepts a whole list, or fetches what lacks.
    fn advance(&mut self, now: ClockTime, effects: &mut Vec<ListEffect>) {
        self.judge_pending(effects);
        let wait = self.options.fetch_wait;

        let newest = self.sources.newest_ready(now, |version| self.is_wanted(version));
        self.drop_stalled(now, newest);

        // A manifest newer than the pending one is fetched before more parts are:
        // the parts may not be needed any more.
        let pending = self.pending.as_ref().map(|pending| pending.version);
        if let Some(newest) = newest.filter(|newest| pending.is_none_or(|held| held < *newest)) {
            if !self.sources.is_fetching(newest)
                && let Some(from) = self.sources.start_fetch(now, newest, wait)
            {
                effects.push(ListEffect::FetchManifest { from });
            }
            return;
        }
        let Some(pending) = pending else { return };
        if self.sources.is_fetching(pending) {
            return;
        }
        if let Some(from) = self.sources.start_fetch(now, pending, wait) {
            effects.push(ListEffect::FetchParts { from, digests: self.missing() });
        }
    }

    /// Drops a pending list that no source can complete now, if another can be had.
    ///
    /// Otherwise a list whose parts were lost at its only source would keep the
    /// next older one, which others hold whole, from coming into force.
    fn drop_stalled(&mut self, now: ClockTime, other: Option<ListVersion>) {
        let Some(pending) = &self.pending else { return };
        if other.is_some() && !self.sources.is_ready(now, pending.version) {
            self.pending = None;
            self.drop_unnamed_parts();
        }
    }

    /// Accepts or refuses the pending list once all its parts are held.
    fn judge_pending(&mut self, effects: &mut Vec<ListEffect>) {
        let Some(pending) = &self.pending else { return };
        let too_large = self.parts.held_bytes(&pending.manifest) > self.options.list_bytes;
        if !too_large && !self.parts.missing(&pending.manifest).is_empty() {
            return;
        }
        let Some(pending) = self.pending.take() else { return };
        if too_large {
            self.refuse(pending.source, pending.version, "larger than allowed", effects);
            return;
        }
        let built = self
            .parts
            .texts(&pending.manifest)
            .and_then(|texts| self.options.builder.build(pending.version.revision, &texts));
        match built {
            Ok(list) => self.accept(pending, list, effects),
            Err(findings) => {
                let cause = finding_text(&findings);
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
            pending.missing_first,
            change_text(self.current_list().as_deref(), &list)
        );
        let change =
            audit(AuditKind::ListAccepted, self.version(), version, &cause, pending.source);
        self.accepted = Some(HeldList { manifest: pending.manifest, list: list.clone() });
        self.drop_unnamed_parts();
        self.sources.retain(|held| held.revision > version.revision);
        effects.push(ListEffect::Accepted(list));
        effects.push(change);
    }

    /// Remembers a list as wrong; the one in force stays.
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
        self.drop_unnamed_parts();
        self.sources.retain(|held| *held != version);
        if self.newest_known_version == version {
            self.newest_known_version = self.sources.newest().unwrap_or_default();
        }
        effects.push(audit(AuditKind::ListRefused, self.version(), version, cause, from));
    }

    fn prepare(&mut self, digest: u64) {
        if let Some(text) = self.parts.text(digest) {
            self.options.builder.prepare(text);
        }
    }

    fn drop_unnamed_parts(&mut self) {
        let accepted = self.accepted.as_ref().map(|held| &held.manifest);
        let pending = self.pending.as_ref().map(|pending| &pending.manifest);
        self.parts.retain(accepted, pending);
        let parts = &self.parts;
        self.options.builder.retain(&|digest| parts.holds(digest));
    }

    /// Digests that the pending list lacks.
    fn missing(&self) -> Vec<u64> {
        let pending = self.pending.as_ref();
        pending.map(|pending| self.parts.missing(&pending.manifest)).unwrap_or_default()
    }
}

fn version_of(manifest: &Manifest) -> ListVersion {
    let parts = manifest.parts.iter().map(|part| (part.name.as_str(), part.digest));
    list_version(manifest.revision, parts)
}
