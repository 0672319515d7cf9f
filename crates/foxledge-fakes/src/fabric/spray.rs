//! The spraying relay of datagrams between callers and instances.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use foxledge_wire::decode_packet;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    faults::{FaultTable, PacketWay, WayPair},
    orders::WayCount,
};

/// Longest datagram relayed, in bytes.
const MAX_RELAYED: usize = 65_536;
/// Address that sockets towards instances are bound to.
const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// `SprayRelay` sends each datagram of a caller to any one of the instances.
///
/// Every caller's socket gets a socket of its own towards the instances. Whatever arrives there,
/// from whichever instance, goes back to the caller from the address that the caller sent to. With
/// one instance this is a plain relay.
#[derive(Debug)]
pub struct SprayRelay {
    socket: Arc<UdpSocket>,
    inner: Mutex<RelayInner>,
}

#[derive(Debug)]
struct RelayInner {
    table: FaultTable,
    instances: Vec<SocketAddr>,
    sockets: HashMap<SocketAddr, Arc<UdpSocket>>,
    counts: RelayCounts,
}

/// `RelayCounts` is what a relay carried.
#[derive(Clone, Debug, Default)]
pub struct RelayCounts {
    /// Callers' sockets seen.
    pub sockets: usize,
    /// Packets towards instances, and back towards callers.
    pub packets: WayPair<WayCount>,
    /// Copies sent to each instance.
    pub sprayed: BTreeMap<SocketAddr, u64>,
}

impl SprayRelay {
    /// Starts relaying what arrives at `socket`; must be called within a runtime.
    pub fn start(socket: UdpSocket, instances: Vec<SocketAddr>, seed: u64) -> Arc<SprayRelay> {
        let inner = RelayInner {
            table: FaultTable::new(seed),
            instances,
            sockets: HashMap::new(),
            counts: RelayCounts::default(),
        };
        let relay = Arc::new(SprayRelay { socket: Arc::new(socket), inner: Mutex::new(inner) });
        tokio::spawn(relay.clone().relay_forward());
        relay
    }

    /// Replaces the instances.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        self.lock().instances = instances;
    }

    /// Changes the table of faults; `change` gets the callers' sockets seen so far.
    pub fn change_faults(&self, change: impl FnOnce(&mut FaultTable, Vec<SocketAddr>)) {
        let mut inner = self.lock();
        let sockets = inner.sockets.keys().copied().collect();
        change(&mut inner.table, sockets);
    }

    /// What was carried so far.
    pub fn counts(&self) -> RelayCounts {
        let inner = self.lock();
        RelayCounts { sockets: inner.sockets.len(), ..inner.counts.clone() }
    }

    /// Address that callers send to.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    async fn relay_forward(self: Arc<SprayRelay>) {
        let mut buffer = vec![0; MAX_RELAYED];
        loop {
            let Ok((length, caller)) = self.socket.recv_from(&mut buffer).await else { continue };
            let bytes = &buffer[..length];
            let Some(socket) = self.socket_for(caller).await else { continue };
            let copies = self.lock().route_forward(caller, bytes);
            for (instance, delay) in copies {
                send_after(&socket, instance, bytes, delay).await;
            }
        }
    }

    async fn relay_back(self: Arc<SprayRelay>, caller: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_RELAYED];
        loop {
            let Ok((length, instance)) = socket.recv_from(&mut buffer).await else { continue };
            let bytes = &buffer[..length];
            let delays = self.lock().route_back(caller, instance, bytes);
            for delay in delays {
                send_after(&self.socket, caller, bytes, delay).await;
            }
        }
    }

    async fn socket_for(self: &Arc<SprayRelay>, caller: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(socket) = self.lock().sockets.get(&caller) {
            return Some(socket.clone());
        }
        let socket = Arc::new(UdpSocket::bind(ANY_LOOPBACK_PORT).await.ok()?);
        self.lock().sockets.insert(caller, socket.clone());
        tokio::spawn(self.clone().relay_back(caller, socket.clone()));
        Some(socket)
    }

    fn lock(&self) -> MutexGuard<'_, RelayInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RelayInner {
    fn route_forward(&mut self, caller: SocketAddr, bytes: &[u8]) -> Vec<(SocketAddr, Duration)> {
        let delays = self.route(PacketWay::Forward, caller, bytes);
        let instances = self.table.draw_instances(&self.instances, delays.len());
        let count = &mut self.counts.packets.forward;
        let mut copies = Vec::new();
        for (instance, delay) in instances.into_iter().zip(delays) {
            if self.table.is_cut(PacketWay::Forward, instance) {
                count.cut += 1;
                continue;
            }
            count.sent += 1;
            count.bytes += bytes.len() as u64;
            *self.counts.sprayed.entry(instance).or_default() += 1;
            copies.push((instance, delay));
        }
        copies
    }

    fn route_back(
        &mut self,
        caller: SocketAddr,
        instance: SocketAddr,
        bytes: &[u8],
    ) -> Vec<Duration> {
        if self.table.is_cut(PacketWay::Back, instance) {
            self.counts.packets.back.arrived += 1;
            self.counts.packets.back.cut += 1;
            return Vec::new();
        }
        let delays = self.route(PacketWay::Back, caller, bytes);
        let count = &mut self.counts.packets.back;
        count.sent += delays.len() as u64;
        count.bytes += (bytes.len() * delays.len()) as u64;
        delays
    }

    /// Silence, loss, duplication and delay of one packet; the copies' delays.
    fn route(&mut self, way: PacketWay, caller: SocketAddr, bytes: &[u8]) -> Vec<Duration> {
        let flow = self.table.asks_flow().then(|| flow_of(bytes)).flatten();
        let is_silent = self.table.is_silent(way, flow, caller);
        let count = self.counts.packets.get_mut(way);
        count.arrived += 1;
        if is_silent {
            count.silenced += 1;
            return Vec::new();
        }
        let delays = self.table.draw_fate(way);
        match delays.len() {
            0 => count.lost += 1,
            1 => (),
            _ => count.duplicated += 1,
        }
        delays
    }
}

fn flow_of(bytes: &[u8]) -> Option<u64> {
    decode_packet(bytes).ok().map(|packet| packet.flow)
}

async fn send_after(socket: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8], delay: Duration) {
    if delay.is_zero() {
        // A datagram that can't be sent is lost, as on any network.
        let _ = socket.send_to(bytes, to).await;
        return;
    }
    let (socket, bytes) = (socket.clone(), bytes.to_vec());
    tokio::spawn(async move {
        sleep(delay).await;
        let _ = socket.send_to(&bytes, to).await;
    });
}
