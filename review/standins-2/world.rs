//! A small deployment on loopback for the review's scripts: stand-ins of the platform's store, of
//! targets and of clients, links that can be cut, and real processes of `foxledged packets`.
//!
//! It uses the standard library only. `world CASE --trouble 0|1 --record FILE --root DIR` plays one
//! case and exits with 1 if its rule was broken, 0 if it held, and 2 if it couldn't run.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod cases;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

// ---------------------------------------------------------------------------------------------
// Clock and record

/// The record of a run: what was sent, answered and run, with seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(path: &Path) -> Record {
        Record { start: Instant::now(), file: Mutex::new(File::create(path).expect("record")) }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.now();
        let _ = writeln!(lock(&self.file), "{at:9.3} {text}");
    }

    /// Sleeps until the given second of the run.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---------------------------------------------------------------------------------------------
// Addresses and cuts

/// The side of a link: a zone's name stands for everything in it, `store` for the store.
pub type Place = String;

/// The loopback addresses of a run, and which zones are cut off.
pub struct Net {
    /// Second byte of every address, so that runs side by side don't meet.
    octet: u8,
    /// Port of the data address on all machines, and of the clients.
    pub data_port: u16,
    cut_zones: Mutex<HashSet<Place>>,
    zone_of: Mutex<HashMap<Ipv4Addr, Place>>,
}

impl Net {
    fn new() -> Net {
        let octet = 20 + (std::process::id() % 200) as u8;
        let free = UdpSocket::bind("127.0.0.1:0").expect("bind");
        let data_port = free.local_addr().expect("address").port();
        Net {
            octet,
            data_port,
            cut_zones: Mutex::default(),
            zone_of: Mutex::default(),
        }
    }

    /// Returns a loopback address of this run.
    pub fn ip(&self, group: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, group, host)
    }

    fn place(&self, ip: Ipv4Addr, zone: &str) {
        lock(&self.zone_of).insert(ip, zone.to_owned());
    }

    /// Cuts a zone off from the other zones and from the store; clients still reach it.
    pub fn cut(&self, zone: &str, is_cut: bool) {
        let mut zones = lock(&self.cut_zones);
        match is_cut {
            true => zones.insert(zone.to_owned()),
            false => zones.remove(zone),
        };
    }

    /// Returns true while nothing passes between an address and a zone (or the store).
    pub fn is_cut(&self, from: Ipv4Addr, to_zone: &str) -> bool {
        let zone = lock(&self.zone_of).get(&from).cloned().unwrap_or_default();
        let cut = lock(&self.cut_zones);
        zone != to_zone && (cut.contains(&zone) || cut.contains(to_zone))
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Item {
    key: String,
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Item>,
}

/// The store: range and watch over HTTP/1.1, as the pages describe them.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Arc<Record>,
    is_down: AtomicBool,
}

/// The most items of a page, and the most bytes of its values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    fn new(record: Arc<Record>) -> Arc<Store> {
        let state = StoreState { revision: 10, ..StoreState::default() };
        let is_down = AtomicBool::new(false);
        Arc::new(Store { state: Mutex::new(state), changed: Condvar::new(), record, is_down })
    }

    /// Has the store answer nothing, or answer again. What it got meanwhile stays unanswered.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Writes an item; the write is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let revision = self.put_bytes(key, value.as_bytes());
        let shown: String = value.chars().take(300).collect();
        self.record.line(&format!("store: revision {revision}: {key} = {shown}"));
    }

    /// Writes an item of any bytes; returns its revision.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |known| known.created);
        let item =
            Item { key: key.to_owned(), value: Some(base64(value)), revision, created };
        state.items.insert(key.to_owned(), item.clone());
        state.events.push(item);
        self.changed.notify_all();
        revision
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push(Item { key: key.to_owned(), value: None, revision, created: 0 });
        self.changed.notify_all();
        drop(state);
        self.record.line(&format!("store: revision {revision}: {key} removed"));
    }

    /// Serves the store to the machine at `machine` on an address of its own.
    fn serve(self: &Arc<Store>, address: SocketAddrV4, machine: Ipv4Addr, net: Arc<Net>) {
        let listener = TcpListener::bind(address).expect("store address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, net) = (store.clone(), net.clone());
                thread::spawn(move || store.serve_connection(stream, machine, &net));
            }
        });
    }

    fn serve_connection(&self, mut stream: TcpStream, machine: Ipv4Addr, net: &Net) {
        let _ = stream.set_nodelay(true);
        let mut pending = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let end = loop {
                if let Some(at) = pending.windows(4).position(|part| part == b"\r\n\r\n") {
                    break at + 4;
                }
                match stream.read(&mut buffer) {
                    Ok(size) if size > 0 => pending.extend_from_slice(&buffer[..size]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            pending.drain(..end);
            // What is lost on a connection is lost for good: it returns nothing further.
            let is_silent =
                || net.is_cut(machine, "store") || self.is_down.load(Ordering::Relaxed);
            if is_silent() {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            let target = head.split(' ').nth(1).unwrap_or("/").to_owned();
            let (status, body) = self.answer(&target);
            if is_silent() {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key, percent_decode(value)))
            .collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        match path {
            "/foxledge/kv-range" => {
                let state = lock(&self.state);
                let (prefix, after) = (field("prefix"), field("after"));
                let matching: Vec<_> = state
                    .items
                    .values()
                    .filter(|item| item.key.starts_with(&prefix) && item.key > after)
                    .collect();
                let mut size = 0;
                let fits = |item: &&&Item| {
                    size += item.value.as_ref().map_or(0, |value| value.len() / 4 * 3);
                    size <= PAGE_BYTES
                };
                let page = matching.iter().take(PAGE_ITEMS).take_while(fits).count();
                let page = page.max(1).min(matching.len());
                let items: Vec<_> = matching[..page].iter().map(|item| item_json(item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":{},\"as_of\":{}}}",
                    items.join(","),
                    matching.len() > page,
                    state.revision
                );
                ("200 OK", body)
            }
            "/foxledge/kv-watch" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait_ms: u64 = field("wait_ms").parse().unwrap_or(0);
                let prefix = field("prefix");
                let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let mut state = lock(&self.state);
                loop {
                    let events: Vec<_> = state
                        .events
                        .iter()
                        .filter(|item| item.revision > after && item.key.starts_with(&prefix))
                        .map(item_json)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let as_of = state.revision;
                        return (
                            "200 OK",
                            format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                        );
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left)
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{}\",\"value\":\"{value}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            item.key, item.revision, item.created
        ),
        None => {
            format!("{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}", item.key, item.revision)
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("00");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------------------------------------
// Packets

pub const SYN: u8 = 32;
pub const RST: u8 = 16;
pub const ACK: u8 = 4;
pub const FIN: u8 = 2;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub dport: u16,
    pub sport: u16,
    pub src: Ipv4Addr,
    pub dst: Ipv4Addr,
    pub sum: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[0..4].copy_from_slice(&self.echo.to_be_bytes());
        bytes[4..6].copy_from_slice(&self.dport.to_be_bytes());
        bytes[6..8].copy_from_slice(&self.sport.to_be_bytes());
        bytes[8..12].copy_from_slice(&self.src.octets());
        bytes[12..16].copy_from_slice(&self.dst.octets());
        bytes[16..18].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[18..22].copy_from_slice(&self.keyed_sum().to_be_bytes());
        bytes[22] = self.flags;
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < 32 {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        Some(Packet {
            echo: u32_at(0),
            dport: u16_at(4),
            sport: u16_at(6),
            src: Ipv4Addr::from(u32_at(8)),
            dst: Ipv4Addr::from(u32_at(12)),
            sum: u32_at(18),
            flags: bytes[22],
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[32..].to_vec(),
        })
    }

    /// A sum over all fields but `echo` and `pad`, with the ends' own key. It is never 0, which
    /// marks resets of the system.
    fn keyed_sum(&self) -> u32 {
        let mut sum: u32 = 0x9e37_79b9;
        let mut add = |byte: u8| sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let numbers = [self.seq, self.ack, u32::from(self.src), u32::from(self.dst)];
        numbers.iter().flat_map(|number| number.to_be_bytes()).for_each(&mut add);
        [self.sport, self.dport].iter().flat_map(|port| port.to_be_bytes()).for_each(&mut add);
        add(self.flags);
        self.data.iter().copied().for_each(&mut add);
        sum.max(1)
    }

    /// Returns the flow as its client names it: client's address and port, route's address and port.
    pub fn key_from_client(&self) -> FlowName {
        (self.src, self.sport, self.dst, self.dport)
    }

    pub fn key_to_client(&self) -> FlowName {
        (self.dst, self.dport, self.src, self.sport)
    }

    pub fn is_system_reset(&self) -> bool {
        self.flags & RST != 0 && self.sum == 0 && self.data.is_empty()
    }
}

pub type FlowName = (Ipv4Addr, u16, Ipv4Addr, u16);

pub fn flow_text(flow: &FlowName) -> String {
    format!("{}:{}>{}:{}", flow.0, flow.1, flow.2, flow.3)
}

// ---------------------------------------------------------------------------------------------
// Targets

/// A packet of a client that a target took.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub target: String,
    pub machine: Ipv4Addr,
    pub flow: FlowName,
    pub is_opening: bool,
    pub is_held: bool,
}

pub struct TargetSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub work_ms: u64,
    /// How long it stays cold after its start; 0 if it started before traffic.
    pub warmup_s: f64,
}

struct TargetFlow {
    own_seq: u32,
    next_in: u32,
    sent_end: u32,
    acked: u32,
    echo: u32,
    is_open: bool,
    /// The unacknowledged response, when it is sent next, and how often it was sent.
    response: Option<(Vec<u8>, Instant, u32)>,
    is_ended: bool,
}

pub struct Target {
    pub spec: TargetSpec,
    number: u64,
    pub started_at: f64,
    born: u64,
    port: u16,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowName, TargetFlow>>,
    sequence: AtomicU32,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
}

impl Target {
    fn entry(&self, now: f64) -> String {
        let left_s = (self.started_at + self.spec.warmup_s - now).max(0.0);
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"warmup_left_ms\":{},\"sequence\":{},\"born\":{}}}",
            self.spec.service,
            self.spec.ip,
            self.port,
            self.spec.zone,
            (left_s * 1000.0) as u64,
            self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            self.born,
        )
    }

    fn key(&self) -> String {
        format!("servers/{}", self.spec.id)
    }
}

// ---------------------------------------------------------------------------------------------
// Instances

pub struct InstanceSpec {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

pub struct Instance {
    pub spec: InstanceSpec,
    pub settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    admin: SocketAddrV4,
    bound_peer: SocketAddrV4,
    public_peer: SocketAddrV4,
    store: SocketAddrV4,
}

impl Instance {
    pub fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    /// Returns true if the readiness call is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&SocketAddr::V4(self.admin), Duration::from_millis(400))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
        let request = b"GET /healthz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let mut answer = [0; 16];
        stream.write_all(request).is_ok()
            && stream.read(&mut answer).is_ok_and(|size| size >= 12)
            && &answer[9..12] == b"200"
    }

    /// Returns the value of one of its metrics.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let address = SocketAddr::V4(self.admin);
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(400)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(900))).ok()?;
        let request = b"GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n";
        stream.write_all(request).ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        let mut lines = text.lines().filter_map(|line| line.split_once(' '));
        let (_, value) = lines.find(|(key, _)| !key.starts_with('#') && key.ends_with(name))?;
        value.trim().parse().ok()
    }

    /// Returns how the process ended, if it did by itself.
    pub fn exit_status(&self) -> Option<String> {
        let mut child = lock(&self.child);
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status.to_string())
    }

    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }
}

/// Returns the log of an instance, for the record.
pub fn log_lines(instance: &Instance, words: &[&str]) -> Vec<String> {
    let text = fs::read_to_string(&instance.log).unwrap_or_default();
    let has_word = |line: &&str| words.iter().any(|word| line.contains(word));
    text.lines().filter(has_word).map(str::to_owned).collect()
}

// ---------------------------------------------------------------------------------------------
// The world

pub struct World {
    pub record: Arc<Record>,
    pub net: Arc<Net>,
    pub store: Arc<Store>,
    root: PathBuf,
    folder: PathBuf,
    pub instances: Mutex<Vec<Arc<Instance>>>,
    pub targets: Mutex<Vec<Arc<Target>>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// When each flow's client sent its first opening packet.
    pub sent_at: Mutex<HashMap<FlowName, f64>>,
    pub zones: Vec<String>,
    /// Bounds of the deployment as the settings file shows them.
    pub bounds: Mutex<Vec<(String, String)>>,
    peer_sockets: Mutex<HashMap<SocketAddrV4, (Arc<UdpSocket>, Ipv4Addr)>>,
    pub stop: Arc<AtomicBool>,
}

impl World {
    fn new(record: Arc<Record>, root: PathBuf, zones: &[&str]) -> Arc<World> {
        let folder = std::env::temp_dir().join(format!("foxledge-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let bounds = [
            ("drain_ms", "3000"),
            ("grace_s", "6"),
            ("config_apply_ms", "3000"),
            ("recovery_s", "12"),
            ("flow_reorder_ms", "2000"),
            ("flow_max_s", "60"),
            ("warmup_overrun", "1.5"),
            ("warmup_slack", "5"),
        ];
        Arc::new(World {
            store: Store::new(record.clone()),
            record,
            net: Arc::new(Net::new()),
            root,
            folder,
            instances: Mutex::default(),
            targets: Mutex::default(),
            arrivals: Mutex::default(),
            sent_at: Mutex::default(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            bounds: Mutex::new(
                bounds.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect(),
            ),
            peer_sockets: Mutex::default(),
            stop: Arc::default(),
        })
    }

    // -- instances

    /// Prepares the instances of a deployment: their links to the store and to each other.
    pub fn add_instances(self: &Arc<World>, specs: Vec<InstanceSpec>) {
        let port = self.net.data_port;
        for spec in specs {
            self.net.place(spec.ip, &spec.zone);
            let octets = spec.ip.octets();
            let public_ip = Ipv4Addr::new(127, octets[1], octets[2] + 100, octets[3]);
            let store_ip = Ipv4Addr::new(127, octets[1], octets[2] + 120, octets[3]);
            let instance = Instance {
                settings: self.folder.join(format!("{}.toml", spec.name)),
                log: self.folder.join(format!("{}.log", spec.name)),
                child: Mutex::new(None),
                admin: SocketAddrV4::new(spec.ip, port.wrapping_add(2).max(2_000)),
                bound_peer: SocketAddrV4::new(spec.ip, port.wrapping_add(1).max(2_001)),
                public_peer: SocketAddrV4::new(public_ip, port.wrapping_add(1).max(2_001)),
                store: SocketAddrV4::new(store_ip, port.wrapping_add(3).max(2_003)),
                spec,
            };
            self.store.serve(instance.store, instance.spec.ip, self.net.clone());
            let socket = Arc::new(UdpSocket::bind(instance.public_peer).expect("peer link"));
            lock(&self.peer_sockets)
                .insert(instance.bound_peer, (socket, instance.spec.ip));
            lock(&self.instances).push(Arc::new(instance));
        }
        for instance in lock(&self.instances).iter().cloned() {
            let world = self.clone();
            thread::spawn(move || world.run_peer_link(&instance));
        }
    }

    /// Passes messages for one instance on, from the sender's own address.
    fn run_peer_link(&self, to: &Instance) {
        let (socket, _) = lock(&self.peer_sockets)[&to.bound_peer].clone();
        let mut buffer = vec![0; 4096];
        while let Ok((size, from)) = socket.recv_from(&mut buffer) {
            let SocketAddr::V4(from) = from else { continue };
            let sender = lock(&self.peer_sockets).get(&from).cloned();
            let Some((sender_socket, sender_ip)) = sender else { continue };
            if !self.net.is_cut(sender_ip, &to.spec.zone) {
                let _ = sender_socket.send_to(&buffer[..size], to.bound_peer);
            }
        }
    }

    pub fn instance(&self, name: &str) -> Arc<Instance> {
        let instances = lock(&self.instances);
        instances.iter().find(|one| one.spec.name == name).cloned().expect("instance")
    }

    /// Writes the settings of an instance as the platform does: the template filled in.
    pub fn write_settings(&self, instance: &Instance) {
        let template = fs::read_to_string(self.root.join("platform/foxledged.toml.in"))
            .expect("settings template");
        let seeds: Vec<Value> = lock(&self.instances)
            .iter()
            .take(3)
            .map(|one| Value::Text(one.public_peer.to_string()))
            .collect();
        let zones = self.zones.iter();
        let text = |text: String| Value::Text(text);
        let bounds = lock(&self.bounds).iter().map(|(k, v)| (k.clone(), Value::Raw(v.clone()))).collect();
        let fields = Value::Table(vec![
            ("node_name".into(), text(instance.spec.name.clone())),
            ("ip".into(), text(instance.spec.ip.to_string())),
            ("zone".into(), text(instance.spec.zone.clone())),
            ("zones".into(), Value::Table(zones.map(|zone| (zone.clone(), text("great-lakes".into()))).collect())),
            ("seeds".into(), Value::List(seeds)),
            ("limits".into(), Value::Table(vec![("link_mbps".into(), Value::Raw("1000.0".into()))])),
            ("bounds".into(), Value::Table(bounds)),
            (
                "bind_addrs".into(),
                Value::Table(vec![
                    ("datagram_addr".into(), text(SocketAddrV4::new(instance.spec.ip, self.net.data_port).to_string())),
                    ("control_plane".into(), text(instance.bound_peer.to_string())),
                    ("ready_addr".into(), text(instance.admin.to_string())),
                ]),
            ),
            ("platform".into(), Value::Table(vec![("address".into(), text(instance.store.to_string()))])),
        ]);
        let rendered = render(&template, &fields);
        // The links between the machines are the script's own: others are told its address.
        let rendered = rendered.replace(
            "[listen]\n",
            &format!("[listen]\npeer_public = \"{}\"\n", instance.public_peer),
        );
        fs::write(&instance.settings, rendered).expect("settings file");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start_instance(&self, instance: &Instance) {
        self.write_settings(instance);
        let log = File::options().create(true).append(true).open(&instance.log).expect("log");
        let mut command = Command::new(self.root.join("target/release/foxledged"));
        command
            .args(["packets", "--config"])
            .arg(&instance.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => {
                self.record.line(&format!("{} started, pid {}", instance.spec.name, child.id()));
                *lock(&instance.child) = Some(child);
            }
            Err(error) => self.fail(&format!("can't start foxledged: {error}")),
        }
    }

    pub fn kill_instance(&self, instance: &Instance) {
        if let Some(mut child) = lock(&instance.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a process as planned: SIGTERM, and SIGKILL after `grace_s`.
    pub fn stop_instance(&self, instance: &Instance, grace_s: f64) {
        instance.signal("TERM");
        let deadline = self.record.now() + grace_s;
        while self.record.now() < deadline {
            if let Some(status) = instance.exit_status() {
                self.record.line(&format!("{} stopped: {status}", instance.spec.name));
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("{} killed after {grace_s} s", instance.spec.name));
        self.kill_instance(instance);
    }

    /// Starts all instances and waits until they are ready.
    pub fn start_all(&self) {
        let instances = lock(&self.instances).clone();
        for instance in &instances {
            self.write_settings(instance);
        }
        for instance in &instances {
            self.start_instance(instance);
        }
        for instance in &instances {
            if !self.wait_ready(instance, 15.0) {
                self.fail(&format!("{} isn't ready", instance.spec.name));
            }
        }
        self.record.line("all instances are ready");
    }

    pub fn wait_ready(&self, instance: &Instance, limit_s: f64) -> bool {
        let deadline = self.record.now() + limit_s;
        while self.record.now() < deadline {
            if instance.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends the run: it couldn't be played.
    pub fn fail(&self, why: &str) -> ! {
        self.record.line(&format!("can't run: {why}"));
        eprintln!("can't run: {why}");
        self.end();
        std::process::exit(2);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for instance in lock(&self.instances).iter() {
            self.kill_instance(instance);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }

    // -- targets

    /// Starts a target, which registers at once and with each heartbeat.
    pub fn start_target(self: &Arc<World>, spec: TargetSpec) -> Arc<Target> {
        let digits = spec.id.rsplit('-').next().unwrap_or_default();
        let number = u64::from_str_radix(digits, 16).expect("hex id");
        self.net.place(spec.ip, &spec.zone);
        let socket = UdpSocket::bind((spec.ip, 0)).expect("target address");
        let _ = socket.set_read_timeout(Some(Duration::from_millis(5)));
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let target = Arc::new(Target {
            number,
            started_at: self.record.now(),
            born: since_epoch.map_or(1, |age| age.as_millis() as u64),
            port: socket.local_addr().expect("address").port(),
            socket,
            flows: Mutex::default(),
            sequence: AtomicU32::new(0),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            spec,
        });
        lock(&self.targets).push(target.clone());
        self.record.line(&format!(
            "target {} starts in {} at {}:{}",
            target.spec.id, target.spec.zone, target.spec.ip, target.port
        ));
        self.store.put(&target.key(), &target.entry(self.record.now()));
        let (world, one) = (self.clone(), target.clone());
        thread::spawn(move || world.run_heartbeats(&one));
        let (world, one) = (self.clone(), target.clone());
        thread::spawn(move || world.run_target(&one));
        target
    }

    /// Writes the entry anew when more than its `sequence` changes: as the warm-up ends.
    fn run_heartbeats(&self, target: &Target) {
        if target.spec.warmup_s <= 0.0 {
            return;
        }
        loop {
            thread::sleep(Duration::from_millis(1200));
            if self.stop.load(Ordering::Relaxed) || target.is_gone.load(Ordering::Relaxed) {
                return;
            }
            if self.net.is_cut(target.spec.ip, "store") {
                continue;
            }
            let now = self.record.now();
            self.store.put(&target.key(), &target.entry(now));
            if now > target.started_at + target.spec.warmup_s {
                return;
            }
        }
    }

    /// Writes the entry of a target anew.
    pub fn register(&self, target: &Target) {
        self.store.put(&target.key(), &target.entry(self.record.now()));
    }

    /// Empties a target and takes it away.
    pub fn drain_target(&self, target: &Target) {
        target.is_draining.store(true, Ordering::Relaxed);
        self.register(target);
    }

    fn run_target(&self, target: &Target) {
        let mut buffer = vec![0; 2048];
        while !self.stop.load(Ordering::Relaxed) && !target.is_gone.load(Ordering::Relaxed) {
            if let Ok((size, SocketAddr::V4(from))) = target.socket.recv_from(&mut buffer) {
                if !self.net.is_cut(*from.ip(), &target.spec.zone) && size >= 40 {
                    let number = u64::from_be_bytes(buffer[..8].try_into().expect("8 bytes"));
                    if let Some(packet) = Packet::decode(&buffer[8..size])
                        && (number == target.number || number == 0)
                    {
                        self.handle_at_target(target, *from.ip(), &packet);
                    }
                }
            }
            self.send_due(target);
        }
    }

    fn to_client(&self, target: &Target, packet: &Packet) {
        let to = SocketAddrV4::new(packet.dst, self.net.data_port);
        let _ = target.socket.send_to(&packet.encode(), to);
    }

    fn handle_at_target(&self, target: &Target, machine: Ipv4Addr, packet: &Packet) {
        let flow = packet.key_from_client();
        let mut flows = lock(&target.flows);
        let is_opening = packet.flags & SYN != 0;
        let is_held = flows.contains_key(&flow);
        lock(&self.arrivals).push(Arrival {
            at: self.record.now(),
            target: target.spec.id.clone(),
            machine,
            flow,
            is_opening,
            is_held,
        });
        let answer = |flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>| Packet {
            echo,
            dport: packet.sport,
            sport: packet.dport,
            src: packet.dst,
            dst: packet.src,
            sum: 0,
            flags,
            seq,
            ack,
            data,
        };
        if is_opening {
            let held = flows.entry(flow).or_insert_with(|| TargetFlow {
                own_seq: 0x1000 + (target.number as u32).wrapping_mul(2_654_435_761) % 100_000,
                next_in: packet.seq.wrapping_add(1),
                sent_end: 0,
                acked: 0,
                echo: packet.echo,
                is_open: false,
                response: None,
                is_ended: false,
            });
            held.echo = packet.echo;
            held.sent_end = held.own_seq.wrapping_add(1);
            held.acked = held.own_seq;
            let reply = answer(SYN | ACK, held.own_seq, held.next_in, held.echo, Vec::new());
            self.record.line(&format!("{} takes the opening of {}", target.spec.id, flow_text(&flow)));
            return self.to_client(target, &reply);
        }
        let Some(held) = flows.get_mut(&flow).filter(|held| !held.is_ended || packet.data.is_empty())
        else {
            // A flow that it doesn't hold.
            if packet.flags & RST == 0 {
                self.record.line(&format!(
                    "{} gets a packet of {}, which it doesn't hold, through {machine}: sends a reset",
                    target.spec.id,
                    flow_text(&flow)
                ));
                let reset = answer(RST | ACK, packet.ack, packet.seq, packet.echo, Vec::new());
                self.to_client(target, &reset);
            }
            return;
        };
        if packet.flags & RST != 0 {
            flows.remove(&flow);
            return;
        }
        held.echo = packet.echo;
        if packet.flags & ACK != 0 && packet.ack.wrapping_sub(held.acked) < 1 << 31 {
            held.acked = packet.ack;
            if !held.is_open && held.acked == held.own_seq.wrapping_add(1) {
                held.is_open = true;
                self.record.line(&format!("{} has {} open", target.spec.id, flow_text(&flow)));
            }
        }
        if held.response.is_some() && held.acked == held.sent_end {
            held.response = None;
        }
        if !packet.data.is_empty() {
            if packet.seq == held.next_in {
                held.next_in = held.next_in.wrapping_add(packet.data.len() as u32);
                let body = format!("answer to {}", String::from_utf8_lossy(&packet.data));
                self.record.line(&format!(
                    "{} runs \"{}\" of {}",
                    target.spec.id,
                    String::from_utf8_lossy(&packet.data),
                    flow_text(&flow)
                ));
                let due = Instant::now() + Duration::from_millis(target.spec.work_ms);
                held.response = Some((body.into_bytes(), due, 0));
            }
            let ack = answer(ACK, held.sent_end, held.next_in, held.echo, Vec::new());
            self.to_client(target, &ack);
        }
        if packet.flags & FIN != 0 {
            held.is_ended = true;
            let end = answer(FIN | ACK, held.sent_end, packet.seq.wrapping_add(1), held.echo, Vec::new());
            self.to_client(target, &end);
        }
    }

    /// Sends responses whose work is done, and those that weren't acknowledged again.
    fn send_due(&self, target: &Target) {
        let now = Instant::now();
        let mut flows = lock(&target.flows);
        let mut packets = Vec::new();
        for (flow, held) in flows.iter_mut() {
            let Some((body, due, sent)) = held.response.as_mut().filter(|one| one.1 <= now) else {
                continue;
            };
            if *sent == 0 {
                held.sent_end = held.sent_end.wrapping_add(body.len() as u32);
            }
            if *sent > 8 {
                held.response = None;
                continue;
            }
            let seq = held.sent_end.wrapping_sub(body.len() as u32);
            packets.push(Packet {
                echo: held.echo,
                dport: flow.1,
                sport: flow.3,
                src: flow.2,
                dst: flow.0,
                sum: 0,
                flags: ACK,
                seq,
                ack: held.next_in,
                data: body.clone(),
            });
            *due = now + Duration::from_millis((200 << (*sent).min(3)).min(1600));
            *sent += 1;
        }
        drop(flows);
        packets.iter().for_each(|packet| self.to_client(target, packet));
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The flow never opened.
    NotOpened,
    /// A reset of the system ended the open flow.
    SystemReset,
    /// A reset of a target ended the open flow.
    TargetReset,
    /// No answer until the deadline.
    Deadline,
}

/// A client machine with its own address. All of its packets pass through one instance at a time,
/// as the routers' steady hash sends them.
pub struct Client {
    world: Arc<World>,
    pub ip: Ipv4Addr,
    socket: UdpSocket,
    machine: Mutex<Ipv4Addr>,
    next_port: AtomicU32,
}

/// An open flow of a client.
pub struct OpenFlow {
    pub name: FlowName,
    pub next_seq: u32,
    pub received: u32,
    pub echo: u32,
    pub opened_at: f64,
}

impl Client {
    pub fn new(world: &Arc<World>, ip: Ipv4Addr, machine: Ipv4Addr) -> Arc<Client> {
        let socket = UdpSocket::bind((ip, world.net.data_port)).expect("client address");
        let _ = socket.set_read_timeout(Some(Duration::from_millis(5)));
        Arc::new(Client {
            world: world.clone(),
            ip,
            socket,
            machine: Mutex::new(machine),
            next_port: AtomicU32::new(20_000),
        })
    }

    /// Has the routers send this client's packets through another instance.
    pub fn route_through(&self, machine: Ipv4Addr) {
        *lock(&self.machine) = machine;
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*lock(&self.machine), self.world.net.data_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn receive(&self, flow: &FlowName) -> Option<Packet> {
        let mut buffer = [0; 2048];
        let (size, _) = self.socket.recv_from(&mut buffer).ok()?;
        let packet = Packet::decode(&buffer[..size])?;
        (packet.key_to_client() == *flow).then_some(packet)
    }

    fn packet(&self, flow: &FlowName, flags: u8, seq: u32, ack: u32, echo: u32, data: &[u8]) -> Packet {
        Packet {
            echo,
            dport: flow.3,
            sport: flow.1,
            src: flow.0,
            dst: flow.2,
            sum: 0,
            flags,
            seq,
            ack,
            data: data.to_vec(),
        }
    }

    /// Opens a flow: a SYN, copies after 200 and 600 ms, an end after 1.4 s.
    pub fn open(&self, service: (Ipv4Addr, u16)) -> Option<OpenFlow> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed) as u16;
        let flow = (self.ip, port, service.0, service.1);
        let seq = u32::from(port).wrapping_mul(40_503);
        lock(&self.world.sent_at).insert(flow, self.world.record.now());
        let begin = Instant::now();
        let copies = [0, 200, 600];
        let mut sent = 0;
        loop {
            let elapsed = begin.elapsed().as_millis() as u64;
            if sent < copies.len() && elapsed >= copies[sent] {
                self.send(&self.packet(&flow, SYN, seq, sent as u32, 0, &[]));
                self.world.record.line(&format!("client sends the opening of {}, copy {sent}", flow_text(&flow)));
                sent += 1;
            }
            if elapsed >= 1_400 {
                return None;
            }
            let Some(packet) = self.receive(&flow) else { continue };
            if packet.flags & RST != 0 {
                self.world.record.line(&format!("client is refused {}", flow_text(&flow)));
                return None;
            }
            if packet.flags & (SYN | ACK) == SYN | ACK && packet.ack == seq.wrapping_add(1) {
                let received = packet.seq.wrapping_add(1);
                let opened_at = self.world.record.now();
                let next_seq = seq.wrapping_add(1);
                return Some(OpenFlow { name: flow, next_seq, received, echo: packet.echo, opened_at });
            }
        }
    }

    /// Sends a request on an open flow and waits for its answer. Unacknowledged data is sent again
    /// after 200 ms, then after twice as long each time, up to 1.6 s.
    pub fn request(&self, flow: &mut OpenFlow, text: &str, deadline: Duration) -> Outcome {
        let begin = Instant::now();
        let (seq, end) = (flow.next_seq, flow.next_seq.wrapping_add(text.len() as u32));
        flow.next_seq = end;
        let (mut next_send, mut pause, mut is_acked) = (begin, Duration::from_millis(200), false);
        self.world.record.line(&format!("client sends \"{text}\" on {}", flow_text(&flow.name)));
        while begin.elapsed() < deadline {
            if !is_acked && Instant::now() >= next_send {
                let packet =
                    self.packet(&flow.name, ACK, seq, flow.received, flow.echo, text.as_bytes());
                self.send(&packet);
                next_send = Instant::now() + pause;
                pause = (pause * 2).min(Duration::from_millis(1600));
            }
            let Some(packet) = self.receive(&flow.name) else { continue };
            if packet.flags & RST != 0 {
                return self.reset_outcome(flow, &packet);
            }
            if packet.flags & SYN != 0 {
                continue;
            }
            flow.echo = packet.echo;
            is_acked |= packet.ack == end;
            if !packet.data.is_empty() {
                if packet.seq != flow.received {
                    continue;
                }
                flow.received = flow.received.wrapping_add(packet.data.len() as u32);
                self.acknowledge(flow);
                self.world.record.line(&format!("client has the answer on {}", flow_text(&flow.name)));
                return Outcome::Served;
            }
        }
        self.world.record.line(&format!("client has no answer on {}", flow_text(&flow.name)));
        Outcome::Deadline
    }

    fn acknowledge(&self, flow: &OpenFlow) {
        self.send(&self.packet(&flow.name, ACK, flow.next_seq, flow.received, flow.echo, &[]));
    }

    fn reset_outcome(&self, flow: &OpenFlow, packet: &Packet) -> Outcome {
        let (by, outcome) = match packet.is_system_reset() {
            true => ("the system", Outcome::SystemReset),
            false => ("a target", Outcome::TargetReset),
        };
        self.world.record.line(&format!("client gets a reset of {by} on the open flow {}", flow_text(&flow.name)));
        outcome
    }

    /// Waits on an idle flow; returns how it was reset, if it was.
    pub fn idle(&self, flow: &mut OpenFlow, time: Duration) -> Option<Outcome> {
        let begin = Instant::now();
        while begin.elapsed() < time {
            let Some(packet) = self.receive(&flow.name) else { continue };
            if packet.flags & RST != 0 {
                return Some(self.reset_outcome(flow, &packet));
            }
            if packet.flags & SYN == 0 {
                flow.echo = packet.echo;
            }
            if !packet.data.is_empty() {
                self.acknowledge(flow);
            }
        }
        None
    }

    /// Ends a flow.
    pub fn close(&self, flow: &OpenFlow) {
        self.send(&self.packet(&flow.name, FIN | ACK, flow.next_seq, flow.received, flow.echo, &[]));
    }
}

// ---------------------------------------------------------------------------------------------
// The settings template

pub enum Value {
    Text(String),
    /// A number or truth value, as written.
    Raw(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    fn get(&self, path: &str) -> Option<&Value> {
        let mut value = self;
        for part in path.split('.') {
            let Value::Table(fields) = value else { return None };
            value = &fields.iter().find(|(key, _)| key == part)?.1;
        }
        Some(value)
    }

    fn plain(&self) -> String {
        match self {
            Value::Text(text) | Value::Raw(text) => text.clone(),
            Value::List(values) => values.iter().map(Value::plain).collect::<Vec<_>>().join(","),
            Value::Table(_) => String::new(),
        }
    }

    fn json(&self) -> String {
        match self {
            Value::Text(text) => format!("\"{text}\""),
            other => other.plain(),
        }
    }
}

/// Fills a template in: values, sections with their entries, keys and commas.
fn render(template: &str, fields: &Value) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let name = text[begin + 3..].split("}}").next().expect("section").to_owned();
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let end = begin + text[begin..].find(&close).expect("end of section");
        let inner = text[begin + open.len()..end].to_owned();
        let entry = |key: &str, value: &Value, is_last: bool| {
            inner
                .replace("{{@}}", key)
                .replace("{{.}}", &value.plain())
                .replace("{{,}}", if is_last { "" } else { "," })
        };
        let rendered = match fields.get(&name) {
            None => String::new(),
            Some(Value::List(values)) => {
                let last = values.len().saturating_sub(1);
                values.iter().enumerate().map(|(at, one)| entry(&at.to_string(), one, at == last)).collect()
            }
            Some(Value::Table(values)) => {
                let last = values.len().saturating_sub(1);
                values.iter().enumerate().map(|(at, (key, one))| entry(key, one, at == last)).collect()
            }
            Some(Value::Raw(text)) if text == "false" => String::new(),
            Some(_) => inner.clone(),
        };
        text.replace_range(begin..end + close.len(), &rendered);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").expect("end of value");
        let (path, is_json) = match text[begin + 2..end].split_once('|') {
            Some((path, _)) => (path.to_owned(), true),
            None => (text[begin + 2..end].to_owned(), false),
        };
        let value = fields.get(&path).map(|value| if is_json { value.json() } else { value.plain() });
        text.replace_range(begin..end + 2, &value.unwrap_or_default());
    }
    text
}

// ---------------------------------------------------------------------------------------------

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let at = arguments.iter().position(|one| one == name)?;
        arguments.get(at + 1).cloned()
    };
    let case = arguments.get(1).cloned().unwrap_or_default();
    let has_trouble = option("--trouble").is_none_or(|one| one != "0");
    let record_path = option("--record").unwrap_or_else(|| "record.txt".to_owned());
    let root = PathBuf::from(option("--root").unwrap_or_else(|| ".".to_owned()));
    if !root.join("target/release/foxledged").exists() {
        eprintln!("target/release/foxledged is missing: run the build of the deploy file");
        return ExitCode::from(2);
    }
    let record = Arc::new(Record::create(Path::new(&record_path)));
    record.line(&format!("case {case}, trouble {}", u8::from(has_trouble)));
    let Some(run) = cases::find(&case) else {
        eprintln!("unknown case \"{case}\"");
        return ExitCode::from(2);
    };
    let is_broken = run(&record, &root, has_trouble);
    record.line(if is_broken { "RULE BROKEN" } else { "rule held" });
    ExitCode::from(u8::from(is_broken))
}

/// Starts an empty world.
pub fn world(record: &Arc<Record>, root: &Path, zones: &[&str]) -> Arc<World> {
    World::new(record.clone(), root.to_path_buf(), zones)
}
