//! Revisioned values with their history.

use std::{collections::BTreeMap, sync::Arc};

use anyhow::{bail, ensure};
use foxledge_core::hash::digest_of;
use foxledge_wire::control::{Manifest, ManifestPart, MemberListing};
use prost::Message;

use super::orders::PartText;

/// Longest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;
/// Key of the list's manifest.
pub const MANIFEST_KEY: &str = "manifest";
/// Key of the membership listing.
pub const MEMBERS_KEY: &str = "members";

/// Key of the list part with this digest.
pub fn part_key(digest: u64) -> String {
    format!("part/{digest:016x}")
}

/// `StoredValue` is one value as written at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The revision that wrote it.
    pub revision: u64,
    /// The bytes.
    pub bytes: Arc<Vec<u8>>,
}

/// `ValueStore` is every value under one revision counter.
///
/// Invariant: the writes of a key stand in rising order of revision.
#[derive(Debug, Default)]
pub struct ValueStore {
    revision: u64,
    writes: BTreeMap<String, Vec<StoredValue>>,
}

impl ValueStore {
    /// Makes an empty store at revision 0.
    pub fn new() -> ValueStore {
        ValueStore::default()
    }

    /// Revision of the newest write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The value of `key` as it stood at revision `limit`.
    pub fn value_at(&self, key: &str, limit: u64) -> Option<&StoredValue> {
        self.writes.get(key)?.iter().rev().find(|value| value.revision <= limit)
    }

    /// Publishes a list: its parts and its manifest under one new revision, `at_least` or higher.
    pub fn publish_list(&mut self, parts: &[PartText], at_least: u64) -> anyhow::Result<u64> {
        for part in parts {
            let length = part.text.len();
            ensure!(length <= MAX_VALUE, "part {} has {length} bytes", part.name);
        }
        let revision = (self.revision + 1).max(at_least);
        let manifest = manifest_of(revision, parts).encode_to_vec();
        ensure!(manifest.len() <= MAX_VALUE, "the manifest has {} bytes", manifest.len());

        // Parts are immutable and named by their digest, so one that is there stays as it is.
        for part in parts {
            let key = part_key(digest_of(part.text.as_bytes()));
            if !self.writes.contains_key(&key) {
                self.write(key, revision, part.text.clone().into_bytes());
            }
        }
        self.write(MANIFEST_KEY.to_owned(), revision, manifest);
        Ok(revision)
    }

    /// Publishes the membership listing under a new revision.
    pub fn publish_members(&mut self, listing: &MemberListing) -> anyhow::Result<u64> {
        let bytes = listing.encode_to_vec();
        ensure!(bytes.len() <= MAX_VALUE, "the listing has {} bytes", bytes.len());
        let revision = self.revision + 1;
        self.write(MEMBERS_KEY.to_owned(), revision, bytes);
        Ok(revision)
    }

    /// Goes back to an older state, as after a restart from an old copy.
    ///
    /// The next write gets the revision after that state, so the same revision may name other
    /// contents than readers have seen.
    pub fn rewind(&mut self, revision: u64) -> anyhow::Result<()> {
        if revision > self.revision {
            bail!("revision {revision} lies ahead of {}", self.revision);
        }
        for values in self.writes.values_mut() {
            values.retain(|value| value.revision <= revision);
        }
        self.writes.retain(|_, values| !values.is_empty());
        self.revision = revision;
        Ok(())
    }

    fn write(&mut self, key: String, revision: u64, bytes: Vec<u8>) {
        self.revision = revision;
        let value = StoredValue { revision, bytes: Arc::new(bytes) };
        self.writes.entry(key).or_default().push(value);
    }
}

fn manifest_of(revision: u64, parts: &[PartText]) -> Manifest {
    let parts = parts
        .iter()
        .map(|part| ManifestPart {
            name: part.name.clone(),
            digest: digest_of(part.text.as_bytes()),
        })
        .collect();
    Manifest { revision, parts }
}
