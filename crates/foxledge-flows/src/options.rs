//! Options of a router.

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

/// Options with which a router is created.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    pub(crate) data_centre: CentreName,
    pub(crate) regions: HashMap<CentreName, RegionName>,
    pub(crate) cold: ColdRules,
    pub(crate) address: SocketAddrV4,
    pub(crate) max_list_age_ms: u64,
    pub(crate) seed: u64,
    pub(crate) disabled: MechanismSet,
    pub(crate) overflow: bool,
    pub(crate) admission: Option<AdmissionOptions>,
}

impl RouterOptions {
    /// Creates the options of an instance in `data_centre`.
    pub fn new(data_centre: CentreName) -> RouterOptions {
        RouterOptions {
            data_centre,
            regions: HashMap::new(),
            cold: ColdRules::default(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            max_list_age_ms: 2_000,
            seed: 0,
            disabled: MechanismSet::default(),
            overflow: false,
            admission: None,
        }
    }

    /// Sets the address at which the instance receives messages, which identifies it to others.
    pub fn address(mut self, address: SocketAddrV4) -> RouterOptions {
        self.address = address;
        self
    }

    /// Sets the region of each data centre.
    pub fn regions(mut self, regions: HashMap<CentreName, RegionName>) -> RouterOptions {
        self.regions = regions;
        self
    }

    /// Sets by how much the limits of cold backend servers may be exceeded.
    pub fn cold_rules(mut self, rules: ColdRules) -> RouterOptions {
        self.cold = rules;
        self
    }

    /// Sets the maximum age of the store's confirmation of the list, in milliseconds, at which a
    /// flow may be refused. When it is older, the packet is dropped without a response, and a
    /// retransmission may be served.
    pub fn max_list_age_ms(mut self, fresh_ms: u64) -> RouterOptions {
        self.max_list_age_ms = fresh_ms;
        self
    }

    /// Disables a mechanism, to measure its effect.
    pub fn without(mut self, mechanism: RouterMechanism) -> RouterOptions {
        self.disabled.insert(mechanism);
        self
    }

    /// Sets whether new flows go to other data centres when the local one is full and the load of
    /// all is known.
    pub fn overflow(mut self, overflow: bool) -> RouterOptions {
        self.overflow = overflow;
        self
    }

    /// Sets whether, and how, new flows are refused while a service is known to be short of slots.
    pub fn admission(mut self, admission: Option<AdmissionOptions>) -> RouterOptions {
        self.admission = admission;
        self
    }

    /// Sets the seed, which must differ between instances.
    pub fn seed(mut self, seed: u64) -> RouterOptions {
        self.seed = seed;
        self
    }
}
