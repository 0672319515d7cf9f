//! Callers, as stand-ins over UDP.

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

/// Waits of an opening packet before its first copy, its second and the end.
const OPENING_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(800)];
/// First wait before data is sent again; doubles with each.
const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(200);
/// Pause of a caller whose flow couldn't be opened.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);
/// Size of an answer.
const RESPONSE_SIZE_BYTES: u32 = 8;
/// Openings that a caller tries for one request.
const MAX_OPEN_ATTEMPTS: u32 = 3;
/// Time for a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `RequestPattern` is how a caller uses its flow.
#[derive(Clone, Copy, Debug)]
struct RequestPattern {
    is_idempotent: bool,
    /// Longest pause between two requests, in milliseconds.
    pause_ms: u64,
}

/// Callers that keep a flow for requests that may not be repeated.
const PERSISTENT_PATTERN: RequestPattern = RequestPattern { is_idempotent: false, pause_ms: 2_500 };

/// `CallerHost` is one caller's address with all its flows.
pub struct CallerHost {
    ip: Ipv4Addr,
    socket: UdpSocket,
    flows: Mutex<HashMap<u16, UnboundedSender<WirePacket>>>,
    next_port: AtomicU16,
    router: Arc<PacketRouter>,
    ledger: Arc<PromiseLedger>,
    loss: PacketLoss,
    /// Its data centre, whose instances its packets go to; any instance when none. Callers of a
    /// data centre acknowledge answers.
    centre: Option<usize>,
    /// Callers begin nothing new once it is set.
    pub is_stopping: AtomicBool,
}

/// `CallerFlow` is one open flow of a caller.
struct CallerFlow {
    host: Arc<CallerHost>,
    key: FlowKey,
    /// The instance that all packets go to; the router's choice when none.
    instance: Option<usize>,
    packets: UnboundedReceiver<WirePacket>,
    echo: u32,
    acknowledged: u32,
    sequence: u32,
    /// The requests so far, by the sequence number after their last byte.
    sent_requests: HashMap<u32, u64>,
}

/// `OpenResult` is how an opening ended.
enum OpenResult {
    Opened(CallerFlow),
    Refused,
    TimedOut,
}

impl CallerHost {
    /// Starts a caller's address; callers listen at the port at which packets reach instances.
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

    /// Makes requests until the host stops: feeds that stay open, bids with a flow each.
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

    /// Keeps a flow open for requests that may not be repeated, with pauses between them.
    pub async fn run_persistent(self: Arc<CallerHost>, port: u16, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.is_stopping.load(Ordering::Relaxed) {
            let count = rng.random_range(3..12);
            self.clone().run_flow(port, PERSISTENT_PATTERN, count, &mut rng).await;
        }
    }

    /// Makes requests with a flow each, so many a second, until the host stops or until `end`.
    pub async fn run_rate(self: Arc<CallerHost>, port: u16, per_s: u64, end: Option<Instant>) {
        let is_over = || end.is_some_and(|end| Instant::now() > end);
        while !self.is_stopping.load(Ordering::Relaxed) && !is_over() {
            tokio::spawn(self.clone().send_request(port));
            let pause_us = rand::rng().random_range(0..2_000_000 / per_s);
            sleep(Duration::from_micros(pause_us)).await;
        }
    }

    /// Makes one request; a refused caller tries again from another port.
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

    /// Opens a flow to a route at one instance, and tells whether it was answered.
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
            // Callers that come back at once use up the ports of their address, and take
            // one that another flow still has.
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
        for (copy, wait) in OPENING_TIMEOUTS.into_iter().enumerate() {
            flow.acknowledged = copy as u32;
            let asked = flow.send(SYN, Vec::new()).await;
            let until = Instant::now() + wait;
            while let Ok(Some(packet)) = timeout_at(until, flow.packets.recv()).await {
                if packet.flags & RST != 0 {
                    if packet.checksum == 0 {
                        self.ledger.check_refusal(key, asked);
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
            // Checked as it comes: a flow at rest is read only with its next request.
            if packet.flags & RST != 0 && packet.checksum == 0 {
                self.ledger.check_reset(FlowKey { caller: packet.to, service: packet.from });
            }
            let port = packet.to.port();
            let sender = self.flows().get(&port).cloned();
            if let Some(sender) = sender {
                // A flow that has ended takes no more.
                let _ = sender.send(packet);
            }
        }
    }

    fn flows(&self) -> std::sync::MutexGuard<'_, HashMap<u16, UnboundedSender<WirePacket>>> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerFlow {
    /// Makes one request; true when its own answer came in time.
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
                // Data that was received isn't sent again, however long its answer takes.
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

    /// Tells that an answer came, by which instances learn when a request has ended.
    async fn acknowledge(&mut self) {
        if self.host.centre.is_some() {
            self.acknowledged = self.acknowledged.wrapping_add(RESPONSE_SIZE_BYTES);
            self.send(ACK, Vec::new()).await;
        }
    }

    /// True for the answer to the request `id`, false for a copy of an earlier answer.
    ///
    /// An answer tells by what it acknowledges which request it belongs to; one that
    /// holds another's breaks a promise, and so does one to nothing that was asked.
    fn accept_response(&mut self, packet: &WirePacket, id: u64) -> bool {
        if packet.data.len() != 8 {
            return false;
        }
        self.echo = packet.echo;
        let answered = u64::from_be_bytes(packet.data[..].try_into().unwrap_or_default());
        let asked = self.sent_requests.get(&packet.acknowledged).copied();
        if asked != Some(answered) {
            let asked = asked.map_or("nothing".to_owned(), |asked| format!("{asked:x}"));
            let text = format!("{} got the answer to {answered:x} for {asked}", self.key);
            self.host.ledger.record_breach(text);
        }
        asked == Some(id)
    }

    /// Sends a packet; returns the instance it went to.
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
        // What a dead instance doesn't take is sent again.
        let _ = self.host.socket.send_to(&packet.encode(), SocketAddr::V4(address)).await;
        index
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.host.flows().remove(&self.key.caller.port());
    }
}
