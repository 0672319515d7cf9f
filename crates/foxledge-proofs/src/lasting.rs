//! Helpers for proofs about feeds, rule lists and planned stops.
