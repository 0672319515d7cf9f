//! Addresses given out differ until something binds them.

use std::collections::HashSet;

use foxledge_fakes::harness::free_address;

#[test]
fn all_differ() {
    // Symptom: a large routed fleet doesn't start, as the address of a link is in use.
    // Sequence: thousands of addresses are asked for before any is bound.
    // Cause: an IP number comes round again, and the system gives its port a second time.
    let given: Vec<_> = (0..20_000).map(|_| free_address().expect("an address")).collect();
    let different: HashSet<_> = given.iter().collect();
    assert_eq!(different.len(), given.len());
}
