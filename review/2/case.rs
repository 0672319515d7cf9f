//! Case 2: pages of a serializable reading that are of different age.

#[path = "../standins/common.rs"]
mod common;

use std::{net::SocketAddrV4, path::PathBuf, sync::atomic::Ordering};

use common::{
    Client, Instance, Outcome, Record, Routers, Seen, Store, Target, cannot_run, finish,
    free_ports, has_trouble, loopback, sleep_ms, wait_ready,
};

/// "at most about 500 items": PROTOCOL.md, the platform's metadata store.
const PAGE_ITEMS: usize = 500;
/// Targets of the service to which no client of this case sends.
const INTAKE_TARGETS: u16 = 512;
/// "may be seconds old": the lag of the replica that answers later pages.
const REPLICA_LAG_MS: u32 = 3_000;
const STABLE_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 5_000;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"feed","host":"127.198.0.1","prefix":"/443/","type":"idempotent","timeout_ms":5000,"aim_ms":400,"priority":2,"service":"auction-desk","attempts":2},
{"name":"bid","host":"127.198.0.1","prefix":"/8443/","type":"non_idempotent","timeout_ms":5000,"aim_ms":400,"priority":1,"service":"auction-desk","attempts":2},
{"name":"upload","host":"127.198.0.2","prefix":"/443/","type":"upload","timeout_ms":5000,"aim_ms":500,"priority":2,"service":"lot-intake","attempts":2}],
"services":[{"name":"auction-desk","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"warmup_s":2.0,"warmup_per_s":0.0},
{"name":"lot-intake","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"warmup_s":2.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = Record::create(&PathBuf::from(std::env::args().nth(2).expect("record.txt")));
    let (has_kill, has_lag) = match std::env::var("TROUBLE").as_deref() {
        Ok("kill") => (true, false),
        _ => (has_trouble(), has_trouble()),
    };
    let seen = Seen::default();
    let store = Store::start(
        SocketAddrV4::new(loopback(9, 0), free_ports(loopback(9, 0)).data),
        PAGE_ITEMS,
        record.clone(),
    );
    store.write("op/config", Some(CONFIG));

    // Four targets serve the clients; 512 belong to the other service. Ids are hex numbers in no
    // particular order of service, as targets choose them.
    let zones = ["toledo-hall", "erie-hall", "duluth-hall"];
    let mut sockets = Vec::new();
    for index in 0..INTAKE_TARGETS {
        let id = format!("i-{:08x}", 0x0100_0000u32 + u32::from(index) * 0x0073_1357);
        let address = SocketAddrV4::new(loopback(5, index / 100), 9_000 + index % 100);
        let zone = zones[usize::from(index) % 3];
        let (target, socket) =
            Target::start(&id, "lot-intake", zone, address, &seen, &record, false);
        store.write(&target.key(), Some(&target.entry(1)));
        sockets.push(socket);
    }
    let start_desk = |id: &str, index: u16, zone: &str| {
        let address = SocketAddrV4::new(loopback(4, index), 8_080);
        Target::start(id, "auction-desk", zone, address, &seen, &record, true).0
    };
    let mut desk = Vec::new();
    for (index, id) in
        ["i-11c0ffe1", "i-5a17b2c3", "i-9d20e4f5", "i-f7300002"].into_iter().enumerate()
    {
        let target = start_desk(id, index as u16, zones[index % 3]);
        store.write(&target.key(), Some(&target.entry(1)));
        desk.push(target);
    }
    let leaving = desk[3].clone();

    let ports = free_ports(loopback(1, 0));
    let peers: Vec<_> =
        (0..3).map(|index| SocketAddrV4::new(loopback(1, index), ports.peer)).collect();
    let mut instances: Vec<_> = (0..3u16)
        .map(|index| {
            let zone = zones[usize::from(index)];
            Instance::new(
                &folder,
                &format!("frontend-{zone}-1"),
                zone,
                &zones,
                loopback(1, index),
                ports,
                &peers,
                store.address,
                "",
            )
        })
        .collect();
    instances.iter_mut().for_each(Instance::start);
    wait_ready(&instances);
    // All targets have been registered for longer than any read is old.
    sleep_ms(4_000);
    let routers = Routers {
        instances: std::sync::Arc::new(std::sync::Mutex::new(
            instances.iter().map(|instance| instance.data).collect(),
        )),
    };
    let feed = SocketAddrV4::new([127, 198, 0, 1].into(), 443);
    let bid = SocketAddrV4::new([127, 198, 0, 1].into(), 8_443);
    let mut client_count = 0;
    let mut new_client = |service| {
        client_count += 1;
        Client::new(loopback(2, client_count - 1), ports.data, service, &routers, &record)
    };

    record.say("before: one flow and one request each of six clients");
    for index in 0..6 {
        let mut client = new_client(feed);
        let opened = client.open();
        let outcome = client.request(&format!("before-{index}"), DEADLINE_MS);
        if !matches!(outcome, Outcome::Answered(_)) {
            record.say(format!("before-{index}: {opened:?}, {outcome:?}"));
            cannot_run("the system doesn't serve before the disruption");
        }
        client.close();
    }

    record.say("release: a new target starts and registers");
    let fresh = start_desk("i-f7300001", 10, zones[0]);
    store.write(&fresh.key(), Some(&fresh.entry(1)));
    sleep_ms(300);
    let mut kept = Vec::new();
    for (name, service) in [("feed", feed), ("bid", bid)] {
        for attempt in 0..40 {
            let mut client = new_client(service);
            client.open();
            let outcome = client.request(&format!("{name}-first-{attempt}"), DEADLINE_MS);
            if outcome == Outcome::Answered(fresh.id.clone()) {
                record.say(format!(
                    "client {}: keeps its flow for {name} at {}",
                    client.ip, fresh.id
                ));
                kept.push((name, client));
                break;
            }
            client.close();
        }
    }
    if kept.len() < 2 {
        cannot_run("no flow was placed at the new target");
    }
    leaving.drain();
    store.write(&leaving.key(), Some(&leaving.entry(2)));
    let drain_acked_ms = record.ms();
    record.say(format!("release: the store acknowledges that {} is draining", leaving.id));
    sleep_ms(300);

    if has_lag {
        store.second_lag_ms.store(REPLICA_LAG_MS, Ordering::SeqCst);
        record.say(format!(
            "serializable reads of later pages are {REPLICA_LAG_MS} ms old from now on"
        ));
    }
    if has_kill {
        record.say("all instances are killed");
        instances.iter_mut().for_each(Instance::kill);
        sleep_ms(500);
        record.say("all instances are started again");
        instances.iter_mut().for_each(Instance::start);
    }
    let started_ms = record.ms();
    wait_ready(&instances);
    record.say("all instances are ready");
    sleep_ms(1_000);
    store.second_lag_ms.store(0, Ordering::SeqCst);
    record.say("serializable reads are up to date again; the store is calm from now on");
    let in_touch_ms = record.ms().max(started_ms) + STABLE_MS + 200;
    sleep_ms(in_touch_ms - record.ms());
    record.say("all machines have been in touch for the whole of stable_ms");

    for index in 0..12 {
        let mut client = new_client(feed);
        client.open();
        let outcome = client.request(&format!("late-{index}"), DEADLINE_MS);
        record.say(format!("late-{index}: {outcome:?}"));
        client.close();
        sleep_ms(50);
    }
    let openings = seen.openings.lock().unwrap().clone();
    let late_openings: Vec<_> = openings
        .iter()
        .filter(|opening| opening.target == leaving.id && opening.at_ms > drain_acked_ms + DRAIN_MS)
        .filter(|opening| opening.at_ms > in_touch_ms)
        .collect();
    record.say(format!(
        "new flows at the draining target {} more than drain_ms after the acknowledgement: {}",
        leaving.id,
        late_openings.len()
    ));

    let mut resets = 0;
    for (name, mut client) in kept {
        let outcome = client.request(&format!("{name}-second"), DEADLINE_MS);
        record.say(format!(
            "client {}: second request on its open flow for {name} at {}, which lives: {outcome:?}",
            client.ip, fresh.id
        ));
        resets += u32::from(outcome == Outcome::SystemReset);
    }
    for instance in &instances {
        for line in instance.log_lines("backend_vanished").into_iter().take(2) {
            record.say(format!("{} logs {line}", instance.name));
        }
    }
    drop(instances);
    let is_broken = resets > 0 || !late_openings.is_empty();
    record.say(format!(
        "FLOW {}, DRAIN {}",
        if resets > 0 { "broken" } else { "held" },
        if late_openings.is_empty() { "held" } else { "broken" },
    ));
    finish(i32::from(is_broken));
}
