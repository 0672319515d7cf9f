//! Measures the cost of membership and of the distribution of lists, in virtual time.
//!
//! `cargo run --release -p foxledge-members --example member_cost`
//!
//! Each row is printed as text and as one JSON line. Times are virtual except for the processor
//! time, which is measured around the calls.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use common::{Fleet, control};
use foxledge_core::{
    findings::FindingList,
    hash::digest_of,
    lists::{ListVersion, RuleList},
    time::ClockTime,
};
use foxledge_members::{ListBuilder, ListEffect, ListOptions, ListSource, ListStore};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest, ManifestPart, PartsReply, PartsRequest};
use prost::Message;

/// The bytes of a call besides its message, towards the callee: an estimate.
///
/// HTTP/2 HEADERS (9 + 36 with an indexed header table), DATA (9) and the gRPC prefix (5), one
/// TCP/IP header with timestamps (52) and one bare ACK (52).
const REQUEST_OVERHEAD: u64 = 163;
/// The same towards the caller: HEADERS (9 + 5), DATA (9 + 5), trailers (9 + 5), TCP/IP (52).
const REPLY_OVERHEAD: u64 = 94;
/// The mean overhead of one message, as there are as many replies as requests.
const MESSAGE_OVERHEAD: f64 = (REQUEST_OVERHEAD + REPLY_OVERHEAD) as f64 / 2.0;
/// The number of other data centres, each simulated by one instance.
const OTHER_CENTRES: usize = 7;
/// The number of list changes per day at the target size.
const CHANGES_PER_DAY: f64 = 16_000.0;
/// The step of the list trial. Each fetch takes one step.
const STEP: Duration = Duration::from_millis(5);

fn main() {
    println!("overhead per message (estimate): {MESSAGE_OVERHEAD} B");
    for size in [8, 64, 450] {
        measure_members(size);
    }
    for (size, parts, bytes) in
        [(64, 10, 10_240), (64, 25, 102_400), (64, 64, 1_048_576), (450, 25, 102_400)]
    {
        measure_list(size, parts, bytes);
    }
}

fn start_fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::new(size as u64);
    let seeds = vec![control(0), control(1)];
    for index in 0..size {
        fleet.start(&format!("toledo-{index:03}"), 1, "toledo", seeds.clone());
    }
    for other in 0..OTHER_CENTRES {
        fleet.start(&format!("other-{other}"), 1, &format!("centre-{other}"), seeds.clone());
    }
    fleet
}

fn is_converged(fleet: &Fleet) -> bool {
    let reached = |index| fleet.view(index).reachable_centres.len();
    fleet.agrees() && fleet.running().all(|(index, _)| reached(index) == OTHER_CENTRES + 1)
}

/// Returns the time in seconds until the condition is true.
fn time_until(fleet: &mut Fleet, condition: impl Fn(&Fleet) -> bool) -> f64 {
    let start = fleet.now;
    assert!(
        fleet.run_until(Duration::from_secs(300), condition),
        "the condition was not met within 300 s"
    );
    (fleet.now - start) as f64 / 1e6
}

/// The messages sent and processor time spent by the instances of the main data centre.
struct FleetUse {
    measured_at: u64,
    bytes: u64,
    messages: u64,
    spent: Duration,
}

impl FleetUse {
    fn read(fleet: &Fleet, size: usize) -> FleetUse {
        let nodes = &fleet.nodes[..size];
        FleetUse {
            measured_at: fleet.now,
            bytes: nodes.iter().map(|node| node.sent_bytes).sum(),
            messages: nodes.iter().map(|node| node.sent_messages).sum(),
            spent: nodes.iter().map(|node| node.processor_time).sum(),
        }
    }

    /// Returns the bytes sent without and with overhead, the messages sent and the processor share
    /// in percent, per member and second.
    fn rates_since(&self, before: &FleetUse, size: usize) -> (f64, f64, f64, f64) {
        let member_seconds = (self.measured_at - before.measured_at) as f64 / 1e6 * size as f64;
        let messages = (self.messages - before.messages) as f64 / member_seconds;
        let bytes = (self.bytes - before.bytes) as f64 / member_seconds;
        let spent = (self.spent - before.spent).as_secs_f64() / member_seconds;
        (bytes, bytes + messages * MESSAGE_OVERHEAD, messages, spent * 100.0)
    }
}

fn measure_members(size: usize) {
    let resident_before = resident_bytes();
    let mut fleet = start_fleet(size);
    let settle_s = time_until(&mut fleet, is_converged);
    let start = FleetUse::read(&fleet, size);
    let start_bytes = start.bytes as f64 / size as f64;
    fleet.run(Duration::from_secs(10));
    let table_bytes = resident_bytes().saturating_sub(resident_before) / (size as u64);

    let before = FleetUse::read(&fleet, size);
    fleet.run(Duration::from_secs(60));
    let idle = FleetUse::read(&fleet, size).rates_since(&before, size);

    fleet.kill(size / 2);
    let death_s = time_until(&mut fleet, |fleet| fleet.agrees());

    let list_s = version_convergence_time(&mut fleet, size);

    // One half is partitioned from the other for half a minute, the costliest case of the table.
    let halves: (Vec<_>, Vec<_>) = (0..size).partition(|index| index % 2 == 0);
    fleet.split(&halves.0, &halves.1);
    fleet.run(Duration::from_secs(30));
    fleet.heal();
    let before = FleetUse::read(&fleet, size);
    let heal_s = time_until(&mut fleet, Fleet::agrees);
    let heal = FleetUse::read(&fleet, size).rates_since(&before, size);

    print_row(
        "members",
        &[
            ("members", size as f64),
            ("settle_s", settle_s),
            ("start_bytes_per_member", start_bytes),
            ("message_bytes_per_s", idle.0),
            ("wire_bytes_per_s", idle.1),
            ("messages_per_s", idle.2),
            ("cpu_percent", idle.3),
            ("resident_bytes_per_member", table_bytes as f64),
            ("death_known_by_all_s", death_s),
            ("list_version_at_all_s", list_s),
            ("heal_s", heal_s),
            ("heal_wire_bytes_per_s", heal.1),
            ("heal_cpu_percent", heal.3),
        ],
    );
}

/// Returns the time in seconds until a version that one instance announces has reached all. Each
/// instance adopts the version when it is reported to it.
fn version_convergence_time(fleet: &mut Fleet, size: usize) -> f64 {
    let version = ListVersion { revision: 1, digest: 1 };
    let start = fleet.now;
    fleet.nodes[0].member.set_list_version(version);
    let mut holders = vec![false; size];
    holders[0] = true;
    while (0..size).any(|index| fleet.nodes[index].is_up && !holders[index]) {
        fleet.run(STEP);
        for (node, has_version) in fleet.nodes[..size].iter_mut().zip(&mut holders) {
            let reported = node.versions.drain(..).any(|(_, reported)| reported == version);
            if reported && !*has_version {
                *has_version = true;
                node.member.set_list_version(version);
            }
        }
    }
    (fleet.now - start) as f64 / 1e6
}

/// Accepts every list, because only the distribution is measured.
struct AnyBuilder;

impl ListBuilder for AnyBuilder {
    fn build(&mut self, _revision: u64, _parts: &[PartText<'_>]) -> Result<RuleList, FindingList> {
        Ok(RuleList::default())
    }
}

/// One store at each instance of a converged data centre.
struct ListTrial {
    fleet: Fleet,
    stores: Vec<ListStore>,
    fetched: u64,
    calls: u64,
    spent: Duration,
}

fn measure_list(size: usize, parts: usize, bytes: usize) {
    let mut fleet = start_fleet(size);
    time_until(&mut fleet, is_converged);
    let store = || ListStore::new(ListOptions::default().builder(Box::new(AnyBuilder)));
    let stores = (0..size).map(|_| store()).collect();
    let mut trial = ListTrial { fleet, stores, fetched: 0, calls: 0, spent: Duration::ZERO };
    let mut texts: Vec<Vec<u8>> =
        (0..parts).map(|number| vec![b'a' + number as u8 % 26; bytes / parts - number]).collect();

    let whole_s = trial.spread(1, &texts);
    let whole = trial.drain_cost(size);
    texts[parts / 2].fill(b'!');
    let change_s = trial.spread(2, &texts);
    let change = trial.drain_cost(size);
    print_row(
        "list",
        &[
            ("members", size as f64),
            ("list_bytes", bytes as f64),
            ("parts", parts as f64),
            ("whole_bytes_per_member", whole.0),
            ("whole_at_all_s", whole_s),
            ("change_bytes_per_member", change.0),
            ("change_calls_per_member", change.1),
            ("change_cpu_us_per_member", change.2),
            ("change_at_all_s", change_s),
            ("bytes_per_s_at_16000_changes_a_day", change.0 * CHANGES_PER_DAY / 86_400.0),
        ],
    );
}

impl ListTrial {
    /// Publishes a list to the first instance and runs until all instances have it. Returns the
    /// time in seconds.
    fn spread(&mut self, revision: u64, texts: &[Vec<u8>]) -> f64 {
        let manifest_part = |(number, text): (usize, &Vec<u8>)| ManifestPart {
            name: format!("part-{number:03}"),
            digest: digest_of(text),
        };
        let manifest =
            Manifest { revision, parts: texts.iter().enumerate().map(manifest_part).collect() };
        let start = self.fleet.now;
        let now = ClockTime::from_micros(start);
        self.stores[0].on_manifest(now, ListSource::Platform, manifest);
        let parts =
            texts.iter().map(|text| ListPart { digest: digest_of(text), text: text.clone() });
        self.stores[0].on_parts(now, ListSource::Platform, parts.collect());
        let version = self.stores[0].version();
        assert_eq!(version.revision, revision);
        self.fleet.nodes[0].member.set_list_version(version);

        let mut pending: BTreeMap<usize, Vec<ListEffect>> = BTreeMap::new();
        while self.stores.iter().any(|store| store.version() != version) {
            self.fleet.run(STEP);
            for (reader, effects) in std::mem::take(&mut pending) {
                for effect in effects {
                    let effects = self.fetch(reader, effect);
                    pending.entry(reader).or_default().extend(effects);
                }
            }
            for reader in 0..self.stores.len() {
                let effects = self.report_versions(reader);
                pending.entry(reader).or_default().extend(effects);
            }
        }
        (self.fleet.now - start) as f64 / 1e6
    }

    fn report_versions(&mut self, reader: usize) -> Vec<ListEffect> {
        let now = ClockTime::from_micros(self.fleet.now);
        let reported = std::mem::take(&mut self.fleet.nodes[reader].versions);
        let start = Instant::now();
        let store = &mut self.stores[reader];
        let mut effects = store.on_tick(now);
        for (from, version) in reported {
            effects.extend(store.on_peer_version(now, from, version));
        }
        self.spent += start.elapsed();
        effects
    }

    fn fetch(&mut self, reader: usize, effect: ListEffect) -> Vec<ListEffect> {
        let now = ClockTime::from_micros(self.fleet.now);
        let start = Instant::now();
        let effects = match effect {
            ListEffect::FetchManifest { from } => {
                let manifest = self.stores[self.source_index(from)].manifest().unwrap_or_default();
                self.count(0, manifest.encoded_len());
                self.stores[reader].on_manifest(now, from, manifest)
            }
            ListEffect::FetchParts { from, digests } => {
                let parts = self.stores[self.source_index(from)].parts(&digests);
                let request = PartsRequest { digests }.encoded_len();
                self.count(request, PartsReply { parts: parts.clone() }.encoded_len());
                self.stores[reader].on_parts(now, from, parts)
            }
            ListEffect::Accepted(list) => {
                self.fleet.nodes[reader].member.set_list_version(list.version);
                Vec::new()
            }
            ListEffect::Audit(_) => Vec::new(),
        };
        self.spent += start.elapsed();
        effects
    }

    fn source_index(&self, from: ListSource) -> usize {
        let ListSource::Peer(address) = from else { return 0 };
        (0..self.stores.len()).find(|index| control(*index) == address).unwrap_or(0)
    }

    fn count(&mut self, request: usize, reply: usize) {
        self.fetched += (request + reply) as u64 + REQUEST_OVERHEAD + REPLY_OVERHEAD;
        self.calls += 1;
    }

    /// Returns the bytes, calls and processor microseconds per member since the last call.
    fn drain_cost(&mut self, size: usize) -> (f64, f64, f64) {
        let members = size as f64;
        let cost = (
            self.fetched as f64 / members,
            self.calls as f64 / members,
            self.spent.as_secs_f64() * 1e6 / members,
        );
        (self.fetched, self.calls, self.spent) = (0, 0, Duration::ZERO);
        cost
    }
}

/// Returns the resident memory of this process, or 0 where the system does not report it.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    number.unwrap_or(0) * 1024
}

fn print_row(kind: &str, fields: &[(&str, f64)]) {
    println!("{kind}");
    for (name, value) in fields {
        println!("  {name:<36} {value:>14.3}");
    }
    let json: Vec<_> =
        fields.iter().map(|(name, value)| format!("\"{name}\":{value:.4}")).collect();
    println!("{{\"kind\":\"{kind}\",{}}}", json.join(","));
}
