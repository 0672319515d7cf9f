//! Mechanisms that can be disabled in a router, to measure the effect of each.

/// A mechanism beyond the minimum that routing needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterMechanism {
    /// An opening without a response within 40 ms counts against its backend server.
    Suspicion,
    /// A second unanswered packet keeps new flows away for at least a second.
    Ejection,
    /// After an ejection, one flow at a time is sent as a trial.
    Probation,
    /// Health observations of other instances count.
    PeerObservations,
    /// Instances delay their trials at ejected backend servers by different times.
    TrialDelays,
    /// Flows that wait for a response of a dead backend server are reset.
    StalledResets,
    /// Idle flows of a dead backend server are reset.
    IdleResets,
    /// Flows with a repeatable request at a dead backend server are reset before the caller
    /// retransmits.
    WaitingResets,
    /// Flows that wait for a data centre in which no backend server responds are reset.
    CentreResets,
    /// Packets of open flows whose backend server isn't in the list yet are relayed to another
    /// instance.
    Relays,
    /// Missing responses count less on lossy paths.
    LossDoubt,
    /// Retransmissions of an opening within 150 ms go to the same backend server as the first.
    RetransmissionWindow,
    /// Backend servers with long response times get fewer flows.
    Slowness,
    /// Backend servers that started recently get fewer flows.
    Cold,
    /// Backend servers of other data centres get fewer flows.
    Distance,
}

impl RouterMechanism {
    /// All mechanisms.
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

    /// Returns the mechanism's name in plans and reports.
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

    /// Returns the mechanism with a name.
    pub fn from_name(name: &str) -> Option<RouterMechanism> {
        RouterMechanism::ALL.into_iter().find(|mechanism| mechanism.as_str() == name)
    }
}

/// The disabled mechanisms of a router; empty in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MechanismSet {
    bits: u32,
}

impl MechanismSet {
    /// Adds a mechanism.
    pub fn insert(&mut self, mechanism: RouterMechanism) {
        self.bits |= 1 << mechanism as u32;
    }

    /// Returns true when the set contains the mechanism.
    pub fn contains(self, mechanism: RouterMechanism) -> bool {
        self.bits & (1 << mechanism as u32) != 0
    }
}
