//! The settings of the request path, one type per table.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use foxledge_core::names::{CentreName, InstanceName};
use log::LevelFilter;

use crate::choices::{PlacementChoice, PolicyChoice};

/// All settings of an instance of the request path.
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
    /// `[tls]`; control calls are unencrypted when the table is absent.
    pub tls: Option<TlsSettings>,
    /// `[trial]`
    pub trial: TrialSettings,
}

/// The identity of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: CentreName,
}

/// The addresses that the instance listens on; all but `admin` are announced to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// UDP address for callers and backend servers.
    pub data: SocketAddr,
    /// UDP address for other instances.
    pub peer: SocketAddr,
    /// TCP address for control calls of instances and of `foxledgectl`.
    pub control: SocketAddr,
    /// TCP address of the HTTP interface with `/metrics` and `/healthz`.
    pub admin: SocketAddr,
}

/// How the rule list and the instances are read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the platform, used in rotation.
    pub addresses: Vec<SocketAddr>,
    /// Time for which one long poll waits for a change, in milliseconds.
    pub wait_ms: u64,
    /// Number of instances per data centre that read the platform; the others read from peers.
    pub readers_per_centre: u32,
}

/// Failure detection between instances, and joining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Control addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// Time between rounds of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a response after which a peer is suspected, in milliseconds.
    pub suspect_after_ms: u64,
    /// Time without a response after which a peer is declared dead, in milliseconds.
    pub dead_after_ms: u64,
    /// Maximum wait for responses of peers and the platform before serving, in milliseconds.
    pub start_wait_ms: u64,
}

/// Placement, tickets and forwarding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowSettings {
    /// Which instance admits new requests of a service.
    pub placement: PlacementChoice,
    /// How a home instance selects one of its backend servers.
    pub policy: PolicyChoice,
    /// Time for which a ticket is valid for starting requests, in milliseconds.
    pub ticket_ms: u64,
    /// Number of requests that one ticket admits.
    pub ticket_count: u32,
    /// Timeout of a home's acknowledgement of a forward, after which the home is skipped, in
    /// milliseconds.
    pub forward_wait_ms: u64,
    /// Time for which an unresponsive home is skipped, in milliseconds.
    pub passed_over_ms: u64,
}

/// Dispatch to backend servers and their health checks by the scheduler of a home instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeskSettings {
    /// Timeout of a backend server's first response, after which the dispatch is
    /// retransmitted, in milliseconds.
    pub ack_ms: u64,
    /// Number of retransmissions of a dispatch before its backend server counts as lost.
    pub resends: u32,
    /// Consecutive losses after which a backend server is ejected.
    pub eject_after_losses: u32,
    /// Duration of the first ejection, in milliseconds.
    pub eject_ms: u64,
    /// Slow-start time after which a new or returned backend server gets its full share, in
    /// milliseconds.
    pub slow_start_ms: u64,
    /// Allowed retries, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// Time between probes of one backend server, in milliseconds.
    pub probe_ms: u64,
}

/// The planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Time limit of a planned stop, in milliseconds.
    pub limit_ms: u64,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LevelFilter,
}

/// The audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditSettings {
    /// Capacity of the audit trail in memory, in entries.
    pub entries: usize,
}

/// The files for mutual TLS on control calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file of the authorities against which certificates of peers are verified.
    pub ca: PathBuf,
    /// PEM file of the certificate chain of this instance.
    pub certificate: PathBuf,
    /// PEM file of the private key of this instance.
    pub key: PathBuf,
}

/// Switches that disable single mechanisms, for tests of what fails without them.
///
/// In production all of them are on; the daemon logs a warning for each that is off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialSettings {
    /// Non-idempotent requests run only through the incarnation that issued their ticket.
    pub run_once: bool,
    /// A list older than the one in force is refused.
    pub refuse_stale_lists: bool,
    /// A flow token is checked against the current owner of the backend server's address.
    pub check_target_owner: bool,
    /// Unresponsive homes are skipped.
    pub pass_over_homes: bool,
    /// A refusal that says "not run" is repeated for every retransmission of its request.
    pub remember_refusals: bool,
    /// A planned stop finishes pending requests first.
    pub graceful_stop: bool,
    /// The queue is fair between members within each paid priority.
    pub fair_order: bool,
    /// Replaced destination addresses, so that a test can cut the traffic to them.
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
    /// Returns the keys of the disabled mechanisms.
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
