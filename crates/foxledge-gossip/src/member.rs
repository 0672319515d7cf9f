//! One instance as a member of the fleet.

use std::{collections::HashMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_flows::{FleetList, ListReading, RetainedConfig, SourceError};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    config_pull::ConfigPull,
    dissemination::UpdateOrigin,
    effects::{FleetEffect, ReadReason, StoreQuery},
    election::{ReaderElection, ReaderRank},
    evidence::EvidenceTable,
    list_pull::ListPull,
    load_reporting::LoadReporter,
    messages::{FleetMessage, MessageBody, PeerDescriptor},
    options::MemberOptions,
    partial_list::PartialList,
    peers::PeerTable,
    refused_items::{RefusedItem, RefusedTable},
};

/// Longest time between two heartbeats, in milliseconds.
pub(crate) const BEAT_MS: u64 = 1_000;

/// Wait of an instance named as a seed before it reads at its start, in
/// milliseconds; the second seed waits twice, the third three times as long.
/// A peer that has the list answers within a few milliseconds.
const SEED_START_MS: u64 = 10;
/// Shortest wait of any other instance before it reads at its start, in milliseconds.
const START_MS: u64 = 10;
/// Spread of these waits in milliseconds, so that a fleet that starts at once
/// doesn't read the store at once: the first that have the list serve the others. Longer
/// waits let small fleets serve later.
const START_SPREAD_MS: u64 = 50;
/// Wait for a word of any other instance before a list is confirmed at the store, in
/// milliseconds: until then each instance of a fleet that starts ranks itself first.
const ISOLATED_MS: u64 = 500;
/// Spread of that wait in milliseconds.
const ISOLATED_SPREAD_MS: u64 = 1_000;
/// Time between two questions to the seeds while no list is known, in milliseconds.
const ASK_MS: u64 = 100;
/// The same while a part of the list serves: seeds of a large fleet have more to do.
const ASK_REST_MS: u64 = 300;

/// `FleetMember` is what one instance knows of list and fleet, and what it does about it.
pub struct FleetMember {
    /// Who this instance is and whom it asks first.
    pub(crate) options: MemberOptions,
    /// This instance as others are told.
    pub(crate) descriptor: PeerDescriptor,
    /// Random choices.
    pub(crate) rng: StdRng,
    /// The list as it is known.
    pub(crate) list: FleetList,
    /// The operators' list in force, while the store has an older one.
    pub(crate) retained_config: Option<RetainedConfig>,
    /// Its version, once that was told.
    pub(crate) logged_retained_version: Option<u64>,
    /// The transfer of one that another instance holds.
    pub(crate) config_pull: Option<ConfigPull>,
    /// The part of it that serves before all is known.
    pub(crate) preview: PartialList,
    /// The instances that are known.
    pub(crate) peers: PeerTable,
    /// This instance's part in reading the store.
    pub(crate) election: ReaderElection,
    /// The transfer of rows that goes on.
    pub(crate) pull: Option<ListPull>,
    /// When to ask again, after an instance was busy.
    pub(crate) next_pull: Option<(ClockTime, SocketAddrV4)>,
    /// Instances that are being served with rows, and until when they count.
    pub(crate) served: HashMap<SocketAddrV4, ClockTime>,
    /// What is told of the health of backend servers.
    pub(crate) evidence: EvidenceTable,
    /// When it is told next; none while there is nothing to tell.
    pub(crate) next_evidence_round_at: Option<ClockTime>,
    /// What is told of load; none when load isn't reported.
    pub(crate) load_reporter: Option<LoadReporter>,
    /// When the pages that were sent, whole copies included, are paid for by their budget.
    pub(crate) page_budget_free_at: ClockTime,
    /// When the budget allows the next round.
    pub(crate) evidence_budget_free_at: ClockTime,
    /// When the store last confirmed the list, as far as is known.
    pub(crate) confirmed_at: Option<ClockTime>,
    /// The confirmation that others were last told.
    pub(crate) announced_confirmation_at: ClockTime,
    /// Where the newest rows or confirmation came from.
    pub(crate) update_origin: UpdateOrigin,
    /// Counts this instance's answers from the store.
    pub(crate) response_serial: u32,
    /// Epoch of the store's history in its last answer to this instance.
    pub(crate) store_epoch: Option<u64>,
    /// When the store was last called.
    pub(crate) called_at: ClockTime,
    /// When peers are asked for a newer confirmation; none after the second time.
    pub(crate) next_confirmation_query_at: Option<ClockTime>,
    /// When peers count as handing over no more rows.
    pub(crate) transfer_stalled_at: ClockTime,
    /// When an instance that has heard of no other counts as the only one.
    pub(crate) isolation_assumed_at: ClockTime,
    /// Items of the store that can't be understood.
    pub(crate) refused: RefusedTable,
    /// Why the list must be read whole; none while changes will do.
    pub(crate) full_read_reason: Option<ReadReason>,
    /// A seed was heard of that starts at the same time.
    pub(crate) has_starting_seed: bool,
    /// From when on the next message to others tells all that a heartbeat can.
    pub(crate) next_full_heartbeat_at: ClockTime,
    /// When the next heartbeat is due at the latest.
    pub(crate) next_heartbeat_at: ClockTime,
    /// When an unheard data centre is asked again.
    pub(crate) next_centre_query_at: ClockTime,
    /// When seeds are asked next, while no list is known.
    pub(crate) next_seed_query_at: ClockTime,
    /// When a first list is read from the store.
    pub(crate) first_read_at: ClockTime,
    /// What is to be done.
    pub(crate) effects: Vec<FleetEffect>,
}

impl FleetMember {
    /// Makes a member that knows nothing; its first questions are due at once.
    pub fn new(options: MemberOptions, now: ClockTime) -> FleetMember {
        let card = PeerDescriptor {
            ip: u32::from(*options.address.ip()),
            port: u32::from(options.address.port()),
            data_centre: options.data_centre.to_string(),
            incarnation: options.incarnation,
            is_leaving: false,
            link_mbps: options.link_mbps,
        };
        let mut rng = StdRng::seed_from_u64(options.seed);
        let place = options.seeds.iter().position(|seed| *seed == options.address);
        let wait = match place {
            Some(place) => SEED_START_MS * (place as u64 + 1),
            None => START_MS + rng.random_range(0..START_SPREAD_MS),
        };
        let are_others = options.seeds.iter().any(|seed| *seed != options.address);
        let isolated_ms = match place {
            None if are_others => {
                ISOLATED_MS + ReaderRank::of(&card).spread_over(ISOLATED_SPREAD_MS)
            }
            _ => 0,
        };
        FleetMember {
            election: ReaderElection::new(&card),
            descriptor: card,
            rng,
            list: FleetList::new(),
            retained_config: None,
            config_pull: None,
            logged_retained_version: None,
            preview: PartialList::default(),
            peers: PeerTable::new(options.data_centre.as_str()),
            pull: None,
            next_pull: None,
            served: HashMap::new(),
            evidence: EvidenceTable::default(),
            next_evidence_round_at: None,
            load_reporter: options.reports_load.then(|| LoadReporter::new(now, &options)),
            page_budget_free_at: now,
            evidence_budget_free_at: now,
            confirmed_at: None,
            announced_confirmation_at: ClockTime::ZERO,
            update_origin: UpdateOrigin::SameCentre,
            response_serial: 0,
            store_epoch: None,
            called_at: now,
            next_confirmation_query_at: None,
            transfer_stalled_at: now,
            isolation_assumed_at: now.after_millis(isolated_ms),
            refused: RefusedTable::default(),
            full_read_reason: None,
            has_starting_seed: false,
            next_full_heartbeat_at: now,
            next_heartbeat_at: now.after_millis(BEAT_MS),
            next_centre_query_at: now,
            next_seed_query_at: now,
            first_read_at: now.after_millis(wait),
            effects: Vec::new(),
            options,
        }
    }

    /// True when all routes are known, by the list or as they were before the store lost them.
    fn knows_routes(&self) -> bool {
        self.list.has_routes() || self.is_retaining_config()
    }

    /// The list as it is known.
    pub fn list(&self) -> &FleetList {
        &self.list
    }

    /// When the store last confirmed the list, as far as is known.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// True while this instance reads the store.
    pub fn is_reading_store(&self) -> bool {
        self.election.is_reading()
    }

    /// Number of known instances, this one not counted.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Other instances of the own data centre, those that fell silent lately included.
    pub fn recent_neighbours(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        self.peers.neighbours(now)
    }

    /// Items of the store that can't be understood, as far as this instance reads it.
    pub fn refused_items(&self) -> impl Iterator<Item = &RefusedItem> {
        self.refused.items()
    }

    /// What is to be done, in order.
    pub fn drain_effects(&mut self) -> Vec<FleetEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes other seeds, as the settings changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.options.seeds = seeds;
    }

    /// When [`FleetMember::on_time`] is due next.
    pub fn next_timer_at(&self, now: ClockTime) -> ClockTime {
        let mut next = self.next_heartbeat_at;
        if !self.knows_routes() {
            next = next.min(self.next_seed_query_at);
        }
        if let Some(pull) = &self.pull {
            next = next.min(pull.retry_at);
        }
        if let Some((at, _)) = self.next_pull {
            next = next.min(at);
        }
        if let Some(at) = self.election.call_at() {
            next = next.min(at);
        }
        if let Some(at) = self.next_evidence_round_at {
            next = next.min(at);
        }
        if self.descriptor.is_leaving {
            return next;
        }
        if let Some(at) = self.next_confirmation_query_at {
            next = next.min(at);
        }
        if let Some(at) = self.load_reporter.as_ref().and_then(|load| load.next_report_at(now)) {
            next = next.min(at);
        }
        if self.list.head() == 0 && !self.election.is_waiting() {
            next = next.min(self.first_read_at);
        }
        if self.list.head() > 0 && !self.election.is_reading() {
            next = next.min(self.reading_starts_at(now));
        }
        next
    }

    /// Does what is due.
    pub fn handle_timers(&mut self, now: ClockTime) {
        if !self.knows_routes() && self.next_seed_query_at.is_past(now) {
            let wait = if self.preview.was_received() { ASK_REST_MS } else { ASK_MS };
            self.next_seed_query_at = now.after_millis(wait);
            self.query_seeds(now);
        }
        self.begin_waiting_pull(now);
        self.retry_pull(now);
        self.query_confirmation(now);
        self.consider_reading(now);
        self.send_due_evidence(now);
        self.report_load(now);
        if self.next_heartbeat_at.is_past(now) {
            self.send_periodic_heartbeat(now);
        }
    }

    /// Takes a datagram of another instance; false when it isn't a message.
    pub fn handle_datagram(&mut self, now: ClockTime, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let Some(message) = FleetMessage::from_datagram(bytes) else { return false };
        match message.body {
            Some(MessageBody::Heartbeat(beat)) => self.handle_heartbeat(now, from, beat),
            Some(MessageBody::PullRequest(pull)) => self.handle_pull_request(now, from, &pull),
            Some(MessageBody::PullPage(page)) => self.handle_pull_page(now, page),
            Some(MessageBody::Evidence(evidence)) => self.handle_evidence(now, &evidence),
            Some(MessageBody::TokenQuery(question)) => {
                self.handle_token_query(now, from, &question);
            }
            Some(MessageBody::TokenResponse(answer)) => self.apply_removed_backends(now, answer),
            Some(MessageBody::ConfigRequest(question)) => {
                self.handle_config_request(from, &question)
            }
            Some(MessageBody::ConfigPage(page)) => self.handle_config_page(now, from, page),
            Some(MessageBody::Load(load)) => self.handle_load(now, from, load),
            Some(MessageBody::RelayedPacket(packet)) => {
                self.effects.push(FleetEffect::HandlePacket(packet.bytes));
            }
            None => return false,
        }
        true
    }

    /// Takes the store's answer to a [`FleetEffect::Read`].
    pub fn handle_store_response(
        &mut self,
        now: ClockTime,
        order: StoreQuery,
        answer: Result<ListReading, SourceError>,
    ) {
        match answer {
            Ok(reading) => self.apply_store_reading(now, order, reading),
            Err(error) => self.handle_store_failure(now, &error),
        }
        self.consider_reading(now);
    }

    /// Tells others that this instance stops, and reads the store no more.
    pub fn announce_leave(&mut self, now: ClockTime) {
        self.descriptor.is_leaving = true;
        self.election.end();
        let all = self.peers.addresses();
        self.send_heartbeats(now, self.list.head(), all, Vec::new());
    }

    pub(crate) fn confirmation_age_ms(&self, now: ClockTime) -> Option<u64> {
        Some(now.since(self.confirmed_at?).as_millis() as u64)
    }
}
