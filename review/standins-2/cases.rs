//! The cases: what happens in each, and how its rule is checked.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{Client, InstanceSpec, Outcome, Record, TargetSpec, World, flow_text, lock, log_lines, world};

type CaseRun = fn(&Arc<Record>, &Path, bool) -> bool;

pub fn find(name: &str) -> Option<CaseRun> {
    match name {
        "cold" => Some(cold),
        "token" => Some(token),
        "settings" => Some(settings),
        "pages" => Some(pages),
        "split" => Some(split),
        _ => None,
    }
}

fn instance(world: &World, name: &str, zone: &str, group: u8, host: u8) -> InstanceSpec {
    InstanceSpec { name: name.to_owned(), zone: zone.to_owned(), ip: world.net.ip(group, host) }
}

struct Route<'a> {
    name: &'a str,
    port: u16,
    kind: &'a str,
    service: &'a str,
}

/// Writes the operator's configuration.
fn put_config(world: &World, version: u64, routes: &[Route<'_>], warmup: (f64, f64)) {
    let host = world.net.ip(200, 1);
    let routes_text: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{host}\",\"prefix\":\"/{}/\",\"type\":\"{}\",\"timeout_ms\":4000,\"aim_ms\":500,\"priority\":2,\"service\":\"{}\",\"attempts\":2}}",
                route.name, route.port, route.kind, route.service
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services_text: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{:?},\"warmup_per_s\":{:?}}}",
                warmup.0, warmup.1
            )
        })
        .collect();
    world.store.put(
        "op/config",
        &format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes_text.join(","),
            services_text.join(",")
        ),
    );
}

/// FAILBACK: a cold target of an evacuated zone that is cut off gets more requests in a second than
/// it may.
fn cold(record: &Arc<Record>, root: &Path, has_trouble: bool) -> bool {
    const WARMUP_S: f64 = 6.0;
    const WARMUP_PER_S: f64 = 4.0;
    /// `warmup_per_s` x `warmup_overrun` + `warmup_slack`.
    const LIMIT: usize = (WARMUP_PER_S * 1.5) as usize + 5;
    const CUT_S: f64 = 5.5;
    let world = world(record, root, &["alpha", "beta"]);
    let specs = [("alpha", 1, 1), ("alpha", 1, 2), ("beta", 2, 1), ("beta", 2, 2)];
    world.add_instances(
        specs
            .iter()
            .map(|(zone, group, host)| instance(&world, &format!("{zone}-{host}"), zone, *group, *host))
            .collect(),
    );
    let route = Route { name: "r-feed", port: 443, kind: "idempotent", service: "desk" };
    put_config(&world, 3, &[route], (WARMUP_S, WARMUP_PER_S));
    for host in 1..=6 {
        world.start_target(TargetSpec {
            id: format!("i-{:010x}", 0xb000_0000_u64 + u64::from(host)),
            service: "desk".to_owned(),
            zone: "beta".to_owned(),
            ip: world.net.ip(12, host),
            work_ms: 20,
            warmup_s: 0.0,
        });
    }
    world.start_all();
    thread::sleep(Duration::from_millis(1500));
    let begin = record.now();
    record.line("traffic starts");
    let (served, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let clients: Vec<_> = (1..=24_u8)
        .map(|host| {
            let machine = world.net.ip(1, 1 + host % 2);
            let client = Client::new(&world, world.net.ip(31, host), machine);
            let (world, served, failed) = (world.clone(), served.clone(), failed.clone());
            thread::spawn(move || {
                let service = (world.net.ip(200, 1), 443);
                thread::sleep(Duration::from_millis(10 * u64::from(host)));
                let mut next = world.record.now();
                while !world.stop.load(Ordering::Relaxed) {
                    next = (next + 0.25).max(world.record.now());
                    let outcome = match client.open(service) {
                        Some(mut flow) => {
                            let outcome =
                                client.request(&mut flow, "GET /feed", Duration::from_millis(2000));
                            client.close(&flow);
                            outcome
                        }
                        None => Outcome::NotOpened,
                    };
                    let count = if outcome == Outcome::Served { &served } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    world.record.sleep_until(next);
                }
            })
        })
        .collect();

    record.sleep_until(begin + 2.0);
    record.line("planned: two empty targets are added in alpha; they are cold for 6 s");
    let cold_targets: Vec<_> = (1..=2)
        .map(|host| {
            world.start_target(TargetSpec {
                id: format!("i-{:010x}", 0xa000_0000_u64 + u64::from(host)),
                service: "desk".to_owned(),
                zone: "alpha".to_owned(),
                ip: world.net.ip(11, host),
                work_ms: 20,
                warmup_s: WARMUP_S,
            })
        })
        .collect();
    record.sleep_until(begin + 2.5);
    record.line("planned: alpha is evacuated");
    world.store.put("op/evacuate/alpha", "{}");
    record.sleep_until(begin + 3.0);
    if has_trouble {
        record.line("zone_cut: alpha is cut off from beta and the store; clients still reach it");
        world.net.cut("alpha", true);
    }
    record.sleep_until(begin + 3.0 + CUT_S);
    if has_trouble {
        world.net.cut("alpha", false);
        record.line("zone_cut ends");
    }
    record.sleep_until(begin + 12.0);
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut is_broken = false;
    for target in &cold_targets {
        let (from, until) = (target.started_at, target.started_at + WARMUP_S);
        let (arrivals, sent_at) = (lock(&world.arrivals), lock(&world.sent_at));
        // When each request was sent and when it arrived.
        let openings: Vec<(f64, f64)> = arrivals
            .iter()
            .filter(|one| one.target == target.spec.id && one.is_opening && !one.is_held)
            .filter(|one| (from..until).contains(&one.at))
            .filter_map(|one| Some((*sent_at.get(&one.flow)?, one.at)))
            .collect();
        let is_in = |from: f64, one: &(f64, f64)| one.0 >= from && one.1 < from + 1.0;
        let count_from = |from: f64| openings.iter().filter(|one| is_in(from, one)).count();
        let most = openings.iter().map(|one| (count_from(one.0), one.0)).max_by_key(|one| one.0);
        let (most, at) = most.unwrap_or_default();
        record.line(&format!(
            "check: cold target {} got {} requests while cold, at most {most} of them sent and arrived in one second (from {at:.3}); allowed {LIMIT}",
            target.spec.id,
            openings.len()
        ));
        is_broken |= most > LIMIT;
    }
    record.line(&format!(
        "requests served {}, failed {}",
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    world.end();
    is_broken
}

/// FLOW: after a planned restart of an instance, packets of an open flow go to another target whose
/// id folds to the same 32 bits.
fn token(record: &Arc<Record>, root: &Path, has_trouble: bool) -> bool {
    let world = world(record, root, &["alpha"]);
    world.add_instances(
        (1..=3).map(|host| instance(&world, &format!("alpha-{host}"), "alpha", 1, host)).collect(),
    );
    let route = Route { name: "r-feed", port: 443, kind: "idempotent", service: "desk" };
    put_config(&world, 3, &[route], (2.0, 0.0));
    let target = |id: &str, host: u8| TargetSpec {
        id: id.to_owned(),
        service: "desk".to_owned(),
        zone: "alpha".to_owned(),
        ip: world.net.ip(11, host),
        work_ms: 20,
        warmup_s: 0.0,
    };
    // 0x0012345678 and 0x0112345679: the halves of each, combined by exclusive or, are 0x12345678.
    let (first, second) = ("i-0012345678", "i-0112345679");
    world.start_target(target(first, 1));
    world.start_target(target("i-00a1b2c3d4", 2));
    world.start_target(target("i-01d4c3b2a1", 3));
    world.start_all();
    thread::sleep(Duration::from_millis(1500));
    let begin = record.now();
    record.line("traffic starts");
    let broken = Arc::new(AtomicU32::new(0));
    let clients: Vec<Arc<Client>> = (0..18_u8)
        .map(|index| Client::new(&world, world.net.ip(31, 1 + index), world.net.ip(1, 1 + index % 3)))
        .collect();
    let threads: Vec<_> = clients
        .iter()
        .cloned()
        .enumerate()
        .map(|(index, client)| {
            let (world, broken) = (world.clone(), broken.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(30 * index as u64));
                let Some(mut flow) = client.open((world.net.ip(200, 1), 443)) else { return };
                while !world.stop.load(Ordering::Relaxed) {
                    let outcome = client.request(&mut flow, "GET /feed", Duration::from_millis(4000));
                    let outcome = match outcome {
                        Outcome::Served => client.idle(&mut flow, Duration::from_millis(400)),
                        other => Some(other),
                    };
                    match outcome {
                        None => {}
                        Some(Outcome::TargetReset | Outcome::SystemReset) => {
                            broken.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                        Some(_) => return,
                    }
                }
            })
        })
        .collect();
    record.sleep_until(begin + 3.0);
    record.line("planned: an empty target is added");
    world.start_target(target(second, 4));
    record.sleep_until(begin + 5.0);
    for round in 0..if has_trouble { 2 } else { 0 } {
        for host in 1..=3_u8 {
            let one = world.instance(&format!("alpha-{host}"));
            let other = world.net.ip(1, 1 + host % 3);
            record.line(&format!("roll_term, round {round}: SIGTERM to {}", one.spec.name));
            let stopping = {
                let (world, one) = (world.clone(), one.clone());
                thread::spawn(move || world.stop_instance(&one, 6.0))
            };
            // The routers take it out of rotation after two missed checks, half a second apart.
            let mut misses = 0;
            while misses < 2 {
                misses = if one.is_ready() { 0 } else { misses + 1 };
                thread::sleep(Duration::from_millis(500));
            }
            let own: Vec<_> = clients.iter().enumerate().filter(|(index, _)| index % 3 == usize::from(host - 1)).collect();
            own.iter().for_each(|(_, client)| client.route_through(other));
            record.line(&format!("{} is out of rotation", one.spec.name));
            let _ = stopping.join();
            world.start_instance(&one);
            if !world.wait_ready(&one, 15.0) {
                world.fail("an instance isn't ready again");
            }
            own.iter().for_each(|(_, client)| client.route_through(one.spec.ip));
            record.line(&format!("{} is in rotation again", one.spec.name));
            thread::sleep(Duration::from_millis(2600));
        }
    }
    record.sleep_until(begin + 12.0);
    world.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let arrivals = lock(&world.arrivals).clone();
    let mut is_broken = false;
    let mut own_target = std::collections::HashMap::new();
    for one in arrivals.iter().filter(|one| one.is_opening) {
        own_target.entry(one.flow).or_insert_with(|| one.target.clone());
    }
    for (flow, own) in &own_target {
        let strays = arrivals.iter().filter(|one| one.flow == *flow && one.target != *own).count();
        if strays > 0 {
            record.line(&format!("check: {strays} packets of {} of {own} reached another target", flow_text(flow)));
            is_broken = true;
        }
    }
    let resets = broken.load(Ordering::Relaxed);
    record.line(&format!("check: {resets} open flows got a reset that their target didn't send"));
    is_broken &= resets > 0;
    world.end();
    is_broken
}

/// Fault: processes don't start with settings that the pages allow.
fn settings(record: &Arc<Record>, root: &Path, has_trouble: bool) -> bool {
    const RECOVERY_S: f64 = 12.0;
    let world = world(record, root, &["alpha"]);
    world.add_instances(
        (1..=2).map(|host| instance(&world, &format!("alpha-{host}"), "alpha", 1, host)).collect(),
    );
    let route = Route { name: "r-feed", port: 443, kind: "idempotent", service: "desk" };
    put_config(&world, 3, &[route], (2.0, 4.0));
    for host in 1..=3 {
        world.start_target(TargetSpec {
            id: format!("i-{:010x}", 0xa000_0000_u64 + u64::from(host)),
            service: "desk".to_owned(),
            zone: "alpha".to_owned(),
            ip: world.net.ip(11, host),
            work_ms: 20,
            warmup_s: 0.0,
        });
    }
    world.start_all();
    thread::sleep(Duration::from_millis(1000));
    let begin = record.now();
    record.line("traffic starts");
    let served_at = Arc::new(std::sync::Mutex::new(Vec::new()));
    let clients: Vec<_> = (1..=6_u8)
        .map(|host| {
            let client = Client::new(&world, world.net.ip(31, host), world.net.ip(1, 1 + host % 2));
            let (world, served_at) = (world.clone(), served_at.clone());
            thread::spawn(move || {
                let service = (world.net.ip(200, 1), 443);
                while !world.stop.load(Ordering::Relaxed) {
                    let sent_at = world.record.now();
                    if let Some(mut flow) = client.open(service) {
                        let outcome = client.request(&mut flow, "GET /feed", Duration::from_millis(2000));
                        client.close(&flow);
                        if outcome == Outcome::Served {
                            lock(&served_at).push(sent_at);
                        }
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    record.sleep_until(begin + 2.0);
    if has_trouble {
        record.line("hup: the settings change: warmup_slack is 2.5 from now on");
        for (key, value) in lock(&world.bounds).iter_mut() {
            if key == "warmup_slack" {
                *value = "2.5".to_owned();
            }
        }
    } else {
        record.line("hup: the settings are written again, unchanged");
    }
    for host in 1..=2 {
        let one = world.instance(&format!("alpha-{host}"));
        world.write_settings(&one);
        one.signal("HUP");
    }
    record.sleep_until(begin + 4.0);
    let mut ends = 0;
    for host in 1..=2 {
        let one = world.instance(&format!("alpha-{host}"));
        record.line(&format!("roll_term: SIGTERM to {}", one.spec.name));
        world.stop_instance(&one, 6.0);
        for _ in 0..3 {
            world.start_instance(&one);
            if world.wait_ready(&one, 3.0) {
                record.line(&format!("{} is ready again", one.spec.name));
                break;
            }
            if let Some(status) = one.exit_status() {
                record.line(&format!("{} ended by itself: {status}", one.spec.name));
                ends += 1;
            }
        }
        for line in log_lines(&one, &["warmup", "slack", "finding", "whole number"]).iter().take(3) {
            record.line(&format!("its log: {line}"));
        }
    }
    let rolled_at = record.now();
    record.sleep_until(rolled_at + RECOVERY_S + 4.0);
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let served_at = lock(&served_at).clone();
    let before = served_at.iter().filter(|at| **at < begin + 4.0).count();
    let after = served_at.iter().filter(|at| **at > rolled_at + RECOVERY_S).count();
    record.line(&format!("check: processes that ended by themselves: {ends}; served before {before}, later than {RECOVERY_S} s after the restarts {after}"));
    world.end();
    ends >= 3 || after == 0
}

/// CONFIG: after a short outage of the store, nothing is read any more, as entries of another writer
/// make the whole reading too long.
fn pages(record: &Arc<Record>, root: &Path, has_trouble: bool) -> bool {
    /// More than the pages of a whole reading, at 1 MB a page.
    const FOREIGN_ENTRIES: u64 = 170;
    /// `value_bytes` of the settings.
    const VALUE_BYTES: usize = 1_048_576;
    const CONFIG_APPLY_S: f64 = 3.0;
    const STABLE_S: f64 = 4.0;
    const OUTAGE_S: f64 = 4.5;
    let world = world(record, root, &["alpha"]);
    world.add_instances(
        (1..=3).map(|host| instance(&world, &format!("alpha-{host}"), "alpha", 1, host)).collect(),
    );
    let keep = || Route { name: "r-keep", port: 443, kind: "idempotent", service: "desk" };
    let drop = || Route { name: "r-drop", port: 8443, kind: "idempotent", service: "desk" };
    put_config(&world, 3, &[keep(), drop()], (2.0, 0.0));
    for host in 1..=3 {
        world.start_target(TargetSpec {
            id: format!("i-{:010x}", 0xa000_0000_u64 + u64::from(host)),
            service: "desk".to_owned(),
            zone: "alpha".to_owned(),
            ip: world.net.ip(11, host),
            work_ms: 20,
            warmup_s: 0.0,
        });
    }
    world.start_all();
    thread::sleep(Duration::from_millis(1000));
    let begin = record.now();
    record.line("traffic starts");
    let tries = Arc::new(std::sync::Mutex::new(Vec::new()));
    let clients: Vec<_> = (1..=6_u8)
        .map(|host| {
            let client = Client::new(&world, world.net.ip(31, host), world.net.ip(1, 1 + host % 3));
            let (world, tries) = (world.clone(), tries.clone());
            let port = if host <= 3 { 443 } else { 8443 };
            thread::spawn(move || {
                while !world.stop.load(Ordering::Relaxed) {
                    let sent_at = world.record.now();
                    let mut outcome = Outcome::NotOpened;
                    if let Some(mut flow) = client.open((world.net.ip(200, 1), port)) {
                        outcome = client.request(&mut flow, "GET /feed", Duration::from_millis(2000));
                        client.close(&flow);
                    }
                    lock(&tries).push((sent_at, port, outcome));
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    record.line("another writer puts entries of 1 MB whose bytes can't be read, five a second");
    for index in 0..FOREIGN_ENTRIES {
        let mut bits = index.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let bytes: Vec<u8> = (0..VALUE_BYTES)
            .map(|_| {
                bits ^= bits << 13;
                bits ^= bits >> 7;
                bits ^= bits << 17;
                bits as u8
            })
            .collect();
        world.store.put_bytes(&format!("servers/w-{index:010x}"), &bytes);
        record.sleep_until(begin + (index + 1) as f64 / 5.0);
    }
    thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        record.line("platform_down (silent): the store answers nothing for 4.5 s");
        world.store.set_down(true);
    }
    thread::sleep(Duration::from_secs_f64(OUTAGE_S));
    world.store.set_down(false);
    record.line("the store is up");
    thread::sleep(Duration::from_secs_f64(STABLE_S + 2.0));
    put_config(&world, 9, &[keep()], (2.0, 0.0));
    let acked_at = record.now();
    record.line("the operator's version 9, without the route r-drop, is acknowledged");
    thread::sleep(Duration::from_secs_f64(CONFIG_APPLY_S + 15.0));
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for name in ["alpha-1", "alpha-2", "alpha-3"] {
        let lines = log_lines(&world.instance(name), &["store_lost", "too many pages"]);
        for line in lines.iter().rev().take(2) {
            record.line(&format!("log of {name}: {line}"));
        }
    }
    let tries = lock(&tries).clone();
    let count = |port: u16, from: f64, until: f64, is_served: bool| {
        let is_in = |one: &&(f64, u16, Outcome)| {
            one.1 == port && one.0 > from && one.0 < until && (one.2 == Outcome::Served) == is_served
        };
        tries.iter().filter(is_in).count()
    };
    let late = acked_at + CONFIG_APPLY_S;
    let broken = count(8443, late, f64::MAX, true);
    record.line(&format!(
        "check: requests with the dropped route that ran: {} before the change, {broken} of {} sent later than 3 s after it",
        count(8443, begin, acked_at, true),
        broken + count(8443, late, f64::MAX, false)
    ));
    record.line(&format!("requests with the kept route served: {}", count(443, begin, f64::MAX, true)));
    world.end();
    broken > 0
}

/// FAILBACK: after all processes were killed at the same moment, those of a zone without a seed know
/// each other in groups only, and each group sends to a cold target.
fn split(record: &Arc<Record>, root: &Path, has_trouble: bool) -> bool {
    const MACHINES: u8 = 20;
    const SEEDS: u8 = 3;
    const ROUNDS: u8 = 6;
    const WARMUP_S: f64 = 4.0;
    const WARMUP_PER_S: f64 = 2.0;
    /// `warmup_per_s` x `warmup_overrun` + `warmup_slack`.
    const LIMIT: usize = (WARMUP_PER_S * 1.5) as usize + 5;
    let world = world(record, root, &["alpha", "beta"]);
    let mut specs: Vec<InstanceSpec> = (1..=SEEDS)
        .map(|host| instance(&world, &format!("beta-{host}"), "beta", 2, host))
        .collect();
    specs.extend((1..=MACHINES).map(|host| instance(&world, &format!("alpha-{host}"), "alpha", 1, host)));
    world.add_instances(specs);
    let route = Route { name: "r-feed", port: 443, kind: "idempotent", service: "desk" };
    put_config(&world, 3, &[route], (WARMUP_S, WARMUP_PER_S));
    let target = |zone: &str, group: u8, host: u8, warmup_s: f64| TargetSpec {
        id: format!("i-{:010x}", 0xa000_0000_u64 + 256 * u64::from(group) + u64::from(host)),
        service: "desk".to_owned(),
        zone: zone.to_owned(),
        ip: world.net.ip(group, host),
        work_ms: 20,
        warmup_s,
    };
    for host in 1..=6 {
        world.start_target(target("beta", 12, host, 0.0));
    }
    world.start_target(target("alpha", 11, 200, 0.0));
    world.start_all();
    let all = lock(&world.instances).clone();
    let knows_all = |one: &Arc<crate::Instance>| {
        // Those of other zones know eight of alpha's at most.
        one.spec.zone == "beta"
            || one.metric("peers").is_some_and(|count| count as usize == all.len() - 1)
    };
    let settled_by = record.now() + 50.0;
    while !all.iter().all(knows_all) {
        if record.now() > settled_by {
            world.fail("the machines don't know each other after 50 s");
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line("every machine of alpha knows all others");
    thread::sleep(Duration::from_millis(2500));
    record.line("traffic starts");
    let clients: Vec<_> = (1..=60_u8)
        .map(|host| {
            let machine = world.net.ip(1, 1 + host % MACHINES);
            let client = Client::new(&world, world.net.ip(31, host), machine);
            let world = world.clone();
            thread::spawn(move || {
                let service = (world.net.ip(200, 1), 443);
                thread::sleep(Duration::from_millis(5 * u64::from(host)));
                let mut next = world.record.now();
                while !world.stop.load(Ordering::Relaxed) {
                    next = (next + 0.2).max(world.record.now());
                    if let Some(mut flow) = client.open(service) {
                        client.request(&mut flow, "GET /feed", Duration::from_millis(2000));
                        client.close(&flow);
                    }
                    world.record.sleep_until(next);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    let mut cold_targets = Vec::new();
    for round in 0..ROUNDS {
        if has_trouble {
            record.line(&format!("herd_kill, round {round}: all processes are killed and started again"));
            all.iter().for_each(|one| world.kill_instance(one));
            thread::sleep(Duration::from_millis(300));
            // All start within 0.3 s of each other.
            all.iter().for_each(|one| world.start_instance(one));
        } else {
            thread::sleep(Duration::from_millis(300));
        }
        thread::sleep(Duration::from_millis(2000));
        record.line("planned: two empty targets are added in alpha; they are cold for 4 s");
        cold_targets.extend((1..=2).map(|host| world.start_target(target("alpha", 11, 2 * round + host, WARMUP_S))));
        thread::sleep(Duration::from_millis(4200));
        record.line("planned: these targets are emptied");
        cold_targets.iter().rev().take(2).for_each(|one| world.drain_target(one));
        let counts: Vec<String> = all
            .iter()
            .map(|one| one.metric("peers").map_or_else(|| "-".to_owned(), |count| count.to_string()))
            .collect();
        record.line(&format!("known peers of each machine: {}", counts.join(" ")));
        thread::sleep(Duration::from_millis(2500));
    }
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut is_broken = false;
    let (arrivals, sent_at) = (lock(&world.arrivals).clone(), lock(&world.sent_at).clone());
    for target in &cold_targets {
        let (from, until) = (target.started_at, target.started_at + WARMUP_S);
        let openings: Vec<(f64, f64, std::net::Ipv4Addr)> = arrivals
            .iter()
            .filter(|one| one.target == target.spec.id && one.is_opening && !one.is_held)
            .filter(|one| (from..until).contains(&one.at))
            .filter_map(|one| Some((*sent_at.get(&one.flow)?, one.at, one.machine)))
            .collect();
        let window = |from: f64| openings.iter().filter(move |one| one.0 >= from && one.1 < from + 1.0);
        let most = openings.iter().map(|one| (window(one.0).count(), one.0)).max_by_key(|one| one.0);
        let (most, at) = most.unwrap_or_default();
        let senders: std::collections::HashSet<_> = window(at).map(|one| one.2).collect();
        record.line(&format!(
            "check: cold target {} got at most {most} requests that were sent and arrived in one second (from {at:.3}, from {} machines); allowed {LIMIT}",
            target.spec.id,
            senders.len()
        ));
        is_broken |= most > LIMIT;
    }
    world.end();
    is_broken
}
