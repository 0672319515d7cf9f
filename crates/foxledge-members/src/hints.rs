//! Addresses that may lead to an instance, tried at a bounded rate.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::time::ClockTime;

/// Most addresses held.
const MAX_HINTS: usize = 1024;
/// Longest wait between two tries of one address, in steps.
const MAX_STEPS: u32 = 5;

/// `AddressHint` is one address, with when to try it next.
#[derive(Clone, Debug)]
struct AddressHint {
    next_try: ClockTime,
    expire_deadline: ClockTime,
    tries: u32,
}

/// `HintTable` is addresses where an instance is said to be or once was.
///
/// Settings, the platform's listing and dead instances' records end here, and
/// nowhere else: whoever they name is asked, and counts once it answers. The
/// dead are asked too, as an instance across a network cut looks like a dead
/// one, and no other message would tell of the heal while the platform is down.
#[derive(Debug)]
pub(crate) struct HintTable {
    hints: BTreeMap<SocketAddr, AddressHint>,
    step: Duration,
}

impl HintTable {
    pub(crate) fn new(step: Duration) -> HintTable {
        HintTable { hints: BTreeMap::new(), step }
    }

    /// Notes an address until the deadline.
    pub(crate) fn add(&mut self, now: ClockTime, address: SocketAddr, expire_deadline: ClockTime) {
        if let Some(hint) = self.hints.get_mut(&address) {
            hint.expire_deadline = hint.expire_deadline.max(expire_deadline);
            return;
        }
        if self.hints.len() < MAX_HINTS {
            let hint = AddressHint { next_try: now, expire_deadline, tries: 0 };
            self.hints.insert(address, hint);
        }
    }

    /// Takes at most `limit` addresses to try now, the longest waiting first.
    pub(crate) fn take_due(
        &mut self,
        now: ClockTime,
        limit: usize,
        is_known: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        self.hints.retain(|_, hint| !hint.expire_deadline.is_past(now));
        let mut due: Vec<_> = self
            .hints
            .iter()
            .filter(|(address, hint)| hint.next_try.is_past(now) && !is_known(address))
            .map(|(address, hint)| (hint.next_try, *address))
            .collect();
        due.sort();
        due.truncate(limit);
        for (_, address) in &due {
            self.count_try(now, address);
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.hints.len()
    }

    fn count_try(&mut self, now: ClockTime, address: &SocketAddr) {
        let Some(hint) = self.hints.get_mut(address) else { return };
        hint.tries = (hint.tries + 1).min(MAX_STEPS);
        hint.next_try = now.after(self.step * hint.tries);
    }
}
