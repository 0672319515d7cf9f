//! The newest accepted list, and the fetching of newer ones.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    findings::FindingList,
    hash::digest_of,
    lists::{ListVersion, RuleList},
    time::ClockTime,
};
use foxledge_wire::control::{ListPart, Manifest};

use crate::{ListEffect, ListSource};

/// `ListBuilder` is what makes a list of its parts, or findings.
pub trait ListBuilder: Send {
    /// Builds the list of that revision; `parts` are names and texts in order.
    fn build(&self, revision: u64, parts: &[(String, String)]) -> Result<RuleList, FindingList>;
}

/// `RulesBuilder` is the builder that production uses: `foxledge_rules::build_list`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RulesBuilder;

impl ListBuilder for RulesBuilder {
    fn build(&self, _revision: u64, _parts: &[(String, String)]) -> Result<RuleList, FindingList> {
        let mut findings = FindingList::new();
        findings.add("rule list", 0, "", "the rules crate builds no lists yet");
        Err(findings)
    }
}

/// `ListOptions` is how lists are fetched; each setting has a default.
pub struct ListOptions {
    builder: Box<dyn ListBuilder>,
}

impl Default for ListOptions {
    fn default() -> ListOptions {
        ListOptions { builder: Box::new(RulesBuilder) }
    }
}

impl ListOptions {
    /// What makes a list of its parts.
    pub fn builder(mut self, builder: Box<dyn ListBuilder>) -> ListOptions {
        self.builder = builder;
        self
    }
}

/// `ListStore` is the newest accepted list with its parts.
pub struct ListStore {
    options: ListOptions,
    accepted: Option<(Manifest, Arc<RuleList>)>,
    pending: Option<(Manifest, ListSource)>,
    parts: HashMap<u64, Vec<u8>>,
    newest_heard: u64,
}

impl ListStore {
    /// Makes a store without a list.
    pub fn new(options: ListOptions) -> ListStore {
        ListStore { options, accepted: None, pending: None, parts: HashMap::new(), newest_heard: 0 }
    }

    /// Takes a manifest.
    pub fn on_manifest(
        &mut self,
        _now: ClockTime,
        from: ListSource,
        manifest: Manifest,
    ) -> Vec<ListEffect> {
        self.newest_heard = self.newest_heard.max(manifest.revision);
        if manifest.revision <= self.version().revision {
            return Vec::new();
        }
        self.pending = Some((manifest, from));
        self.advance()
    }

    /// Takes parts.
    pub fn on_parts(
        &mut self,
        _now: ClockTime,
        _from: ListSource,
        parts: Vec<ListPart>,
    ) -> Vec<ListEffect> {
        for part in parts {
            if digest_of(&part.text) == part.digest {
                self.parts.insert(part.digest, part.text);
            }
        }
        self.advance()
    }

    /// Takes the version that a peer holds.
    pub fn on_peer_version(
        &mut self,
        _now: ClockTime,
        from: SocketAddr,
        version: ListVersion,
    ) -> Vec<ListEffect> {
        self.newest_heard = self.newest_heard.max(version.revision);
        if version.revision <= self.version().revision || self.pending.is_some() {
            return Vec::new();
        }
        vec![ListEffect::FetchManifest { from: ListSource::Peer(from) }]
    }

    /// Takes the failure of a fetch.
    pub fn on_fetch_failed(&mut self, _now: ClockTime, _from: ListSource) -> Vec<ListEffect> {
        self.pending = None;
        Vec::new()
    }

    /// Does what is due.
    pub fn on_tick(&mut self, _now: ClockTime) -> Vec<ListEffect> {
        Vec::new()
    }

    /// The manifest of the accepted list.
    pub fn manifest(&self) -> Option<Manifest> {
        self.accepted.as_ref().map(|(manifest, _)| manifest.clone())
    }

    /// The parts held among `digests`, bounded in size; the asker asks again for the rest.
    pub fn parts(&self, digests: &[u64]) -> Vec<ListPart> {
        digests
            .iter()
            .filter_map(|digest| {
                let text = self.parts.get(digest)?.clone();
                Some(ListPart { digest: *digest, text })
            })
            .collect()
    }

    /// The list in force.
    pub fn current(&self) -> Option<Arc<RuleList>> {
        self.accepted.as_ref().map(|(_, list)| list.clone())
    }

    /// Version of the list in force; revision 0 without one.
    pub fn version(&self) -> ListVersion {
        self.accepted.as_ref().map(|(_, list)| list.version).unwrap_or_default()
    }

    /// The highest revision heard of so far, accepted or not.
    pub fn newest_heard(&self) -> u64 {
        self.newest_heard
    }

    fn advance(&mut self) -> Vec<ListEffect> {
        let Some((manifest, from)) = &self.pending else { return Vec::new() };
        let missing: HashSet<u64> = manifest
            .parts
            .iter()
            .map(|part| part.digest)
            .filter(|digest| !self.parts.contains_key(digest))
            .collect();
        if !missing.is_empty() {
            return vec![ListEffect::FetchParts {
                from: *from,
                digests: missing.into_iter().collect(),
            }];
        }
        let texts: Vec<_> = manifest
            .parts
            .iter()
            .map(|part| {
                let text = String::from_utf8_lossy(&self.parts[&part.digest]).into_owned();
                (part.name.clone(), text)
            })
            .collect();
        let built = self.options.builder.build(manifest.revision, &texts);
        let Some((manifest, _)) = self.pending.take() else { return Vec::new() };
        match built {
            Ok(list) => {
                let list = Arc::new(list);
                self.accepted = Some((manifest, list.clone()));
                vec![ListEffect::Accepted(list)]
            }
            Err(findings) => {
                let change = AuditChange::new(AuditKind::ListRefused, "rule list")
                    .because(findings.to_string(), "check");
                vec![ListEffect::Audit(change)]
            }
        }
    }
}
