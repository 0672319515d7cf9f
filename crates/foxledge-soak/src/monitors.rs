//! Tasks that monitor a run while faults are injected.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    callers::CallerHost,
    world::{DYNAMIC_ROUTE_COUNT, FIRST_DYNAMIC_PORT, SoakWorld},
};

/// Restarts instances that have ended, and records a breach for those that ended by themselves.
pub(crate) async fn monitor_processes(world: Arc<SoakWorld>) {
    while !world.is_ending.load(Ordering::Relaxed) {
        for index in 0..world.size() {
            let (breach, has_ended) = world.with_instance(index, |running| {
                let was_running = running.is_running();
                (running.check_exit(), was_running && !running.is_running())
            });
            if let Some(breach) = breach {
                world.ledger.record_breach(breach);
            }
            if has_ended {
                world.ledger.record_instance_fault(index);
                world.start_instance(index);
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Records a breach for each packet that reaches the address in corrupt entries.
pub(crate) async fn monitor_unused_address(world: Arc<SoakWorld>) {
    let Ok(socket) = tokio::net::UdpSocket::bind(world.unused_address()).await else {
        return world
            .ledger
            .record_breach("the soak itself failed: an address is taken".to_owned());
    };
    let mut buffer = [0; 64];
    while let Ok((_, from)) = socket.recv_from(&mut buffer).await {
        world
            .ledger
            .record_breach(format!("{from} sent a flow's packet to another writer's address"));
    }
}

/// Opens flows to the dynamic routes through each instance.
pub(crate) async fn probe_routes(world: Arc<SoakWorld>, host: Arc<CallerHost>) {
    while !world.is_ending.load(Ordering::Relaxed) {
        for instance in 0..world.size() {
            for port in FIRST_DYNAMIC_PORT..FIRST_DYNAMIC_PORT + DYNAMIC_ROUTE_COUNT {
                let host = host.clone();
                tokio::spawn(async move { host.probe(port, instance).await });
            }
            sleep(Duration::from_millis(40)).await;
        }
    }
}
