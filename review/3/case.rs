//! Case 3: a long entry of another writer, and changes after it.

#[path = "../standins/common.rs"]
mod common;

use std::{
    net::SocketAddrV4,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use common::{
    Client, Instance, Outcome, Record, Routers, Seen, Store, Target, cannot_run, finish,
    free_ports, has_trouble, loopback, sleep_ms, wait_ready,
};

const ZONES: [&str; 3] = ["mid-a", "mid-b", "mid-c"];
const INSTANCES: u16 = 6;
const DESK_TARGETS: u16 = 14;
const ROUNDS: usize = 9;
/// Rounds in which a target is replaced: 6 of 14, a share of 0.43.
const RELEASES: usize = 6;
const DRAIN_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 3_000;
/// How long a draining target goes on serving.
const LEAVE_MS: u64 = 7_000;
const DEADLINE_MS: u64 = 1_000;
/// Length of the name of the service in the other writer's entry.
const FOREIGN_BYTES: usize = 4_000;
/// Time from the other writer's entry to the changes of operator and target.
const CHANGE_DELAY_MS: u64 = 300;

/// Returns the configuration, with or without the route of port 8443.
fn config(version: u64, has_second: bool) -> String {
    let route = |name: &str, port: u16| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"127.198.0.1\",\"prefix\":\"/{port}/\",\"type\":\"idempotent\",\
             \"timeout_ms\":1000,\"aim_ms\":100,\"priority\":2,\"service\":\"redirect-desk\",\"attempts\":2}}"
        )
    };
    let mut routes = vec![route("address-feed", 443)];
    if has_second {
        routes.push(route("second", 8_443));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"redirect-desk\",\"health_path\":\"/health\",\
         \"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// The end of a try of the second route: when it was sent, through which instance, and how it ended.
type Try = (u64, u16, Outcome);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = Record::create(&PathBuf::from(std::env::args().nth(2).expect("record.txt")));
    let seen = Seen::default();
    let store_ip = loopback(9, 0);
    let store_address = SocketAddrV4::new(store_ip, free_ports(store_ip).data);
    let store = Store::start(store_address, 500, record.clone());
    let mut version = 7;
    store.write("op/config", Some(&config(version, true)));
    let start_target = |index: u16| {
        let id = format!("i-{:08x}", 0x1a2b_0000 + u32::from(index) * 977);
        let address = SocketAddrV4::new(loopback(4, index), 8_080);
        let mut target = Target::new(&id, "redirect-desk", ZONES[usize::from(index) % 3], address);
        (target.work_ms, target.is_quiet) = (15, true);
        let target = target.serve(&seen, &record, true).0;
        store.write(&target.key(), Some(&target.entry(1)));
        target
    };
    let targets: Vec<_> = (0..DESK_TARGETS).map(start_target).collect();

    let ports = free_ports(loopback(1, 0));
    let seeds: Vec<_> =
        (0..3).map(|index| SocketAddrV4::new(loopback(1, index), ports.peer)).collect();
    let mut instances: Vec<_> = (0..INSTANCES)
        .map(|index| {
            let zone = ZONES[usize::from(index) % 3];
            let name = format!("frontend-{zone}-{}", 1 + index / 3);
            Instance::new(
                &folder,
                &name,
                zone,
                &ZONES,
                loopback(1, index),
                ports,
                &seeds,
                store.address,
                "",
            )
        })
        .collect();
    instances.iter_mut().for_each(Instance::start);
    wait_ready(&instances);
    sleep_ms(3_000);

    let feed = SocketAddrV4::new([127, 198, 0, 1].into(), 443);
    let second = SocketAddrV4::new([127, 198, 0, 1].into(), 8_443);
    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut threads = Vec::new();
    for instance in 0..INSTANCES {
        let data = vec![instances[usize::from(instance)].data];
        let routers = Routers { instances: Arc::new(Mutex::new(data)) };
        for (index, service) in [feed, feed, second].into_iter().enumerate() {
            let ip = loopback(2, instance * 3 + index as u16);
            let mut client = Client::new(ip, ports.data, service, &routers, &record);
            let (stop, tries, record) = (stop.clone(), tries.clone(), record.clone());
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let sent_ms = record.ms();
                    let mut outcome = client.open();
                    if outcome == Outcome::Answered(String::new()) {
                        outcome = client.request(&format!("r-{sent_ms}"), DEADLINE_MS);
                    }
                    client.close();
                    client.renew();
                    if service == second {
                        tries.lock().unwrap().push((sent_ms, instance, outcome));
                    }
                    sleep_ms(20);
                }
            }));
        }
    }
    sleep_ms(2_000);
    if seen.runs.lock().unwrap().is_empty() {
        cannot_run("the system doesn't serve before the disruption");
    }

    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let is_release = round < RELEASES;
        if is_release {
            let newer = start_target(DESK_TARGETS + round as u16);
            record.say(format!("release: {} starts and registers", newer.id));
        }
        sleep_ms(500 + 437 * (round as u64 % 4));
        if has_trouble() {
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"127.77.7.7:7777\",\"zone\":\"mid-a\",\"version\":\"v1\",\
                 \"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}}",
                "x".repeat(FOREIGN_BYTES)
            );
            let key = format!("servers/i-{:08x}", 0x7700_0001 + round);
            store.write(&key, Some(&entry));
            record.say(format!(
                "another writer writes {key}, {} bytes, with a service that isn't named",
                entry.len()
            ));
        }
        sleep_ms(CHANGE_DELAY_MS);
        let target = &targets[round];
        if is_release {
            target.drain();
            store.write(&target.key(), Some(&target.entry(2)));
            record.say(format!("release: the store acknowledges that {} is draining", target.id));
        }
        version += 3;
        let has_second = round % 2 == 1;
        store.write("op/config", Some(&config(version, has_second)));
        let acked_ms = record.ms();
        record.say(format!(
            "the store acknowledges version {version}, which {} the route of port 8443",
            if has_second { "adds" } else { "removes" }
        ));
        sleep_ms(LEAVE_MS);
        let openings = seen.openings.lock().unwrap().clone();
        let late_openings: Vec<u64> = openings
            .iter()
            .filter(|one| is_release && one.target == target.id)
            .filter(|one| one.at_ms > acked_ms + DRAIN_MS)
            .map(|one| one.at_ms - acked_ms)
            .collect();
        let is_old = |outcome: &Outcome| match has_second {
            true => *outcome == Outcome::SystemReset,
            false => matches!(outcome, Outcome::Answered(_)),
        };
        let late_tries: Vec<(u64, u16)> = tries
            .lock()
            .unwrap()
            .iter()
            .filter(|(sent_ms, _, outcome)| {
                *sent_ms > acked_ms + CONFIG_APPLY_MS && is_old(outcome)
            })
            .map(|(sent_ms, instance, _)| (sent_ms - acked_ms, *instance))
            .collect();
        let last_opening = late_openings.iter().max();
        let last_try = late_tries.iter().max().map(|(at_ms, instance)| {
            format!("the last {at_ms} ms after it, by {}", instances[usize::from(*instance)].name)
        });
        record.say(format!(
            "round {round}: more than drain_ms after the acknowledgement {} new flows at {}{}; more than \
             config_apply_ms after it {} requests by the old version{}",
            late_openings.len(),
            target.id,
            last_opening.map_or(String::new(), |at_ms| format!(", the last {at_ms} ms after it")),
            late_tries.len(),
            last_try.map_or(String::new(), |text| format!(", {text}")),
        ));
        broken.push((!late_openings.is_empty(), !late_tries.is_empty()));
        if is_release {
            store.write(&target.key(), None);
            target.stop();
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(instances);
    let drain = broken.iter().filter(|(drain, _)| *drain).count();
    let config = broken.iter().filter(|(_, config)| *config).count();
    record.say(format!("of {ROUNDS} rounds DRAIN was broken in {drain}, CONFIG in {config}"));
    finish(i32::from(drain + config > 0));
}
