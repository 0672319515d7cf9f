//! The texts of list parts, keyed by digest.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use foxledge_core::{findings::FindingList, hash::digest_of};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest};

/// The parts of the accepted and of the pending list.
#[derive(Clone, Debug, Default)]
pub(super) struct PartTable {
    texts: HashMap<u64, Arc<[u8]>>,
}

impl PartTable {
    /// Inserts a part. Returns false if its text does not match its digest.
    ///
    /// A part that was truncated or mixed up in transit would give this instance a different list
    /// under the same version; the digest detects this.
    pub(super) fn insert(&mut self, part: ListPart) -> bool {
        if digest_of(&part.text) != part.digest {
            return false;
        }
        self.texts.insert(part.digest, part.text.into());
        true
    }

    /// Returns the digests of the manifest's parts that are not stored, without duplicates.
    pub(super) fn missing(&self, manifest: &Manifest) -> Vec<u64> {
        let digests: BTreeSet<u64> = manifest.parts.iter().map(|part| part.digest).collect();
        digests.into_iter().filter(|digest| !self.texts.contains_key(digest)).collect()
    }

    /// Returns the stored parts among `digests`, up to `limit` bytes but at least one part.
    pub(super) fn read_bounded(&self, digests: &[u64], limit: usize) -> Vec<ListPart> {
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

    /// Returns the manifest's parts in order.
    ///
    /// # Errors
    ///
    /// Returns a finding for each part that is not valid UTF-8.
    pub(super) fn part_texts<'a>(
        &'a self,
        manifest: &'a Manifest,
    ) -> Result<Vec<PartText<'a>>, FindingList> {
        let mut findings = FindingList::new();
        let mut texts = Vec::new();
        for part in &manifest.parts {
            let bytes = self.texts.get(&part.digest).map_or(&[][..], AsRef::as_ref);
            match str::from_utf8(bytes) {
                Ok(text) => texts.push(PartText { name: &part.name, text }),
                Err(_) => findings.add(&part.name, 0, "", "is not valid UTF-8"),
            }
        }
        if findings.is_empty() { Ok(texts) } else { Err(findings) }
    }

    /// Returns the size of the manifest's stored parts, in bytes.
    pub(super) fn manifest_bytes(&self, manifest: &Manifest) -> usize {
        let part_length = |part: &foxledge_wire::control::ManifestPart| {
            self.texts.get(&part.digest).map_or(0, |text| text.len())
        };
        manifest.parts.iter().map(part_length).sum()
    }

    /// Drops the parts that neither list refers to.
    pub(super) fn retain(&mut self, accepted: Option<&Manifest>, pending: Option<&Manifest>) {
        let referenced: BTreeSet<u64> = [accepted, pending]
            .into_iter()
            .flatten()
            .flat_map(|manifest| manifest.parts.iter().map(|part| part.digest))
            .collect();
        self.texts.retain(|digest, _| referenced.contains(digest));
    }

    /// Returns the size of all stored parts, in bytes.
    pub(super) fn total_bytes(&self) -> usize {
        self.texts.values().map(|text| text.len()).sum()
    }

    /// Returns true if the part is stored.
    pub(super) fn contains(&self, digest: u64) -> bool {
        self.texts.contains_key(&digest)
    }

    /// Returns the text of a part, if it is stored and valid UTF-8.
    pub(super) fn part_text(&self, digest: u64) -> Option<&str> {
        str::from_utf8(self.texts.get(&digest)?).ok()
    }
}
