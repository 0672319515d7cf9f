//! What callers and backend servers have seen, held against the promises.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use foxledge_flows::FlowKey;

/// A machine that was disturbed counts again after this.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// A leaving backend server gets no new flow, and a new list is obeyed, after this.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A service that had a free slot for this long is refused to nobody: a view may be 400 ms old,
/// and its parts are told every 100 ms.
const FREE_SLOT_GRACE: Duration = Duration::from_millis(500);
/// By how much of its requests the more urgent kind may be served less, as chance has it.
const URGENT_MARGIN: f64 = 0.02;

/// An evacuated data centre gets no new flow after this.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

/// `FlowHolder` is the backend server that holds a flow.
#[derive(Clone, Copy, Debug)]
struct FlowHolder {
    backend: u64,
    /// Which start of it, counted from 0.
    start: u32,
    is_open: bool,
}

/// `BackendRecord` is one process of a backend server.
#[derive(Clone, Debug)]
struct BackendRecord {
    service: String,
    data_centre: String,
    is_alive: bool,
    /// How often it has started again under its id.
    starts: u32,
    draining_since: Option<Instant>,
    /// Requests that run and wait, where slots are counted.
    running: usize,
    slots: usize,
}

/// `ExpectedRoute` is what a probed route has led to, and since when.
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
    /// Since when data centres are evacuated.
    evacuated: HashMap<String, Instant>,
    /// When the last of them was taken back.
    evacuation_ended_at: Option<Instant>,
    disturbed_instances: HashMap<usize, Instant>,
    store_disturbed: Option<Instant>,
    disturbed_backends: HashMap<u64, Instant>,
    packets_disturbed: Option<Instant>,
    peers_disturbed: Option<Instant>,
    /// When as many requests as slots ran last, by service and by data centre; the empty name
    /// stands for all of them.
    saturated_at: HashMap<(String, String), Instant>,
    /// Requests served and failed, by the port of their route.
    by_port: HashMap<u16, (u64, u64)>,
    /// Openings that instances refused.
    refused: u64,
    breaches: Vec<String>,
    /// Requests served and failed since the last reset of the counts.
    served: u64,
    failed: u64,
}

/// `PromiseLedger` is shared by all stand-ins.
#[derive(Default)]
pub struct PromiseLedger {
    state: Mutex<LedgerState>,
}

impl PromiseLedger {
    /// Notes a broken promise.
    pub fn record_breach(&self, text: String) {
        self.lock().breaches.push(text);
    }

    /// Every broken promise so far.
    pub fn breaches(&self) -> Vec<String> {
        self.lock().breaches.clone()
    }

    /// Notes that a fault at an instance has just ended or goes on.
    pub fn record_instance_fault(&self, instance: usize) {
        self.lock().disturbed_instances.insert(instance, Instant::now());
    }

    /// Notes that a fault at the store has just ended or goes on.
    pub fn record_store_fault(&self) {
        self.lock().store_disturbed = Some(Instant::now());
    }

    /// Notes that a fault at a backend server that lives has just ended or goes on.
    pub fn record_backend_fault(&self, number: u64) {
        self.lock().disturbed_backends.insert(number, Instant::now());
    }

    /// Notes that a loss of packets has just ended or goes on.
    pub fn record_packet_fault(&self) {
        self.lock().packets_disturbed = Some(Instant::now());
    }

    /// Notes that a fault of messages between instances has just ended or goes on.
    pub fn record_peer_fault(&self) {
        self.lock().peers_disturbed = Some(Instant::now());
    }

    /// Notes that a backend server got a request that runs or waits.
    pub fn work_begun(&self, number: u64) {
        let mut state = self.lock();
        if let Some(life) = state.backends.get_mut(&number) {
            life.running += 1;
        }
        state.record_saturation(number);
    }

    /// Notes that one has ended.
    pub fn work_ended(&self, number: u64) {
        let mut state = self.lock();
        state.record_saturation(number);
        if let Some(life) = state.backends.get_mut(&number) {
            life.running = life.running.saturating_sub(1);
        }
    }

    /// Notes the start of a backend server.
    pub fn backend_started(&self, number: u64, service: &str, data_centre: &str, slots: usize) {
        let mut state = self.lock();
        let starts = state.backends.get(&number).map_or(0, |former| former.starts + 1);
        let life = BackendRecord {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            is_alive: true,
            starts,
            draining_since: None,
            running: 0,
            slots,
        };
        state.backends.insert(number, life);
    }

    /// Notes that a data centre is evacuated from now on; false when it was.
    pub fn record_evacuation_start(&self, data_centre: &str) -> bool {
        self.lock().evacuated.insert(data_centre.to_owned(), Instant::now()).is_none()
    }

    /// True while a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.lock().evacuated.contains_key(data_centre)
    }

    /// Notes that a data centre is about to be taken back.
    pub fn record_evacuation_end(&self, data_centre: &str) {
        let mut state = self.lock();
        state.evacuated.remove(data_centre);
        state.evacuation_ended_at = Some(Instant::now());
    }

    /// Notes that the store took a backend server's own entry, by which it takes flows.
    pub fn backend_ready(&self, number: u64) {
        if let Some(life) = self.lock().backends.get_mut(&number) {
            life.draining_since = None;
        }
    }

    /// Notes that a backend server's report of leaving was taken by the store.
    pub fn backend_draining(&self, number: u64) {
        if let Some(life) = self.lock().backends.get_mut(&number) {
            life.draining_since = Some(Instant::now());
        }
    }

    /// Notes the end of a backend server.
    pub fn backend_ended(&self, number: u64) {
        if let Some(life) = self.lock().backends.get_mut(&number) {
            life.is_alive = false;
        }
    }

    /// Notes that a route leads elsewhere from now on; none when it is gone.
    pub fn route_published(&self, port: u16, service: Option<String>) {
        let mut state = self.lock();
        let known = state.routes.get(&port);
        if known.is_some_and(|truth| truth.service == service) {
            return;
        }
        let former = known.and_then(|truth| truth.service.clone());
        state.routes.insert(port, ExpectedRoute { service, former, since: Instant::now() });
    }

    /// Checks an opening packet that reached a backend server through an instance.
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
        let leaving = state.backends.get(&backend).and_then(|life| life.draining_since);
        if leaving.is_some_and(|since| now - since > CONVERGENCE_TIMEOUT) {
            let text = format!("{flow} reached leaving backend server {backend:x} by {instance}");
            state.breaches.push(text);
        }
        let centre = state.backends.get(&backend).map(|life| life.data_centre.clone());
        let wish = centre.as_ref().and_then(|centre| state.evacuated.get(centre));
        if wish.is_some_and(|since| now - *since > EVACUATION_TIMEOUT) {
            let text = format!("{flow} reached {backend:x} in evacuated {centre:?} by {instance}");
            state.breaches.push(text);
        }
        let truth = state.routes.get(&flow.service.port()).cloned();
        let Some(truth) = truth.filter(|truth| now - truth.since > CONVERGENCE_TIMEOUT) else {
            return;
        };
        if truth.service.as_deref() != Some(service) {
            let text = format!(
                "{flow} reached {service} by {instance}, {:?} is right, {:?} was before, for {:?}",
                truth.service,
                truth.former,
                now - truth.since
            );
            state.breaches.push(text);
        }
    }

    /// Notes that a caller begins a flow: what held an earlier one of its port says nothing.
    pub fn clear_flow(&self, flow: FlowKey) {
        self.lock().holders.remove(&flow);
    }

    /// Notes that the handshake of a flow ended at a backend server.
    pub fn handshake_ended(&self, flow: FlowKey, backend: u64) {
        let mut state = self.lock();
        let holder = FlowHolder { backend, start: state.start_count(backend), is_open: true };
        state.holders.insert(flow, holder);
    }

    /// Checks data that reached a backend server that doesn't hold the flow.
    pub fn check_stray_packet(&self, flow: FlowKey, backend: u64) {
        let mut state = self.lock();
        let Some(holder) = state.holders.get(&flow).copied() else { return };
        let lives = state.is_holder_alive(&holder);
        if holder.is_open && lives && holder.backend != backend {
            let text = format!("{flow} held by {:x} reached {backend:x}", holder.backend);
            state.breaches.push(text);
        }
    }

    /// Counts a run of a request; false when it has run before.
    pub fn record_run(&self, id: u64, is_idempotent: bool) {
        let mut state = self.lock();
        let runs = state.runs.entry(id).or_default();
        *runs += 1;
        if *runs > 1 && !is_idempotent {
            let text = format!("request {id:x} ran {runs} times");
            state.breaches.push(text);
        }
    }

    /// Checks a reset that an instance sent to a caller whose flow is open: its backend
    /// server must be dead, or as good as dead for a while.
    pub fn check_reset(&self, flow: FlowKey) {
        let mut state = self.lock();
        let Some(holder) = state.holders.get(&flow).copied() else { return };
        let lives = state.is_holder_alive(&holder);
        let is_silent =
            !is_recovered(state.disturbed_backends.get(&holder.backend), Instant::now())
                || !is_recovered(state.packets_disturbed.as_ref(), Instant::now());
        if holder.is_open && lives && !is_silent {
            let text = format!("{flow} was reset by an instance while {:x} lives", holder.backend);
            state.breaches.push(text);
        }
    }

    /// Checks a refusal of an opening packet to a route by an instance.
    pub fn check_refusal(&self, flow: FlowKey, instance: usize) {
        let mut state = self.lock();
        state.refused += 1;
        let now = Instant::now();
        let truth = state.routes.get(&flow.service.port()).cloned();
        let Some(truth) = truth.filter(|truth| now - truth.since > CONVERGENCE_TIMEOUT) else {
            return;
        };
        if truth.service.as_ref().is_some_and(|service| !state.has_available_backends(service, now))
        {
            return;
        }
        if truth.service.as_ref().is_some_and(|service| state.was_recently_saturated(service, now))
        {
            return;
        }
        if truth.service.is_some() && state.is_instance_undisturbed(instance, now) {
            let text = format!(
                "{flow} was refused by {instance} with its route published and a slot free"
            );
            state.breaches.push(text);
        }
    }

    /// Counts the end of a request.
    pub fn record_request_end(&self, is_served: bool) {
        let mut state = self.lock();
        match is_served {
            true => state.served += 1,
            false => state.failed += 1,
        }
    }

    /// Counts the end of a request of a route.
    pub fn record_route_request_end(&self, port: u16, is_served: bool) {
        let mut state = self.lock();
        let (served, failed) = state.by_port.entry(port).or_default();
        *(if is_served { served } else { failed }) += 1;
    }

    /// Requests of a route served and failed.
    pub fn route_counts(&self, port: u16) -> (u64, u64) {
        self.lock().by_port.get(&port).copied().unwrap_or_default()
    }

    /// Openings that instances refused.
    pub fn refused_count(&self) -> u64 {
        self.lock().refused
    }

    /// Checks that the requests of an urgent route were served no worse than another's.
    pub fn check_urgent_share(&self, urgent: u16, other: u16) {
        let share = |(served, failed): (u64, u64)| served as f64 / (served + failed).max(1) as f64;
        let (urgent, other) = (self.route_counts(urgent), self.route_counts(other));
        let mut state = self.lock();
        if share(urgent) + URGENT_MARGIN < share(other) {
            let text = format!("urgent requests {urgent:?} served and not, others {other:?}");
            state.breaches.push(text);
        }
    }

    /// Requests served and failed since the last call.
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
        self.backends.get(&backend).map_or(0, |life| life.starts)
    }

    /// True when the process that holds a flow lives.
    fn is_holder_alive(&self, holder: &FlowHolder) -> bool {
        let life = self.backends.get(&holder.backend);
        life.is_some_and(|life| life.is_alive && life.starts == holder.start)
    }

    /// True when a service has backend servers outside of evacuated data centres, unless one
    /// was taken back just now: not all instances know.
    fn has_available_backends(&self, service: &str, now: Instant) -> bool {
        if self.evacuated.is_empty() && is_recovered(self.evacuation_ended_at.as_ref(), now) {
            return true;
        }
        let lives = self.backends.values().filter(|life| life.is_alive && life.service == service);
        let mut lives = lives.filter(|life| life.draining_since.is_none());
        lives.any(|life| !self.evacuated.contains_key(&life.data_centre))
            && is_recovered(self.evacuation_ended_at.as_ref(), now)
    }

    /// Notes where as many requests run as there are slots, after a change at a backend server.
    fn record_saturation(&mut self, number: u64) {
        let Some(changed) = self.backends.get(&number) else { return };
        let (service, centre) = (changed.service.clone(), changed.data_centre.clone());
        for centre in [String::new(), centre] {
            let own = self.backends.values().filter(|life| {
                life.is_alive
                    && life.service == service
                    && (centre.is_empty() || life.data_centre == centre)
            });
            let counts = own.map(|life| (life.running, life.slots));
            let (running, slots) = counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            if running >= slots {
                self.saturated_at.insert((service.clone(), centre), Instant::now());
            }
        }
    }

    /// True when a service had no slot free lately; while instances are cut off from each other,
    /// when one of its data centres had none.
    fn was_recently_saturated(&self, service: &str, now: Instant) -> bool {
        let is_cut = !is_recovered(self.peers_disturbed.as_ref(), now);
        let mut lately = self.saturated_at.iter().filter(|(_, at)| now - **at <= FREE_SLOT_GRACE);
        lately.any(|((full, centre), _)| full == service && (is_cut || centre.is_empty()))
    }

    fn is_instance_undisturbed(&self, instance: usize, now: Instant) -> bool {
        is_recovered(self.disturbed_instances.get(&instance), now)
            && is_recovered(self.store_disturbed.as_ref(), now)
    }
}

/// True when a disturbance is over for long enough, or never was.
fn is_recovered(disturbed: Option<&Instant>, now: Instant) -> bool {
    disturbed.is_none_or(|last| now - *last > RECOVERY_TIME)
}
