//! Options of a fleet member.

use std::net::SocketAddrV4;

use foxledge_core::names::CentreName;

/// `MemberOptions` holds the identity of an instance, its seeds and its timing.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    pub(crate) address: SocketAddrV4,
    pub(crate) data_centre: CentreName,
    pub(crate) incarnation: u64,
    pub(crate) link_mbps: u32,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) seed: u64,
    pub(crate) watch_ms: u64,
    pub(crate) takeover_ms: u64,
    pub(crate) reports_load: bool,
}

impl MemberOptions {
    /// Creates the options of an instance that receives messages at `address`.
    pub fn new(address: SocketAddrV4, data_centre: CentreName) -> MemberOptions {
        MemberOptions {
            address,
            data_centre,
            incarnation: 0,
            link_mbps: 0,
            seeds: Vec::new(),
            seed: 0,
            watch_ms: 1_000,
            takeover_ms: 1_700,
            reports_load: false,
        }
    }

    /// Sets the incarnation of the process. It must differ after each start.
    pub fn incarnation(mut self, incarnation: u64) -> MemberOptions {
        self.incarnation = incarnation;
        self
    }

    /// Sets the bandwidth of the instance's link in Mbit/s. Instances with wide links are preferred
    /// as readers of the store.
    pub fn link_mbps(mut self, link_mbps: u32) -> MemberOptions {
        self.link_mbps = link_mbps;
        self
    }

    /// Sets the seeds: the instances that are queried while no list or no peer is known.
    pub fn seeds(mut self, seeds: Vec<SocketAddrV4>) -> MemberOptions {
        self.seeds = seeds;
        self
    }

    /// Sets the seed of random choices.
    pub fn seed(mut self, seed: u64) -> MemberOptions {
        self.seed = seed;
        self
    }

    /// Sets how long one watch of the store waits, in milliseconds.
    pub fn watch_ms(mut self, watch_ms: u64) -> MemberOptions {
        self.watch_ms = watch_ms;
        self
    }

    /// Sets the age of the last confirmation by the store at which the best ranked instance starts
    /// to read, in milliseconds.
    pub fn takeover_ms(mut self, takeover_ms: u64) -> MemberOptions {
        self.takeover_ms = takeover_ms;
        self
    }

    /// Sets whether load is reported to other instances and received from them. Off by default.
    pub fn report_load(mut self, reports_load: bool) -> MemberOptions {
        self.reports_load = reports_load;
        self
    }
}
