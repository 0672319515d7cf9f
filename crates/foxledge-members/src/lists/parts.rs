//! The texts of parts, by their digest.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use foxledge_core::{findings::FindingList, hash::digest_of};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest};

/// `PartTable` is the parts of the accepted and of the pending list.
#[derive(Clone, Debug, Default)]
pub(super) struct PartTable {
    texts: HashMap<u64, Arc<[u8]>>,
}

impl PartTable {
    /// Takes a part if its text has the digest that names it.
    ///
    /// A part that was cut off or mixed up on its way would give this instance
    /// another list under the same version; the digest shows it.
    pub(super) fn insert(&mut self, part: ListPart) -> bool {
        if digest_of(&part.text) != part.digest {
            return false;
        }
        self.texts.insert(part.digest, part.text.into());
        true
    }

    /// Digests of the manifest's parts that aren't held, each once.
    pub(super) fn missing(&self, manifest: &Manifest) -> Vec<u64> {
        let digests: BTreeSet<u64> = manifest.parts.iter().map(|part| part.digest).collect();
        digests.into_iter().filter(|digest| !self.texts.contains_key(digest)).collect()
    }

    /// The parts among `digests` that are held, until `limit` bytes are reached.
    pub(super) fn read(&self, digests: &[u64], limit: usize) -> Vec<ListPart> {
        let mut parts: Vec<ListPart> = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            let Some(text) = self.texts.get(digest) else { continue };
            bytes += text.len();
            if bytes > limit && !parts.is_empty() {
                break;
            }
            parts.push(ListPart { digest: *digest, text: text.to_vec() });
        }
        parts
    }

    /// The manifest's parts in order, or a finding for each that is no text.
    pub(super) fn texts<'a>(
        &'a self,
        manifest: &'a Manifest,
    ) -> Result<Vec<PartText<'a>>, FindingList> {
        let mut findings = FindingList::new();
        let mut texts = Vec::new();
        for part in &manifest.parts {
            let bytes = self.texts.get(&part.digest).map_or(&[][..], AsRef::as_ref);
            match str::from_utf8(bytes) {
                Ok(text) => texts.push(PartText { name: &part.name, text }),
                Err(_) => findings.add(&part.name, 0, "", "is no UTF-8 text"),
            }
        }
        if findings.is_empty() { Ok(texts) } else { Err(findings) }
    }

    /// Bytes of the manifest's parts that are held.
    pub(super) fn held_bytes(&self, manifest: &Manifest) -> usize {
        let length = |part: &foxledge_wire::control::ManifestPart| {
            self.texts.get(&part.digest).map_or(0, |text| text.len())
        };
        manifest.parts.iter().map(length).sum()
    }

    /// Drops what neither list names.
    pub(super) fn retain(&mut self, accepted: Option<&Manifest>, pending: Option<&Manifest>) {
        let named: BTreeSet<u64> = [accepted, pending]
            .into_iter()
            .flatten()
            .flat_map(|manifest| manifest.parts.iter().map(|part| part.digest))
            .collect();
        self.texts.retain(|digest, _| named.contains(digest));
    }

    /// Bytes held.
    pub(super) fn bytes(&self) -> usize {
        self.texts.values().map(|text| text.len()).sum()
    }

    /// True when the part is held.
    pub(super) fn holds(&self, digest: u64) -> bool {
        self.texts.contains_key(&digest)
    }

    /// The text of a part, if it is held and is one.
    pub(super) fn text(&self, digest: u64) -> Option<&str> {
        str::from_utf8(self.texts.get(&digest)?).ok()
    }
}
