//! Helpers for proofs about single requests and their answers.
