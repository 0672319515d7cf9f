//! Options of the engine.

use std::time::Duration;

use foxledge_policy::SchedulerOptions;

use crate::placement::PlacementKind;

/// The time between checks of a running request at its backend server.
pub(crate) const REQUEST_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time between checks of an open feed at its backend server. At the design target, 7,700 feeds
/// per daemon cause 13 checks a second.
pub(crate) const FEED_CHECK_INTERVAL: Duration = Duration::from_secs(600);

/// The configuration of the engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The strategy that determines the home of a service.
    pub placement: PlacementKind,
    /// The name of the policy that selects backend servers.
    pub policy: String,
    /// The time for which a ticket is valid.
    pub ticket_ttl: Duration,
    /// The number of requests that one ticket admits.
    pub requests_per_ticket: u32,
    /// The time within which a home has to acknowledge a forward.
    pub forward_timeout: Duration,
    /// The time for which a home that didn't acknowledge is skipped.
    pub home_backoff: Duration,
    /// The time for which the ledger keeps a request after its ticket has expired.
    pub ledger_retention: Duration,
    /// The maximum number of requests in the ledger.
    pub max_ledger_requests: usize,
    /// The maximum number of forwards that wait for an acknowledgement.
    pub max_pending_forwards: usize,
    /// The options of every shard scheduler.
    pub scheduler: SchedulerOptions,
    /// Switches that turn off single mechanisms to show that they are needed.
    pub trial: TrialSwitches,
}

/// Switches for single mechanisms. All are on except in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSwitches {
    /// Non-idempotent work needs a ticket and runs through the ticket's home only.
    pub run_once: bool,
    /// A flow token is checked against the published backend server at its address.
    pub check_target_owner: bool,
    /// A home that doesn't acknowledge forwards is skipped for a while.
    pub skip_unresponsive_homes: bool,
    /// Duplicates of a refused request get the same refusal instead of a new decision.
    pub remember_refusals: bool,
    /// A list that is no newer than the one in force is ignored.
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
    /// Sets the strategy that determines the home of a service.
    placement: PlacementKind,
    /// Sets the name of the policy that selects backend servers.
    policy: String,
    /// Sets the time for which a ticket is valid.
    ticket_ttl: Duration,
    /// Sets the number of requests that one ticket admits.
    requests_per_ticket: u32,
    /// Sets the time within which a home has to acknowledge a forward.
    forward_timeout: Duration,
    /// Sets the time for which an unresponsive home is skipped.
    home_backoff: Duration,
    /// Sets the time for which the ledger keeps a request after its ticket has expired.
    ledger_retention: Duration,
    /// Sets the maximum number of requests in the ledger.
    max_ledger_requests: usize,
    /// Sets the maximum number of forwards that wait for an acknowledgement.
    max_pending_forwards: usize,
    /// Sets the options of every shard scheduler.
    scheduler: SchedulerOptions,
    /// Sets which mechanisms are on.
    trial: TrialSwitches,
}
