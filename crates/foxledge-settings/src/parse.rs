//! Parsing of settings files of the request path.

use std::{fs, path::Path};

use foxledge_core::{
    findings::FindingList,
    names::{CentreName, InstanceName},
};
use foxledge_document::{SourceFindings, TableReader, read_document};
use log::LevelFilter;

use crate::{
    checks::{check_listen, check_peer_timeouts, check_stop},
    choices::{PlacementChoice, PolicyChoice},
    settings::{
        AuditSettings, DaemonSettings, DeskSettings, FlowSettings, InstanceSettings,
        ListenSettings, LogSettings, PeerSettings, PlatformSettings, StopSettings, TlsSettings,
        TrialSettings,
    },
};

/// Maximum duration in a setting, in milliseconds: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: usize = 1_000_000;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all findings, with their lines and keys.
pub fn load_settings(path: &Path) -> Result<DaemonSettings, FindingList> {
    let source = path.display().to_string();
    match fs::read(path) {
        Ok(bytes) => match String::from_utf8(bytes) {
            Ok(text) => parse_settings(&source, &text),
            Err(_) => Err(file_finding(&source, "is not UTF-8 text")),
        },
        Err(error) => Err(file_finding(&source, format!("can't be read: {error}"))),
    }
}

/// Parses and checks the text of a settings file; `source_name` names the file in the findings.
///
/// # Errors
///
/// Returns all findings, with their lines and keys.
pub fn parse_settings(source_name: &str, text: &str) -> Result<DaemonSettings, FindingList> {
    if text.len() > MAX_FILE_BYTES {
        return Err(file_finding(source_name, "is larger than 1 MB"));
    }
    let findings = SourceFindings::new(source_name, text);
    match read_document(&findings, text, read_settings).flatten() {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings.into_findings()),
    }
}

pub(crate) fn file_finding(source: &str, text: impl Into<String>) -> FindingList {
    let mut findings = FindingList::new();
    findings.add(source, 0, "", text);
    findings
}

/// Reads every table before it fails, so that all findings are reported.
///
/// Invariant: when the result is none, there is a finding that says why.
fn read_settings(root: &TableReader<'_>) -> Option<DaemonSettings> {
    let instance = read_instance(&root.table("instance"));
    let listen = read_listen(&root.table("listen"));
    let platform = read_platform(&root.table("platform"));
    let peers = read_peers(&root.table("peers"));
    let flow = read_flow(&root.table("flow"));
    let desk = read_desk(&root.table("desk"));
    let stop = read_stop(&root.table("stop"), &flow);
    let log = read_log(&root.table("log"));
    let audit = read_audit(&root.table("audit"));
    let tls = root.optional_table("tls").and_then(|table| read_tls(&table));
    let trial = read_trial(&root.table("trial"));
    Some(DaemonSettings {
        instance: instance?,
        listen: listen?,
        platform,
        peers,
        flow,
        desk,
        stop,
        log,
        audit,
        tls,
        trial,
    })
}

fn read_instance(table: &TableReader<'_>) -> Option<InstanceSettings> {
    let name = table.require("name", table.name("name"));
    let data_centre = table.require("data_centre", table.name("data_centre"));
    table.finish();
    Some(InstanceSettings {
        name: InstanceName::new(name?),
        data_centre: CentreName::new(data_centre?),
    })
}

fn read_listen(table: &TableReader<'_>) -> Option<ListenSettings> {
    let data = table.require("data", table.address("data"));
    let peer = table.require("peer", table.address("peer"));
    let control = table.require("control", table.address("control"));
    let admin = table.require("admin", table.address("admin"));
    let named = [("data", data), ("peer", peer), ("control", control), ("admin", admin)];
    check_listen(table, &named);
    table.finish();
    Some(ListenSettings { data: data?, peer: peer?, control: control?, admin: admin? })
}

fn read_platform(table: &TableReader<'_>) -> PlatformSettings {
    table.require_non_empty("addresses");
    let platform = PlatformSettings {
        addresses: table.addresses("addresses"),
        wait_ms: millis(table, "wait_ms", 10_000),
        readers_per_centre: table.number_or("readers_per_centre", 1..=100, 2) as u32,
    };
    table.finish();
    platform
}

fn read_peers(table: &TableReader<'_>) -> PeerSettings {
    let peers = PeerSettings {
        seeds: table.addresses("seeds"),
        heartbeat_ms: millis(table, "heartbeat_ms", 250),
        suspect_after_ms: millis(table, "suspect_after_ms", 1500),
        dead_after_ms: millis(table, "dead_after_ms", 3000),
        start_wait_ms: millis(table, "start_wait_ms", 3000),
    };
    check_peer_timeouts(table, &peers);
    table.finish();
    peers
}

fn read_flow(table: &TableReader<'_>) -> FlowSettings {
    let placements = PlacementChoice::ALL.map(|choice| (choice.as_str(), choice));
    let policies = PolicyChoice::ALL.map(|choice| (choice.as_str(), choice));
    let flow = FlowSettings {
        placement: read_choice(table, "placement", &placements).unwrap_or_default(),
        policy: read_choice(table, "policy", &policies).unwrap_or_default(),
        ticket_ms: table.number_or("ticket_ms", 100..=60_000, 4000),
        ticket_count: table.number_or("ticket_count", 1..=10_000, 64) as u32,
        forward_wait_ms: table.number_or("forward_wait_ms", 1..=60_000, 150),
        passed_over_ms: table.number_or("passed_over_ms", 1..=60_000, 1000),
    };
    table.finish();
    flow
}

fn read_desk(table: &TableReader<'_>) -> DeskSettings {
    let desk = DeskSettings {
        ack_ms: millis(table, "ack_ms", 100),
        resends: table.number_or("resends", 0..=100, 3) as u32,
        eject_after_losses: table.number_or("eject_after_losses", 1..=1000, 2) as u32,
        eject_ms: millis(table, "eject_ms", 2000),
        slow_start_ms: millis(table, "slow_start_ms", 3000),
        retry_budget_percent: percent(table, "retry_budget_percent", 10),
        probe_ms: millis(table, "probe_ms", 1000),
    };
    table.finish();
    desk
}

fn read_stop(table: &TableReader<'_>, flow: &FlowSettings) -> StopSettings {
    let stop = StopSettings { limit_ms: millis(table, "limit_ms", 10_000) };
    check_stop(table, &stop, flow);
    table.finish();
    stop
}

fn read_log(table: &TableReader<'_>) -> LogSettings {
    let levels = [
        ("off", LevelFilter::Off),
        ("error", LevelFilter::Error),
        ("warn", LevelFilter::Warn),
        ("info", LevelFilter::Info),
        ("debug", LevelFilter::Debug),
        ("trace", LevelFilter::Trace),
    ];
    let level = read_choice(table, "level", &levels).unwrap_or(LevelFilter::Info);
    table.finish();
    LogSettings { level }
}

fn read_audit(table: &TableReader<'_>) -> AuditSettings {
    let entries = table.number_or("entries", 1..=1_000_000, 2000) as usize;
    table.finish();
    AuditSettings { entries }
}

fn read_tls(table: &TableReader<'_>) -> Option<TlsSettings> {
    let ca = read_path(table, "ca");
    let certificate = read_path(table, "certificate");
    let key = read_path(table, "key");
    table.finish();
    Some(TlsSettings { ca: ca?.into(), certificate: certificate?.into(), key: key?.into() })
}

fn read_trial(table: &TableReader<'_>) -> TrialSettings {
    let trial = TrialSettings {
        run_once: table.boolean("run_once").unwrap_or(true),
        refuse_stale_lists: table.boolean("refuse_stale_lists").unwrap_or(true),
        check_target_owner: table.boolean("check_target_owner").unwrap_or(true),
        pass_over_homes: table.boolean("pass_over_homes").unwrap_or(true),
        remember_refusals: table.boolean("remember_refusals").unwrap_or(true),
        graceful_stop: table.boolean("graceful_stop").unwrap_or(true),
        fair_order: table.boolean("fair_order").unwrap_or(true),
        routes: table.address_map("routes"),
    };
    table.finish();
    trial
}

fn millis(table: &TableReader<'_>, key: &'static str, default: u64) -> u64 {
    table.number_or(key, 1..=MAX_DURATION_MS, default)
}

fn percent(table: &TableReader<'_>, key: &'static str, default: u64) -> u32 {
    table.number_or(key, 0..=100, default) as u32
}

fn read_path<'d>(table: &TableReader<'d>, key: &'static str) -> Option<&'d str> {
    let path = table.require(key, table.text(key))?;
    if path.is_empty() {
        table.add_finding(key, "must not be empty");
        return None;
    }
    Some(path)
}

fn read_choice<T: Copy>(
    table: &TableReader<'_>,
    key: &'static str,
    choices: &[(&str, T)],
) -> Option<T> {
    let text = table.text(key)?;
    let choice = choices.iter().find(|(name, _)| *name == text);
    if choice.is_none() {
        let known: Vec<_> = choices.iter().map(|(name, _)| format!("\"{name}\"")).collect();
        table.add_finding(key, format!("must be one of {}", known.join(", ")));
    }
    choice.map(|(_, value)| *value)
}
