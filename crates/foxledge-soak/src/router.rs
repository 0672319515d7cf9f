//! A stand-in for the platform's routers, which distribute callers' packets to instances.

use std::{
    collections::HashSet,
    net::SocketAddrV4,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use foxledge_flows::{FlowKey, flow_hash};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{interval, timeout},
};

/// The time between two readiness probes of an instance, and the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Distributes flows over the instances that are ready.
pub struct PacketRouter {
    data: Vec<SocketAddrV4>,
    ready: Mutex<HashSet<usize>>,
}

impl PacketRouter {
    /// Creates the router and starts to probe the instances.
    pub fn start(data: Vec<SocketAddrV4>, admin: Vec<SocketAddrV4>) -> Arc<PacketRouter> {
        let router = Arc::new(PacketRouter { data, ready: Mutex::default() });
        for (index, address) in admin.into_iter().enumerate() {
            tokio::spawn(router.clone().probe(index, address));
        }
        router
    }

    /// Selects an instance for a packet of a flow by rendezvous hashing, which moves as few flows
    /// as possible when an instance is added or removed. Only instances of `centre` are considered
    /// if it is given, and those that aren't ready too if fewer than half are ready.
    pub fn select_instance(&self, flow: &FlowKey, centre: Option<usize>) -> (usize, SocketAddrV4) {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let is_in_centre = |index: &usize| centre.is_none_or(|centre| index % 2 == centre);
        let all: Vec<usize> = (0..self.data.len()).filter(is_in_centre).collect();
        let ready: Vec<usize> = ready.iter().copied().filter(is_in_centre).collect();
        let candidates = if ready.len() * 2 < all.len() { all } else { ready };
        let weight = |index: &usize| {
            let mixed = flow_hash(flow) ^ (*index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 7
        };
        let index = candidates.into_iter().max_by_key(weight).unwrap_or(0);
        (index, self.data[index])
    }

    /// Returns the address at which an instance receives packets.
    pub fn address(&self, index: usize) -> SocketAddrV4 {
        self.data[index]
    }

    /// Returns the number of instances that are ready.
    pub fn ready_count(&self) -> usize {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    async fn probe(self: Arc<PacketRouter>, index: usize, address: SocketAddrV4) {
        let mut ticks = interval(PROBE_INTERVAL);
        let mut misses = 0;
        loop {
            ticks.tick().await;
            let is_ready = timeout(PROBE_INTERVAL, is_healthy(address)).await.unwrap_or(false);
            misses = if is_ready { 0 } else { misses + 1 };
            let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
            if is_ready {
                ready.insert(index);
            } else if misses >= 2 {
                ready.remove(&index);
            }
        }
    }
}

async fn is_healthy(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let request = b"GET /healthz HTTP/1.1\r\nhost: instance\r\nconnection: close\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.is_ok() && &start[9..] == b"200"
}
