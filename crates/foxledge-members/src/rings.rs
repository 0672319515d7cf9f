//! Hash rings that determine which instances observe each other.

use foxledge_core::{
    hash::{digest_of, rendezvous_weight},
    names::InstanceName,
};

/// The hash rings on which instances observe their successors.
///
/// On each ring the instances are ordered by a hash of the ring's key and their name. The
/// successors on a few rings form a random regular graph, which is an expander with high
/// probability: an update reaches all instances in a number of steps that grows with the logarithm
/// of their number, and no small cut splits the graph. From Rapid (Suresh et al., "Stable and
/// consistent membership at scale with Rapid", USENIX ATC 2018).
#[derive(Clone, Debug)]
pub(crate) struct HashRings {
    keys: Vec<String>,
}

impl HashRings {
    pub(crate) fn new(rings: usize) -> HashRings {
        HashRings { keys: (0..rings).map(|ring| format!("ring/{ring}")).collect() }
    }

    /// Returns the positions of an instance, one for each ring.
    pub(crate) fn positions(&self, name: &str) -> Vec<u64> {
        self.keys.iter().map(|key| rendezvous_weight(key, name)).collect()
    }
}

/// Returns the successors of the instance at the positions `own`, one for each ring, without
/// duplicates and ordered by name.
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

/// Returns a salt for random seeds that is stable for one instance and differs between instances.
pub(crate) fn name_salt(name: &str) -> u64 {
    digest_of(name.as_bytes())
}
