//! Settings with a fixed set of values.

/// Where new work of a service is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementChoice {
    /// At one home instance per service and data centre.
    #[default]
    ServiceHome,
    /// At the instance where it arrives.
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

/// How a home instance selects one of its backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The backend server with the most free slots.
    #[default]
    Freest,
    /// By a hash of the flow.
    Hash,
    /// In rotation.
    RoundRobin,
    /// The less loaded of two backend servers selected at random.
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
