//! What a router starts with.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use foxledge_admission::AdmissionOptions;
use foxledge_core::names::{CentreName, RegionName};

use crate::{
    cold::ColdRules,
    mechanisms::{MechanismSet, RouterMechanism},
};

/// `RouterOptions` is what a router starts with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    pub(crate) data_centre: CentreName,
    pub(crate) regions: HashMap<CentreName, RegionName>,
    pub(crate) cold: ColdRules,
    pub(crate) address: SocketAddrV4,
    pub(crate) max_list_age_ms: u64,
    pub(crate) seed: u64,
    pub(crate) without: MechanismSet,
    pub(crate) overflow: bool,
    pub(crate) admission: Option<AdmissionOptions>,
}

impl RouterOptions {
    /// Options of an instance in `data_centre`.
    pub fn new(data_centre: CentreName) -> RouterOptions {
        RouterOptions {
            data_centre,
            regions: HashMap::new(),
            cold: ColdRules::default(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            max_list_age_ms: 2_000,
            seed: 0,
            without: MechanismSet::default(),
            overflow: false,
            admission: None,
        }
    }

    /// Sets where the instance takes messages, by which others know it.
    pub fn address(mut self, address: SocketAddrV4) -> RouterOptions {
        self.address = address;
        self
    }

    /// Sets the region of each data centre.
    pub fn regions(mut self, regions: HashMap<CentreName, RegionName>) -> RouterOptions {
        self.regions = regions;
        self
    }

    /// Sets by how much a cold backend server's limit may be passed.
    pub fn cold_rules(mut self, rules: ColdRules) -> RouterOptions {
        self.cold = rules;
        self
    }

    /// Sets how old the store's confirmation of the list may be, in
    /// milliseconds, for a flow to be refused; when it is older, the
    /// caller gets no answer and a copy of its packet may be served.
    pub fn max_list_age_ms(mut self, fresh_ms: u64) -> RouterOptions {
        self.max_list_age_ms = fresh_ms;
        self
    }

    /// Leaves a mechanism out, so that what it is worth can be measured.
    pub fn without(mut self, mechanism: RouterMechanism) -> RouterOptions {
        self.without.add(mechanism);
        self
    }

    /// Sets whether new flows go to other data centres when the own one is full and the load of
    /// all is known.
    pub fn overflow(mut self, overflow: bool) -> RouterOptions {
        self.overflow = overflow;
        self
    }

    /// Sets whether new flows are refused while a service is known to be short of slots, and how.
    pub fn admission(mut self, admission: Option<AdmissionOptions>) -> RouterOptions {
        self.admission = admission;
        self
    }

    /// Sets what tells this instance from others.
    pub fn seed(mut self, seed: u64) -> RouterOptions {
        self.seed = seed;
        self
    }
}
