//! One instance as a member of the fleet.

use std::{collections::HashMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_flows::{FleetList, ListReading, RetainedConfig, SourceError};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    config_pull::ConfigPull,
    effects::{FleetEffect, ReadOrder, ReadReason},
    election::{ReaderElection, ReaderRank},
    evidence::EvidenceTable,
    load::LoadTeller,
    messages::{FleetMessage, MessageBody, PeerCard},
    options::MemberOptions,
    peers::PeerTable,
    preview::ListPreview,
    pulls::ListPull,
    refused::{RefusedItem, RefusedTable},
    spreading::NewsOrigin,
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
    pub(crate) card: PeerCard,
    /// Random choices.
    pub(crate) rng: StdRng,
    /// The list as it is known.
    pub(crate) list: FleetList,
    /// The operators' list in force, while the store has an older one.
    pub(crate) held: Option<RetainedConfig>,
    /// Its version, once that was told.
    pub(crate) held_version: Option<u64>,
    /// The transfer of one that another instance holds.
    pub(crate) config_pull: Option<ConfigPull>,
    /// The part of it that serves before all is known.
    pub(crate) preview: ListPreview,
    /// The instances that are known.
    pub(crate) peers: PeerTable,
    /// This instance's part in reading the store.
    pub(crate) election: ReaderElection,
    /// The transfer of rows that goes on.
    pub(crate) pull: Option<ListPull>,
    /// When to ask again, after an instance was busy.
    pub(crate) pull_at: Option<(ClockTime, SocketAddrV4)>,
    /// Instances that are being served with rows, and until when they count.
    pub(crate) served: HashMap<SocketAddrV4, ClockTime>,
    /// What is told of the health of backend servers.
    pub(crate) evidence: EvidenceTable,
    /// When it is told next; none while there is nothing to tell.
    pub(crate) round_at: Option<ClockTime>,
    /// What is told of load; none when load isn't reported.
    pub(crate) load: Option<LoadTeller>,
    /// When the pages that were sent, whole copies included, are paid for by their budget.
    pub(crate) pages_paid_at: ClockTime,
    /// When the budget allows the next round.
    pub(crate) free_at: ClockTime,
    /// When the store last confirmed the list, as far as is known.
    pub(crate) confirmed_at: Option<ClockTime>,
    /// The confirmation that others were last told.
    pub(crate) told_at: ClockTime,
    /// Where the newest rows or confirmation came from.
    pub(crate) news_from: NewsOrigin,
    /// Counts this instance's answers from the store.
    pub(crate) serial: u32,
    /// Epoch of the store's history in its last answer to this instance.
    pub(crate) store_epoch: Option<u64>,
    /// When the store was last called.
    pub(crate) called_at: ClockTime,
    /// When peers are asked for a newer confirmation; none after the second time.
    pub(crate) doubt_at: Option<ClockTime>,
    /// When peers count as handing over no more rows.
    pub(crate) stalled_at: ClockTime,
    /// When an instance that has heard of no other counts as the only one.
    pub(crate) isolated_at: ClockTime,
    /// Items of the store that can't be understood.
    pub(crate) refused: RefusedTable,
    /// Why the list must be read whole; none while changes will do.
    pub(crate) copy_reason: Option<ReadReason>,
    /// A seed was heard of that starts at the same time.
    pub(crate) is_together: bool,
    /// From when on the next message to others tells all that a heartbeat can.
    pub(crate) whole_at: ClockTime,
    /// When the next heartbeat is due at the latest.
    pub(crate) beat_at: ClockTime,
    /// When an unheard data centre is asked again.
    pub(crate) unheard_at: ClockTime,
    /// When seeds are asked next, while no list is known.
    pub(crate) ask_at: ClockTime,
    /// When a first list is read from the store.
    pub(crate) start_at: ClockTime,
    /// What is to be done.
    pub(crate) effects: Vec<FleetEffect>,
}

impl FleetMember {
    /// Makes a member that knows nothing; its first questions are due at once.
    pub fn new(options: MemberOptions, now: ClockTime) -> FleetMember {
        let card = PeerCard {
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
            card,
            rng,
            list: FleetList::new(),
            held: None,
            config_pull: None,
            held_version: None,
            preview: ListPreview::default(),
            peers: PeerTable::new(options.data_centre.as_str()),
            pull: None,
            pull_at: None,
            served: HashMap::new(),
            evidence: EvidenceTable::default(),
            round_at: None,
            load: options.tells_load.then(|| LoadTeller::new(now, &options)),
            pages_paid_at: now,
            free_at: now,
            confirmed_at: None,
            told_at: ClockTime::ZERO,
            news_from: NewsOrigin::Near,
            serial: 0,
            store_epoch: None,
            called_at: now,
            doubt_at: None,
            stalled_at: now,
            isolated_at: now.after_millis(isolated_ms),
            refused: RefusedTable::default(),
            copy_reason: None,
            is_together: false,
            whole_at: now,
            beat_at: now.after_millis(BEAT_MS),
            unheard_at: now,
            ask_at: now,
            start_at: now.after_millis(wait),
            effects: Vec::new(),
            options,
        }
    }

    /// True when all routes are known, by the list or as they were before the store lost them.
    fn knows_routes(&self) -> bool {
        self.list.has_routes() || self.holds_config()
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
    pub fn is_reading(&self) -> bool {
        self.election.is_reading()
    }

    /// Number of known instances, this one not counted.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Other instances of the own data centre, those that fell silent lately included.
    pub fn neighbours(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        self.peers.neighbours(now)
    }

    /// Items of the store that can't be understood, as far as this instance reads it.
    pub fn refused_items(&self) -> impl Iterator<Item = &RefusedItem> {
        self.refused.items()
    }

    /// What is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<FleetEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes other seeds, as the settings changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.options.seeds = seeds;
    }

    /// When [`FleetMember::on_time`] is due next.
    pub fn next_at(&self, now: ClockTime) -> ClockTime {
        let mut next = self.beat_at;
        if !self.knows_routes() {
            next = next.min(self.ask_at);
        }
        if let Some(pull) = &self.pull {
            next = next.min(pull.retry_at);
        }
        if let Some((at, _)) = self.pull_at {
            next = next.min(at);
        }
        if let Some(at) = self.election.call_at() {
            next = next.min(at);
        }
        if let Some(at) = self.round_at {
            next = next.min(at);
        }
        if self.card.is_leaving {
            return next;
        }
        if let Some(at) = self.doubt_at {
            next = next.min(at);
        }
        if let Some(at) = self.load.as_ref().and_then(|load| load.due_at(now)) {
            next = next.min(at);
        }
        if self.list.head() == 0 && !self.election.is_waiting() {
            next = next.min(self.start_at);
        }
        if self.list.head() > 0 && !self.election.is_reading() {
            next = next.min(self.read_at(now));
        }
        next
    }

    /// Does what is due.
    pub fn on_time(&mut self, now: ClockTime) {
        if !self.knows_routes() && self.ask_at.is_past(now) {
            let wait = if self.preview.is_known() { ASK_REST_MS } else { ASK_MS };
            self.ask_at = now.after_millis(wait);
            self.ask_seeds(now);
        }
        self.begin_waiting_pull(now);
        self.retry_pull(now);
        self.ask_in_doubt(now);
        self.consider_reading(now);
        self.tell_evidence(now);
        self.tell_load(now);
        if self.beat_at.is_past(now) {
            self.beat(now);
        }
    }

    /// Takes a datagram of another instance; false when it isn't a message.
    pub fn on_datagram(&mut self, now: ClockTime, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let Some(message) = FleetMessage::from_datagram(bytes) else { return false };
        match message.body {
            Some(MessageBody::Beat(beat)) => self.take_beat(now, from, beat),
            Some(MessageBody::Pull(pull)) => self.answer_pull(now, from, &pull),
            Some(MessageBody::Page(page)) => self.take_page(now, page),
            Some(MessageBody::Evidence(evidence)) => self.take_evidence(now, &evidence),
            Some(MessageBody::TokenQuestion(question)) => {
                self.answer_tokens(now, from, &question);
            }
            Some(MessageBody::TokenAnswer(answer)) => self.take_vanished(now, answer),
            Some(MessageBody::ConfigQuestion(question)) => self.answer_config(from, &question),
            Some(MessageBody::ConfigPage(page)) => self.take_config_page(now, from, page),
            Some(MessageBody::Load(load)) => self.take_load(now, from, load),
            Some(MessageBody::Packet(packet)) => {
                self.effects.push(FleetEffect::Packet(packet.bytes));
            }
            None => return false,
        }
        true
    }

    /// Takes the store's answer to a [`FleetEffect::Read`].
    pub fn on_reading(
        &mut self,
        now: ClockTime,
        order: ReadOrder,
        answer: Result<ListReading, SourceError>,
    ) {
        match answer {
            Ok(reading) => self.take_reading(now, order, reading),
            Err(error) => self.take_failure(now, &error),
        }
        self.consider_reading(now);
    }

    /// Tells others that this instance stops, and reads the store no more.
    pub fn leave(&mut self, now: ClockTime) {
        self.card.is_leaving = true;
        self.election.end();
        let all = self.peers.all();
        self.send_beats(now, self.list.head(), all, Vec::new());
    }

    pub(crate) fn confirmed_ms(&self, now: ClockTime) -> Option<u64> {
        Some(now.since(self.confirmed_at?).as_millis() as u64)
    }
}
