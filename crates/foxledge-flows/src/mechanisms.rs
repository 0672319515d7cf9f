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
    PeerObservations,
    /// Instances try ejected backend servers in turn.
    TrialDelays,
    /// Flows that wait at a dead backend server are ended.
    StalledResets,
    /// Flows at rest at a dead backend server are ended.
    IdleResets,
    /// Requests that wait there and may be repeated are ended before they are sent again.
    WaitingResets,
    /// Flows that wait in a data centre that answers nobody are ended.
    CentreResets,
    /// Packets of open flows that an instance can't place yet are handed to another.
    Relays,
    /// Silence on lossy ways counts less.
    LossDoubt,
    /// Copies of an opening within 150 ms go where the first went.
    RetransmissionWindow,
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
        RouterMechanism::PeerObservations,
        RouterMechanism::TrialDelays,
        RouterMechanism::StalledResets,
        RouterMechanism::IdleResets,
        RouterMechanism::WaitingResets,
        RouterMechanism::CentreResets,
        RouterMechanism::Relays,
        RouterMechanism::LossDoubt,
        RouterMechanism::RetransmissionWindow,
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
            RouterMechanism::PeerObservations => "peer-notes",
            RouterMechanism::TrialDelays => "trial-turns",
            RouterMechanism::StalledResets => "stalled-ends",
            RouterMechanism::IdleResets => "idle-ends",
            RouterMechanism::WaitingResets => "waiting-ends",
            RouterMechanism::CentreResets => "centre-ends",
            RouterMechanism::Relays => "relays",
            RouterMechanism::LossDoubt => "loss-doubt",
            RouterMechanism::RetransmissionWindow => "copy-window",
            RouterMechanism::Slowness => "slowness",
            RouterMechanism::Cold => "cold",
            RouterMechanism::Distance => "distance",
        }
    }

    /// The mechanism of that name.
    pub fn from_name(name: &str) -> Option<RouterMechanism> {
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
