//! The measuring tool.
fn main() {}
