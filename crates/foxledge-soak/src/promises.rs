//! Checks what callers and backend servers observe against the promises of the system.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use foxledge_flows::FlowKey;

/// The time after the end of a fault until the affected machine is checked again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// The time after which a draining backend server must get no new flows, and every instance must
/// follow a new list.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// The time that a service must have had a free slot before a refusal counts as a breach. An
/// instance's view of load may be 400 ms old, and its parts are sent every 100 ms.
const FREE_SLOT_GRACE: Duration = Duration::from_millis(500);
/// How much lower the served share of urgent requests may be than that of the others, to allow
/// for random variation.
const URGENT_MARGIN: f64 = 0.02;

/// The time after which an evacuated data centre must get no new flows.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The backend server that serves a flow.
#[derive(Clone, Copy, Debug)]
struct FlowHolder {
    backend: u64,
    /// The number of times that the backend server had restarted, from 0.
    start: u32,
    is_open: bool,
}

/// The state of a backend server's process.
#[derive(Clone, Debug)]
struct BackendRecord {
    service: String,
    data_centre: String,
    is_alive: bool,
    /// The number of restarts under the same id.
    starts: u32,
    draining_since: Option<Instant>,
    /// Running and queued requests, if slots are counted.
    running: usize,
    slots: usize,
}

/// The service that a route must lead to, the service before it, and the time of the change.
#[derive(Clone, Debug)]
struct ExpectedRoute {
    service: Option<String>,
    former: Option<String>,
    since: Instant,
}

#[derive(Default)]
struct LedgerState {
    holders: HashMap<FlowKey, FlowHolder>,
    backends: HashMap<u64, BackendRecord>,
    runs: HashMap<u64, u32>,
    routes: HashMap<u16, ExpectedRoute>,
    /// The evacuated data centres, with the start of each evacuation.
    evacuated: HashMap<String, Instant>,
    /// The end of the most recent evacuation.
    evacuation_ended_at: Option<Instant>,
    disturbed_instances: HashMap<usize, Instant>,
    store_disturbed: Option<Instant>,
    disturbed_backends: HashMap<u64, Instant>,
    packets_disturbed: Option<Instant>,
    peers_disturbed: Option<Instant>,
    /// The last time at which all slots were busy, by service and data centre. The empty name
    /// stands for all data centres together.
    saturated_at: HashMap<(String, String), Instant>,
    /// Served and failed requests, by the port of their route.
    by_port: HashMap<u16, (u64, u64)>,
    /// The number of opening packets that instances refused.
    refused: u64,
    breaches: Vec<String>,
    /// Served and failed requests since the counts were last drained.
    served: u64,
    failed: u64,
}

/// Records events of all stand-ins and the promises that they break.
#[derive(Default)]
pub struct PromiseLedger {
    state: Mutex<LedgerState>,
}

impl PromiseLedger {
    /// Records a broken promise.
    pub fn record_breach(&self, text: String) {
        self.lock().breaches.push(text);
    }

    /// Returns all broken promises so far.
    pub fn breaches(&self) -> Vec<String> {
        self.lock().breaches.clone()
    }

    /// Records that a fault at an instance is active now or has just ended.
    pub fn record_instance_fault(&self, instance: usize) {
        self.lock().disturbed_instances.insert(instance, Instant::now());
    }

    /// Records that a fault at the store is active now or has just ended.
    pub fn record_store_fault(&self) {
        self.lock().store_disturbed = Some(Instant::now());
    }

    /// Records that a fault at a live backend server is active now or has just ended.
    pub fn record_backend_fault(&self, number: u64) {
        self.lock().disturbed_backends.insert(number, Instant::now());
    }

    /// Records that packets are being lost or were lost until now.
    pub fn record_packet_fault(&self) {
        self.lock().packets_disturbed = Some(Instant::now());
    }

    /// Records that a fault of the messages between instances is active now or has just ended.
    pub fn record_peer_fault(&self) {
        self.lock().peers_disturbed = Some(Instant::now());
    }

    /// Records that a backend server has accepted a request, running or queued.
    pub fn work_begun(&self, number: u64) {
        let mut state = self.lock();
        if let Some(record) = state.backends.get_mut(&number) {
            record.running += 1;
        }
        state.record_saturation(number);
    }

    /// Records that a backend server has finished a request.
    pub fn work_ended(&self, number: u64) {
        let mut state = self.lock();
        state.record_saturation(number);
        if let Some(record) = state.backends.get_mut(&number) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Records the start of a backend server.
    pub fn backend_started(&self, number: u64, service: &str, data_centre: &str, slots: usize) {
        let mut state = self.lock();
        let starts = state.backends.get(&number).map_or(0, |former| former.starts + 1);
        let record = BackendRecord {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            is_alive: true,
            starts,
            draining_since: None,
            running: 0,
            slots,
        };
        state.backends.insert(number, record);
    }

    /// Records that the evacuation of a data centre starts. Returns false if it was evacuated
    /// already.
    pub fn record_evacuation_start(&self, data_centre: &str) -> bool {
        self.lock().evacuated.insert(data_centre.to_owned(), Instant::now()).is_none()
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.lock().evacuated.contains_key(data_centre)
    }

    /// Records that the evacuation of a data centre is about to end.
    pub fn record_evacuation_end(&self, data_centre: &str) {
        let mut state = self.lock();
        state.evacuated.remove(data_centre);
        state.evacuation_ended_at = Some(Instant::now());
    }

    /// Records that the store holds a backend server's own entry in the state `ready`.
    pub fn backend_ready(&self, number: u64) {
        if let Some(record) = self.lock().backends.get_mut(&number) {
            record.draining_since = None;
        }
    }

    /// Records that the store no longer holds a `ready` entry of a backend server.
    pub fn backend_draining(&self, number: u64) {
        if let Some(record) = self.lock().backends.get_mut(&number) {
            record.draining_since = Some(Instant::now());
        }
    }

    /// Records the end of a backend server.
    pub fn backend_ended(&self, number: u64) {
        if let Some(record) = self.lock().backends.get_mut(&number) {
            record.is_alive = false;
        }
    }

    /// Records that a route leads to `service` from now on, or is removed if there is none.
    pub fn route_published(&self, port: u16, service: Option<String>) {
        let mut state = self.lock();
        let known = state.routes.get(&port);
        if known.is_some_and(|route| route.service == service) {
            return;
        }
        let former = known.and_then(|route| route.service.clone());
        state.routes.insert(port, ExpectedRoute { service, former, since: Instant::now() });
    }

    /// Checks an opening packet that an instance forwarded to a backend server: the backend
    /// server must take new flows, and must belong to the service of the route.
    pub fn check_opening(&self, flow: FlowKey, backend: u64, service: &str, instance: usize) {
        let mut state = self.lock();
        let now = Instant::now();
        let holder = FlowHolder { backend, start: state.start_count(backend), is_open: false };
        if !state.holders.get(&flow).is_some_and(|known| known.is_open) {
            state.holders.insert(flow, holder);
        }
        if !state.is_instance_undisturbed(instance, now) {
            return;
        }
        let leaving = state.backends.get(&backend).and_then(|record| record.draining_since);
        if leaving.is_some_and(|since| now - since > SYNC_TIMEOUT) {
            let text = format!("{flow} reached leaving backend server {backend:x} by {instance}");
            state.breaches.push(text);
        }
        let centre = state.backends.get(&backend).map(|record| record.data_centre.clone());
        let wish = centre.as_ref().and_then(|centre| state.evacuated.get(centre));
        if wish.is_some_and(|since| now - *since > EVACUATION_TIMEOUT) {
            let text = format!("{flow} reached {backend:x} in evacuated {centre:?} by {instance}");
            state.breaches.push(text);
        }
        let route = state.routes.get(&flow.service.port()).cloned();
        let Some(route) = route.filter(|route| now - route.since > SYNC_TIMEOUT) else { return };
        if route.service.as_deref() != Some(service) {
            let text = format!(
                "{flow} reached {service} by {instance}, {:?} is right, {:?} was before, for {:?}",
                route.service,
                route.former,
                now - route.since
            );
            state.breaches.push(text);
        }
    }

    /// Discards what is known of an earlier flow from the same port when a caller opens a new one.
    pub fn clear_flow(&self, flow: FlowKey) {
        self.lock().holders.remove(&flow);
    }

    /// Records that a backend server has completed the handshake of a flow.
    pub fn handshake_ended(&self, flow: FlowKey, backend: u64) {
        let mut state = self.lock();
        let holder = FlowHolder { backend, start: state.start_count(backend), is_open: true };
        state.holders.insert(flow, holder);
    }

    /// Checks a data packet that reached a backend server which doesn't know its flow: no live
    /// backend server may be serving the flow.
    pub fn check_stray_packet(&self, flow: FlowKey, backend: u64) {
        let mut state = self.lock();
        let Some(holder) = state.holders.get(&flow).copied() else { return };
        let is_alive = state.is_holder_alive(&holder);
        if holder.is_open && is_alive && holder.backend != backend {
            let text = format!("{flow} held by {:x} reached {backend:x}", holder.backend);
            state.breaches.push(text);
        }
    }

    /// Counts a run of a request. A non-idempotent request may run only once.
    pub fn record_run(&self, id: u64, is_idempotent: bool) {
        let mut state = self.lock();
        let runs = state.runs.entry(id).or_default();
        *runs += 1;
        if *runs > 1 && !is_idempotent {
            let text = format!("request {id:x} ran {runs} times");
            state.breaches.push(text);
        }
    }

    /// Checks a reset that an instance sent to a caller whose flow is open: the backend server
    /// must be dead, or must have been unresponsive for a while.
    pub fn check_reset(&self, flow: FlowKey) {
        let mut state = self.lock();
        let Some(holder) = state.holders.get(&flow).copied() else { return };
        let is_alive = state.is_holder_alive(&holder);
        let is_silent =
            !is_recovered(state.disturbed_backends.get(&holder.backend), Instant::now())
                || !is_recovered(state.packets_disturbed.as_ref(), Instant::now());
        if holder.is_open && is_alive && !is_silent {
            let text = format!("{flow} was reset by an instance while {:x} lives", holder.backend);
            state.breaches.push(text);
        }
    }

    /// Checks an instance's refusal of an opening packet: the route must be missing, or its
    /// service must have no free slot or no available backend server.
    pub fn check_refusal(&self, flow: FlowKey, instance: usize) {
        let mut state = self.lock();
        state.refused += 1;
        let now = Instant::now();
        let route = state.routes.get(&flow.service.port()).cloned();
        let Some(route) = route.filter(|route| now - route.since > SYNC_TIMEOUT) else { return };
        if route.service.as_ref().is_some_and(|service| !state.has_available_backends(service, now))
        {
            return;
        }
        if route.service.as_ref().is_some_and(|service| state.was_recently_saturated(service, now))
        {
            return;
        }
        if route.service.is_some() && state.is_instance_undisturbed(instance, now) {
            let text = format!(
                "{flow} was refused by {instance} with its route published and a slot free"
            );
            state.breaches.push(text);
        }
    }

    /// Counts a served or failed request.
    pub fn record_request_end(&self, is_served: bool) {
        let mut state = self.lock();
        match is_served {
            true => state.served += 1,
            false => state.failed += 1,
        }
    }

    /// Counts a served or failed request of a route.
    pub fn record_route_request_end(&self, port: u16, is_served: bool) {
        let mut state = self.lock();
        let (served, failed) = state.by_port.entry(port).or_default();
        *(if is_served { served } else { failed }) += 1;
    }

    /// Returns the numbers of served and failed requests of a route.
    pub fn route_counts(&self, port: u16) -> (u64, u64) {
        self.lock().by_port.get(&port).copied().unwrap_or_default()
    }

    /// Returns the number of opening packets that instances refused.
    pub fn refused_count(&self) -> u64 {
        self.lock().refused
    }

    /// Checks that the served share of an urgent route is not below that of another route, with a
    /// margin for random variation.
    pub fn check_urgent_share(&self, urgent: u16, other: u16) {
        let share = |(served, failed): (u64, u64)| served as f64 / (served + failed).max(1) as f64;
        let (urgent, other) = (self.route_counts(urgent), self.route_counts(other));
        let mut state = self.lock();
        if share(urgent) + URGENT_MARGIN < share(other) {
            let text = format!("urgent requests {urgent:?} served and not, others {other:?}");
            state.breaches.push(text);
        }
    }

    /// Returns and clears the numbers of served and failed requests since the last call.
    pub fn drain_counts(&self) -> (u64, u64) {
        let mut state = self.lock();
        (std::mem::take(&mut state.served), std::mem::take(&mut state.failed))
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerState {
    fn start_count(&self, backend: u64) -> u32 {
        self.backends.get(&backend).map_or(0, |record| record.starts)
    }

    /// Returns whether the process that serves a flow is still running.
    fn is_holder_alive(&self, holder: &FlowHolder) -> bool {
        let record = self.backends.get(&holder.backend);
        record.is_some_and(|record| record.is_alive && record.starts == holder.start)
    }

    /// Returns whether a service has backend servers outside evacuated data centres. It is false
    /// shortly after the end of an evacuation, as some instances don't know of it yet.
    fn has_available_backends(&self, service: &str, now: Instant) -> bool {
        if self.evacuated.is_empty() && is_recovered(self.evacuation_ended_at.as_ref(), now) {
            return true;
        }
        let records =
            self.backends.values().filter(|record| record.is_alive && record.service == service);
        let mut records = records.filter(|record| record.draining_since.is_none());
        records.any(|record| !self.evacuated.contains_key(&record.data_centre))
            && is_recovered(self.evacuation_ended_at.as_ref(), now)
    }

    /// Records the time if all slots of a backend server's service are busy, in all data centres
    /// together and in its own.
    fn record_saturation(&mut self, number: u64) {
        let Some(changed) = self.backends.get(&number) else { return };
        let (service, centre) = (changed.service.clone(), changed.data_centre.clone());
        for centre in [String::new(), centre] {
            let selected = self.backends.values().filter(|record| {
                record.is_alive
                    && record.service == service
                    && (centre.is_empty() || record.data_centre == centre)
            });
            let counts = selected.map(|record| (record.running, record.slots));
            let (running, slots) =
                counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
            if running >= slots {
                self.saturated_at.insert((service.clone(), centre), Instant::now());
            }
        }
    }

    /// Returns whether a service recently had no free slot. While messages between instances are
    /// affected by a fault, one data centre without free slots is enough.
    fn was_recently_saturated(&self, service: &str, now: Instant) -> bool {
        let is_cut = !is_recovered(self.peers_disturbed.as_ref(), now);
        let mut recent = self.saturated_at.iter().filter(|(_, at)| now - **at <= FREE_SLOT_GRACE);
        recent.any(|((full, centre), _)| full == service && (is_cut || centre.is_empty()))
    }

    fn is_instance_undisturbed(&self, instance: usize, now: Instant) -> bool {
        is_recovered(self.disturbed_instances.get(&instance), now)
            && is_recovered(self.store_disturbed.as_ref(), now)
    }
}

/// Returns whether a fault ended long enough ago, or never occurred.
fn is_recovered(disturbed: Option<&Instant>, now: Instant) -> bool {
    disturbed.is_none_or(|last| now - *last > RECOVERY_TIME)
}
