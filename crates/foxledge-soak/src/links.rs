//! Links that faults are done to: instances to the store, and to each other.

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

/// `LinkFault` is what is done to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    None,
    /// Nothing passes, in neither direction.
    Cut,
    /// Answers don't pass.
    CutResponses,
    /// What passes waits this many milliseconds.
    Delay(u64),
    /// Connections are closed.
    Reset,
    /// Connections that are open now pass nothing for good; new ones work.
    Silence,
}

/// `StoreLink` is the way of one instance to the store.
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
                // What began before the connection doesn't silence or reset it.
                let mut faults = faults.clone();
                faults.mark_unchanged();
                tokio::spawn(proxy_connection(stream, store, faults));
            }
        });
        Ok(StoreLink { fault })
    }

    /// Changes what is done to the link.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn proxy_connection(
    near: TcpStream,
    store: SocketAddrV4,
    faults: watch::Receiver<LinkFault>,
) {
    let Ok(far) = TcpStream::connect(store).await else { return };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = proxy_bytes(near_read, far_write, faults.clone(), LinkDirection::ToStore);
    let back = proxy_bytes(far_read, near_write, faults, LinkDirection::FromStore);
    tokio::select! {
        () = there => {}
        () = back => {}
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
            LinkFault::Delay(millis) => sleep(Duration::from_millis(millis)).await,
            _ => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// `PacketLoss` is the share of packets that are lost on the way between callers,
/// instances and backend servers.
#[derive(Clone, Debug, Default)]
pub struct PacketLoss {
    per_mille: Arc<AtomicU32>,
}

impl PacketLoss {
    /// Sets how many of a thousand are lost.
    pub fn set(&self, per_mille: u32) {
        self.per_mille.store(per_mille, Ordering::Relaxed);
    }

    /// True when the packet that has just come is one of them.
    pub fn drops_packet(&self) -> bool {
        let per_mille = self.per_mille.load(Ordering::Relaxed);
        per_mille > 0 && rand::rng().random_range(0..1_000) < per_mille
    }
}

/// `PeerFault` is what is done to messages from one instance to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerFault {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Time that messages wait, in milliseconds.
    pub delay_ms: u64,
}

/// `PeerLinks` carries messages between instances: each sends to the others' public addresses.
pub struct PeerLinks {
    faults: Mutex<HashMap<(usize, usize), PeerFault>>,
}

impl PeerLinks {
    /// Starts a proxy for each instance: what reaches `public` goes to `own`.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(public: &[SocketAddrV4], own: &[SocketAddrV4]) -> Result<Arc<PeerLinks>> {
        let links = Arc::new(PeerLinks { faults: Mutex::default() });
        let mut sockets = Vec::new();
        for address in public {
            sockets.push(Arc::new(UdpSocket::bind(address).await?));
        }
        let index_of: HashMap<_, _> = own.iter().enumerate().map(|(i, own)| (*own, i)).collect();
        let index_of = Arc::new(index_of);
        for (to, own) in own.iter().enumerate() {
            let carrier = PeerProxy {
                links: links.clone(),
                sockets: sockets.clone(),
                index_of: index_of.clone(),
                to,
                own: *own,
            };
            tokio::spawn(carrier.run());
        }
        Ok(links)
    }

    /// Changes what is done to messages of one instance to another; none ends it.
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
    own: SocketAddrV4,
}

impl PeerProxy {
    /// Passes messages on from the sender's public address, so that answers come back here.
    async fn run(self) {
        let mut buffer = vec![0; 4_096];
        loop {
            let received = self.sockets[self.to].recv_from(&mut buffer).await;
            let Ok((size, SocketAddr::V4(sender))) = received else { continue };
            let Some(from) = self.index_of.get(&sender).copied() else { continue };
            let fault = self.links.lock().get(&(from, self.to)).copied();
            let socket = self.sockets[from].clone();
            let (own, bytes) = (self.own, buffer[..size].to_vec());
            let Some(fault) = fault else {
                // Messages are repeated; a lost one is a fault like others.
                let _ = socket.send_to(&bytes, own).await;
                continue;
            };
            if rand::rng().random_bool(fault.loss) {
                continue;
            }
            tokio::spawn(async move {
                sleep(Duration::from_millis(fault.delay_ms)).await;
                let _ = socket.send_to(&bytes, own).await;
            });
        }
    }
}
