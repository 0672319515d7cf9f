//! Addresses at which an instance may be found, contacted at a bounded rate.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::time::ClockTime;

/// The maximum number of addresses stored.
const MAX_HINTS: usize = 1024;
/// The maximum wait between two attempts at one address, in multiples of the retry interval.
const MAX_BACKOFF_STEPS: u32 = 5;

/// An address and the time of its next attempt.
#[derive(Clone, Debug)]
struct AddressHint {
    next_attempt_at: ClockTime,
    expire_deadline: ClockTime,
    attempts: u32,
}

/// Addresses at which an instance is said to be, or was before.
///
/// The addresses come from the settings, the platform's listing and the records of dead instances.
/// They are only contacted here: an instance counts as alive once it answers. Dead instances are
/// contacted too, because an instance behind a network partition looks like a dead one, and no
/// other message would reveal the heal while the platform is down.
#[derive(Debug)]
pub(crate) struct HintTable {
    hints: BTreeMap<SocketAddr, AddressHint>,
    retry_interval: Duration,
}

impl HintTable {
    pub(crate) fn new(retry_interval: Duration) -> HintTable {
        HintTable { hints: BTreeMap::new(), retry_interval }
    }

    /// Adds an address, or extends its deadline.
    pub(crate) fn add(&mut self, now: ClockTime, address: SocketAddr, expire_deadline: ClockTime) {
        if let Some(hint) = self.hints.get_mut(&address) {
            hint.expire_deadline = hint.expire_deadline.max(expire_deadline);
            return;
        }
        if self.hints.len() < MAX_HINTS {
            let hint = AddressHint { next_attempt_at: now, expire_deadline, attempts: 0 };
            self.hints.insert(address, hint);
        }
    }

    /// Returns at most `limit` addresses to contact now, those due the longest first, and schedules
    /// their next attempts.
    pub(crate) fn poll_due(
        &mut self,
        now: ClockTime,
        limit: usize,
        is_known: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        self.hints.retain(|_, hint| !hint.expire_deadline.is_past(now));
        let mut due: Vec<_> = self
            .hints
            .iter()
            .filter(|(address, hint)| hint.next_attempt_at.is_past(now) && !is_known(address))
            .map(|(address, hint)| (hint.next_attempt_at, *address))
            .collect();
        due.sort();
        due.truncate(limit);
        for (_, address) in &due {
            self.record_attempt(now, address);
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.hints.len()
    }

    fn record_attempt(&mut self, now: ClockTime, address: &SocketAddr) {
        let Some(hint) = self.hints.get_mut(address) else { return };
        hint.attempts = (hint.attempts + 1).min(MAX_BACKOFF_STEPS);
        hint.next_attempt_at = now.after(self.retry_interval * hint.attempts);
    }
}
