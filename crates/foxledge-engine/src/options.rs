//! Options of the engine.

use std::time::Duration;

use foxledge_policy::SchedulerOptions;

use crate::placement::PlacementKind;

/// How often a target is asked about a request that runs.
pub(crate) const REQUEST_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How often a target is asked about an open feed: 7,700 feeds of a daemon at
/// the target's size are 13 checks a second.
pub(crate) const FEED_CHECK_INTERVAL: Duration = Duration::from_secs(600);

/// `EngineOptions` is how the engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Which instance is the home of a service.
    pub placement: PlacementKind,
    /// Name of the target policy.
    pub policy: String,
    /// Life of a ticket.
    pub ticket_ttl: Duration,
    /// Requests that a ticket is good for.
    pub requests_per_ticket: u32,
    /// How long the entry instance waits for a home's acknowledgement.
    pub forward_timeout: Duration,
    /// How long a home that didn't acknowledge is passed over.
    pub home_backoff: Duration,
    /// How long the ledger remembers a request beyond its ticket.
    pub ledger_retention: Duration,
    /// Most requests that the ledger holds.
    pub max_ledger_requests: usize,
    /// Most forwardings that wait for an acknowledgement.
    pub max_pending_forwards: usize,
    /// Options of every home desk.
    pub scheduler: SchedulerOptions,
    /// Mechanisms switched off to prove that they matter.
    pub trial: TrialSwitches,
}

/// `TrialSwitches` is which mechanisms are on; all are, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSwitches {
    /// Non-idempotent work needs a ticket and runs through its home only.
    pub run_once: bool,
    /// A flow token is checked against the published owner of the address.
    pub check_target_owner: bool,
    /// A home that doesn't acknowledge is passed over.
    pub skip_unresponsive_homes: bool,
    /// Known refusals are repeated instead of being decided anew.
    pub remember_refusals: bool,
    /// A list older than the one in force is refused.
    pub refuse_stale_lists: bool,
}

impl Default for TrialSwitches {
    fn default() -> TrialSwitches {
        TrialSwitches {
            run_once: true,
            check_target_owner: true,
            skip_unresponsive_homes: true,
            remember_refusals: true,
            refuse_stale_lists: true,
        }
    }
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            placement: PlacementKind::ServiceHome,
            policy: "freest".to_owned(),
            ticket_ttl: Duration::from_secs(4),
            requests_per_ticket: 64,
            forward_timeout: Duration::from_millis(150),
            home_backoff: Duration::from_secs(1),
            ledger_retention: Duration::from_secs(10),
            max_ledger_requests: 200_000,
            max_pending_forwards: 20_000,
            scheduler: SchedulerOptions::default(),
            trial: TrialSwitches::default(),
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty),* $(,)?) => {
        impl EngineOptions {
            $($(#[$doc])*
            pub fn $name(mut self, $name: $type) -> EngineOptions {
                self.$name = $name;
                self
            })*
        }
    };
}

setters! {
    /// Sets which instance is the home of a service.
    placement: PlacementKind,
    /// Sets the target policy by name.
    policy: String,
    /// Sets the life of a ticket.
    ticket_ttl: Duration,
    /// Sets how many requests a ticket is good for.
    requests_per_ticket: u32,
    /// Sets how long the entry instance waits for an acknowledgement.
    forward_timeout: Duration,
    /// Sets how long a silent home is passed over.
    home_backoff: Duration,
    /// Sets how long the ledger remembers a request beyond its ticket.
    ledger_retention: Duration,
    /// Sets the most requests that the ledger holds.
    max_ledger_requests: usize,
    /// Sets the most forwardings that wait for an acknowledgement.
    max_pending_forwards: usize,
    /// Sets the options of every home desk.
    scheduler: SchedulerOptions,
    /// Sets which mechanisms are on.
    trial: TrialSwitches,
}
