//! Sites whose callers and backend servers are modelled.

/// `CentrePlan` is one data centre.
#[derive(Clone, Copy, Debug)]
pub struct CentrePlan {
    /// Its name.
    pub name: &'static str,
    /// Instances there.
    pub instances: usize,
    /// Backend servers there.
    pub servers: usize,
    /// Callers there that keep a flow open, at the site's own load.
    pub users: usize,
}

/// `BidHabit` is how callers use flows for requests that run once at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BidHabit {
    /// A flow of its own for each.
    Fresh,
    /// One flow for all of a caller's, at rest between them.
    Kept,
}

/// `SitePlan` is a site: data centres, load and habits of callers.
#[derive(Debug, PartialEq)]
pub struct SitePlan {
    /// Its name on the command line and in reports.
    pub name: &'static str,
    /// Its data centres.
    pub centres: &'static [CentrePlan],
    /// Its own load, relative to what its slots can carry.
    pub level: f64,
    /// How callers use flows for bids.
    pub bids: BidHabit,
}

impl PartialEq for CentrePlan {
    fn eq(&self, other: &CentrePlan) -> bool {
        self.name == other.name
    }
}

/// Price feeds on kept flows, a flow for each bid.
pub static AUCTION: SitePlan = SitePlan {
    name: "auction",
    centres: &[
        CentrePlan { name: "toledo", instances: 2, servers: 4, users: 72 },
        CentrePlan { name: "erie", instances: 2, servers: 4, users: 78 },
        CentrePlan { name: "duluth", instances: 2, servers: 3, users: 72 },
        CentrePlan { name: "kenosha", instances: 1, servers: 3, users: 72 },
    ],
    level: 0.22,
    bids: BidHabit::Fresh,
};

/// Feeds and submissions, both on kept flows.
pub static KEPT: SitePlan = SitePlan {
    name: "kept",
    centres: &[
        CentrePlan { name: "a", instances: 2, servers: 5, users: 114 },
        CentrePlan { name: "b", instances: 2, servers: 5, users: 84 },
        CentrePlan { name: "c", instances: 2, servers: 4, users: 96 },
    ],
    level: 0.22,
    bids: BidHabit::Kept,
};

/// The same on 64 instances before 120 backend servers.
pub static KEPT_LARGE: SitePlan = SitePlan {
    name: "kept-large",
    centres: &[
        CentrePlan { name: "a", instances: 22, servers: 40, users: 500 },
        CentrePlan { name: "b", instances: 21, servers: 40, users: 400 },
        CentrePlan { name: "c", instances: 21, servers: 40, users: 400 },
    ],
    level: 0.11,
    bids: BidHabit::Kept,
};

/// Every site.
pub static SITES: [&SitePlan; 3] = [&AUCTION, &KEPT, &KEPT_LARGE];

impl SitePlan {
    /// The site of that name.
    pub fn by_name(name: &str) -> Option<&'static SitePlan> {
        SITES.into_iter().find(|site| site.name == name)
    }

    /// Its backend servers.
    pub fn servers(&self) -> usize {
        self.centres.iter().map(|centre| centre.servers).sum()
    }

    /// Its instances.
    pub fn instances(&self) -> usize {
        self.centres.iter().map(|centre| centre.instances).sum()
    }
}
