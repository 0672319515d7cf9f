//! What a backend server is told at its start.

use foxledge_core::names::{CentreName, ServiceName, TargetName};

/// `BackendOptions` is what a backend server is and how fast it works.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Its name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Number of the process at its address; a restart has a higher one.
    pub incarnation: u64,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests and feeds that may be open at once.
    pub connections: u32,
    /// Mean service time of a bid, in milliseconds.
    pub work_ms: u64,
    /// How long the server is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Time between two items of a feed, in milliseconds; the same on all targets of a service.
    pub feed_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
    /// Microseconds since the Unix epoch at the clock's start, for what all targets count alike.
    pub origin_us: u64,
}

impl BackendOptions {
    /// Makes options with the defaults of the command line.
    pub fn new(name: &str, service: &str) -> BackendOptions {
        BackendOptions {
            name: TargetName::new(name),
            service: ServiceName::new(service),
            data_centre: CentreName::new(""),
            incarnation: 1,
            slots: 2,
            connections: 2000,
            work_ms: 20,
            cold_ms: 0,
            feed_ms: 200,
            seed: 1,
            origin_us: 0,
        }
    }

    /// Sets the data centre.
    pub fn data_centre(mut self, centre: &str) -> Self {
        self.data_centre = CentreName::new(centre);
        self
    }

    /// Sets the incarnation.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets how many requests run at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many requests and feeds may be open at once.
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the mean service time.
    pub fn work_ms(mut self, millis: u64) -> Self {
        self.work_ms = millis;
        self
    }

    /// Sets how long the server is slow after its start.
    pub fn cold_ms(mut self, millis: u64) -> Self {
        self.cold_ms = millis;
        self
    }

    /// Sets the time between two items of a feed.
    pub fn feed_ms(mut self, millis: u64) -> Self {
        self.feed_ms = millis.max(1);
        self
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the wall-clock time at the clock's start.
    pub fn origin_us(mut self, micros: u64) -> Self {
        self.origin_us = micros;
        self
    }
}
