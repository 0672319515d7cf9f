//! Links with injected faults: between instances and the store, and among instances.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use rand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// The fault of a link to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// The link works.
    None,
    /// Data is dropped in both directions.
    Cut,
    /// Responses are dropped.
    CutResponses,
    /// Data is delayed by this number of milliseconds.
    Delay(u64),
    /// Open connections are closed.
    Reset,
    /// Connections that are open now drop all data from now on; new connections work.
    Silence,
}

/// The link between an instance and the store.
#[derive(Clone)]
pub struct StoreLink {
    fault: watch::Sender<LinkFault>,
}

impl StoreLink {
    /// Starts a proxy between `address` and the store.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(address: SocketAddrV4, store: SocketAddrV4) -> Result<StoreLink> {
        let listener = TcpListener::bind(address).await?;
        let (fault, faults) = watch::channel(LinkFault::None);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A silence or reset that began earlier doesn't affect a new connection.
                let mut faults = faults.clone();
                faults.mark_unchanged();
                tokio::spawn(proxy_connection(stream, store, faults));
            }
        });
        Ok(StoreLink { fault })
    }

    /// Sets the fault of the link.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn proxy_connection(
    client: TcpStream,
    store: SocketAddrV4,
    faults: watch::Receiver<LinkFault>,
) {
    let Ok(server) = TcpStream::connect(store).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_store = proxy_bytes(client_read, server_write, faults.clone(), LinkDirection::ToStore);
    let from_store = proxy_bytes(server_read, client_write, faults, LinkDirection::FromStore);
    tokio::select! {
        () = to_store => {}
        () = from_store => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    ToStore,
    FromStore,
}

async fn proxy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    direction: LinkDirection,
) {
    let mut buffer = vec![0; 16 * 1_024];
    let mut is_silenced = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = faults.changed() => match (changed, *faults.borrow_and_update()) {
                (Err(_), _) | (_, LinkFault::Reset) => return,
                (_, LinkFault::Silence) => {
                    is_silenced = true;
                    continue;
                }
                _ => continue,
            },
        };
        let Ok(size) = read else { return };
        if size == 0 {
            return;
        }
        let fault = *faults.borrow();
        match fault {
            _ if is_silenced => continue,
            LinkFault::Cut => continue,
            LinkFault::CutResponses if direction == LinkDirection::FromStore => continue,
            LinkFault::Delay(delay_ms) => sleep(Duration::from_millis(delay_ms)).await,
            _ => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// The share of packets that are lost between callers, instances and backend servers.
#[derive(Clone, Debug, Default)]
pub struct PacketLoss {
    per_mille: Arc<AtomicU32>,
}

impl PacketLoss {
    /// Sets the number of lost packets in a thousand.
    pub fn set(&self, per_mille: u32) {
        self.per_mille.store(per_mille, Ordering::Relaxed);
    }

    /// Decides at random whether the packet received last is lost.
    pub fn drops_packet(&self) -> bool {
        let per_mille = self.per_mille.load(Ordering::Relaxed);
        per_mille > 0 && rand::rng().random_range(0..1_000) < per_mille
    }
}

/// The fault of the messages from one instance to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerFault {
    /// The share of lost messages, from 0 to 1.
    pub loss: f64,
    /// The delay of messages, in milliseconds.
    pub delay_ms: u64,
}

/// The links between instances, each of which sends to the public addresses of the others.
pub struct PeerLinks {
    faults: Mutex<HashMap<(usize, usize), PeerFault>>,
}

impl PeerLinks {
    /// Starts a proxy for each instance, which forwards messages from its address in `public` to
    /// the one in `bound`.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(public: &[SocketAddrV4], bound: &[SocketAddrV4]) -> Result<Arc<PeerLinks>> {
        let links = Arc::new(PeerLinks { faults: Mutex::default() });
        let mut sockets = Vec::new();
        for address in public {
            sockets.push(Arc::new(UdpSocket::bind(address).await?));
        }
        let index_of: HashMap<_, _> =
            bound.iter().enumerate().map(|(i, bound)| (*bound, i)).collect();
        let index_of = Arc::new(index_of);
        for (to, bound) in bound.iter().enumerate() {
            let proxy = PeerProxy {
                links: links.clone(),
                sockets: sockets.clone(),
                index_of: index_of.clone(),
                to,
                bound: *bound,
            };
            tokio::spawn(proxy.run());
        }
        Ok(links)
    }

    /// Sets or removes the fault of the messages from one instance to another.
    pub fn set(&self, from: usize, to: usize, fault: Option<PeerFault>) {
        match fault {
            Some(fault) => self.lock().insert((from, to), fault),
            None => self.lock().remove(&(from, to)),
        };
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(usize, usize), PeerFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct PeerProxy {
    links: Arc<PeerLinks>,
    sockets: Vec<Arc<UdpSocket>>,
    index_of: Arc<HashMap<SocketAddrV4, usize>>,
    to: usize,
    bound: SocketAddrV4,
}

impl PeerProxy {
    /// Forwards messages from the sender's public address, so that responses return through the
    /// proxies.
    async fn run(self) {
        let mut buffer = vec![0; 4_096];
        loop {
            let received = self.sockets[self.to].recv_from(&mut buffer).await;
            let Ok((size, SocketAddr::V4(sender))) = received else { continue };
            let Some(from) = self.index_of.get(&sender).copied() else { continue };
            let fault = self.links.lock().get(&(from, self.to)).copied();
            let socket = self.sockets[from].clone();
            let (bound, bytes) = (self.bound, buffer[..size].to_vec());
            let Some(fault) = fault else {
                // Instances repeat messages, so that one that can't be sent is just a lost one.
                let _ = socket.send_to(&bytes, bound).await;
                continue;
            };
            if rand::rng().random_bool(fault.loss) {
                continue;
            }
            tokio::spawn(async move {
                sleep(Duration::from_millis(fault.delay_ms)).await;
                let _ = socket.send_to(&bytes, bound).await;
            });
        }
    }
}
