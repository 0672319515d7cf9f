//! Backend servers, as stand-ins over UDP.

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

/// Time that a request takes.
const REQUEST_TIME: Duration = Duration::from_millis(8);
/// Time that a request takes at a backend server whose slots are counted.
const SLOT_REQUEST_TIME: Duration = Duration::from_millis(60);
/// Requests that a backend server runs at once, as its entry tells.
const SLOT_COUNT: usize = 2;
/// Longest wait for a slot; requests that would wait for longer aren't run.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(240);
/// Time after which a request that isn't run is answered.
const REJECTION_DELAY: Duration = Duration::from_millis(150);
/// Size of the answer to it.
pub(crate) const REJECTION_SIZE_BYTES: usize = 9;

/// `BackendSpec` is where a backend server runs and what it belongs to.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// The number by which packets name it.
    pub number: u64,
    /// Its service.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: String,
    /// The port at which callers listen.
    pub caller_port: u16,
    /// Which start of it this is, as its entry tells; 0 when it doesn't.
    pub started_unix_ms: u64,
    /// How it works on requests.
    pub work_kind: WorkKind,
}

/// `WorkKind` is how a backend server works on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Any number at once.
    Unbounded,
    /// As many at once as it has slots; some more wait.
    LimitedBySlots,
}

impl BackendSpec {
    /// Its entry in a state.
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

    /// The key of its entry.
    pub fn key(&self) -> String {
        format!("servers/i-{:x}", self.number)
    }
}

/// `StandInBackend` is one running process of a backend server.
pub struct StandInBackend {
    /// Where it runs.
    pub spec: BackendSpec,
    /// True while it answers nothing.
    pub is_silent: Arc<AtomicBool>,
    task: JoinHandle<()>,
    ledger: Arc<PromiseLedger>,
}

struct BackendFlow {
    sequence: u32,
    is_open: bool,
    /// Sequence number of the next byte that hasn't come yet.
    next_sequence: u32,
}

impl StandInBackend {
    /// Starts a backend server and registers it.
    ///
    /// # Errors
    ///
    /// When its address can't be bound.
    pub async fn start(
        place: BackendSpec,
        store: &StandInStore,
        ledger: Arc<PromiseLedger>,
        loss: PacketLoss,
    ) -> Result<StandInBackend> {
        let socket = Arc::new(UdpSocket::bind(place.address).await?);
        ledger.backend_started(place.number, &place.service, &place.data_centre, SLOT_COUNT);
        let is_silent = Arc::new(AtomicBool::new(false));
        let server = BackendLoop {
            spec: place.clone(),
            socket,
            ledger: ledger.clone(),
            is_silent: is_silent.clone(),
            loss,
            flows: HashMap::new(),
            slots_free_at: [Instant::now(); SLOT_COUNT],
        };
        let task = tokio::spawn(server.run());
        let backend = StandInBackend { spec: place, is_silent, task, ledger };
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

    /// Reports that it leaves.
    pub fn drain(&self, store: &StandInStore) {
        self.register(store, "draining");
        self.ledger.backend_draining(self.spec.number);
    }

    /// The key of its entry.
    pub fn key(&self) -> String {
        self.spec.key()
    }

    /// Ends it; its address is free afterwards.
    pub async fn terminate(self) {
        self.ledger.backend_ended(self.spec.number);
        self.task.abort();
        // The task was ended on purpose; nothing else is told by its result.
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
    /// When each slot is free, the requests that wait included.
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
            let intended = u64::from_be_bytes(buffer[..8].try_into().unwrap_or_default());
            // What is meant for another backend server gets no answer.
            if intended != self.spec.number {
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
        let Some(known) = self.flows.get_mut(&flow) else {
            if packet.flags & RST == 0 {
                self.ledger.check_stray_packet(flow, self.spec.number);
                self.reply(&packet, RST, 0, Vec::new(), Duration::ZERO);
            }
            return;
        };
        if !known.is_open {
            if packet.acknowledged != known.sequence.wrapping_add(1) {
                return;
            }
            known.is_open = true;
            self.ledger.handshake_ended(flow, self.spec.number);
        }
        let sequence = known.sequence.wrapping_add(1);
        if packet.flags & (FIN | RST) != 0 {
            self.flows.remove(&flow);
            return;
        }
        if packet.data.len() < 9 {
            return;
        }
        let id = u64::from_be_bytes(packet.data[..8].try_into().unwrap_or_default());
        let end = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.sequence == known.next_sequence {
            known.next_sequence = end;
            self.ledger.record_run(id, packet.data[8] == 1);
        } else if end != known.next_sequence {
            // A copy of an earlier request, which waited in a paused instance. Only
            // the last request's answer may still be missing.
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

    /// Runs a request in the first slot that is free, unless too many wait.
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
        let left = *slot - now;
        let (ledger, number) = (self.ledger.clone(), self.spec.number);
        ledger.work_begun(number);
        tokio::spawn(async move {
            tokio::time::sleep(left).await;
            ledger.work_ended(number);
        });
        self.reply(packet, ACK, sequence, answer, left);
    }

    fn open(&mut self, packet: &WirePacket, flow: FlowKey, instance: usize) {
        self.ledger.check_opening(flow, self.spec.number, &self.spec.service, instance);
        let expected = packet.sequence;
        let fresh =
            BackendFlow { sequence: rand::random(), is_open: false, next_sequence: expected };
        let sequence = self.flows.entry(flow).or_insert(fresh).sequence;
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
            // The caller sends again if this is lost.
            let _ = socket.send_to(&reply.encode(), SocketAddr::V4(caller)).await;
        });
    }
}

/// Instances have the addresses x.x.1.1 and up.
fn instance_of(from: SocketAddr) -> usize {
    match from {
        SocketAddr::V4(from) => usize::from(from.ip().octets()[3].saturating_sub(1)),
        SocketAddr::V6(_) => usize::MAX,
    }
}
