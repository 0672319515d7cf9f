//! Settings with a fixed set of values.

/// Which instance admits new requests of a service. An instance that admits requests for other
/// instances and dispatches them to backend servers is a home instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementChoice {
    /// At one home instance per service and data centre.
    #[default]
    ServiceHome,
    /// At the instance where the request arrives.
    EntryLocal,
    /// At one home instance per backend server.
    TargetHome,
}

impl PlacementChoice {
    /// All placements.
    pub const ALL: [PlacementChoice; 3] =
        [PlacementChoice::ServiceHome, PlacementChoice::EntryLocal, PlacementChoice::TargetHome];

    /// Returns the value in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PlacementChoice::ServiceHome => "service-home",
            PlacementChoice::EntryLocal => "entry-local",
            PlacementChoice::TargetHome => "target-home",
        }
    }
}

/// The policy by which a home instance selects one of its backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The backend server with the lowest utilization, where slow and cold backend servers, and
    /// slots that other schedulers occupy, count as additional utilization.
    #[default]
    Freest,
    /// By rendezvous hashing of the flow id.
    Hash,
    /// In rotation.
    RoundRobin,
    /// The less loaded of two backend servers selected at random, by their load reports.
    TwoChoices,
}

impl PolicyChoice {
    /// All policies.
    pub const ALL: [PolicyChoice; 4] = [
        PolicyChoice::Freest,
        PolicyChoice::Hash,
        PolicyChoice::RoundRobin,
        PolicyChoice::TwoChoices,
    ];

    /// Returns the value in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyChoice::Freest => "freest",
            PolicyChoice::Hash => "hash",
            PolicyChoice::RoundRobin => "round-robin",
            PolicyChoice::TwoChoices => "two-choices",
        }
    }
}
