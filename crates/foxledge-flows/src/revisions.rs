//! Revisions that never decrease, although the store's own numbers may.
//!
//! A store that is restored from an older backup reuses numbers that it had assigned to other
//! changes, and signals this by a higher epoch. A revision contains both, the epoch first. Every
//! comparison of revisions, in lists, messages, rows and cursors, therefore treats the content of
//! the restored store as newer than everything before.

use serde::Serializer;

/// The number of bits of a revision that hold the store's own number.
const NUMBER_BITS: u32 = 40;
/// The maximum number of a change within an epoch.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The maximum epoch of a store's history.
pub const MAX_EPOCH: u64 = u64::MAX >> NUMBER_BITS;

/// Returns the revision of the change with a number in an epoch, both capped at their maximum.
pub fn revision_of(epoch: u64, number: u64) -> u64 {
    epoch.min(MAX_EPOCH) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// Returns the epoch of a revision.
pub fn epoch_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the store's own number of a revision.
pub fn number_of(revision: u64) -> u64 {
    revision & MAX_NUMBER
}

/// Serializes a revision as the store's own number, as operators see it in the store.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize_number<S: Serializer>(revision: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(number_of(*revision))
}
