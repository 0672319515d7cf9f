//! Stand-ins for the platform's store, routers, clients and targets, and control of instances.
//!
//! They follow the users' PROTOCOL.md and use the standard library only. Every address is a
//! loopback address: each process, target and client has an IP address of its own in 127/8, and
//! all instances use the same port numbers.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.ms(), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

// ---------------------------------------------------------------- random numbers

static SEED: AtomicU32 = AtomicU32::new(0);

/// Returns a pseudo-random number (xorshift, seeded by the process id).
pub fn random() -> u32 {
    let mut x = SEED.load(Ordering::Relaxed);
    if x == 0 {
        x = std::process::id().wrapping_mul(2_654_435_761) | 1;
    }
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    SEED.store(x, Ordering::Relaxed);
    x
}

// ---------------------------------------------------------------- packets

pub const SYN: u8 = 32;
pub const RST: u8 = 16;
pub const ACK: u8 = 4;
pub const FIN: u8 = 2;
const BOUNCED: u8 = 1;
const HEAD: usize = 32;

/// A packet of a flow as PROTOCOL.md lays it out.
#[derive(Clone, Debug, Default)]
pub struct Packet {
    pub echo: u32,
    pub dport: u16,
    pub sport: u16,
    pub src: u32,
    pub dst: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    fn keyed_sum(&self) -> u32 {
        let mut sum: u32 = 0x811c_9dc5;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(16_777_619);
            }
        };
        add(b"stand-in key");
        add(&self.dport.to_be_bytes());
        add(&self.sport.to_be_bytes());
        add(&self.src.to_be_bytes());
        add(&self.dst.to_be_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.data);
        sum.max(1)
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.dport.to_be_bytes());
        bytes.extend(self.sport.to_be_bytes());
        bytes.extend(self.src.to_be_bytes());
        bytes.extend(self.dst.to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.keyed_sum().to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn parse(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let packet = Packet {
            echo: u32_at(0),
            dport: u16_at(4),
            sport: u16_at(6),
            src: u32_at(8),
            dst: u32_at(12),
            sum: u32_at(18),
            flags: bytes[22],
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEAD..].to_vec(),
        };
        (usize::from(u16_at(16)) == packet.data.len()).then_some(packet)
    }

    /// True if the packet is as its sender wrote it.
    pub fn is_intact(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// True if the packet is a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.flags & RST != 0 && self.sum == 0 && self.data.is_empty()
    }
}

// ---------------------------------------------------------------- the platform's store

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

struct StoreState {
    changes: Vec<Change>,
    revision: u64,
}

/// A store with a leader, which answers linearizable calls, and a replica for each of two ranges
/// of keys, which answer serializable reads: one for reads that start before the first key, one for
/// reads that continue after a key. The lag of the second one can be set.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddrV4,
    /// Lag of serializable reads that continue after a key, in milliseconds.
    pub second_lag_ms: Arc<AtomicU32>,
    page_items: usize,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, page_items: usize, record: Record) -> Store {
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let store = Store {
            state: Arc::new((
                Mutex::new(StoreState { changes: Vec::new(), revision: 100 }),
                Condvar::new(),
            )),
            address,
            second_lag_ms: Arc::new(AtomicU32::new(0)),
            page_items,
            record,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item, or removes it; returns its revision when the write is acknowledged.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|text| text.as_bytes().to_vec());
        state.changes.push(Change { at: Instant::now(), revision, key: key.to_owned(), value });
        self.state.1.notify_all();
        revision
    }

    /// Returns the items and the revision as they were `lag_ms` ago.
    fn view(state: &StoreState, lag_ms: u32) -> (BTreeMap<String, Item>, u64) {
        let now = Instant::now();
        let lag = Duration::from_millis(u64::from(lag_ms));
        let (mut items, mut as_of) = (BTreeMap::<String, Item>::new(), 100);
        for change in &state.changes {
            if now.duration_since(change.at) < lag {
                break;
            }
            as_of = change.revision;
            match &change.value {
                None => drop(items.remove(&change.key)),
                Some(value) => {
                    let known = items.get(&change.key);
                    let created = known.map_or(change.revision, |item| item.created);
                    let revision = change.revision;
                    items.insert(
                        change.key.clone(),
                        Item { value: value.clone(), revision, created },
                    );
                }
            }
        }
        (items, as_of)
    }

    fn serve(&self, stream: TcpStream) {
        let peer = stream.peer_addr().map(|peer| peer.ip().to_string()).unwrap_or_default();
        let mut writer = stream.try_clone().expect("a socket can be duplicated");
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = line.split_whitespace().nth(1).unwrap_or("").to_owned();
            let (status, body) = self.answer(&peer, &target);
            // The bodies of a page and of a watch without events come at once, as a whole.
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, peer: &str, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        match path {
            "/foxledge/kv-range" => {
                let is_serializable = query.get("serializable").is_some_and(|value| value == "1");
                let after = query.get("after").cloned().unwrap_or_default();
                let lag_ms = match is_serializable && !after.is_empty() {
                    true => self.second_lag_ms.load(Ordering::SeqCst),
                    false => 0,
                };
                let state = self.state.0.lock().unwrap();
                let (items, as_of) = Store::view(&state, lag_ms);
                drop(state);
                let mut listed = items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
                let page: Vec<String> = listed
                    .by_ref()
                    .take(self.page_items)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let truncated = listed.next().is_some();
                self.record.say(format!(
                    "store: {} read by {peer} after \"{after}\": {} items, truncated {truncated}, as_of {as_of}",
                    if is_serializable { "serializable" } else { "linearizable" },
                    page.len(),
                ));
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"as_of\":{as_of}}}",
                    page.join(",")
                );
                ("200 OK", body)
            }
            "/foxledge/kv-watch" => {
                let after: u64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait_ms: u64 =
                    query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let events: Vec<String> = state
                        .changes
                        .iter()
                        .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                        .map(|change| event_json(&state, change))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let as_of = state.revision;
                        let events = events.join(",");
                        return ("200 OK", format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn event_json(state: &StoreState, change: &Change) -> String {
    match &change.value {
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            change.key, change.revision
        ),
        Some(value) => {
            let mut created = change.revision;
            for other in state.changes.iter().filter(|other| other.revision <= change.revision) {
                if other.key != change.key {
                    continue;
                }
                created = match other.value {
                    None => change.revision,
                    Some(_) => created.min(other.revision),
                };
            }
            let item = Item { value: value.clone(), revision: change.revision, created };
            item_json(&change.key, &item)
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(DIGITS[(group >> (18 - 6 * index)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                decoded.push(byte);
                at += 3;
                continue;
            }
        }
        decoded.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- targets

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct FlowKey {
    src: u32,
    sport: u16,
    dst: u32,
    dport: u16,
}

struct TargetFlow {
    /// Sequence number of the next byte expected from the client.
    expected: u32,
    /// First sequence number of this target.
    first: u32,
    /// Sequence number of the next byte to send.
    next: u32,
    is_open: bool,
    /// Bytes of a request that isn't complete yet.
    pending: Vec<u8>,
    /// The response in transit: its packet, when it is sent next, and the wait after that.
    unacked: Option<(Packet, Instant, u64, u32)>,
}

/// A request that a target has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub attempt: String,
    pub target: String,
    /// Service of the target, and the address to which the client sent.
    pub service: String,
    pub route: SocketAddrV4,
}

/// An opening packet that a target took.
#[derive(Clone, Debug)]
pub struct Opening {
    pub at_ms: u64,
    pub target: String,
    pub client: String,
    /// Service of the target, and the address to which the client sent.
    pub service: String,
    pub route: SocketAddrV4,
}

/// What all targets have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub openings: Arc<Mutex<Vec<Opening>>>,
}

/// A target: it registers in the store under its id, and serves flows at its address.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub number: u64,
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
    /// Remaining warm-up at the start, in milliseconds.
    pub warm_up_ms: u64,
    /// The Unix millisecond of its start; 0 if its entry doesn't give it.
    pub born: u64,
    /// True if its runs aren't written to the record one by one.
    pub is_quiet: bool,
    is_draining: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl Target {
    /// Starts a target. Without `serves`, its socket is bound and nothing reads it, for targets
    /// of services to which no client sends.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        seen: &Seen,
        record: &Record,
        serves: bool,
    ) -> (Target, UdpSocket) {
        Target::new(id, service, zone, address).serve(seen, record, serves)
    }

    /// Creates a target whose requests take 5 ms.
    pub fn new(id: &str, service: &str, zone: &str, address: SocketAddrV4) -> Target {
        let digits = id.rsplit('-').next().unwrap();
        Target {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            number: u64::from_str_radix(digits, 16).expect("an id ends in hex digits"),
            work_ms: 5,
            warm_up_ms: 0,
            born: 0,
            is_quiet: false,
            is_draining: Arc::default(),
            is_stopped: Arc::default(),
        }
    }

    /// Binds the socket and serves flows.
    pub fn serve(self, seen: &Seen, record: &Record, serves: bool) -> (Target, UdpSocket) {
        let (target, address) = (self.clone(), self.address);
        // A target that ended a moment ago may hold the address for some milliseconds.
        let mut sockets = (0..100).map(|_| UdpSocket::bind(address).inspect_err(|_| sleep_ms(10)));
        let socket = sockets.find_map(Result::ok).expect("a target's port is free");
        if serves {
            let (server, seen, record) = (target.clone(), seen.clone(), record.clone());
            let socket = socket.try_clone().unwrap();
            thread::spawn(move || server.run(&socket, &seen, &record));
        }
        (target, socket)
    }

    /// Returns the target's entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let born = match self.born {
            0 => String::new(),
            born => format!(",\"born\":{born}"),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\
             \"state\":\"{state}\",\"warmup_left_ms\":{},\"sequence\":{sequence}{born}}}",
            self.service, self.address, self.zone, self.warm_up_ms
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    fn run(&self, socket: &UdpSocket, seen: &Seen, record: &Record) {
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let mut flows: HashMap<FlowKey, TargetFlow> = HashMap::new();
        let mut buffer = [0u8; 2048];
        while !self.is_stopped.load(Ordering::SeqCst) {
            match socket.recv_from(&mut buffer) {
                Ok((size, _)) if size >= 8 => {
                    let intended = u64::from_be_bytes(buffer[..8].try_into().unwrap());
                    if intended == 0 || intended == self.number {
                        if let Some(packet) = Packet::parse(&buffer[8..size]) {
                            self.handle(socket, &mut flows, packet, seen, record);
                        }
                    }
                }
                Ok(_) => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {}
            }
            let now = Instant::now();
            for flow in flows.values_mut() {
                if let Some((packet, at, wait_ms, copies)) = &mut flow.unacked {
                    if *at <= now && *copies < 8 {
                        send_to_client(socket, packet);
                        *at = now + Duration::from_millis(*wait_ms);
                        *wait_ms = (*wait_ms * 2).min(1_600);
                        *copies += 1;
                    }
                }
            }
        }
    }

    fn handle(
        &self,
        socket: &UdpSocket,
        flows: &mut HashMap<FlowKey, TargetFlow>,
        packet: Packet,
        seen: &Seen,
        record: &Record,
    ) {
        if !packet.is_intact() {
            record.say(format!("target {}: a packet that its sender didn't write so", self.id));
            return;
        }
        let key =
            FlowKey { src: packet.src, sport: packet.sport, dst: packet.dst, dport: packet.dport };
        let client = format!("{}:{}", Ipv4Addr::from(packet.src), packet.sport);
        let route = SocketAddrV4::new(Ipv4Addr::from(packet.dst), packet.dport);
        let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
            echo: packet.echo,
            dport: packet.sport,
            sport: packet.dport,
            src: packet.dst,
            dst: packet.src,
            flags,
            seq,
            ack,
            sum: 0,
            data,
        };
        if packet.flags & SYN != 0 {
            let is_new = !flows.contains_key(&key);
            let flow = flows.entry(key).or_insert_with(|| {
                let first = random();
                TargetFlow {
                    expected: packet.seq.wrapping_add(1),
                    first,
                    next: first.wrapping_add(1),
                    is_open: false,
                    pending: Vec::new(),
                    unacked: None,
                }
            });
            if is_new {
                let at_ms = record.ms();
                seen.openings.lock().unwrap().push(Opening {
                    at_ms,
                    target: self.id.clone(),
                    client,
                    service: self.service.clone(),
                    route,
                });
            }
            send_to_client(socket, &reply(SYN | ACK, flow.first, flow.expected, Vec::new()));
            return;
        }
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return;
        }
        let Some(flow) = flows.get_mut(&key) else {
            record.say(format!("target {}: packet of unknown flow of {client}: RST", self.id));
            send_to_client(socket, &reply(RST, packet.ack, 0, Vec::new()));
            return;
        };
        if !flow.is_open {
            if packet.ack != flow.first.wrapping_add(1) {
                send_to_client(socket, &reply(RST, packet.ack, 0, Vec::new()));
                return;
            }
            flow.is_open = true;
        }
        if packet.ack == flow.next && flow.unacked.as_ref().is_some_and(|one| one.3 > 0) {
            flow.unacked = None;
        }
        if !packet.data.is_empty() && packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.pending.extend(&packet.data);
        }
        if !packet.data.is_empty() {
            send_to_client(socket, &reply(ACK, flow.next, flow.expected, Vec::new()));
        }
        if flow.pending.ends_with(b"\r\n\r\n") {
            let request = String::from_utf8_lossy(&std::mem::take(&mut flow.pending)).into_owned();
            let attempt = request
                .lines()
                .find_map(|line| line.strip_prefix("Attempt-Id: "))
                .unwrap_or("?")
                .to_owned();
            let at_ms = record.ms();
            if !self.is_quiet {
                record.say(format!("target {}: runs request {attempt}", self.id));
            }
            seen.runs.lock().unwrap().push(Run {
                at_ms,
                attempt: attempt.clone(),
                target: self.id.clone(),
                service: self.service.clone(),
                route,
            });
            let body = format!("done {attempt}");
            let data = format!(
                "HTTP/1.1 200 OK\r\nServer-Seal: x\r\nTarget-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )
            .into_bytes();
            let length = data.len() as u32;
            let response = reply(ACK, flow.next, flow.expected, data);
            flow.next = flow.next.wrapping_add(length);
            let ready_at = Instant::now() + Duration::from_millis(self.work_ms);
            flow.unacked = Some((response, ready_at, 200, 0));
        }
        if packet.flags & FIN != 0 {
            flow.expected = flow.expected.wrapping_add(1);
            send_to_client(socket, &reply(ACK | FIN, flow.next, flow.expected, Vec::new()));
            flows.remove(&key);
        }
    }
}

static CLIENT_PORT: AtomicU32 = AtomicU32::new(0);

fn send_to_client(socket: &UdpSocket, packet: &Packet) {
    let port = CLIENT_PORT.load(Ordering::SeqCst) as u16;
    let _ = socket.send_to(&packet.to_bytes(), SocketAddrV4::new(Ipv4Addr::from(packet.dst), port));
}

// ---------------------------------------------------------------- clients

/// Where the routers send the packets of a zone's clients: to one of its instances, by a hash of
/// the four addresses and ports.
#[derive(Clone)]
pub struct Routers {
    pub instances: Arc<Mutex<Vec<SocketAddrV4>>>,
}

impl Routers {
    fn pick(&self, packet: &Packet) -> SocketAddrV4 {
        let instances = self.instances.lock().unwrap();
        let mut hash = packet.src.wrapping_mul(2_654_435_761) ^ u32::from(packet.sport) << 7;
        hash ^= packet.dst.rotate_left(11) ^ u32::from(packet.dport);
        hash = hash.wrapping_mul(2_246_822_519);
        instances[(hash >> 9) as usize % instances.len()]
    }
}

/// How a client's wait ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came from this target.
    Answered(String),
    /// A reset of the system's own came.
    SystemReset,
    /// A reset of the target came.
    TargetReset,
    /// The deadline passed.
    Deadline,
}

/// A client with one flow.
pub struct Client {
    socket: UdpSocket,
    routers: Routers,
    record: Record,
    pub ip: Ipv4Addr,
    pub sport: u16,
    service: SocketAddrV4,
    echo: u32,
    seq: u32,
    ack: u32,
    pub is_open: bool,
    pub target: Option<String>,
}

impl Client {
    pub fn new(
        ip: Ipv4Addr,
        port: u16,
        service: SocketAddrV4,
        routers: &Routers,
        record: &Record,
    ) -> Client {
        CLIENT_PORT.store(u32::from(port), Ordering::SeqCst);
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("a client's port is free");
        Client {
            socket,
            routers: routers.clone(),
            record: record.clone(),
            ip,
            sport: 30_000 + (random() % 20_000) as u16,
            service,
            echo: 0,
            seq: random(),
            ack: 0,
            is_open: false,
            target: None,
        }
    }

    fn send(&self, flags: u8, ack: u32, data: &[u8]) {
        let packet = Packet {
            echo: self.echo,
            dport: self.service.port(),
            sport: self.sport,
            src: u32::from(self.ip),
            dst: u32::from(*self.service.ip()),
            flags,
            seq: self.seq,
            ack,
            sum: 0,
            data: data.to_vec(),
        };
        let to = self.routers.pick(&packet);
        let _ = self.socket.send_to(&packet.to_bytes(), to);
    }

    /// Receives the next packet of this flow until `until`.
    fn receive(&self, until: Instant) -> Option<Packet> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).unwrap();
            let mut buffer = [0u8; 2048];
            let Ok((size, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let Some(packet) = Packet::parse(&buffer[..size]) else { continue };
            if packet.dport != self.sport {
                continue;
            }
            if !packet.is_system_reset() && !packet.is_intact() {
                self.record.say(format!("client {}: a forged packet", self.ip));
                continue;
            }
            return Some(packet);
        }
    }

    /// Opens the flow: an opening packet, and copies after 200 and 600 ms, for 1.4 s.
    pub fn open(&mut self) -> Outcome {
        let begun = Instant::now();
        for (copy, at_ms) in [0u64, 200, 600].into_iter().enumerate() {
            self.send(SYN, copy as u32, &[]);
            let next_ms = [200, 600, 1_400][copy];
            let _ = at_ms;
            while let Some(packet) = self.receive(begun + Duration::from_millis(next_ms)) {
                if packet.is_system_reset() {
                    return Outcome::SystemReset;
                }
                if packet.flags & RST != 0 {
                    return Outcome::TargetReset;
                }
                if packet.flags & SYN != 0 {
                    self.echo = packet.echo;
                    self.seq = self.seq.wrapping_add(1);
                    self.ack = packet.seq.wrapping_add(1);
                    self.is_open = true;
                    self.send(ACK, self.ack, &[]);
                    return Outcome::Answered(String::new());
                }
            }
        }
        Outcome::Deadline
    }

    /// Sends a request on the open flow and waits for its answer.
    pub fn request(&mut self, attempt: &str, deadline_ms: u64) -> Outcome {
        let data = format!("GET / HTTP/1.1\r\nAttempt-Id: {attempt}\r\n\r\n").into_bytes();
        let begun = Instant::now();
        let deadline = begun + Duration::from_millis(deadline_ms);
        let end = self.seq.wrapping_add(data.len() as u32);
        let (mut next_copy, mut wait_ms, mut is_acked) = (begun, 200u64, false);
        let mut answer = Vec::new();
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Outcome::Deadline;
            }
            if !is_acked && now >= next_copy {
                self.send(ACK, self.ack, &data);
                next_copy = now + Duration::from_millis(wait_ms);
                wait_ms = (wait_ms * 2).min(1_600);
            }
            let until = if is_acked { deadline } else { next_copy.min(deadline) };
            let Some(packet) = self.receive(until) else { continue };
            if packet.flags & RST != 0 {
                // A reset of an open flow counts only near what the client has received.
                if packet.seq.wrapping_sub(self.ack).wrapping_add(76_800) > 153_600 {
                    continue;
                }
                self.is_open = false;
                return match packet.is_system_reset() {
                    true => Outcome::SystemReset,
                    false => Outcome::TargetReset,
                };
            }
            if packet.flags & SYN != 0 {
                continue;
            }
            self.echo = packet.echo;
            is_acked |= packet.ack == end;
            if !packet.data.is_empty() && packet.seq == self.ack {
                self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                answer.extend(&packet.data);
                self.seq = end;
                self.send(ACK, self.ack, &[]);
            }
            let text = String::from_utf8_lossy(&answer).into_owned();
            if text.ends_with(&format!("done {attempt}")) {
                let target = text.lines().find_map(|line| line.strip_prefix("Target-Id: "));
                let target = target.unwrap_or("?").to_owned();
                self.target = Some(target.clone());
                return Outcome::Answered(target);
            }
        }
    }

    /// Prepares a new flow from a new port.
    pub fn renew(&mut self) {
        self.sport = 30_000 + (self.sport - 30_000 + 1 + (random() % 97) as u16) % 30_000;
        (self.echo, self.ack, self.seq, self.is_open) = (0, 0, random(), false);
    }

    /// Ends the flow.
    pub fn close(&mut self) {
        if self.is_open {
            self.send(ACK | FIN, self.ack, &[]);
            self.is_open = false;
        }
    }
}

// ---------------------------------------------------------------- instances

/// An instance: a process of `foxledged packets`, started as deploy/system.toml says.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    pub data: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub peer: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The ports that all instances share.
#[derive(Clone, Copy)]
pub struct Ports {
    pub data: u16,
    pub ready: u16,
    pub peer: u16,
}

impl Instance {
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &str,
        zones: &[&str],
        ip: Ipv4Addr,
        ports: Ports,
        seeds: &[SocketAddrV4],
        store: SocketAddrV4,
        bounds: &str,
    ) -> Instance {
        let (data, ready, peer) = (
            SocketAddrV4::new(ip, ports.data),
            SocketAddrV4::new(ip, ports.ready),
            SocketAddrV4::new(ip, ports.peer),
        );
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zones: String = zones
            .iter()
            .map(|zone| format!("[[data_centres]]\nname = \"{zone}\"\nregion = \"great-lakes\"\n"))
            .collect();
        // As platform/foxledged.toml.in is filled in.
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"{zone}\"\nlink_mbps = 1000.0\n{zones}\
             [cold]\n{bounds}\n[listen]\ndata = \"{data}\"\npeer = \"{peer}\"\nadmin = \"{ready}\"\n\
             metrics = \"{ip}:9464\"\n[store]\naddress = \"{store}\"\n[peers]\nseeds = [{}]\n\
             [stop]\nlimit_s = 6\n[load]\nenabled = true\n[admission]\nenabled = true\n",
            seeds.join(", ")
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings can be written");
        Instance {
            name: name.to_owned(),
            ip,
            data,
            ready,
            peer,
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/foxledged")
            .args(["packets", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                let pids = self.settings.with_file_name("pids");
                let pids = fs::OpenOptions::new().create(true).append(true).open(pids);
                let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
                self.child = Some(child);
            }
            Err(error) => cannot_run(&format!("target/release/foxledged doesn't start: {error}")),
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    pub fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    /// Asks like the routers whether the instance is ready.
    pub fn is_ready(&self) -> bool {
        http_get(self.ready, "/healthz")
            .is_some_and(|response| response.starts_with("HTTP/1.1 200"))
    }

    pub fn log_lines(&self, needle: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(needle)).map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn http_get(address: SocketAddrV4, path: &str) -> Option<String> {
    let limit = Duration::from_millis(500);
    let mut stream = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

/// Waits until all instances are ready; ends the run with 2 if they aren't within 15 s.
pub fn wait_ready(instances: &[Instance]) {
    let until = Instant::now() + Duration::from_secs(15);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > until {
            cannot_run("the instances aren't ready within 15 s");
        }
        sleep_ms(50);
    }
}

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    std::process::exit(code);
}

pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    finish(2);
}

/// Returns true unless the environment says TROUBLE=0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// An address in 127/8 whose second and third bytes depend on the process, so that several runs
/// don't meet.
pub fn loopback(group: u8, index: u16) -> Ipv4Addr {
    static SECOND: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let (second, _) = SECOND.get_or_init(|| {
        let first = std::process::id() % 200;
        let mut candidates = (0..200).map(|offset| 1 + ((first + offset) % 200) as u8);
        // The listener keeps other runs from the same addresses.
        let lock = |second: u8| TcpListener::bind((Ipv4Addr::new(127, second, 250, 250), 19_999));
        candidates
            .find_map(|second| lock(second).ok().map(|listener| (second, listener)))
            .unwrap_or_else(|| cannot_run("no loopback addresses are free"))
    });
    assert!(index < 800);
    Ipv4Addr::new(127, *second, group * 4 + (index / 200) as u8, 1 + (index % 200) as u8)
}

/// Returns three port numbers that are free at this address.
pub fn free_ports(ip: Ipv4Addr) -> Ports {
    let mut sockets = Vec::new();
    let mut port = || {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0)).expect("a port is free");
        let port = listener.local_addr().unwrap().port();
        sockets.push(listener);
        port
    };
    Ports { data: port(), ready: port(), peer: port() }
}
