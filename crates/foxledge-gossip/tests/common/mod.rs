//! Simulation of a fleet in virtual time: members, a store, and links that delay, lose or cut off
//! datagrams.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{
    HealthObservation, ItemChange, ListReading, SourceError,
    revisions::{epoch_of, number_of, revision_of},
    rows::{BackendRow, LimitsRow, ListRow, RouteRow, ServiceRow},
    source::ConfigReading,
};
use foxledge_gossip::{
    FleetEffect, FleetEvent, FleetMember, FleetMessage, MemberOptions, MessageBody, StoreCall,
    StoreQuery,
};
use foxledge_load::{LoadView, LocalLoad};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Response time of the store, in microseconds.
const STORE_RESPONSE_US: u64 = 4_000;
/// Virtual time at which a simulation starts, in microseconds.
const START_US: u64 = 3_600_000_000;
/// Maximum number of items in one response, unless a test sets another.
const MAX_PAGE_ITEMS: usize = 500;
/// Number of recent datagrams that are kept.
const MAX_RECENT_DATAGRAMS: usize = 200;

enum QueuedEvent {
    Timer {
        index: usize,
        timer: u64,
    },
    Datagram {
        index: usize,
        from: SocketAddrV4,
        bytes: Vec<u8>,
    },
    StoreResponse {
        index: usize,
        start_number: u64,
        query: StoreQuery,
        response: Result<ListReading, SourceError>,
    },
    WatchTimeout {
        index: usize,
        start_number: u64,
        query: StoreQuery,
    },
}

/// How the store responds to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    Serving,
    Refusing,
    Unresponsive,
}

#[derive(Default)]
pub struct VirtualStore {
    items: BTreeMap<String, ItemChange>,
    log: Vec<(u64, ItemChange)>,
    pub head: u64,
    pub compacted_revision: u64,
    /// Incremented each time the store is restored from a backup.
    pub epoch: u64,
    pub calls: u64,
    pub stale_read_calls: u64,
    /// Everything that was published, as it stood at each revision, by revision as members know it.
    pub history: BTreeMap<u64, Vec<ItemChange>>,
    /// Number of revisions by which possibly stale reads are behind.
    pub stale_revisions: u64,
    /// Number of revisions by which later pages of possibly stale reads are older than the first.
    pub aged_revisions: u64,
    /// Maximum number of items in one response; 0 for the usual one.
    pub max_page_items: usize,
    /// Calls by query and reason; each page of a full read counts as one.
    pub page_counts: BTreeMap<(&'static str, &'static str), u64>,
    /// Number of revisions by which the first half of the next full read is older than the rest.
    pub torn_revisions: u64,
    /// Keeps no history: that of thousands of items would fill the memory.
    pub is_history_disabled: bool,
}

pub struct VirtualInstance {
    pub member: Option<FleetMember>,
    pub address: SocketAddrV4,
    pub data_centre: String,
    /// Number of times it was started; responses to a former process are dropped.
    start_number: u64,
    pub paused_until_us: u64,
    pub events: Vec<(u64, FleetEvent)>,
    pub observations: Vec<HealthObservation>,
    /// Packets that other instances relayed to it.
    pub relayed_packets: Vec<Vec<u8>>,
    pub sent_messages: u64,
    pub sent_bytes: u64,
    /// Number of times that rows of its list changed.
    pub row_changes: u64,
    /// All rows that were put in force.
    pub applied_rows: Vec<ListRow>,
    /// Revisions of the list after each change.
    pub applied_heads: Vec<u64>,
    /// Time that received messages wait before they are read.
    pub receive_delay_us: u64,
    pub link_mbps: u32,
    /// Whether its next start enables load reports.
    pub reports_load: bool,
    /// Until when it processes what it has read, in microseconds.
    busy_until_us: u64,
    /// Number of the current timer; a member sets a new one after everything it does.
    timer: u64,
}

pub struct VirtualFleet {
    pub now_us: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, QueuedEvent>,
    event_count: u64,
    pub instances: Vec<VirtualInstance>,
    index_by_address: HashMap<SocketAddrV4, usize>,
    pub store: VirtualStore,
    pub store_state: HashMap<usize, StoreState>,
    watches: Vec<(usize, u64, StoreQuery)>,
    /// The last key of the first page that each instance read last.
    first_page_ends: HashMap<usize, String>,
    pub cut_links: HashSet<(usize, usize)>,
    pub loss_rate: f64,
    /// Whether the first page of each response to a request for rows is lost.
    pub loses_first_pages: bool,
    rng: StdRng,
    seeds: Vec<SocketAddrV4>,
    pub max_datagram_bytes: usize,
    /// The most recent datagrams, for tests that damage or replay them.
    pub recent_datagrams: std::collections::VecDeque<Vec<u8>>,
    /// Maximum random delay of a datagram relative to others sent at the same time.
    pub jitter_us: u64,
    /// Bytes sent from one data centre to another.
    pub remote_bytes: u64,
    /// The same by kind of message: heartbeats, pulls, pages, evidence.
    pub remote_bytes_by_kind: BTreeMap<&'static str, u64>,
    /// Bytes sent by members, by kind of message.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    /// Processing time of a member for each message in or out, in microseconds.
    pub message_cost_us: u64,
    /// Until when responses occupy the store's link, in microseconds.
    link_busy_until_us: u64,
    /// Time for which one item occupies the store's link, in nanoseconds.
    pub store_item_ns: u64,
    /// Time for each further page of a full read, in microseconds.
    pub store_page_us: u64,
}

impl VirtualStore {
    pub fn publish(&mut self, version: u64, routes: usize) {
        let routes = (0..routes).map(|index| RouteRow {
            name: format!("route-{index}"),
            position: index as u32,
            port: 1 + index as u32,
            timeout_ms: version as u32,
            ..RouteRow::default()
        });
        self.publish_routes(version, routes.collect());
    }

    pub fn publish_routes(&mut self, version: u64, routes: Vec<RouteRow>) {
        self.publish_config(version, routes, Vec::new());
    }

    pub fn publish_config(
        &mut self,
        version: u64,
        routes: Vec<RouteRow>,
        services: Vec<ServiceRow>,
    ) {
        self.head += 1;
        let limits = LimitsRow { version, idle_ms: 15_000 };
        let config = ConfigReading { limits, routes, services, ..ConfigReading::default() };
        self.put_item("config".to_owned(), ItemChange::Config { revision: self.head, config });
    }

    pub fn register(&mut self, number: u64, draining: bool) {
        self.register_incarnation(number, draining, 0);
    }

    /// Registers a backend server with its incarnation.
    pub fn register_incarnation(&mut self, number: u64, draining: bool, incarnation: u64) {
        self.register_entry(number, "desk", draining, incarnation);
    }

    /// Registers a backend server of a service.
    pub fn register_service(&mut self, number: u64, service: &str) {
        self.register_entry(number, service, false, 0);
    }

    fn register_entry(&mut self, number: u64, service: &str, draining: bool, incarnation: u64) {
        self.head += 1;
        let backend = BackendRow {
            number,
            service: service.to_owned(),
            ip: number as u32,
            port: 80,
            data_centre: "a".to_owned(),
            slots: 2,
            draining,
            warm_in_ms: 0,
            incarnation,
            created_revision: 0,
        };
        let id = format!("i-{number:x}");
        let item = ItemChange::Backend { revision: self.head, id: id.clone(), backend };
        self.put_item(id, item);
    }

    /// Overwrites a backend server's entry with invalid data, as another writer might.
    pub fn corrupt_entry(&mut self, number: u64) {
        self.head += 1;
        let id = format!("i-{number:x}");
        let fault = "no JSON".to_owned();
        let item = ItemChange::BackendInvalid { revision: self.head, id: id.clone(), fault };
        self.put_item(id, item);
    }

    pub fn remove(&mut self, number: u64) {
        self.head += 1;
        let id = format!("i-{number:x}");
        self.items.remove(&id);
        self.log.push((self.head, ItemChange::BackendRemoved { revision: self.head, id }));
        self.record_history();
    }

    /// Begins the evacuation of a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        self.head += 1;
        let data_centre = data_centre.to_owned();
        let item =
            ItemChange::EvacuationBegun { revision: self.head, data_centre: data_centre.clone() };
        self.put_item(format!("evacuate-{data_centre}"), item);
    }

    /// Ends the evacuation of a data centre, if it is evacuated.
    pub fn end_evacuation(&mut self, data_centre: &str) {
        if self.items.remove(&format!("evacuate-{data_centre}")).is_none() {
            return;
        }
        self.head += 1;
        let data_centre = data_centre.to_owned();
        let item = ItemChange::EvacuationEnded { revision: self.head, data_centre };
        self.log.push((self.head, item));
        self.record_history();
    }

    /// Returns the revision as members know it.
    pub fn revision(&self) -> u64 {
        revision_of(self.epoch, self.head)
    }

    /// Compacts the history up to now.
    pub fn compact(&mut self) {
        self.compacted_revision = self.head;
        self.log.clear();
    }

    /// Restores the store from a backup that is some revisions old: later writes are lost, and
    /// their revisions are assigned again.
    pub fn restore(&mut self, revisions: u64) {
        let first = revision_of(self.epoch, 0);
        let until = revision_of(self.epoch, self.head.saturating_sub(revisions));
        let mut backups = self.history.range(first..);
        // A backup is never older than the one from which the store was restored before.
        let Some(oldest) = backups.next() else { return };
        let (backup, items) = self.history.range(first..=until).next_back().unwrap_or(oldest);
        let head = number_of(*backup);
        (self.head, self.compacted_revision) = (head, head);
        self.items = items.iter().map(|item| (key_of(item), item.clone())).collect();
        self.log.clear();
        self.epoch += 1;
        self.record_history();
    }

    fn put_item(&mut self, key: String, item: ItemChange) {
        self.items.insert(key, item.clone());
        self.log.push((self.head, item));
        self.record_history();
    }

    /// Counts the calls of a response with this many items, and returns their number.
    fn count_pages(&mut self, call: StoreCall, items: usize) -> u64 {
        let pages = match call.query {
            StoreQuery::All | StoreQuery::Remainder => {
                items.div_ceil(self.max_page_items()).max(1) as u64
            }
            StoreQuery::FirstPage | StoreQuery::Watch { .. } => 1,
        };
        *self.page_counts.entry((call.query.as_str(), call.reason.as_str())).or_default() += pages;
        pages
    }

    fn record_history(&mut self) {
        if self.is_history_disabled {
            return;
        }
        self.history.insert(self.revision(), self.items.values().cloned().collect());
    }

    fn read(&self) -> ListReading {
        let items = self.items.values().cloned().collect();
        ListReading::complete(items, self.head).with_epoch(self.epoch)
    }

    /// Returns a full read; the store changes between its pages if `torn_revisions` is set.
    fn read_pages(&mut self) -> ListReading {
        let torn = std::mem::take(&mut self.torn_revisions);
        let first = revision_of(self.epoch, 0);
        let until = revision_of(self.epoch, self.head.saturating_sub(torn));
        let known = self.history.range(first..=until).next_back();
        let Some((head, stale)) = known.filter(|_| torn > 0) else { return self.read() };
        let middle = self.items.keys().nth(self.items.len() / 2).cloned().unwrap_or_default();
        let former = stale.iter().filter(|item| key_of(item) < middle).cloned();
        let later = self.items.range(middle.clone()..).map(|(_, item)| item.clone());
        let former = ListReading::complete(former.collect(), number_of(*head));
        let later = ListReading::complete(later.collect(), self.head);
        former.joined_with(later).with_epoch(self.epoch)
    }

    fn max_page_items(&self) -> usize {
        if self.max_page_items > 0 { self.max_page_items } else { MAX_PAGE_ITEMS }
    }

    /// Returns the first page of a possibly stale read, and the key of its last item.
    fn read_first_page(&self) -> (ListReading, String) {
        let mut reading = self.read_stale(self.stale_revisions);
        reading.is_partial = reading.items.len() > self.max_page_items();
        reading.items.truncate(self.max_page_items());
        let last_key = reading.items.last().map(key_of).unwrap_or_default();
        (reading, last_key)
    }

    /// Returns the items after a key, from a possibly stale read of later pages.
    fn read_later_pages(&self, after: &str) -> ListReading {
        let mut reading = self.read_stale(self.stale_revisions + self.aged_revisions);
        reading.items.retain(|item| key_of(item).as_str() > after);
        reading
    }

    /// Returns all items as they stood some revisions ago.
    fn read_stale(&self, revisions: u64) -> ListReading {
        if self.is_history_disabled {
            return self.read();
        }
        let until = ..=revision_of(self.epoch, self.head.saturating_sub(revisions));
        let Some((head, items)) = self.history.range(until).next_back() else { return self.read() };
        ListReading::complete(items.clone(), number_of(*head)).with_epoch(epoch_of(*head))
    }

    fn changes_after(&self, after: u64) -> Result<ListReading, SourceError> {
        let is_of_epoch = epoch_of(after) == self.epoch;
        let after = number_of(after);
        if !is_of_epoch || after < self.compacted_revision || after > self.head {
            return Err(SourceError::HistoryGone);
        }
        let items = self.log.iter().filter(|(revision, _)| *revision > after);
        let items = items.map(|(_, item)| item.clone()).collect();
        Ok(ListReading::complete(items, self.head).with_epoch(self.epoch))
    }
}

/// Returns the key under which the store keeps an item.
fn key_of(item: &ItemChange) -> String {
    match item {
        ItemChange::Backend { id, .. }
        | ItemChange::BackendInvalid { id, .. }
        | ItemChange::BackendRemoved { id, .. } => id.clone(),
        ItemChange::EvacuationBegun { data_centre, .. }
        | ItemChange::EvacuationEnded { data_centre, .. } => format!("evacuate-{data_centre}"),
        ItemChange::Config { .. } | ItemChange::Malformed { .. } => "config".to_owned(),
    }
}

impl VirtualFleet {
    /// Creates a fleet with `counts` members per data centre, none of which has been started.
    pub fn new(counts: &[usize], seed: u64) -> VirtualFleet {
        let mut fleet = VirtualFleet {
            now_us: START_US,
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            instances: Vec::new(),
            index_by_address: HashMap::new(),
            store: VirtualStore::default(),
            store_state: HashMap::new(),
            watches: Vec::new(),
            first_page_ends: HashMap::new(),
            cut_links: HashSet::new(),
            loss_rate: 0.0,
            loses_first_pages: false,
            rng: StdRng::seed_from_u64(seed),
            seeds: Vec::new(),
            max_datagram_bytes: 0,
            recent_datagrams: Default::default(),
            jitter_us: 0,
            remote_bytes: 0,
            remote_bytes_by_kind: BTreeMap::new(),
            bytes_by_kind: BTreeMap::new(),
            message_cost_us: 0,
            link_busy_until_us: 0,
            store_item_ns: 0,
            store_page_us: 0,
        };
        for (centre, count) in counts.iter().enumerate() {
            for index in 0..*count {
                let (high, low) = ((index / 250) as u8, (index % 250) as u8);
                let ip = Ipv4Addr::new(10, 1 + centre as u8, high, 1 + low);
                let instance = VirtualInstance {
                    member: None,
                    address: SocketAddrV4::new(ip, 7_000),
                    data_centre: format!("centre-{centre}"),
                    start_number: 0,
                    paused_until_us: 0,
                    events: Vec::new(),
                    observations: Vec::new(),
                    relayed_packets: Vec::new(),
                    sent_messages: 0,
                    sent_bytes: 0,
                    row_changes: 0,
                    applied_rows: Vec::new(),
                    applied_heads: Vec::new(),
                    receive_delay_us: 0,
                    link_mbps: 100,
                    reports_load: false,
                    busy_until_us: 0,
                    timer: 0,
                };
                fleet.index_by_address.insert(instance.address, fleet.instances.len());
                fleet.instances.push(instance);
            }
        }
        let first: Vec<_> = counts
            .iter()
            .scan(0, |sum, count| {
                let index = *sum;
                *sum += count;
                Some(index)
            })
            .collect();
        fleet.seeds = first.iter().take(3).map(|index| fleet.instances[*index].address).collect();
        fleet
    }

    pub fn start_all(&mut self) {
        for index in 0..self.instances.len() {
            self.start(index);
        }
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let instance = &mut self.instances[index];
        instance.start_number += 1;
        let options = MemberOptions::new(instance.address, CentreName::new(&instance.data_centre))
            .incarnation(self.rng.random())
            .link_mbps(instance.link_mbps)
            .seeds(self.seeds.clone())
            .seed(seed)
            .report_load(instance.reports_load);
        instance.member = Some(FleetMember::new(options, ClockTime::from_micros(self.now_us)));
        self.wake_at(index, self.now_us);
    }

    pub fn kill(&mut self, index: usize) {
        self.instances[index].member = None;
        self.watches.retain(|(watcher, ..)| *watcher != index);
    }

    pub fn isolate(&mut self, index: usize) {
        for other in 0..self.instances.len() {
            self.cut_links.insert((index, other));
            self.cut_links.insert((other, index));
        }
    }

    pub fn now(&self) -> ClockTime {
        ClockTime::from_micros(self.now_us)
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end_us = self.now_us + millis * 1_000;
        while let Some(Reverse((time_us, id))) = self.event_queue.peek().copied() {
            if time_us > end_us {
                break;
            }
            self.event_queue.pop();
            self.now_us = time_us;
            let event = self.events.remove(&id).expect("event is queued");
            self.handle_event(event);
        }
        self.now_us = end_us;
    }

    /// Runs until a condition holds. Returns the milliseconds that it took; none if the condition
    /// doesn't hold within `max_millis`.
    pub fn run_until(
        &mut self,
        max_millis: u64,
        condition: impl Fn(&VirtualFleet) -> bool,
    ) -> Option<u64> {
        for millis in 0..=max_millis {
            if condition(self) {
                return Some(millis);
            }
            self.run(1);
        }
        None
    }

    /// Returns whether every running member knows the list up to `head`.
    pub fn all_have_list(&self, head: u64) -> bool {
        self.members().all(|member| member.list().head() >= head)
    }

    pub fn members(&self) -> impl Iterator<Item = &FleetMember> {
        self.instances.iter().filter_map(|instance| instance.member.as_ref())
    }

    pub fn reader_count(&self) -> usize {
        self.members().filter(|member| member.is_reading_store()).count()
    }

    /// Returns the age of the oldest confirmation in milliseconds; none if a member has none.
    pub fn max_confirmation_age_ms(&self) -> Option<u64> {
        let ages = self
            .members()
            .map(|member| Some(self.now().since(member.confirmed_at()?).as_millis() as u64));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    pub fn sent_messages(&self) -> u64 {
        self.instances.iter().map(|instance| instance.sent_messages).sum()
    }

    /// Answers watches that wait for a change, as the store does.
    pub fn answer_watches(&mut self) {
        for (index, start_number, query) in std::mem::take(&mut self.watches) {
            self.answer_watch(index, start_number, query);
        }
    }

    pub fn share_observation(&mut self, index: usize, observation: HealthObservation) {
        let now = self.now();
        if let Some(member) = &mut self.instances[index].member {
            member.share_observations(now, &[observation]);
        }
        self.apply_effects(index);
    }

    /// Sets the load that a member measures.
    pub fn set_local_load(&mut self, index: usize, load: LocalLoad, load_ratio: f64) {
        let now = self.now();
        if let Some(member) = &mut self.instances[index].member {
            member.set_local_load(now, load, load_ratio);
        }
        self.apply_effects(index);
        self.set_timer(index);
    }

    /// Returns the load known to a member.
    pub fn load_view(&mut self, index: usize) -> Option<Arc<LoadView>> {
        let now = self.now();
        self.instances[index].member.as_mut()?.load_view(now)
    }

    /// Lets a member query others for the backend servers that these tokens named.
    pub fn query_removed_backends(&mut self, index: usize, tokens: Vec<u32>) {
        let now = self.now();
        if let Some(member) = &mut self.instances[index].member {
            member.query_removed_backends(now, tokens);
        }
        self.apply_effects(index);
    }

    /// Lets a member relay a packet to another.
    pub fn relay_packet(&mut self, index: usize, packet: &[u8]) -> bool {
        let now = self.now();
        let is_sent = match &mut self.instances[index].member {
            Some(member) => member.relay_packet(now, packet),
            None => false,
        };
        self.apply_effects(index);
        is_sent
    }

    /// Delivers a replayed or forged datagram.
    pub fn inject_datagram(&mut self, index: usize, from: SocketAddrV4, bytes: Vec<u8>) {
        self.push(self.now_us, QueuedEvent::Datagram { index, from, bytes });
    }

    pub fn leave(&mut self, index: usize) {
        let now = self.now();
        if let Some(member) = &mut self.instances[index].member {
            member.announce_leave(now);
        }
        self.apply_effects(index);
    }

    fn push(&mut self, time_us: u64, event: QueuedEvent) {
        self.event_count += 1;
        self.event_queue.push(Reverse((time_us, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn wake_at(&mut self, index: usize, time_us: u64) {
        self.instances[index].timer += 1;
        let timer = self.instances[index].timer;
        self.push(time_us.max(self.now_us), QueuedEvent::Timer { index, timer });
    }

    /// Sets the timer to the member's next deadline, as the daemon does.
    fn set_timer(&mut self, index: usize) {
        let now = self.now();
        let Some(member) = &self.instances[index].member else { return };
        let next_us = member.next_timer_at(now).as_micros().max(self.now_us + 5_000);
        self.wake_at(index, next_us);
    }

    fn handle_event(&mut self, event: QueuedEvent) {
        let now = self.now();
        match event {
            QueuedEvent::Timer { index, timer } => {
                if self.instances[index].timer != timer {
                    return;
                }
                if self.is_paused(index) {
                    return self.wake_at(index, self.instances[index].paused_until_us);
                }
                let Some(member) = &mut self.instances[index].member else { return };
                member.handle_timers(now);
                self.apply_effects(index);
                self.set_timer(index);
            }
            QueuedEvent::Datagram { index, from, bytes } => {
                if self.is_paused(index) {
                    return;
                }
                let busy_until_us = self.instances[index].busy_until_us;
                if busy_until_us > self.now_us {
                    return self.push(busy_until_us, QueuedEvent::Datagram { index, from, bytes });
                }
                self.instances[index].busy_until_us = self.now_us + self.message_cost_us;
                let Some(member) = &mut self.instances[index].member else { return };
                assert!(
                    member.handle_datagram(now, from, &bytes),
                    "a member's message can't be decoded"
                );
                self.apply_effects(index);
                self.set_timer(index);
            }
            QueuedEvent::StoreResponse { index, start_number, query, response } => {
                let instance = &mut self.instances[index];
                if instance.start_number != start_number {
                    return;
                }
                let Some(member) = &mut instance.member else { return };
                member.handle_store_response(now, query, response);
                self.apply_effects(index);
                self.set_timer(index);
            }
            QueuedEvent::WatchTimeout { index, start_number, query } => {
                let is_same_watch =
                    |watch: &(usize, u64, StoreQuery)| *watch == (index, start_number, query);
                if let Some(position) = self.watches.iter().position(is_same_watch) {
                    self.watches.swap_remove(position);
                    self.answer_watch(index, start_number, query);
                }
            }
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.instances[index].paused_until_us > self.now_us
    }

    fn apply_effects(&mut self, index: usize) {
        let Some(member) = &mut self.instances[index].member else { return };
        let effects = member.drain_effects();
        let (start_number, address) =
            (self.instances[index].start_number, self.instances[index].address);
        for effect in effects {
            match effect {
                FleetEffect::SendDatagram { to, bytes } => self.send(index, address, to, bytes),
                FleetEffect::CallStore(call) => self.call_store(index, start_number, call),
                FleetEffect::LogEvent(event) => {
                    let time_ms = (self.now_us - START_US) / 1_000;
                    self.instances[index].events.push((time_ms, event));
                }
                FleetEffect::RecordObservation(observation) => {
                    self.instances[index].observations.push(observation)
                }
                FleetEffect::HandlePacket(bytes) => {
                    self.instances[index].relayed_packets.push(bytes)
                }
                FleetEffect::ApplyRows(rows) | FleetEffect::ApplyRestoredRows(rows) => {
                    self.instances[index].row_changes += 1;
                    self.instances[index].applied_rows.extend(rows);
                    let member = self.instances[index].member.as_ref();
                    let head = member.map_or(0, |member| member.list().head());
                    if head > 0 {
                        self.instances[index].applied_heads.push(head);
                    }
                }
                FleetEffect::RecordConfirmation(_) => {}
            }
        }
    }

    fn send(&mut self, sender: usize, from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8>) {
        self.instances[sender].sent_messages += 1;
        let busy_from_us = self.instances[sender].busy_until_us.max(self.now_us);
        self.instances[sender].busy_until_us = busy_from_us + self.message_cost_us;
        self.instances[sender].sent_bytes += bytes.len() as u64;
        *self.bytes_by_kind.entry(kind_of(&bytes)).or_default() += bytes.len() as u64;
        self.max_datagram_bytes = self.max_datagram_bytes.max(bytes.len());
        self.recent_datagrams.push_back(bytes.clone());
        if self.recent_datagrams.len() > MAX_RECENT_DATAGRAMS {
            self.recent_datagrams.pop_front();
        }
        let Some(index) = self.index_by_address.get(&to).copied() else { return };
        if self.cut_links.contains(&(sender, index)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.loses_first_pages && is_first_page(&bytes) {
            return;
        }
        let is_same_centre =
            self.instances[sender].data_centre == self.instances[index].data_centre;
        if !is_same_centre {
            self.remote_bytes += bytes.len() as u64;
            *self.remote_bytes_by_kind.entry(kind_of(&bytes)).or_default() += bytes.len() as u64;
        }
        let delay_us = if is_same_centre { 200 } else { 500 };
        let jitter = if self.jitter_us > 0 { self.rng.random_range(0..self.jitter_us) } else { 0 };
        let time_us = self.now_us + delay_us + jitter + self.instances[index].receive_delay_us;
        self.push(time_us, QueuedEvent::Datagram { index, from, bytes });
    }

    fn call_store(&mut self, index: usize, start_number: u64, call: StoreCall) {
        let query = call.query;
        match query {
            StoreQuery::FirstPage | StoreQuery::Remainder => self.store.stale_read_calls += 1,
            _ => self.store.calls += 1,
        }
        let state = self.store_state.get(&index).copied().unwrap_or(StoreState::Serving);
        let response = match (state, query) {
            (StoreState::Unresponsive, _) => {
                let error = Err(SourceError::Timeout(1_450));
                return self.push(
                    self.now_us + 1_450_000,
                    QueuedEvent::StoreResponse { index, start_number, query, response: error },
                );
            }
            (StoreState::Refusing, _) => Err(SourceError::UnexpectedStatus(503)),
            (StoreState::Serving, StoreQuery::FirstPage) => {
                let (reading, last_key) = self.store.read_first_page();
                self.first_page_ends.insert(index, last_key);
                Ok(reading)
            }
            (StoreState::Serving, StoreQuery::Remainder) => {
                let last_key = self.first_page_ends.get(&index).cloned().unwrap_or_default();
                Ok(self.store.read_later_pages(&last_key))
            }
            (StoreState::Serving, StoreQuery::All) => Ok(self.store.read_pages()),
            (StoreState::Serving, StoreQuery::Watch { after, wait_ms }) => {
                if self.store.revision() == after
                    && self.store.compacted_revision <= self.store.head
                {
                    self.store.count_pages(call, 0);
                    self.watches.push((index, start_number, query));
                    let end_us = self.now_us + wait_ms * 1_000;
                    return self
                        .push(end_us, QueuedEvent::WatchTimeout { index, start_number, query });
                }
                self.store.changes_after(after)
            }
        };
        let items = response.as_ref().map_or(0, |reading| reading.items.len());
        let pages = self.store.count_pages(call, items);
        self.link_busy_until_us =
            self.link_busy_until_us.max(self.now_us) + items as u64 * self.store_item_ns / 1_000;
        let time_us =
            self.link_busy_until_us + STORE_RESPONSE_US + (pages - 1) * self.store_page_us;
        self.push(time_us, QueuedEvent::StoreResponse { index, start_number, query, response });
    }

    fn answer_watch(&mut self, index: usize, start_number: u64, query: StoreQuery) {
        let StoreQuery::Watch { after, .. } = query else { return };
        let state = self.store_state.get(&index).copied().unwrap_or(StoreState::Serving);
        if state == StoreState::Unresponsive {
            let response = Err(SourceError::Timeout(1_450));
            return self.push(
                self.now_us + 450_000,
                QueuedEvent::StoreResponse { index, start_number, query, response },
            );
        }
        let response = self.store.changes_after(after);
        self.push(
            self.now_us + STORE_RESPONSE_US / 2,
            QueuedEvent::StoreResponse { index, start_number, query, response },
        );
    }
}

/// Returns true for the first page with rows in response to a request.
fn is_first_page(datagram: &[u8]) -> bool {
    match FleetMessage::from_datagram(datagram).and_then(|message| message.body) {
        Some(MessageBody::PullPage(page)) => page.index == 0 && !page.is_busy,
        _ => false,
    }
}

/// Returns the kind of a message according to the tag after its digest.
fn kind_of(datagram: &[u8]) -> &'static str {
    match datagram.get(8).map(|tag| tag >> 3) {
        Some(1) => "beat",
        Some(2) => "pull",
        Some(3) => "page",
        Some(4) => "evidence",
        Some(10) => "load",
        _ => "other",
    }
}

/// Returns a fleet that has run for some seconds on a list of some routes and backend servers.
pub fn settled_fleet(counts: &[usize], seed: u64) -> VirtualFleet {
    settle(VirtualFleet::new(counts, seed))
}

/// Publishes a first list, starts the fleet and runs it for some seconds.
pub fn settle(mut fleet: VirtualFleet) -> VirtualFleet {
    for number in 1..=18 {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, 10);
    fleet.start_all();
    fleet.run(6_000);
    assert!(fleet.all_have_list(fleet.store.head), "the fleet doesn't settle");
    fleet
}
