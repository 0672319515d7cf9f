//! Who observes whom.

use foxledge_core::{
    hash::{digest_of, rendezvous_weight},
    names::InstanceName,
};

/// `HashRings` is the orders in which instances observe their successors.
///
/// On each ring all instances stand in the order of a hash of ring and name.
/// The successors on a few rings make a random regular graph, which is an
/// expander with high probability: news crosses it in a number of steps that
/// grows with the logarithm of its size, and no small cut splits it. From
/// Rapid (Suresh et al., "Stable and consistent membership at scale with
/// Rapid", USENIX ATC 2018).
#[derive(Clone, Debug)]
pub(crate) struct HashRings {
    keys: Vec<String>,
}

impl HashRings {
    pub(crate) fn new(rings: usize) -> HashRings {
        HashRings { keys: (0..rings).map(|ring| format!("ring/{ring}")).collect() }
    }

    /// Places of an instance, one a ring.
    pub(crate) fn positions(&self, name: &str) -> Vec<u64> {
        self.keys.iter().map(|key| rendezvous_weight(key, name)).collect()
    }
}

/// The successors of the instance at `own`, one a ring, each named once.
pub(crate) fn successors<'a>(
    own: &[u64],
    others: impl Iterator<Item = (&'a InstanceName, &'a [u64])>,
) -> Vec<InstanceName> {
    let mut nearest: Vec<Option<(u64, &InstanceName)>> = vec![None; own.len()];
    for (name, positions) in others {
        for (slot, (own, position)) in nearest.iter_mut().zip(own.iter().zip(positions)) {
            let distance = position.wrapping_sub(*own);
            if slot.is_none_or(|found| (distance, name) < found) {
                *slot = Some((distance, name));
            }
        }
    }
    let mut names: Vec<_> = nearest.into_iter().flatten().map(|(_, name)| name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

/// Salt for draws that must differ between instances and be equal for one.
pub(crate) fn name_salt(name: &str) -> u64 {
    digest_of(name.as_bytes())
}
