//! Injects the faults of a plan into a run.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    backends::BackendSpec,
    links::{LinkFault, PeerFault},
    plan::{BurstSource, CorruptEntry, RestartAddress, SoakFault},
    store::{ReplicaLag, StoreMode},
    world::{BID_PORT, FEED_PORT, SoakWorld, centre_of, evacuation_key},
};

/// The time for which a draining backend server continues to run.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// The time from the return of the store until lapsed or lost entries are written again.
const ENTRY_RETURN_DELAY: Duration = Duration::from_millis(1_500);
/// The time from the return of the store until operators have written lost keys again.
const OPERATOR_REWRITE_DELAY: Duration = Duration::from_millis(50);
/// The time after the death of a backend server until its entry lapses.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);
/// The time after the death of a backend server until its address is reused.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2_000);
/// The number of a backend server that never starts.
const UNUSED_NUMBER: u64 = 0xfff_ffff;
/// The time between two lists or stop signals of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(300);

/// Injects a fault and returns when it has ended.
pub async fn apply_fault(world: Arc<SoakWorld>, fault: SoakFault) {
    match fault {
        SoakFault::Kill { instance, down_ms } => kill(&world, instance, down_ms).await,
        SoakFault::KillAll { down_ms } => {
            let all = (0..world.size()).map(|instance| {
                let world = world.clone();
                tokio::spawn(async move { kill(&world, instance, down_ms).await })
            });
            for task in all.collect::<Vec<_>>() {
                world.join_task(task).await;
            }
        }
        SoakFault::Stop { instance, times } => stop(&world, instance, times).await,
        SoakFault::Pause { instance, for_ms } => pause(&world, instance, for_ms).await,
        SoakFault::Reload { instance } => world.signal(instance, Signal::SIGHUP),
        SoakFault::StoreDown { how, for_ms } => {
            let mode = match how {
                0 => StoreMode::Refusing,
                1 => StoreMode::Silent,
                _ => StoreMode::Slow(250),
            };
            interrupt_store(&world, mode, for_ms).await;
        }
        SoakFault::StoreCompact => world.store.compact(),
        SoakFault::StoreRestored { age_ms, away_ms } => {
            restore_snapshot(&world, age_ms, away_ms).await;
        }
        SoakFault::StoreLapse { for_ms } => lapse_entries(&world, for_ms).await,
        SoakFault::StoreLink { instance, how, for_ms } => {
            store_link(&world, instance, how, for_ms).await;
        }
        SoakFault::PeerLink { instance, how, for_ms } => {
            peer_link(&world, instance, how, for_ms).await;
        }
        SoakFault::BackendDies { backend } => backend_dies(&world, backend).await,
        SoakFault::BackendReused { backend } => backend_reused(&world, backend).await,
        SoakFault::BackendReplaced { backend } => backend_replaced(&world, backend).await,
        SoakFault::BackendSilent { backend, for_ms } => {
            backend_silent(&world, backend, for_ms).await;
        }
        SoakFault::PacketLoss { per_mille, for_ms } => {
            packet_loss(&world, per_mille, for_ms).await;
        }
        SoakFault::BackendRestarts { backend, down_ms, restart } => {
            backend_restarts(&world, backend, down_ms, restart).await;
        }
        SoakFault::EntryCorrupted { backend, value, for_ms } => {
            corrupt_entry(&world, backend, value, for_ms).await;
        }
        SoakFault::EntryAdded { backend, value, for_ms } => {
            add_entry(&world, backend, value, for_ms).await;
        }
        SoakFault::LongEntry { name_bytes, for_ms } => {
            add_long_entry(&world, name_bytes, for_ms).await;
        }
        SoakFault::ReplicaLag { lag, for_ms } => {
            world.store.set_replica_lag(lag);
            sleep(Duration::from_millis(for_ms)).await;
            world.store.set_replica_lag(ReplicaLag::default());
        }
        SoakFault::Evacuate { centre, for_ms } => evacuate(&world, centre, for_ms).await,
        SoakFault::Publish { times } => {
            for _ in 0..times {
                world.publish_next_list();
                sleep(SERIES_INTERVAL).await;
            }
        }
        SoakFault::Burst { source, for_ms } => burst(&world, source, for_ms).await,
    }
}

/// Adds requests to the base load: 3.2 times the load of a data centre, 5 times the less urgent
/// requests, or 16 times the requests of one address.
async fn burst(world: &Arc<SoakWorld>, source: BurstSource, for_ms: u64) {
    let end = Instant::now() + Duration::from_millis(for_ms);
    let added: &[(u16, u64)] = match source {
        BurstSource::Centre(_) => &[(BID_PORT, 9), (FEED_PORT, 13)],
        BurstSource::Kind => &[(FEED_PORT, 24)],
        BurstSource::Caller(_) => &[(FEED_PORT, 150)],
    };
    let hosts = world.lock_hosts().clone();
    let is_source = |index: usize| match source {
        BurstSource::Centre(centre) => index % 2 == centre,
        BurstSource::Kind => true,
        BurstSource::Caller(caller) => index == caller,
    };
    for (_, host) in hosts.into_iter().enumerate().filter(|(index, _)| is_source(*index)) {
        for (port, per_s) in added {
            tokio::spawn(host.clone().run_rate(*port, *per_s, Some(end)));
        }
    }
    sleep(Duration::from_millis(for_ms)).await;
}

async fn kill(world: &Arc<SoakWorld>, instance: usize, down_ms: u64) {
    world.ledger.record_instance_fault(instance);
    world.with_instance(instance, |running| running.kill());
    sleep(Duration::from_millis(down_ms)).await;
    world.start_instance(instance);
}

/// Evacuates a data centre for some time, unless it is evacuated already.
async fn evacuate(world: &Arc<SoakWorld>, centre: usize, for_ms: u64) {
    let data_centre = centre_of(centre);
    let key = evacuation_key(data_centre);
    if !world.ledger.record_evacuation_start(data_centre) {
        return;
    }
    world.store.put(&key, &Value::Object(serde_json::Map::new()));
    sleep(Duration::from_millis(for_ms)).await;
    world.ledger.record_evacuation_end(data_centre);
    world.store.remove(&key);
}

async fn stop(world: &Arc<SoakWorld>, instance: usize, times: u32) {
    for _ in 0..times {
        world.ledger.record_instance_fault(instance);
        world.signal(instance, Signal::SIGTERM);
        sleep(SERIES_INTERVAL).await;
    }
    // `monitor_processes` restarts the instance when it has exited.
}

async fn pause(world: &Arc<SoakWorld>, instance: usize, for_ms: u64) {
    world.signal(instance, Signal::SIGSTOP);
    let is_stopping = world.with_instance(instance, |running| running.is_stopping());
    // A longer pause would make the planned stop exceed its time limit.
    let for_ms = if is_stopping { for_ms.min(100) } else { for_ms };
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_instance_fault(instance);
        sleep(Duration::from_millis(100)).await;
    }
    world.ledger.record_instance_fault(instance);
    world.signal(instance, Signal::SIGCONT);
}

async fn interrupt_store(world: &Arc<SoakWorld>, mode: StoreMode, for_ms: u64) {
    keep_store_mode(world, mode, for_ms).await;
    resume_store(world);
}

/// Sets the store's mode and records a store fault for the given time.
async fn keep_store_mode(world: &Arc<SoakWorld>, mode: StoreMode, for_ms: u64) {
    world.store.set_mode(mode);
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_store_fault();
        sleep(Duration::from_millis(100)).await;
    }
}

fn resume_store(world: &Arc<SoakWorld>) {
    world.store.set_mode(StoreMode::Serving);
    world.ledger.record_store_fault();
}

async fn lapse_entries(world: &Arc<SoakWorld>, for_ms: u64) {
    world.store.set_mode(StoreMode::Refusing);
    let keys = world.live_keys();
    for key in &keys {
        world.store.remove(key);
    }
    interrupt_store(world, StoreMode::Refusing, for_ms).await;
    sleep(ENTRY_RETURN_DELAY).await;
    world.ledger.record_store_fault();
    world.register_live();
}

/// Restores the store from a snapshot. Operators write their keys again at once, backend servers
/// with their next heartbeats; the entries of dead backend servers lapse.
async fn restore_snapshot(world: &Arc<SoakWorld>, age_ms: u64, away_ms: u64) {
    let snapshot = world.store.snapshot();
    sleep(Duration::from_millis(age_ms)).await;
    keep_store_mode(world, StoreMode::Silent, away_ms).await;
    world.store.restore(&snapshot);
    resume_store(world);
    sleep(OPERATOR_REWRITE_DELAY).await;
    world.restore_operator_keys();
    sleep(ENTRY_RETURN_DELAY).await;
    world.ledger.record_store_fault();
    world.restore_entries();
    sleep(ENTRY_TTL - ENTRY_RETURN_DELAY).await;
    let live = world.registered_keys();
    for key in world.store.keys("servers/").into_iter().filter(|key| !live.contains(key)) {
        world.store.remove(&key);
    }
}

async fn store_link(world: &Arc<SoakWorld>, instance: usize, how: u32, for_ms: u64) {
    let fault = match how {
        0 => LinkFault::Cut,
        1 => LinkFault::CutResponses,
        2 => LinkFault::Delay(200),
        3 => LinkFault::Reset,
        _ => LinkFault::Silence,
    };
    let link = world.store_link(instance);
    link.set(fault);
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_instance_fault(instance);
        sleep(Duration::from_millis(100)).await;
    }
    link.set(LinkFault::None);
    world.ledger.record_instance_fault(instance);
}

async fn peer_link(world: &Arc<SoakWorld>, instance: usize, how: u32, for_ms: u64) {
    let fault = match how {
        0 | 1 => PeerFault { loss: 1.0, delay_ms: 0 },
        2 => PeerFault { loss: 0.0, delay_ms: 150 },
        _ => PeerFault { loss: 0.3, delay_ms: 20 },
    };
    let others = (0..world.size()).filter(|other| *other != instance);
    for other in others.clone() {
        world.peers.set(instance, other, Some(fault));
        if how == 0 {
            world.peers.set(other, instance, Some(fault));
        }
    }
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_peer_fault();
        sleep(Duration::from_millis(100)).await;
    }
    world.ledger.record_peer_fault();
    for other in others {
        world.peers.set(instance, other, None);
        world.peers.set(other, instance, None);
    }
}

async fn backend_silent(world: &Arc<SoakWorld>, backend: usize, for_ms: u64) {
    let Some((number, is_silent)) = world.silence_switch(backend) else { return };
    is_silent.store(true, Ordering::Relaxed);
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_backend_fault(number);
        sleep(Duration::from_millis(100)).await;
    }
    is_silent.store(false, Ordering::Relaxed);
    world.ledger.record_backend_fault(number);
}

async fn packet_loss(world: &Arc<SoakWorld>, per_mille: u32, for_ms: u64) {
    world.packet_loss.set(per_mille);
    for _ in 0..for_ms.div_ceil(100) {
        world.ledger.record_packet_fault();
        sleep(Duration::from_millis(100)).await;
    }
    world.packet_loss.set(0);
    world.ledger.record_packet_fault();
}

async fn backend_dies(world: &Arc<SoakWorld>, backend: usize) {
    let Some(dead) = world.remove_backend(backend) else { return };
    let (key, spec) = (dead.key(), dead.spec.clone());
    dead.terminate().await;
    sleep(ENTRY_TTL).await;
    world.store.remove(&key);
    world.start_backend(&spec.service, None).await;
}

async fn backend_reused(world: &Arc<SoakWorld>, backend: usize) {
    let Some(dead) = world.remove_backend(backend) else { return };
    let (key, spec) = (dead.key(), dead.spec.clone());
    dead.terminate().await;
    sleep(ADDRESS_REUSE_DELAY).await;
    let other = world.other_service(&spec.service);
    world.start_backend(&other, Some(spec.address)).await;
    sleep(ENTRY_TTL - ADDRESS_REUSE_DELAY).await;
    world.store.remove(&key);
    world.start_backend(&spec.service, None).await;
}

async fn backend_replaced(world: &Arc<SoakWorld>, backend: usize) {
    let Some(leaving) = world.remove_backend(backend) else { return };
    world.start_backend(&leaving.spec.service, None).await;
    leaving.drain(&world.store);
    world.record_draining(&leaving.spec);
    sleep(DRAIN_TIME).await;
    world.remove_draining(&leaving.spec);
    world.store.remove(&leaving.key());
    leaving.terminate().await;
}

async fn backend_restarts(
    world: &Arc<SoakWorld>,
    backend: usize,
    down_ms: u64,
    restart: RestartAddress,
) {
    let Some(crashed) = world.remove_backend(backend) else { return };
    let former = crashed.spec.clone();
    crashed.terminate().await;
    sleep(Duration::from_millis(down_ms)).await;
    world.restart_backend(former, restart).await;
}

async fn corrupt_entry(world: &Arc<SoakWorld>, backend: usize, value: CorruptEntry, for_ms: u64) {
    let Some(spec) = world.backend_spec(backend) else { return };
    // A valid entry with another address can be recognized as foreign only by instances that know
    // the backend server's own entry.
    let value =
        if value == CorruptEntry::OtherAddress { CorruptEntry::MissingState } else { value };
    world.store.put_bytes(&spec.key(), &corrupt_value(world, &spec, value));
    world.ledger.backend_draining(spec.number);
    sleep(Duration::from_millis(for_ms)).await;
    world.register_backend(spec.number);
}

async fn add_entry(
    world: &Arc<SoakWorld>,
    backend: Option<usize>,
    value: CorruptEntry,
    for_ms: u64,
) {
    let Some(mut spec) = world.backend_spec(backend.unwrap_or_default()) else { return };
    let mut key = format!("servers/other-0{:x}", spec.number);
    if backend.is_none() {
        spec.number = UNUSED_NUMBER;
        key = spec.key();
    }
    // A valid entry with an unused number would be a new backend server rather than a fault.
    let value = match (backend, value) {
        (None, CorruptEntry::OtherAddress) => CorruptEntry::InvalidJson,
        (_, value) => value,
    };
    world.store.put_bytes(&key, &corrupt_value(world, &spec, value));
    sleep(Duration::from_millis(for_ms)).await;
    world.store.remove(&key);
}

async fn add_long_entry(world: &Arc<SoakWorld>, name_bytes: usize, for_ms: u64) {
    let Some(mut spec) = world.backend_spec(0) else { return };
    (spec.number, spec.service) = (UNUSED_NUMBER - 1, "x".repeat(name_bytes));
    spec.address = world.unused_address();
    world.store.put(&spec.key(), &spec.entry("ready"));
    sleep(Duration::from_millis(for_ms)).await;
    world.store.remove(&spec.key());
}

/// Returns the value of a corrupt entry. No flow's packets may reach the address in it.
fn corrupt_value(world: &SoakWorld, spec: &BackendSpec, value: CorruptEntry) -> Vec<u8> {
    let mut entry = spec.entry("ready");
    entry["address"] = world.unused_address().to_string().into();
    match value {
        CorruptEntry::InvalidJson => return b"{\"state\":".to_vec(),
        CorruptEntry::MissingState => entry["state"] = Value::Null,
        CorruptEntry::UnknownState => entry["state"] = "resting".into(),
        CorruptEntry::BadAddress => entry["address"] = "a.name:80".into(),
        CorruptEntry::BadSlots => entry["slots"] = (-2).into(),
        CorruptEntry::BadStart => entry["born"] = 1.5.into(),
        CorruptEntry::OtherAddress => {}
    }
    entry.to_string().into_bytes()
}
