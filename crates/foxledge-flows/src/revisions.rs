//! Revisions that never go back, though the store's own numbers may.
//!
//! A store that comes back from an older copy of itself gives numbers out again that it had
//! given to other changes, and tells so by an epoch that rises. A revision here holds both, the
//! epoch first: whatever compares revisions, be it a list, a message, a row or a cursor, takes
//! what the restored store holds for newer than all that came before.

use serde::Serializer;

/// Bits of a revision that hold the store's own number.
const NUMBER_BITS: u32 = 40;
/// Largest number of a change within an epoch.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest epoch of a store's history.
pub const MAX_EPOCH: u64 = u64::MAX >> NUMBER_BITS;

/// The revision of a change by its number in an epoch; larger ones count as the largest.
pub fn revision_of(epoch: u64, number: u64) -> u64 {
    epoch.min(MAX_EPOCH) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// The epoch of a revision.
pub fn epoch_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The store's own number of a revision.
pub fn number_of(revision: u64) -> u64 {
    revision & MAX_NUMBER
}

/// Writes a revision as people find it in the store.
///
/// # Errors
///
/// When the serializer fails.
pub fn serialize_number<S: Serializer>(revision: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(number_of(*revision))
}
