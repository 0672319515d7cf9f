//! `foxledgectl`.
fn main() {}
