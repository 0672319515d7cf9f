//! Settings of an instance of the packet path.

use std::{collections::HashMap, fs, net::SocketAddr, net::SocketAddrV4, path::Path, sync::Arc};

use crate::parse::file_finding;
use foxledge_core::{
    findings::FindingList,
    names::{CentreName, InstanceName, RegionName},
};
use foxledge_document::{SourceFindings, TableReader, read_document};

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: usize = 1_000_000;

/// Default time limit of a planned stop, in seconds: the limit of the users' platform.
const DEFAULT_STOP_LIMIT_S: f64 = 6.0;
/// Default share of the capacity that is reserved for less urgent priorities, in percent.
const DEFAULT_FLOOR_PERCENT: u64 = 10;
/// Default limit of one client account, as a multiple of the fair rate.
const DEFAULT_ACCOUNT_SHARE: f64 = 1.0;

/// All settings of an instance of the packet path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PacketSettings {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: CentreName,
    /// The region of each data centre.
    pub regions: HashMap<CentreName, RegionName>,
    /// Rate of new flows that a backend server may get during its slow start, in thousandths of
    /// its published limit.
    pub cold_overrun_permille: u32,
    /// New flows per 1,000 seconds that a backend server may get during its slow start in addition
    /// to that rate.
    pub cold_slack_per_ks: u32,
    /// Bandwidth of the instance's network link, in Mbit/s; 0 when unknown. Instances with more
    /// bandwidth are preferred as readers of the store.
    pub link_mbps: u32,
    /// UDP address for packets of callers.
    pub data: SocketAddrV4,
    /// UDP address for messages of other instances.
    pub peer: SocketAddrV4,
    /// Address announced to other instances; equal to `peer` unless address translation is
    /// used.
    pub peer_public: SocketAddrV4,
    /// TCP address of the HTTP interface with `/healthz`.
    pub admin: SocketAddr,
    /// Separate TCP address of the HTTP interface with `/metrics`, `/status` and more; if none,
    /// only `admin` serves them.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddrV4,
    /// Peer addresses of instances to join the fleet through.
    pub seeds: Vec<SocketAddrV4>,
    /// Time limit of a planned stop, in milliseconds.
    pub stop_limit_ms: u64,
    /// Maximum number of log lines of each kind per second.
    pub log_lines_per_s: u32,
    /// True when load is reported to other instances, and new flows overflow from full data
    /// centres.
    pub shares_load: bool,
    /// Admission control under a shortage of capacity; none disables it.
    pub admission: Option<AdmissionSettings>,
    /// Published figures that were replaced by usable ones.
    pub warnings: FindingList,
}

/// How capacity is shared while a service is short of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Share of the capacity that is reserved for less urgent priorities, in percent.
    pub floor_percent: u32,
    /// Limit of one client account, in percent of the fair rate; 0 for no limit.
    pub account_percent: u32,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all findings, with their lines and keys.
pub fn load_packet_settings(path: &Path) -> Result<PacketSettings, FindingList> {
    let source = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse_packet_settings(&source, &text),
        Err(error) => Err(file_finding(&source, format!("can't be read: {error}"))),
    }
}

/// Parses and checks the text of a settings file; `source` names the file in the findings.
///
/// # Errors
///
/// Returns all findings, with their lines and keys.
pub fn parse_packet_settings(source: &str, text: &str) -> Result<PacketSettings, FindingList> {
    if text.len() > MAX_FILE_BYTES {
        return Err(file_finding(source, "is larger than 1 MB"));
    }
    let findings = SourceFindings::new(source, text);
    match read_document(&findings, text, read_settings).flatten() {
        Some(settings) if findings.is_empty() => {
            Ok(PacketSettings { warnings: findings.into_warnings(), ..settings })
        }
        _ => Err(findings.into_findings()),
    }
}

/// Reads every table before it fails, so that all findings are reported.
fn read_settings(root: &TableReader<'_>) -> Option<PacketSettings> {
    let instance = root.table("instance");
    let name = instance.require("name", non_empty_text(&instance, "name"));
    let data_centre = instance.require("data_centre", non_empty_text(&instance, "data_centre"));
    let link_mbps = instance.published_figure("link_mbps", 0.0..=1e6, 0.0) as u32;
    instance.finish();

    let regions = read_regions(root);
    let cold = root.table("cold");
    let overrun = cold.published_figure("overrun", 0.0..=100.0, 1.0);
    let slack = cold.published_figure("slack", 0.0..=100_000.0, 0.0);
    cold.finish();

    let listen = root.table("listen");
    let data = listen.require("data", ipv4_address(&listen, "data"));
    let peer = listen.require("peer", ipv4_address(&listen, "peer"));
    let peer_public = ipv4_address(&listen, "peer_public").or(peer);
    let admin = listen.require("admin", listen.address("admin"));
    let metrics = listen.has_key("metrics").then(|| listen.address("metrics"));
    if data.is_some() && data == peer {
        listen.add_finding("peer", "must differ from data");
    }
    listen.finish();

    let store = root.table("store");
    let address = store.require("address", ipv4_address(&store, "address"));
    store.finish();

    let peers = root.table("peers");
    let seeds = read_seeds(&peers);
    peers.finish();

    let stop = root.table("stop");
    let limit_s = stop.published_figure("limit_s", 0.0..=3_600.0, DEFAULT_STOP_LIMIT_S);
    let stop_limit_ms = (limit_s * 1_000.0) as u64;
    stop.finish();

    let log = root.table("log");
    let log_lines_per_s = log.number_or("lines_per_s", 1..=100_000, 100) as u32;
    log.finish();

    let load = root.table("load");
    let shares_load = load.boolean("enabled").unwrap_or(false);
    load.finish();
    let admission = read_admission(&root.table("admission"), shares_load);

    Some(PacketSettings {
        name: InstanceName::new(name?),
        data_centre: CentreName::new(data_centre?),
        regions,
        cold_overrun_permille: floor_to_thousandths(overrun),
        cold_slack_per_ks: floor_to_thousandths(slack),
        link_mbps,
        data: data?,
        peer: peer?,
        peer_public: peer_public?,
        admin: admin?,
        metrics: metrics.flatten(),
        store: address?,
        seeds,
        stop_limit_ms,
        log_lines_per_s,
        shares_load,
        admission,
        warnings: FindingList::new(),
    })
}

/// Converts a limit to thousandths. Rounds down, so that the limit is never exceeded, except for
/// the error of the decimal notation.
fn floor_to_thousandths(limit: f64) -> u32 {
    (limit * 1_000.0 + 1e-6).floor() as u32
}

/// Reads the admission table. Admission depends on the load reports of all instances, so it
/// requires load sharing.
fn read_admission(table: &TableReader<'_>, shares_load: bool) -> Option<AdmissionSettings> {
    let is_enabled = table.boolean("enabled").unwrap_or(false);
    let floor_percent = table.number_or("floor_percent", 0..=50, DEFAULT_FLOOR_PERCENT) as u32;
    let share = table.decimal("account_share", 0.0..=100.0).unwrap_or(DEFAULT_ACCOUNT_SHARE);
    if share > 0.0 && share < 1.0 {
        table.add_finding("account_share", "must be 0 or from 1 to 100");
    }
    if is_enabled && !shares_load {
        table.add_finding("enabled", "needs load.enabled");
    }
    table.finish();
    let account_percent = (share * 100.0).round() as u32;
    is_enabled.then_some(AdmissionSettings { floor_percent, account_percent })
}

impl PacketSettings {
    /// Returns the settings that differ in `newer`, each as its key, old value and new value.
    pub fn changes(&self, newer: &PacketSettings) -> Vec<(Arc<str>, String, String)> {
        let pairs = [
            ("instance.name", self.name.to_string(), newer.name.to_string()),
            ("instance.data_centre", self.data_centre.to_string(), newer.data_centre.to_string()),
            ("data_centres", sorted_regions(&self.regions), sorted_regions(&newer.regions)),
            (
                "cold.overrun",
                thousandths_text(self.cold_overrun_permille),
                thousandths_text(newer.cold_overrun_permille),
            ),
            (
                "cold.slack",
                thousandths_text(self.cold_slack_per_ks),
                thousandths_text(newer.cold_slack_per_ks),
            ),
            ("instance.link_mbps", self.link_mbps.to_string(), newer.link_mbps.to_string()),
            ("listen.data", self.data.to_string(), newer.data.to_string()),
            ("listen.peer", self.peer.to_string(), newer.peer.to_string()),
            ("listen.peer_public", self.peer_public.to_string(), newer.peer_public.to_string()),
            ("listen.admin", self.admin.to_string(), newer.admin.to_string()),
            ("listen.metrics", format!("{:?}", self.metrics), format!("{:?}", newer.metrics)),
            ("store.address", self.store.to_string(), newer.store.to_string()),
            ("peers.seeds", format!("{:?}", self.seeds), format!("{:?}", newer.seeds)),
            ("stop.limit_s", self.stop_limit_ms.to_string(), newer.stop_limit_ms.to_string()),
            (
                "log.lines_per_s",
                self.log_lines_per_s.to_string(),
                newer.log_lines_per_s.to_string(),
            ),
            ("load.enabled", self.shares_load.to_string(), newer.shares_load.to_string()),
            ("admission", admission_text(self.admission), admission_text(newer.admission)),
        ];
        let changed = pairs.into_iter().filter(|(_, before, after)| before != after);
        changed.map(|(key, before, after)| (Arc::from(key), before, after)).collect()
    }
}

/// Reads the region of each listed data centre.
fn read_regions(root: &TableReader<'_>) -> HashMap<CentreName, RegionName> {
    let mut regions = HashMap::new();
    for table in root.tables("data_centres") {
        let name = table.require("name", non_empty_text(&table, "name"));
        let region = table.require("region", non_empty_text(&table, "region"));
        if let (Some(name), Some(region)) = (name, region) {
            let former = regions.insert(CentreName::new(name), RegionName::new(region));
            if former.is_some() {
                table.add_finding("name", format!("\"{name}\" stands twice"));
            }
        }
        table.finish();
    }
    regions
}

fn admission_text(admission: Option<AdmissionSettings>) -> String {
    match admission {
        None => "off".to_owned(),
        Some(AdmissionSettings { floor_percent, account_percent }) => {
            format!("floor {floor_percent} percent, account share {account_percent} percent")
        }
    }
}

fn thousandths_text(thousandths: u32) -> String {
    (f64::from(thousandths) / 1_000.0).to_string()
}

fn sorted_regions(regions: &HashMap<CentreName, RegionName>) -> String {
    let mut regions: Vec<_> = regions.iter().collect();
    regions.sort_unstable();
    format!("{regions:?}")
}

/// Reads the seeds and removes duplicates, which are harmless.
fn read_seeds(table: &TableReader<'_>) -> Vec<SocketAddrV4> {
    let mut seeds = Vec::new();
    for text in table.texts("seeds") {
        match text.text.parse::<SocketAddrV4>() {
            Ok(seed) if seeds.contains(&seed) => {}
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                let fault = format!("\"{}\" is not an IPv4 number with a port", text.text);
                table.add_finding("seeds", fault);
            }
        }
    }
    seeds
}

fn non_empty_text<'d>(table: &TableReader<'d>, key: &'static str) -> Option<&'d str> {
    let text = table.text(key)?;
    if text.is_empty() {
        table.add_finding(key, "must not be empty");
        return None;
    }
    Some(text)
}

/// Reads an IPv4 address; packets identify callers and services by IPv4 addresses only.
fn ipv4_address(table: &TableReader<'_>, key: &'static str) -> Option<SocketAddrV4> {
    let address = table.address(key)?;
    let ipv4_address = as_ipv4(address);
    if ipv4_address.is_none() {
        table.add_finding(key, "must be an IPv4 address");
    }
    ipv4_address
}

fn as_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
