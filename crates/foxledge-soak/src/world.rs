//! The environment of a run: instances, backend servers, store, links and callers.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::SystemTime,
};

use anyhow::{Context, Result};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{
    backends::{BackendSpec, StandInBackend, WorkKind},
    callers::CallerHost,
    instances::{BuildSet, InstanceSpec, RunningInstance},
    links::{PacketLoss, PeerLinks, StoreLink},
    plan::{RestartAddress, SoakOptions},
    promises::PromiseLedger,
    router::PacketRouter,
    store::StandInStore,
};

/// The names of the services: the first for feeds and bids, the second for uploads.
pub(crate) const SERVICES: [&str; 2] = ["desk", "intake"];
/// The number of backend servers of each service in each data centre.
pub(crate) const BACKENDS_PER_CENTRE: usize = 3;
/// The ports of the fixed routes: feeds, bids, uploads.
pub(crate) const FEED_PORT: u16 = 8_443;
pub(crate) const BID_PORT: u16 = 8_080;
pub(crate) const UPLOAD_PORT: u16 = 9_443;
/// The number of persistent flows for non-idempotent requests at each caller address.
pub(crate) const PERSISTENT_FLOWS: usize = 6;
/// The first port of the routes that are added, changed and removed during a run.
pub(crate) const FIRST_DYNAMIC_PORT: u16 = 500;
/// The number of routes that are added, changed and removed during a run.
pub(crate) const DYNAMIC_ROUTE_COUNT: u16 = 6;
/// The ports of instances, store and backend servers.
pub(crate) const DATA_PORT: u16 = 7_100;
const PEER_PORT: u16 = 7_101;
const ADMIN_PORT: u16 = 7_102;
const STORE_PORT: u16 = 7_103;
const BACKEND_PORT: u16 = 7_104;

/// All parts of a run, with the methods by which faults act on them.
pub struct SoakWorld {
    pub(crate) options: SoakOptions,
    net: u8,
    /// The recorded events and breaches.
    pub ledger: Arc<PromiseLedger>,
    /// The store.
    pub store: StandInStore,
    /// Links between instances.
    pub peers: Arc<PeerLinks>,
    pub(crate) router: Arc<PacketRouter>,
    store_links: Vec<StoreLink>,
    /// The loss of packets at callers and at backend servers.
    pub packet_loss: PacketLoss,
    instances: Mutex<Vec<RunningInstance>>,
    backends: Mutex<Vec<StandInBackend>>,
    next_backend: AtomicU64,
    version: AtomicU64,
    dynamic_routes: Mutex<Vec<Option<usize>>>,
    /// The list that operators published last.
    newest_list: Mutex<Value>,
    /// Backend servers that are draining but still run.
    draining: Mutex<Vec<BackendSpec>>,
    /// The caller addresses, alternating between the two data centres.
    hosts: Mutex<Vec<Arc<CallerHost>>>,
    pub(crate) is_ending: AtomicBool,
}

impl SoakWorld {
    pub(crate) async fn start(
        options: SoakOptions,
        net: u8,
        builds: &BuildSet,
        folder: &Path,
    ) -> Result<Arc<SoakWorld>> {
        let address = |block: u8, index: usize, port: u16| {
            SocketAddrV4::new(Ipv4Addr::new(127, net, block, 1 + index as u8), port)
        };
        let size = options.instances * 2;
        let all = |block: u8, port: u16| -> Vec<_> {
            (0..size).map(|index| address(block, index, port)).collect()
        };
        let store_address = address(6, 0, STORE_PORT);
        let store = StandInStore::start(store_address).await.context("the store")?;
        let mut store_links = Vec::new();
        for bound in all(5, STORE_PORT) {
            store_links.push(StoreLink::start(bound, store_address).await?);
        }
        let (bound, public) = (all(1, PEER_PORT), all(2, PEER_PORT));
        let peers = PeerLinks::start(&public, &bound).await?;
        let router = PacketRouter::start(all(1, DATA_PORT), all(1, ADMIN_PORT));
        let mut instances = Vec::new();
        for index in 0..size {
            let spec = InstanceSpec {
                name: format!("instance-{index}"),
                data_centre: centre_of(index).to_owned(),
                data: address(1, index, DATA_PORT),
                peer: bound[index],
                public: public[index],
                admin: address(1, index, ADMIN_PORT),
                store: address(5, index, STORE_PORT),
                seeds: public.iter().take(3).copied().collect(),
                shares_load: options.range.shares_load(),
            };
            instances.push(RunningInstance::prepare(spec, builds, index, folder)?);
        }
        let world = Arc::new(SoakWorld {
            options,
            net,
            ledger: Arc::default(),
            store,
            peers,
            router,
            store_links,
            packet_loss: PacketLoss::default(),
            instances: Mutex::new(instances),
            backends: Mutex::default(),
            next_backend: AtomicU64::new(0),
            version: AtomicU64::new(0),
            dynamic_routes: Mutex::new(vec![Some(0); usize::from(DYNAMIC_ROUTE_COUNT)]),
            newest_list: Mutex::default(),
            draining: Mutex::default(),
            hosts: Mutex::default(),
            is_ending: AtomicBool::new(false),
        });
        for service in SERVICES {
            for _ in 0..BACKENDS_PER_CENTRE * 2 {
                world.start_backend(service, None).await;
            }
        }
        world.publish_list(&world.lock_dynamic_routes());
        for index in 0..size {
            world.lock_instances()[index].start()?;
        }
        Ok(world)
    }

    /// Returns the number of instances.
    pub fn size(&self) -> usize {
        self.options.instances * 2
    }

    /// Returns the link between an instance and the store.
    pub fn store_link(&self, instance: usize) -> &StoreLink {
        &self.store_links[instance]
    }

    /// Runs `action` on an instance while the instances are locked.
    pub fn with_instance<T>(
        &self,
        index: usize,
        action: impl FnOnce(&mut RunningInstance) -> T,
    ) -> T {
        action(&mut self.lock_instances()[index])
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, signal: Signal) {
        self.with_instance(index, |running| running.signal(signal));
    }

    /// Starts an instance if it isn't running and the run isn't ending.
    pub fn start_instance(&self, index: usize) {
        self.ledger.record_instance_fault(index);
        if self.is_ending.load(Ordering::Relaxed) {
            return;
        }
        let started = self.with_instance(index, |running| match running.is_running() {
            true => Ok(()),
            false => running.start(),
        });
        if let Err(error) = started {
            self.ledger.record_breach(format!("instance {index}: {error:#}"));
        }
    }

    /// Waits for a task of this run and records a breach if it panicked.
    pub async fn join_task(&self, task: JoinHandle<()>) {
        if let Err(error) = task.await {
            self.ledger.record_breach(format!("the soak itself failed: {error}"));
        }
    }

    /// Starts a backend server at a given address, or at a new one if there is none.
    pub async fn start_backend(&self, service: &str, address: Option<SocketAddrV4>) {
        let count = self.next_backend.fetch_add(1, Ordering::Relaxed);
        let new_address = self.backend_address(count);
        let spec = BackendSpec {
            number: 0x1_0000 + count,
            service: service.to_owned(),
            address: address.unwrap_or(new_address),
            data_centre: centre_of(count as usize).to_owned(),
            caller_port: DATA_PORT,
            started_unix_ms: self.start_time_ms(),
            work_kind: match self.options.range.shares_load() {
                true => WorkKind::LimitedBySlots,
                false => WorkKind::Unbounded,
            },
        };
        self.start_backend_at(spec).await;
    }

    /// Returns the current time for an entry's start time, or 0 in ranges whose entries have none.
    fn start_time_ms(&self) -> u64 {
        if !self.options.range.includes_start_times() {
            return 0;
        }
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(1, |span| span.as_millis() as u64)
    }

    /// Restarts a backend server under the same id.
    pub async fn restart_backend(&self, former: BackendSpec, restart: RestartAddress) {
        let count = self.next_backend.fetch_add(1, Ordering::Relaxed);
        let other = self.backend_address(count);
        let address = if restart == RestartAddress::Same { former.address } else { other };
        self.start_backend_at(BackendSpec {
            address,
            started_unix_ms: self.start_time_ms(),
            ..former
        })
        .await;
    }

    async fn start_backend_at(&self, spec: BackendSpec) {
        let (ledger, loss) = (self.ledger.clone(), self.packet_loss.clone());
        match StandInBackend::start(spec, &self.store, ledger, loss).await {
            Ok(backend) => self.lock_backends().push(backend),
            Err(error) => self.ledger.record_breach(format!("the soak itself failed: {error:#}")),
        }
    }

    fn backend_address(&self, count: u64) -> SocketAddrV4 {
        self.address(10 + (count / 200) as u8, (count % 200) as usize, BACKEND_PORT)
    }

    /// Returns an address where no backend server ever runs.
    pub fn unused_address(&self) -> SocketAddrV4 {
        self.address(7, 0, BACKEND_PORT)
    }

    /// Returns the identity of a running backend server.
    pub fn backend_spec(&self, choice: usize) -> Option<BackendSpec> {
        let backends = self.lock_backends();
        Some(backends.get(choice % backends.len().max(1))?.spec.clone())
    }

    /// Writes the entry of a backend server if it is running.
    pub fn register_backend(&self, number: u64) {
        let backends = self.lock_backends();
        if let Some(backend) = backends.iter().find(|one| one.spec.number == number) {
            backend.register(&self.store, "ready");
        }
    }

    /// Removes a running backend server and returns it, unless too few of its service would
    /// remain.
    pub fn remove_backend(&self, choice: usize) -> Option<StandInBackend> {
        let mut backends = self.lock_backends();
        let index = choice % backends.len().max(1);
        let service = backends.get(index)?.spec.service.clone();
        let left = backends.iter().filter(|one| one.spec.service == service).count();
        (left > BACKENDS_PER_CENTRE).then(|| backends.swap_remove(index))
    }

    /// Returns the number of a running backend server and the switch that stops its responses.
    pub fn silence_switch(&self, choice: usize) -> Option<(u64, Arc<AtomicBool>)> {
        let backends = self.lock_backends();
        let backend = backends.get(choice % backends.len().max(1))?;
        Some((backend.spec.number, backend.is_silent.clone()))
    }

    /// Returns the keys of the entries of all running backend servers, except draining ones.
    pub fn live_keys(&self) -> Vec<String> {
        self.lock_backends().iter().map(StandInBackend::key).collect()
    }

    /// Writes the entries of all running backend servers, except draining ones.
    pub fn register_live(&self) {
        for backend in self.lock_backends().iter() {
            backend.register(&self.store, "ready");
        }
    }

    /// Writes the operators' keys again as they were published: the newest list, and the
    /// evacuated data centres.
    pub fn restore_operator_keys(&self) {
        let _routes = self.lock_dynamic_routes();
        self.store.put_if_changed("op/config", &lock(&self.newest_list));
        for centre in (0..2).map(centre_of) {
            let key = evacuation_key(centre);
            match self.ledger.is_evacuated(centre) {
                true => self.store.put_if_changed(&key, &json!({})),
                false => self.store.remove(&key),
            }
        }
    }

    /// Writes the entries of all running backend servers again, where the store lost them.
    pub fn restore_entries(&self) {
        for backend in self.lock_backends().iter() {
            self.store.put_if_changed(&backend.key(), &backend.spec.entry("ready"));
            self.ledger.backend_ready(backend.spec.number);
        }
        for spec in lock(&self.draining).iter() {
            self.store.put_if_changed(&spec.key(), &spec.entry("draining"));
        }
    }

    /// Records that a backend server is draining.
    pub fn record_draining(&self, spec: &BackendSpec) {
        lock(&self.draining).push(spec.clone());
    }

    /// Records that a draining backend server is about to end.
    pub fn remove_draining(&self, spec: &BackendSpec) {
        lock(&self.draining).retain(|other| other.number != spec.number);
    }

    /// Returns the keys of the entries of all running backend servers, draining ones included.
    pub fn registered_keys(&self) -> Vec<String> {
        let mut keys = self.live_keys();
        keys.extend(lock(&self.draining).iter().map(BackendSpec::key));
        keys
    }

    /// Returns the service other than `service`.
    pub fn other_service(&self, service: &str) -> String {
        let other = SERVICES.iter().find(|name| **name != service);
        other.copied().unwrap_or(SERVICES[0]).to_owned()
    }

    /// Publishes a list in which one route is added, removed or leads to another service.
    pub fn publish_next_list(&self) {
        let mut routes = self.lock_dynamic_routes();
        let index = self.version.load(Ordering::Relaxed) as usize * 7 % routes.len();
        routes[index] = match routes[index] {
            Some(0) => Some(1),
            Some(_) => None,
            None => Some(0),
        };
        self.publish_list(&routes);
    }

    /// Publishes the list. The caller holds the lock of the dynamic routes, so that concurrent
    /// publications are serialized, as they are with operators.
    fn publish_list(&self, dynamic_routes: &[Option<usize>]) {
        let version = self.version.fetch_add(3, Ordering::Relaxed) + 3;
        let fixed = [
            ("feed", FEED_PORT, SERVICES[0], "idempotent"),
            ("bid", BID_PORT, SERVICES[0], "non_idempotent"),
            ("upload", UPLOAD_PORT, SERVICES[1], "upload"),
        ];
        let mut routes: Vec<Value> = fixed
            .iter()
            .map(|(name, port, service, kind)| route_json(name, *port, service, kind))
            .collect();
        // Feeds are less urgent than bids and uploads.
        routes[0]["priority"] = 2.into();
        for (index, service) in dynamic_routes.iter().enumerate() {
            let port = FIRST_DYNAMIC_PORT + index as u16;
            if let Some(service) = service.map(|index| SERVICES[index]) {
                routes.push(route_json(&format!("moving-{index}"), port, service, "idempotent"));
            }
        }
        let config = json!({
            "version": version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15_000},
        });
        self.store.put("op/config", &config);
        *lock(&self.newest_list) = config;
        if self.options.range.shares_load() {
            for (_, port, service, _) in fixed {
                self.ledger.route_published(port, Some(service.to_owned()));
            }
        }
        for (index, service) in dynamic_routes.iter().enumerate() {
            let service = service.map(|index| SERVICES[index].to_owned());
            self.ledger.route_published(FIRST_DYNAMIC_PORT + index as u16, service);
        }
    }

    pub(crate) fn address(&self, block: u8, index: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, block, 1 + index as u8), port)
    }

    pub(crate) fn lock_instances(&self) -> MutexGuard<'_, Vec<RunningInstance>> {
        lock(&self.instances)
    }

    pub(crate) fn lock_hosts(&self) -> MutexGuard<'_, Vec<Arc<CallerHost>>> {
        lock(&self.hosts)
    }

    fn lock_backends(&self) -> MutexGuard<'_, Vec<StandInBackend>> {
        lock(&self.backends)
    }

    fn lock_dynamic_routes(&self) -> MutexGuard<'_, Vec<Option<usize>>> {
        lock(&self.dynamic_routes)
    }
}

/// Locks a mutex even if it is poisoned: its value is consistent between any two statements.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the key by which operators evacuate a data centre.
pub(crate) fn evacuation_key(data_centre: &str) -> String {
    format!("op/evacuate/{data_centre}")
}

/// Returns the data centre of the instance or backend server with this index.
pub(crate) fn centre_of(index: usize) -> &'static str {
    ["toledo", "erie"][index % 2]
}

fn route_json(name: &str, port: u16, service: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": "198.18.0.1", "prefix": format!("/{port}/"), "type": kind,
        "timeout_ms": 1_500, "aim_ms": 400, "priority": 1, "service": service, "attempts": 2,
    })
}
