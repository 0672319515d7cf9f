//! The queue of changed records that still have to be disseminated.

use std::{cmp::Reverse, collections::BTreeMap};

use foxledge_core::names::InstanceName;
use rand::{Rng, rngs::StdRng};

/// The number of sends of one update for each doubling of the data centre's size.
///
/// SWIM's bound of lambda * log(n) sends, with its lambda of 3.
const SENDS_PER_DOUBLING: u32 = 3;

/// The number of sends of each update that are skipped each time enough other instances in a row
/// have had a table equal to the local one.
const SENDS_SKIPPED_PER_MATCH: u32 = 4;

/// The names whose records have changed recently, with the number of times each is still to be
/// sent. The record itself is looked up when it is sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining_sends: BTreeMap<InstanceName, u32>,
}

impl UpdateQueue {
    /// Queues an update in a data centre of `size` instances.
    pub(crate) fn enqueue(&mut self, name: InstanceName, size: usize) {
        let doublings = usize::BITS - size.leading_zeros();
        self.remaining_sends.insert(name, SENDS_PER_DOUBLING * doublings.max(1));
    }

    /// Selects at most `limit` names to send now, those with the most remaining sends first.
    ///
    /// Ties are broken at random. If they were broken by name, all instances would send the same
    /// names first, and the last names of a large change would arrive late.
    pub(crate) fn select_batch(&mut self, limit: usize, rng: &mut StdRng) -> Vec<InstanceName> {
        let mut ranked: Vec<_> = self
            .remaining_sends
            .iter()
            .map(|(name, remaining)| (Reverse(*remaining), rng.random::<u32>(), name.clone()))
            .collect();
        if ranked.len() > limit {
            ranked.select_nth_unstable(limit);
            ranked.truncate(limit);
        }
        let names: Vec<_> = ranked.into_iter().map(|(_, _, name)| name).collect();
        for name in &names {
            self.record_send(name);
        }
        names
    }

    /// Records that the other instances have all of these updates already.
    ///
    /// Without this, a change that has reached all instances in one second is sent for another half
    /// minute in a large data centre. Stopping when others know an update is the feedback of rumour
    /// mongering (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC
    /// 1987).
    pub(crate) fn record_matching_table(&mut self) {
        self.remaining_sends.retain(|_, remaining| {
            *remaining = remaining.saturating_sub(SENDS_SKIPPED_PER_MATCH);
            *remaining > 0
        });
    }

    fn record_send(&mut self, name: &InstanceName) {
        let Some(remaining) = self.remaining_sends.get_mut(name) else { return };
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining_sends.remove(name);
        }
    }
}
