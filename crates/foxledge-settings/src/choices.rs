//! Settings that are one of a few words.

/// `PlacementChoice` is where new work of a service is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementChoice {
    /// At one home per service and data centre.
    #[default]
    ServiceHome,
    /// At whichever instance it arrives.
    EntryLocal,
    /// At one home per backend server.
    TargetHome,
}

impl PlacementChoice {
    /// Every placement.
    pub const ALL: [PlacementChoice; 3] =
        [PlacementChoice::ServiceHome, PlacementChoice::EntryLocal, PlacementChoice::TargetHome];

    /// The word in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PlacementChoice::ServiceHome => "service-home",
            PlacementChoice::EntryLocal => "entry-local",
            PlacementChoice::TargetHome => "target-home",
        }
    }
}

/// `PolicyChoice` is how a home chooses among its backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The one with the most free slots.
    #[default]
    Freest,
    /// By hash of the flow.
    Hash,
    /// In turn.
    RoundRobin,
    /// The less loaded of two drawn at random.
    TwoChoices,
}

impl PolicyChoice {
    /// Every policy.
    pub const ALL: [PolicyChoice; 4] = [
        PolicyChoice::Freest,
        PolicyChoice::Hash,
        PolicyChoice::RoundRobin,
        PolicyChoice::TwoChoices,
    ];

    /// The word in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyChoice::Freest => "freest",
            PolicyChoice::Hash => "hash",
            PolicyChoice::RoundRobin => "round-robin",
            PolicyChoice::TwoChoices => "two-choices",
        }
    }
}
