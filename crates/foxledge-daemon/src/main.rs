//! `foxledged`.
fn main() {}
