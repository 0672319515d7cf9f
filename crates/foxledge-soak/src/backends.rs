//! Stand-ins for backend servers, over UDP.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Result;
use foxledge_flows::FlowKey;
use serde_json::{Value, json};
use tokio::{net::UdpSocket, task::JoinHandle};

use crate::{
    links::PacketLoss,
    packets::{ACK, FIN, RST, SYN, WirePacket},
    promises::PromiseLedger,
    store::StandInStore,
};

/// The duration of a request at a backend server without a limit of concurrent requests.
const REQUEST_TIME: Duration = Duration::from_millis(8);
/// The duration of a request at a backend server whose slots are counted.
const SLOT_REQUEST_TIME: Duration = Duration::from_millis(60);
/// The number of slots of a backend server, as published in its entry.
const SLOT_COUNT: usize = 2;
/// The maximum wait for a slot. Requests that would wait for longer are rejected.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(240);
/// The time after which a rejected request is answered.
const REJECTION_DELAY: Duration = Duration::from_millis(150);
/// The size of the response to a rejected request, in bytes.
pub(crate) const REJECTION_SIZE_BYTES: usize = 9;

/// The identity, address and kind of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// The number by which packets address the backend server.
    pub number: u64,
    /// The name of its service.
    pub service: String,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// The name of its data centre.
    pub data_centre: String,
    /// The port to which responses are sent at every caller's address.
    pub caller_port: u16,
    /// The start time in its entry, in milliseconds of Unix time; 0 if the entry has none.
    pub started_unix_ms: u64,
    /// The limit of concurrent requests.
    pub work_kind: WorkKind,
}

/// The limit of concurrent requests at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Any number of requests at once.
    Unbounded,
    /// As many requests at once as there are slots; some more are queued.
    LimitedBySlots,
}

impl BackendSpec {
    /// Returns the backend server's entry with the given state.
    pub fn entry(&self, state: &str) -> Value {
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(),
            "zone": self.data_centre, "version": "v1", "slots": SLOT_COUNT, "state": state,
            "warmup_left_ms": 0, "sequence": 1,
        });
        if self.started_unix_ms > 0 {
            entry["born"] = self.started_unix_ms.into();
        }
        entry
    }

    /// Returns the key of the backend server's entry.
    pub fn key(&self) -> String {
        format!("servers/i-{:x}", self.number)
    }
}

/// A running backend server.
pub struct StandInBackend {
    /// The identity of the backend server.
    pub spec: BackendSpec,
    /// Whether the backend server ignores all packets.
    pub is_silent: Arc<AtomicBool>,
    task: JoinHandle<()>,
    ledger: Arc<PromiseLedger>,
}

struct BackendFlow {
    sequence: u32,
    is_open: bool,
    /// The sequence number of the next expected byte.
    next_sequence: u32,
}

impl StandInBackend {
    /// Starts a backend server and registers it.
    ///
    /// # Errors
    ///
    /// When its address can't be bound.
    pub async fn start(
        spec: BackendSpec,
        store: &StandInStore,
        ledger: Arc<PromiseLedger>,
        loss: PacketLoss,
    ) -> Result<StandInBackend> {
        let socket = Arc::new(UdpSocket::bind(spec.address).await?);
        ledger.backend_started(spec.number, &spec.service, &spec.data_centre, SLOT_COUNT);
        let is_silent = Arc::new(AtomicBool::new(false));
        let backend_loop = BackendLoop {
            spec: spec.clone(),
            socket,
            ledger: ledger.clone(),
            is_silent: is_silent.clone(),
            loss,
            flows: HashMap::new(),
            slots_free_at: [Instant::now(); SLOT_COUNT],
        };
        let task = tokio::spawn(backend_loop.run());
        let backend = StandInBackend { spec, is_silent, task, ledger };
        backend.register(store, "ready");
        Ok(backend)
    }

    /// Writes the backend server's entry.
    pub fn register(&self, store: &StandInStore, state: &str) {
        store.put(&self.key(), &self.spec.entry(state));
        if state == "ready" {
            self.ledger.backend_ready(self.spec.number);
        }
    }

    /// Writes the backend server's entry as draining.
    pub fn drain(&self, store: &StandInStore) {
        self.register(store, "draining");
        self.ledger.backend_draining(self.spec.number);
    }

    /// Returns the key of the backend server's entry.
    pub fn key(&self) -> String {
        self.spec.key()
    }

    /// Ends the backend server; its address is free afterwards.
    pub async fn terminate(self) {
        self.ledger.backend_ended(self.spec.number);
        self.task.abort();
        // The task was aborted on purpose, so that its result says nothing else.
        let _ = self.task.await;
    }
}

struct BackendLoop {
    spec: BackendSpec,
    socket: Arc<UdpSocket>,
    ledger: Arc<PromiseLedger>,
    is_silent: Arc<AtomicBool>,
    loss: PacketLoss,
    flows: HashMap<FlowKey, BackendFlow>,
    /// The time at which each slot is free, after its queued requests.
    slots_free_at: [Instant; SLOT_COUNT],
}

impl BackendLoop {
    async fn run(mut self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            if self.is_silent.load(Ordering::Relaxed) || size < 8 || self.loss.drops_packet() {
                continue;
            }
            let target_number = u64::from_be_bytes(buffer[..8].try_into().unwrap_or_default());
            // Packets for another backend server get no response.
            if target_number != self.spec.number {
                continue;
            }
            if let Some(packet) = WirePacket::decode(&buffer[8..size]) {
                self.handle_packet(packet, instance_of(from));
            }
        }
    }

    fn handle_packet(&mut self, packet: WirePacket, instance: usize) {
        let flow = packet.flow_key();
        if packet.flags & SYN != 0 {
            return self.open(&packet, flow, instance);
        }
        let Some(backend_flow) = self.flows.get_mut(&flow) else {
            if packet.flags & RST == 0 {
                self.ledger.check_stray_packet(flow, self.spec.number);
                self.reply(&packet, RST, 0, Vec::new(), Duration::ZERO);
            }
            return;
        };
        if !backend_flow.is_open {
            if packet.acknowledged != backend_flow.sequence.wrapping_add(1) {
                return;
            }
            backend_flow.is_open = true;
            self.ledger.handshake_ended(flow, self.spec.number);
        }
        let sequence = backend_flow.sequence.wrapping_add(1);
        if packet.flags & (FIN | RST) != 0 {
            self.flows.remove(&flow);
            return;
        }
        if packet.data.len() < 9 {
            return;
        }
        let id = u64::from_be_bytes(packet.data[..8].try_into().unwrap_or_default());
        let end = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.sequence == backend_flow.next_sequence {
            backend_flow.next_sequence = end;
            self.ledger.record_run(id, packet.data[8] == 1);
        } else if end != backend_flow.next_sequence {
            // A retransmission of an earlier request, delayed in a paused instance. Only the
            // last request may still lack a response.
            return;
        } else if self.spec.work_kind == WorkKind::LimitedBySlots {
            return self.reply(&packet, ACK, sequence, Vec::new(), Duration::ZERO);
        }
        let answer = id.to_be_bytes().to_vec();
        match self.spec.work_kind {
            WorkKind::Unbounded => self.reply(&packet, ACK, sequence, answer, REQUEST_TIME),
            WorkKind::LimitedBySlots => self.run_request(&packet, sequence, answer),
        }
    }

    /// Runs a request in the slot that is free first, or rejects it if the wait is too long.
    fn run_request(&mut self, packet: &WirePacket, sequence: u32, answer: Vec<u8>) {
        self.reply(packet, ACK, sequence, Vec::new(), Duration::ZERO);
        let now = Instant::now();
        let Some(slot) = self.slots_free_at.iter_mut().min() else { return };
        let begin = (*slot).max(now);
        if begin - now > MAX_QUEUE_WAIT {
            return self.reply(
                packet,
                ACK,
                sequence,
                vec![0; REJECTION_SIZE_BYTES],
                REJECTION_DELAY,
            );
        }
        *slot = begin + SLOT_REQUEST_TIME;
        let remaining = *slot - now;
        let (ledger, number) = (self.ledger.clone(), self.spec.number);
        ledger.work_begun(number);
        tokio::spawn(async move {
            tokio::time::sleep(remaining).await;
            ledger.work_ended(number);
        });
        self.reply(packet, ACK, sequence, answer, remaining);
    }

    fn open(&mut self, packet: &WirePacket, flow: FlowKey, instance: usize) {
        self.ledger.check_opening(flow, self.spec.number, &self.spec.service, instance);
        let next_sequence = packet.sequence;
        let new_flow = BackendFlow { sequence: rand::random(), is_open: false, next_sequence };
        let sequence = self.flows.entry(flow).or_insert(new_flow).sequence;
        self.reply(packet, SYN | ACK, sequence, Vec::new(), Duration::ZERO);
    }

    fn reply(&self, to: &WirePacket, flags: u8, sequence: u32, data: Vec<u8>, delay: Duration) {
        let mut reply = WirePacket::new(to.to, to.from, flags);
        reply.echo = to.echo;
        reply.sequence = sequence;
        reply.acknowledged = to.sequence.wrapping_add(to.data.len() as u32);
        reply.data = data;
        let socket = self.socket.clone();
        let caller = SocketAddrV4::new(*to.from.ip(), self.spec.caller_port);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The caller retransmits its request if the response is lost.
            let _ = socket.send_to(&reply.encode(), SocketAddr::V4(caller)).await;
        });
    }
}

/// Returns the index of the instance that sent a packet: instances have the addresses x.x.1.1 and
/// up.
fn instance_of(from: SocketAddr) -> usize {
    match from {
        SocketAddr::V4(from) => usize::from(from.ip().octets()[3].saturating_sub(1)),
        SocketAddr::V6(_) => usize::MAX,
    }
}
