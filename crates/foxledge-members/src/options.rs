//! Settings of membership.

use std::{net::SocketAddr, time::Duration};

use crate::StaleLists;

/// `MemberOptions` is how membership is kept; each setting has a default.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) suspect_after: Duration,
    pub(crate) dead_after: Duration,
    pub(crate) rings: usize,
    pub(crate) news_limit: usize,
    pub(crate) page_limit: usize,
    pub(crate) readers_per_centre: usize,
    pub(crate) talkers_per_centre: usize,
    pub(crate) contacts_per_centre: usize,
    pub(crate) summary_every: Duration,
    pub(crate) summary_deadline: Duration,
    pub(crate) retry_every: Duration,
    pub(crate) tombstone: Duration,
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
            news_limit: 12,
            page_limit: 48,
            readers_per_centre: 2,
            talkers_per_centre: 2,
            contacts_per_centre: 2,
            summary_every: Duration::from_secs(1),
            summary_deadline: Duration::from_secs(6),
            retry_every: Duration::from_millis(1000),
            tombstone: Duration::from_secs(600),
            seeds: Vec::new(),
            stale_lists: StaleLists::Refuse,
        }
    }
}

impl MemberOptions {
    /// Time between two rounds of beats.
    pub fn heartbeat_interval(mut self, every: Duration) -> MemberOptions {
        self.heartbeat_interval = every.max(Duration::from_millis(1));
        self
    }

    /// Time without an answer after which an instance is suspected.
    pub fn suspect_after(mut self, span: Duration) -> MemberOptions {
        self.suspect_after = span;
        self
    }

    /// Time without an answer after which an instance counts as dead.
    pub fn dead_after(mut self, span: Duration) -> MemberOptions {
        self.dead_after = span;
        self
    }

    /// Hash rings, on each of which an instance observes its successor.
    pub fn rings(mut self, rings: usize) -> MemberOptions {
        self.rings = rings.max(1);
        self
    }

    /// Most records of news in one beat or reply.
    pub fn news_limit(mut self, limit: usize) -> MemberOptions {
        self.news_limit = limit.max(1);
        self
    }

    /// Most records in one page of a whole exchange.
    pub fn page_limit(mut self, limit: usize) -> MemberOptions {
        self.page_limit = limit.max(1);
        self
    }

    /// Instances of a data centre that read the platform for all of it.
    pub fn readers_per_centre(mut self, readers: usize) -> MemberOptions {
        self.readers_per_centre = readers.max(1);
        self
    }

    /// Instances of a data centre that talk to one other data centre.
    pub fn talkers_per_centre(mut self, talkers: usize) -> MemberOptions {
        self.talkers_per_centre = talkers.max(1);
        self
    }

    /// Instances named in a data centre's summary.
    pub fn contacts_per_centre(mut self, contacts: usize) -> MemberOptions {
        self.contacts_per_centre = contacts.max(1);
        self
    }

    /// Time between two beats to another data centre.
    pub fn summary_every(mut self, every: Duration) -> MemberOptions {
        self.summary_every = every;
        self
    }

    /// Time after which a data centre without a new summary counts as out of reach.
    pub fn summary_deadline(mut self, span: Duration) -> MemberOptions {
        self.summary_deadline = span;
        self
    }

    /// Time between two tries to reach somebody who is dead or only heard of.
    pub fn retry_every(mut self, every: Duration) -> MemberOptions {
        self.retry_every = every;
        self
    }

    /// Time for which a dead instance is remembered.
    pub fn tombstone(mut self, span: Duration) -> MemberOptions {
        self.tombstone = span;
        self
    }

    /// Whether a peer's list is reported that is older than the own.
    pub fn stale_lists(mut self, stale: StaleLists) -> MemberOptions {
        self.stale_lists = stale;
        self
    }

    /// Control addresses to try first.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> MemberOptions {
        self.seeds = seeds;
        self
    }
}
