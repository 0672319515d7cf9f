//! Options of membership.

use std::{net::SocketAddr, time::Duration};

use crate::StaleLists;

/// Options of [`Membership`](crate::Membership). Each has a default.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) suspect_after: Duration,
    pub(crate) dead_after: Duration,
    pub(crate) rings: usize,
    pub(crate) update_limit: usize,
    pub(crate) page_record_limit: usize,
    pub(crate) readers_per_centre: usize,
    pub(crate) representatives_per_centre: usize,
    pub(crate) contacts_per_centre: usize,
    pub(crate) summary_interval: Duration,
    pub(crate) summary_timeout: Duration,
    pub(crate) retry_interval: Duration,
    pub(crate) tombstone_ttl: Duration,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) stale_lists: StaleLists,
}

impl Default for MemberOptions {
    fn default() -> MemberOptions {
        MemberOptions {
            heartbeat_interval: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1500),
            dead_after: Duration::from_millis(3000),
            rings: 4,
            update_limit: 12,
            page_record_limit: 48,
            readers_per_centre: 2,
            representatives_per_centre: 2,
            contacts_per_centre: 2,
            summary_interval: Duration::from_secs(1),
            summary_timeout: Duration::from_secs(6),
            retry_interval: Duration::from_millis(1000),
            tombstone_ttl: Duration::from_secs(600),
            seeds: Vec::new(),
            stale_lists: StaleLists::Refuse,
        }
    }
}

impl MemberOptions {
    /// Sets the time between two rounds of heartbeats.
    pub fn heartbeat_interval(mut self, interval: Duration) -> MemberOptions {
        self.heartbeat_interval = interval.max(Duration::from_millis(1));
        self
    }

    /// Sets the time without an answer after which an instance is suspected.
    pub fn suspect_after(mut self, timeout: Duration) -> MemberOptions {
        self.suspect_after = timeout;
        self
    }

    /// Sets the time without an answer after which an instance is considered dead.
    pub fn dead_after(mut self, timeout: Duration) -> MemberOptions {
        self.dead_after = timeout;
        self
    }

    /// Sets the number of hash rings. An instance observes its successor on each ring.
    pub fn rings(mut self, rings: usize) -> MemberOptions {
        self.rings = rings.max(1);
        self
    }

    /// Sets the maximum number of update records in one heartbeat or reply.
    pub fn update_limit(mut self, limit: usize) -> MemberOptions {
        self.update_limit = limit.max(1);
        self
    }

    /// Sets the maximum number of records in the reply to one anti-entropy page.
    pub fn page_record_limit(mut self, limit: usize) -> MemberOptions {
        self.page_record_limit = limit.max(1);
        self
    }

    /// Sets how many instances read the platform on behalf of their data centre.
    pub fn readers_per_centre(mut self, readers: usize) -> MemberOptions {
        self.readers_per_centre = readers.max(1);
        self
    }

    /// Sets how many instances of a data centre send heartbeats to one other data centre.
    pub fn representatives_per_centre(mut self, representatives: usize) -> MemberOptions {
        self.representatives_per_centre = representatives.max(1);
        self
    }

    /// Sets the number of instances named in a data centre's summary.
    pub fn contacts_per_centre(mut self, contacts: usize) -> MemberOptions {
        self.contacts_per_centre = contacts.max(1);
        self
    }

    /// Sets the time between two heartbeats to another data centre.
    pub fn summary_interval(mut self, interval: Duration) -> MemberOptions {
        self.summary_interval = interval;
        self
    }

    /// Sets the time without a new summary after which a data centre is considered unreachable.
    pub fn summary_timeout(mut self, timeout: Duration) -> MemberOptions {
        self.summary_timeout = timeout;
        self
    }

    /// Sets the time between two attempts to reach an instance that is dead or has not answered
    /// yet.
    pub fn retry_interval(mut self, interval: Duration) -> MemberOptions {
        self.retry_interval = interval;
        self
    }

    /// Sets the time for which the record of a dead instance is kept.
    pub fn tombstone_ttl(mut self, timeout: Duration) -> MemberOptions {
        self.tombstone_ttl = timeout;
        self
    }

    /// Sets whether list versions of peers that are older than the local one are reported.
    pub fn stale_lists(mut self, stale_lists: StaleLists) -> MemberOptions {
        self.stale_lists = stale_lists;
        self
    }

    /// Sets the control addresses to contact first.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> MemberOptions {
        self.seeds = seeds;
        self
    }
}
