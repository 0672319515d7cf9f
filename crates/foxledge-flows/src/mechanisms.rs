//! Mechanisms that a router can do without, so that what each is worth can be measured.

/// `RouterMechanism` is one thing that a router does for callers beside the least it must.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterMechanism {
    /// An opening that stays unanswered for 40 ms speaks against its backend server.
    Suspicion,
    /// A second sign of silence keeps new flows away for a second and more.
    Ejection,
    /// After that, one flow at a time tries it.
    Probation,
    /// What other instances observe counts.
    PeerNotes,
    /// Instances try ejected backend servers in turn.
    TrialTurns,
    /// Flows that wait at a dead backend server are ended.
    StalledEnds,
    /// Flows at rest at a dead backend server are ended.
    IdleEnds,
    /// Requests that wait there and may be repeated are ended before they are sent again.
    WaitingEnds,
    /// Flows that wait in a data centre that answers nobody are ended.
    CentreEnds,
    /// Packets of open flows that an instance can't place yet are handed to another.
    Relays,
    /// Silence on lossy ways counts less.
    LossDoubt,
    /// Copies of an opening within 150 ms go where the first went.
    CopyWindow,
    /// Backend servers that take long for answers get less.
    Slowness,
    /// Those that have just started get less.
    Cold,
    /// Those of other data centres get less.
    Distance,
}

impl RouterMechanism {
    /// Every one.
    pub const ALL: [RouterMechanism; 15] = [
        RouterMechanism::Suspicion,
        RouterMechanism::Ejection,
        RouterMechanism::Probation,
        RouterMechanism::PeerNotes,
        RouterMechanism::TrialTurns,
        RouterMechanism::StalledEnds,
        RouterMechanism::IdleEnds,
        RouterMechanism::WaitingEnds,
        RouterMechanism::CentreEnds,
        RouterMechanism::Relays,
        RouterMechanism::LossDoubt,
        RouterMechanism::CopyWindow,
        RouterMechanism::Slowness,
        RouterMechanism::Cold,
        RouterMechanism::Distance,
    ];

    /// Its name in plans and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            RouterMechanism::Suspicion => "suspicion",
            RouterMechanism::Ejection => "ejection",
            RouterMechanism::Probation => "probation",
            RouterMechanism::PeerNotes => "peer-notes",
            RouterMechanism::TrialTurns => "trial-turns",
            RouterMechanism::StalledEnds => "stalled-ends",
            RouterMechanism::IdleEnds => "idle-ends",
            RouterMechanism::WaitingEnds => "waiting-ends",
            RouterMechanism::CentreEnds => "centre-ends",
            RouterMechanism::Relays => "relays",
            RouterMechanism::LossDoubt => "loss-doubt",
            RouterMechanism::CopyWindow => "copy-window",
            RouterMechanism::Slowness => "slowness",
            RouterMechanism::Cold => "cold",
            RouterMechanism::Distance => "distance",
        }
    }

    /// The mechanism of that name.
    pub fn by_name(name: &str) -> Option<RouterMechanism> {
        RouterMechanism::ALL.into_iter().find(|mechanism| mechanism.as_str() == name)
    }
}

/// `MechanismSet` is the mechanisms that a router does without; none in the product.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MechanismSet {
    bits: u32,
}

impl MechanismSet {
    /// Adds one.
    pub fn add(&mut self, mechanism: RouterMechanism) {
        self.bits |= 1 << mechanism as u32;
    }

    /// True when it holds the mechanism.
    pub fn holds(self, mechanism: RouterMechanism) -> bool {
        self.bits & (1 << mechanism as u32) != 0
    }
}
