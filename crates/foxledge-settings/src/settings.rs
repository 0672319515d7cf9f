//! The settings by table.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use foxledge_core::names::{CentreName, InstanceName};
use log::LevelFilter;

use crate::choices::{PlacementChoice, PolicyChoice};

/// `DaemonSettings` is everything that a daemon reads at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// `[instance]`
    pub instance: InstanceSettings,
    /// `[listen]`
    pub listen: ListenSettings,
    /// `[platform]`
    pub platform: PlatformSettings,
    /// `[peers]`
    pub peers: PeerSettings,
    /// `[flow]`
    pub flow: FlowSettings,
    /// `[desk]`
    pub desk: DeskSettings,
    /// `[stop]`
    pub stop: StopSettings,
    /// `[log]`
    pub log: LogSettings,
    /// `[audit]`
    pub audit: AuditSettings,
    /// `[tls]`; none when the table is absent and control calls are plain.
    pub tls: Option<TlsSettings>,
    /// `[trial]`
    pub trial: TrialSettings,
}

/// `InstanceSettings` is who the instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Its name, unique in the fleet.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: CentreName,
}

/// `ListenSettings` is where the instance listens; peers are told these addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// UDP, callers and backend servers.
    pub data: SocketAddr,
    /// UDP, other instances.
    pub peer: SocketAddr,
    /// TCP, control calls of instances and of `foxledgectl`.
    pub control: SocketAddr,
    /// TCP, HTTP with `/metrics` and `/healthz`.
    pub admin: SocketAddr,
}

/// `PlatformSettings` is how the platform is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// How long one watch waits for a change, in milliseconds.
    pub wait_ms: u64,
    /// Instances of one data centre that read the platform; the others ask peers.
    pub readers_per_centre: u32,
}

/// `PeerSettings` is membership between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Control addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// Time between rounds of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a peer is suspected, in milliseconds.
    pub suspect_after_ms: u64,
    /// Silence after which a peer is held dead, in milliseconds.
    pub dead_after_ms: u64,
    /// Longest wait for peers' and the platform's answers before serving, in milliseconds.
    pub start_wait_ms: u64,
}

/// `FlowSettings` is placement, tickets and forwarding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowSettings {
    /// Where new work is admitted.
    pub placement: PlacementChoice,
    /// How a home chooses among its backend servers.
    pub policy: PolicyChoice,
    /// Time that a ticket is good for starting, in milliseconds.
    pub ticket_ms: u64,
    /// Requests that one ticket is good for.
    pub ticket_count: u32,
    /// Wait for a home's ack before it is passed over, in milliseconds.
    pub forward_wait_ms: u64,
    /// How long a silent home stays passed over, in milliseconds.
    pub passed_over_ms: u64,
}

/// `DeskSettings` is admission and backend servers' health at a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeskSettings {
    /// Wait for a backend server's first answer before the same dispatch is resent, in milliseconds.
    pub ack_ms: u64,
    /// Resends of one dispatch before its backend server counts as lost.
    pub resends: u32,
    /// Losses in a row after which a backend server is ejected.
    pub eject_after_losses: u32,
    /// How long a first ejection lasts, in milliseconds.
    pub eject_ms: u64,
    /// Time over which a new or returned backend server gets its full share, in milliseconds.
    pub slow_start_ms: u64,
    /// Retries allowed, as a share of first tries, in percent.
    pub retry_budget_percent: u32,
    /// Time between probes of one backend server, in milliseconds.
    pub probe_ms: u64,
}

/// `StopSettings` is the planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest time that a planned stop takes, in milliseconds.
    pub limit_ms: u64,
}

/// `LogSettings` is the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least important level that is written.
    pub level: LevelFilter,
}

/// `AuditSettings` is the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditSettings {
    /// Entries kept in memory.
    pub entries: usize,
}

/// `TlsSettings` is the files of mutual TLS on control calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file of the authorities that peers' certificates are checked against.
    pub ca: PathBuf,
    /// PEM file of the own certificate chain.
    pub certificate: PathBuf,
    /// PEM file of the own private key.
    pub key: PathBuf,
}

/// `TrialSettings` switches single mechanisms off, only to prove that each matters.
///
/// A fleet that serves anybody has them all on; the daemon warns about each
/// that is off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialSettings {
    /// Non-idempotent requests run through the one incarnation that issued their ticket.
    pub run_once: bool,
    /// A list older than the one in force is refused.
    pub refuse_stale_lists: bool,
    /// A flow token is checked against the present owner of the target's address.
    pub check_target_owner: bool,
    /// A home that doesn't answer is passed over.
    pub pass_over_homes: bool,
    /// A refusal that says "not run" is repeated to every copy of its request.
    pub remember_refusals: bool,
    /// A planned stop finishes what the instance has.
    pub graceful_stop: bool,
    /// The queue is ordered fairly by member within paid priority.
    pub fair_order: bool,
    /// Addresses that are reached at others, so that a test can cut what goes there.
    pub routes: BTreeMap<SocketAddr, SocketAddr>,
}

impl Default for TrialSettings {
    fn default() -> TrialSettings {
        TrialSettings {
            run_once: true,
            refuse_stale_lists: true,
            check_target_owner: true,
            pass_over_homes: true,
            remember_refusals: true,
            graceful_stop: true,
            fair_order: true,
            routes: BTreeMap::new(),
        }
    }
}

impl TrialSettings {
    /// The keys of the mechanisms that are off; the daemon logs a warning for each.
    pub fn disabled_mechanisms(&self) -> Vec<&'static str> {
        let switches = [
            ("run_once", self.run_once),
            ("refuse_stale_lists", self.refuse_stale_lists),
            ("check_target_owner", self.check_target_owner),
            ("pass_over_homes", self.pass_over_homes),
            ("remember_refusals", self.remember_refusals),
            ("graceful_stop", self.graceful_stop),
            ("fair_order", self.fair_order),
        ];
        switches.into_iter().filter(|(_, on)| !on).map(|(key, _)| key).collect()
    }
}
