//! Stand-ins for callers, over UDP.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use foxledge_flows::FlowKey;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    net::UdpSocket,
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    backends::REJECTION_SIZE_BYTES,
    links::PacketLoss,
    packets::{ACK, FIN, RST, SYN, WirePacket},
    promises::PromiseLedger,
    router::PacketRouter,
};

/// The times to wait for a response to an opening packet and to each of its retransmissions.
const OPENING_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(800)];
/// The time until the first retransmission of data; doubles with each retransmission.
const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(200);
/// The pause of a caller whose flow couldn't be opened.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);
/// The size of the response to a request, in bytes.
const RESPONSE_SIZE_BYTES: u32 = 8;
/// The maximum number of flows that a caller tries to open for one request.
const MAX_OPEN_ATTEMPTS: u32 = 3;
/// The time after which a request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The kind and pace of the requests in a caller's flow.
#[derive(Clone, Copy, Debug)]
struct RequestPattern {
    is_idempotent: bool,
    /// The maximum pause between two requests, in milliseconds.
    pause_ms: u64,
}

/// The pattern of callers with a persistent flow for non-idempotent requests.
const PERSISTENT_PATTERN: RequestPattern = RequestPattern { is_idempotent: false, pause_ms: 2_500 };

/// A caller address with all its flows.
pub struct CallerHost {
    ip: Ipv4Addr,
    socket: UdpSocket,
    flows: Mutex<HashMap<u16, UnboundedSender<WirePacket>>>,
    next_port: AtomicU16,
    router: Arc<PacketRouter>,
    ledger: Arc<PromiseLedger>,
    loss: PacketLoss,
    /// The data centre whose instances receive the caller's packets; all data centres if none.
    /// Callers of a data centre acknowledge responses.
    centre: Option<usize>,
    /// Whether callers stop making new requests.
    pub is_stopping: AtomicBool,
}

/// A caller's flow.
struct CallerFlow {
    host: Arc<CallerHost>,
    key: FlowKey,
    /// The instance that receives all packets; the router's choice if none.
    instance: Option<usize>,
    packets: UnboundedReceiver<WirePacket>,
    echo: u32,
    acknowledged: u32,
    sequence: u32,
    /// The ids of the requests sent so far, by the sequence number after their last byte.
    sent_requests: HashMap<u32, u64>,
}

/// The result of an attempt to open a flow.
enum OpenResult {
    Opened(CallerFlow),
    Refused,
    TimedOut,
}

impl CallerHost {
    /// Starts a caller address. The port of `address` is the one to which instances and backend
    /// servers send responses, not that of a flow.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddrV4,
        router: Arc<PacketRouter>,
        ledger: Arc<PromiseLedger>,
        loss: PacketLoss,
        centre: Option<usize>,
    ) -> Result<Arc<CallerHost>> {
        let host = Arc::new(CallerHost {
            ip: *address.ip(),
            socket: UdpSocket::bind(address).await?,
            flows: Mutex::default(),
            next_port: AtomicU16::new(1_024),
            router,
            ledger,
            loss,
            centre,
            is_stopping: AtomicBool::new(false),
        });
        tokio::spawn(host.clone().receive());
        Ok(host)
    }

    /// Makes requests until the host stops: several in each flow if they are idempotent, otherwise
    /// one.
    pub async fn run(self: Arc<CallerHost>, ports: Vec<(u16, bool)>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.is_stopping.load(Ordering::Relaxed) {
            let (port, is_idempotent) = ports[rng.random_range(0..ports.len())];
            let count = if is_idempotent { rng.random_range(5..60) } else { 1 };
            let habit = RequestPattern { is_idempotent, pause_ms: 80 };
            self.clone().run_flow(port, habit, count, &mut rng).await;
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }

    /// Makes non-idempotent requests in persistent flows, with pauses between them.
    pub async fn run_persistent(self: Arc<CallerHost>, port: u16, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.is_stopping.load(Ordering::Relaxed) {
            let count = rng.random_range(3..12);
            self.clone().run_flow(port, PERSISTENT_PATTERN, count, &mut rng).await;
        }
    }

    /// Makes `per_s` requests a second with a flow each, until the host stops or until `end`.
    pub async fn run_rate(self: Arc<CallerHost>, port: u16, per_s: u64, end: Option<Instant>) {
        let is_over = || end.is_some_and(|end| Instant::now() > end);
        while !self.is_stopping.load(Ordering::Relaxed) && !is_over() {
            tokio::spawn(self.clone().send_request(port));
            let pause_us = rand::rng().random_range(0..2_000_000 / per_s);
            sleep(Duration::from_micros(pause_us)).await;
        }
    }

    /// Makes one request, and tries again from another port if the flow can't be opened.
    async fn send_request(self: Arc<CallerHost>, port: u16) {
        let mut is_served = false;
        for _ in 0..MAX_OPEN_ATTEMPTS {
            let key = self.next_flow_key(port);
            if let OpenResult::Opened(mut flow) = self.clone().open(key, None).await {
                is_served = flow.request(rand::random(), false).await;
                flow.send(FIN | ACK, Vec::new()).await;
                break;
            }
            sleep(REFUSAL_BACKOFF).await;
        }
        self.ledger.record_request_end(is_served);
        self.ledger.record_route_request_end(port, is_served);
    }

    /// Opens a flow to a route through one instance, and returns whether it was accepted.
    pub async fn probe(self: Arc<CallerHost>, port: u16, instance: usize) -> bool {
        let key = self.next_flow_key(port);
        match self.open(key, Some(instance)).await {
            OpenResult::Opened(mut flow) => {
                flow.send(FIN | ACK, Vec::new()).await;
                true
            }
            OpenResult::Refused | OpenResult::TimedOut => false,
        }
    }

    async fn run_flow(
        self: Arc<CallerHost>,
        port: u16,
        RequestPattern { is_idempotent, pause_ms }: RequestPattern,
        count: u32,
        rng: &mut StdRng,
    ) {
        let key = self.next_flow_key(port);
        let opened = match self.clone().open(key, None).await {
            OpenResult::Opened(flow) => Some(flow),
            OpenResult::Refused | OpenResult::TimedOut => None,
        };
        let Some(mut flow) = opened else {
            self.ledger.record_request_end(false);
            // Without a pause, callers would use up the ports of their address and reuse one
            // that another flow still has.
            return sleep(REFUSAL_BACKOFF).await;
        };
        for _ in 0..count {
            let is_served = flow.request(rng.random(), is_idempotent).await;
            self.ledger.record_request_end(is_served);
            if !is_served || self.is_stopping.load(Ordering::Relaxed) {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(5..pause_ms))).await;
        }
        flow.send(FIN | ACK, Vec::new()).await;
    }

    fn next_flow_key(&self, port: u16) -> FlowKey {
        let own = self.next_port.fetch_add(1, Ordering::Relaxed).max(1_024);
        FlowKey {
            caller: SocketAddrV4::new(self.ip, own),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
        }
    }

    async fn open(self: Arc<CallerHost>, key: FlowKey, instance: Option<usize>) -> OpenResult {
        self.ledger.clear_flow(key);
        let (sender, packets) = unbounded_channel();
        self.flows().insert(key.caller.port(), sender);
        let sequence = rand::random();
        let host = self.clone();
        let mut flow = CallerFlow {
            host,
            key,
            instance,
            packets,
            echo: 0,
            acknowledged: 0,
            sequence,
            sent_requests: HashMap::new(),
        };
        for (attempt, wait) in OPENING_TIMEOUTS.into_iter().enumerate() {
            flow.acknowledged = attempt as u32;
            let instance_index = flow.send(SYN, Vec::new()).await;
            let until = Instant::now() + wait;
            while let Ok(Some(packet)) = timeout_at(until, flow.packets.recv()).await {
                if packet.flags & RST != 0 {
                    if packet.checksum == 0 {
                        self.ledger.check_refusal(key, instance_index);
                    }
                    return OpenResult::Refused;
                }
                if packet.flags & SYN != 0 {
                    flow.echo = packet.echo;
                    flow.acknowledged = packet.sequence.wrapping_add(1);
                    flow.send(ACK, Vec::new()).await;
                    return OpenResult::Opened(flow);
                }
            }
        }
        OpenResult::TimedOut
    }

    async fn receive(self: Arc<CallerHost>) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer).await else { continue };
            let Some(packet) = WirePacket::decode(&buffer[..size]) else { continue };
            if self.loss.drops_packet() {
                continue;
            }
            // Checked on arrival, since an idle flow reads its packets only with its next request.
            if packet.flags & RST != 0 && packet.checksum == 0 {
                self.ledger.check_reset(FlowKey { caller: packet.to, service: packet.from });
            }
            let port = packet.to.port();
            let sender = self.flows().get(&port).cloned();
            if let Some(sender) = sender {
                // The channel is closed if the flow has ended.
                let _ = sender.send(packet);
            }
        }
    }

    fn flows(&self) -> std::sync::MutexGuard<'_, HashMap<u16, UnboundedSender<WirePacket>>> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerFlow {
    /// Makes one request, and returns whether the response to it arrived in time.
    async fn request(&mut self, id: u64, is_idempotent: bool) -> bool {
        let mut data = id.to_be_bytes().to_vec();
        data.push(u8::from(is_idempotent));
        self.sent_requests.insert(self.sequence.wrapping_add(data.len() as u32), id);
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut wait = INITIAL_RESEND_DELAY;
        while Instant::now() < deadline {
            self.send(ACK, data.clone()).await;
            let mut until = (Instant::now() + wait).min(deadline);
            wait *= 2;
            while let Ok(Some(packet)) = timeout_at(until, self.packets.recv()).await {
                if packet.flags & RST != 0 || packet.data.len() == REJECTION_SIZE_BYTES {
                    return false;
                }
                // Acknowledged data isn't retransmitted, however long the response takes.
                if packet.flags == ACK && packet.data.is_empty() {
                    until = deadline;
                }
                if self.accept_response(&packet, id) {
                    self.sequence = self.sequence.wrapping_add(data.len() as u32);
                    self.acknowledge().await;
                    return true;
                }
            }
        }
        false
    }

    /// Acknowledges a response, from which instances learn that the request has ended.
    async fn acknowledge(&mut self) {
        if self.host.centre.is_some() {
            self.acknowledged = self.acknowledged.wrapping_add(RESPONSE_SIZE_BYTES);
            self.send(ACK, Vec::new()).await;
        }
    }

    /// Returns true for the response to the request `id`, and false for a retransmission of an
    /// earlier response.
    ///
    /// The acknowledged sequence number of a response says which request it belongs to. A response
    /// with the id of another request is a breach, and so is one without a request.
    fn accept_response(&mut self, packet: &WirePacket, id: u64) -> bool {
        if packet.data.len() != 8 {
            return false;
        }
        self.echo = packet.echo;
        let response_id = u64::from_be_bytes(packet.data[..].try_into().unwrap_or_default());
        let request_id = self.sent_requests.get(&packet.acknowledged).copied();
        if request_id != Some(response_id) {
            let request_id =
                request_id.map_or("nothing".to_owned(), |request_id| format!("{request_id:x}"));
            let text = format!("{} got the answer to {response_id:x} for {request_id}", self.key);
            self.host.ledger.record_breach(text);
        }
        request_id == Some(id)
    }

    /// Sends a packet and returns the index of the instance that it was sent to.
    async fn send(&mut self, flags: u8, data: Vec<u8>) -> usize {
        let mut packet = WirePacket::new(self.key.caller, self.key.service, flags);
        packet.echo = if flags & SYN != 0 { 0 } else { self.echo };
        packet.sequence = self.sequence;
        packet.acknowledged = self.acknowledged;
        packet.data = data;
        let (index, address) = match self.instance {
            Some(index) => (index, self.host.router.address(index)),
            None => self.host.router.select_instance(&self.key, self.host.centre),
        };
        // A packet that a dead instance doesn't receive is retransmitted.
        let _ = self.host.socket.send_to(&packet.encode(), SocketAddr::V4(address)).await;
        index
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.host.flows().remove(&self.key.caller.port());
    }
}
