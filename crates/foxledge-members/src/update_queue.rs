//! Which records still have to be passed on.

use std::{cmp::Reverse, collections::BTreeMap};

use foxledge_core::names::InstanceName;
use rand::{Rng, rngs::StdRng};

/// Sends of one item for each doubling of the data centre's size.
///
/// SWIM's bound of lambda * log(n) sends, with its lambda of 3.
const SENDS_PER_DOUBLING: u32 = 3;

/// Sends that are spared by each instance that turns out to hold the same table.
const SENDS_PER_KNOWER: u32 = 4;

/// `NewsQueue` is the names whose records changed lately, with how often each
/// is still to be sent. The record itself is looked up when it is sent.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    sends_left: BTreeMap<InstanceName, u32>,
}

impl NewsQueue {
    /// Notes a change in a data centre of `size` instances.
    pub(crate) fn add(&mut self, name: InstanceName, size: usize) {
        let doublings = usize::BITS - size.leading_zeros();
        self.sends_left.insert(name, SENDS_PER_DOUBLING * doublings.max(1));
    }

    /// Takes at most `limit` names to send now, those sent the least first.
    ///
    /// Ties are drawn: were they taken by name, all instances would send the
    /// same names first, and the last names of a large change would come late.
    pub(crate) fn take(&mut self, limit: usize, rng: &mut StdRng) -> Vec<InstanceName> {
        let mut ranked: Vec<_> = self
            .sends_left
            .iter()
            .map(|(name, left)| (Reverse(*left), rng.random::<u32>(), name.clone()))
            .collect();
        if ranked.len() > limit {
            ranked.select_nth_unstable(limit);
            ranked.truncate(limit);
        }
        let names: Vec<_> = ranked.into_iter().map(|(_, _, name)| name).collect();
        for name in &names {
            self.count_send(name);
        }
        names
    }

    /// Notes that another instance holds all of it already.
    ///
    /// Without this a change that reached everybody in a second is sent on for
    /// half a minute in a large data centre. Stopping when others know is the
    /// feedback of rumour mongering (Demers et al., "Epidemic algorithms for
    /// replicated database maintenance", PODC 1987).
    pub(crate) fn count_known(&mut self) {
        self.sends_left.retain(|_, left| {
            *left = left.saturating_sub(SENDS_PER_KNOWER);
            *left > 0
        });
    }

    fn count_send(&mut self, name: &InstanceName) {
        let Some(left) = self.sends_left.get_mut(name) else { return };
        *left -= 1;
        if *left == 0 {
            self.sends_left.remove(name);
        }
    }
}
