//! One instance as a member of the fleet.

use std::{collections::HashMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    FleetList, HealthNote, ItemChange, ListReading, NoteKind, SourceError, list::ListCursor,
    rows::ListRow, source::ReadMode,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    effects::{FleetEffect, FleetEvent, ReadOrder},
    election::{ReaderClaim, ReaderElection},
    messages::{
        BURST, BeatMessage, ClaimMessage, FleetMessage, HeardPeer, LARGEST_MESSAGE, MessageBody,
        NoteMessage, PageMessage, PeerCard, PullMessage,
    },
    options::MemberOptions,
    peers::{PeerChange, PeerTable},
    pulls::{ListPull, PullStep},
};

/// Longest time between two heartbeats, in milliseconds.
const BEAT_MS: u64 = 1_000;
/// Peers of the own data centre that news are passed on to. With three, one
/// epidemic reaches 94 of 100; the next, a second later, the rest.
const NEAR_FANOUT: usize = 3;
/// Peers of each other data centre that a reader tells at first hand.
const FAR_FANOUT: usize = 2;
/// Known instances told with each heartbeat.
const SAMPLE: usize = 4;
/// A confirmation is news if it is newer than the known one by this, in
/// milliseconds; less would pass each on as often as there are readers.
const NEWER_MS: u64 = 300;
/// Bytes of rows in one message, so that the rest of it has room.
const ROW_BUDGET: usize = 900;
/// How long observations of backend servers are repeated, in milliseconds.
const NOTE_MS: u64 = 1_500;
/// Longest time that an answer takes beside what its watch waits, in milliseconds.
const SLOWEST_MS: u64 = 1_000;
/// Instances that are served with rows at a time.
const MOST_SERVED: usize = 3;
/// How long an instance counts as being served after its last question, in milliseconds.
const SERVED_MS: u64 = 120;
/// Shortest wait before another question after one was turned away, in milliseconds.
const BUSY_MS: u64 = 20;
/// Instances that a seed must have heard of for others to leave the first reading to it.
const MANY: u32 = 24;
/// Wait before an instance reads a first list by itself when many start together, in milliseconds, and its spread: the seeds' copies come first.
const TOGETHER_MS: u64 = 150;
const TOGETHER_SPREAD_MS: u64 = 450;
/// Age of the last confirmation at which peers are asked for a newer one, in
/// milliseconds: a reader's period of 1.1 s and some room.
const DOUBT_MS: u64 = 1_250;
/// Time between the two questions, in milliseconds.
const DOUBT_AGAIN_MS: u64 = 250;
/// Readers told with each message.
const MOST_CLAIMS: usize = 3;
/// Most observations in one message.
const MOST_NOTES: usize = 12;
/// Age of the last confirmation at which everything is read in place of changes,
/// in milliseconds.
///
/// A watch brings every list published since, whole: thirty lists of 1,400
/// routes are 10 MB, which take 8 s on a link of 10 Mbit/s.
const FAR_BEHIND_MS: u64 = 4_000;
/// Wait of a watch that only asks whether a list is still the newest, in milliseconds.
const GLANCE_MS: u64 = 20;
/// Wait of an instance named as a seed before it reads at its start, in
/// milliseconds; the second seed waits twice, the third three times as long.
/// A peer that has the list answers within a few milliseconds.
const SEED_START_MS: u64 = 10;
/// Shortest wait of any other instance before it reads at its start, in milliseconds.
const START_MS: u64 = 10;
/// Spread of these waits in milliseconds, so that a fleet that starts at once
/// doesn't read the store at once: the first that have the list serve the others.
const START_SPREAD_MS: u64 = 50;
/// Wait after a first reading that failed, in milliseconds.
const START_RETRY_MS: u64 = 250;
/// Wait for somebody's word that a first list is the newest, in milliseconds.
const UNSURE_MS: u64 = 100;
/// Time between two questions to the seeds while no list is known, in milliseconds.
const ASK_MS: u64 = 100;

/// `FleetMember` is what one instance knows of list and fleet, and what it does about it.
pub struct FleetMember {
    options: MemberOptions,
    card: PeerCard,
    rng: StdRng,
    list: FleetList,
    peers: PeerTable,
    election: ReaderElection,
    pull: Option<ListPull>,
    /// When to ask again, after an instance was busy.
    pull_at: Option<(ClockTime, SocketAddrV4)>,
    /// Instances that are being served with rows, and until when they count.
    served: HashMap<SocketAddrV4, ClockTime>,
    notes: HashMap<u32, HealthNote>,
    confirmed_at: Option<ClockTime>,
    told_at: ClockTime,
    serial: u32,
    called_at: ClockTime,
    /// When peers are asked for a newer confirmation; none after the second time.
    doubt_at: Option<ClockTime>,
    needs_copy: bool,
    /// A seed was heard of that starts at the same time.
    is_together: bool,
    beat_at: ClockTime,
    ask_at: ClockTime,
    start_at: ClockTime,
    effects: Vec<FleetEffect>,
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
        FleetMember {
            election: ReaderElection::new(&card),
            card,
            rng,
            list: FleetList::new(),
            peers: PeerTable::default(),
            pull: None,
            pull_at: None,
            served: HashMap::new(),
            notes: HashMap::new(),
            confirmed_at: None,
            told_at: ClockTime::ZERO,
            serial: 0,
            called_at: now,
            doubt_at: None,
            needs_copy: false,
            is_together: false,
            beat_at: now.after_millis(BEAT_MS),
            ask_at: now,
            start_at: now.after_millis(wait),
            effects: Vec::new(),
            options,
        }
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
        if !self.list.has_routes() {
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
        if self.card.is_leaving {
            return next;
        }
        if let Some(at) = self.doubt_at {
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
        if !self.list.has_routes() && self.ask_at.is_past(now) {
            self.ask_at = now.after_millis(ASK_MS);
            self.ask_seeds(now);
        }
        self.begin_waiting_pull(now);
        self.retry_pull(now);
        self.ask_in_doubt(now);
        self.consider_reading(now);
        if self.beat_at.is_past(now) {
            self.beat(now);
        }
    }

    /// Takes a datagram of another instance; false when it isn't a message.
    pub fn on_datagram(&mut self, now: ClockTime, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let Ok(message) = FleetMessage::decode(bytes) else { return false };
        match message.body {
            Some(MessageBody::Beat(beat)) => self.take_beat(now, from, beat),
            Some(MessageBody::Pull(pull)) => self.answer_pull(now, from, &pull),
            Some(MessageBody::Page(page)) => self.take_page(now, page),
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

    /// Shares what this instance observed of backend servers.
    pub fn share_notes(&mut self, now: ClockTime, notes: &[HealthNote]) {
        if notes.is_empty() {
            return;
        }
        for note in notes {
            let id = self.rng.random();
            self.notes.insert(id, *note);
        }
        self.spread(now, self.list.head(), None);
    }

    /// Tells others that this instance stops, and reads the store no more.
    pub fn leave(&mut self, now: ClockTime) {
        self.card.is_leaving = true;
        self.election.end();
        let all = self.peers.all();
        self.send_beats(now, self.list.head(), all);
    }

    fn take_beat(&mut self, now: ClockTime, from: SocketAddrV4, beat: BeatMessage) {
        self.learn_peers(now, &beat);
        self.learn_claims(now, &beat.claims);
        self.leave_reading_to_seeds(now, from, &beat);
        let has_notes = self.learn_notes(now, &beat);
        let former = self.list.head();
        self.learn_rows(now, from, &beat);
        let is_confirmed = self.confirm();
        if beat.wants_answer || (beat.head < self.list.head() && self.list.head() == former) {
            self.tell(now, from, beat.head);
        }
        let is_newer = self.list.head() > former;
        if is_newer || is_confirmed || has_notes {
            self.spread(now, former, Some(from));
        }
    }

    /// Waits longer before a first reading, once a seed that starts too has answered.
    ///
    /// The whole store is 750 KB at 3,000 backend servers: three hundred instances
    /// that all read it fill the store's link for two seconds. A few read it sooner
    /// than a seed can hand it on.
    fn leave_reading_to_seeds(&mut self, now: ClockTime, from: SocketAddrV4, beat: &BeatMessage) {
        let is_seed = |address: &SocketAddrV4| self.options.seeds.contains(address);
        let is_waiting = self.list.head() == 0 && !self.is_together;
        let are_many = beat.head == 0 && beat.peer_count >= MANY;
        if !is_waiting || !are_many || !is_seed(&from) || is_seed(&self.options.address) {
            return;
        }
        self.is_together = true;
        let spread = self.rng.random_range(0..TOGETHER_SPREAD_MS);
        self.start_at = self.start_at.max(now.after_millis(TOGETHER_MS + spread));
    }

    fn learn_peers(&mut self, now: ClockTime, beat: &BeatMessage) {
        let sender = beat.from.clone().map(|card| HeardPeer {
            card: Some(card),
            age_ms: 0,
            head: beat.head,
        });
        self.learn_peer_list(now, sender.as_slice());
        self.learn_peer_list(now, &beat.peers);
    }

    fn learn_peer_list(&mut self, now: ClockTime, peers: &[HeardPeer]) {
        for peer in peers {
            let Some(card) = &peer.card else { continue };
            if card.address() == Some(self.options.address) {
                continue;
            }
            let heard_at = earlier(now, peer.age_ms);
            let change = self.peers.take(&self.options.data_centre, card, heard_at, peer.head);
            let Some(address) = card.address() else { continue };
            match change {
                PeerChange::None => {}
                PeerChange::Found => self.effects.push(FleetEffect::Event(FleetEvent::PeerFound {
                    peer: address.to_string(),
                    data_centre: card.data_centre.clone(),
                })),
                PeerChange::Left => self.effects.push(FleetEffect::Event(FleetEvent::PeerLost {
                    peer: address.to_string(),
                    age_ms: 0,
                })),
            }
        }
    }

    fn learn_claims(&mut self, now: ClockTime, claims: &[ClaimMessage]) {
        for message in claims {
            let Some(card) = message.card.clone() else { continue };
            if card.address() == Some(self.options.address) {
                continue;
            }
            let at = earlier(now, message.age_ms);
            let claim = ReaderClaim { card, serial: message.serial, at, head: message.head };
            self.election.take_claim(claim);
        }
    }

    fn learn_notes(&mut self, now: ClockTime, beat: &BeatMessage) -> bool {
        let mut is_news = false;
        for message in &beat.notes {
            let Some(kind) = note_kind(message.kind) else { continue };
            let at = earlier(now, message.age_ms);
            if self.notes.contains_key(&message.id) || at.after_millis(NOTE_MS).is_past(now) {
                continue;
            }
            let note = HealthNote { number: message.number, kind, at };
            self.notes.insert(message.id, note);
            self.effects.push(FleetEffect::Note(note));
            is_news = true;
        }
        is_news
    }

    fn learn_rows(&mut self, now: ClockTime, from: SocketAddrV4, beat: &BeatMessage) {
        let known = self.list.head();
        if beat.head <= known {
            return;
        }
        // Rows after nothing hold no copy: the first list is pulled whole.
        let is_whole = known > 0 && beat.base.is_some_and(|base| base <= known);
        if !is_whole {
            return self.begin_pull(now, from);
        }
        let rows = self.list.take_changes(now, beat.rows.clone(), beat.head);
        self.rows_taken(now, rows, known, from.to_string());
    }

    /// Takes the newest claim that confirms the list; true when it is worth passing on.
    fn confirm(&mut self) -> bool {
        let Some(at) = self.election.confirmed_at(self.list.head()) else { return false };
        if self.list.head() == 0 || self.confirmed_at.is_some_and(|known| at <= known) {
            return false;
        }
        self.confirmed_at = Some(at);
        self.doubt_at = Some(at.after_millis(DOUBT_MS));
        self.effects.push(FleetEffect::Confirmed(at));
        self.told_at.after_millis(NEWER_MS).is_past(at)
    }

    /// Asks an instance for what is newer than known here: one nearby that has it, or
    /// else `from`.
    fn begin_pull(&mut self, now: ClockTime, from: SocketAddrV4) {
        if self.pull.is_some() {
            return;
        }
        let near = self.options.data_centre.clone();
        let known = self.list.head();
        let holders = self.peers.holders(&mut self.rng, now, &near, known, 1);
        let holder = holders.first().and_then(|peer| peer.card.as_ref()?.address());
        let from = holder.unwrap_or(from);
        let ticket = self.rng.random();
        let pull = ListPull::new(now, from, ticket, known);
        let question = pull.question();
        self.pull = Some(pull);
        self.send(from, MessageBody::Pull(question));
    }

    /// Asks again after an instance was busy, the same or another.
    fn begin_waiting_pull(&mut self, now: ClockTime) {
        if let Some((_, from)) = self.pull_at.take_if(|(at, _)| at.is_past(now)) {
            self.begin_pull(now, from);
        }
    }

    fn retry_pull(&mut self, now: ClockTime) {
        let Some(mut pull) = self.pull.take() else { return };
        if !pull.retry_at.is_past(now) {
            self.pull = Some(pull);
            return;
        }
        if let PullStep::Ask(question) = pull.retry(now) {
            self.send(pull.from, MessageBody::Pull(question));
            self.pull = Some(pull);
        }
    }

    fn answer_pull(&mut self, now: ClockTime, from: SocketAddrV4, pull: &PullMessage) {
        if !self.admit_pull(now, from) {
            return self.send_busy(now, from, pull.ticket);
        }
        let is_copy = pull.is_copy || pull.revision < self.list.floor();
        let cursor = match pull.is_copy == is_copy {
            true => ListCursor { revision: pull.revision, key: pull.key.as_str().into() },
            false => ListCursor::start(),
        };
        self.send_pages(now, from, pull.ticket, cursor, is_copy);
    }

    /// True while few others are being served.
    ///
    /// When a fleet starts at once, hundreds ask the seeds for a whole copy. Served
    /// all together, none gets it in time; served a few at a time, each of those
    /// serves others a moment later.
    fn admit_pull(&mut self, now: ClockTime, from: SocketAddrV4) -> bool {
        self.served.retain(|_, until| !until.is_past(now));
        if !self.served.contains_key(&from) && self.served.len() >= MOST_SERVED {
            return false;
        }
        self.served.insert(from, now.after_millis(SERVED_MS));
        true
    }

    fn send_busy(&mut self, now: ClockTime, to: SocketAddrV4, ticket: u32) {
        let near = self.options.data_centre.clone();
        let peers = self.peers.holders(&mut self.rng, now, &near, 0, SAMPLE);
        let page = PageMessage { ticket, is_busy: true, peers, ..PageMessage::default() };
        self.send(to, MessageBody::Page(page));
    }

    fn send_pages(
        &mut self,
        now: ClockTime,
        to: SocketAddrV4,
        ticket: u32,
        mut cursor: ListCursor,
        is_copy: bool,
    ) {
        for index in 0..BURST {
            let page = self.list.page(now, &cursor, ROW_BUDGET);
            let message = PageMessage {
                ticket,
                index,
                has_more: page.next.is_some(),
                rows: page.rows,
                is_copy,
                head: self.list.head(),
                floor: self.list.floor(),
                claims: if index == 0 { self.claim_messages(now) } else { Vec::new() },
                is_busy: false,
                peers: Vec::new(),
            };
            self.send(to, MessageBody::Page(message));
            let Some(next) = page.next else {
                self.served.remove(&to);
                return;
            };
            cursor = next;
        }
    }

    fn take_page(&mut self, now: ClockTime, page: PageMessage) {
        let Some(mut pull) = self.pull.take_if(|pull| pull.ticket == page.ticket) else { return };
        let from = pull.from;
        if page.is_busy {
            self.learn_peer_list(now, &page.peers);
            let wait = self.rng.random_range(BUSY_MS..BUSY_MS * 3);
            self.ask_at = self.ask_at.max(now.after_millis(wait));
            self.pull_at = Some((now.after_millis(wait), from));
            return;
        }
        let (head, floor) = (page.head, page.floor);
        self.learn_claims(now, &page.claims);
        match pull.take(now, page) {
            PullStep::Ask(question) => {
                self.send(from, MessageBody::Pull(question));
                self.pull = Some(pull);
            }
            PullStep::Done { rows, is_copy } => {
                let known = self.list.head();
                let taken = match is_copy {
                    true => self.list.take_copy(now, rows, head, floor),
                    false => self.list.take_changes(now, rows, head),
                };
                self.rows_taken(now, taken, known, from.to_string());
                self.confirm();
                if known == 0 {
                    // Others that start at the same time can ask here now.
                    self.spread(now, self.list.head(), None);
                }
            }
            PullStep::Wait => self.pull = Some(pull),
            PullStep::Lost => {}
        }
    }

    fn rows_taken(&mut self, now: ClockTime, rows: Vec<ListRow>, former: u64, source: String) {
        if !rows.is_empty() {
            let event = FleetEvent::ListTaken {
                version: self.list.version(),
                revision: self.list.head(),
                former_revision: former,
                rows: rows.len(),
                source,
                confirmed_age_ms: self.confirmed_ms(now),
            };
            self.effects.push(FleetEffect::Rows(rows));
            self.effects.push(FleetEffect::Event(event));
        }
        self.list.forget_removed(now);
    }

    /// Begins to read when nobody has confirmed the list for too long, and calls when due.
    fn consider_reading(&mut self, now: ClockTime) {
        if self.card.is_leaving {
            return;
        }
        if self.list.head() == 0 {
            return self.read_first(now);
        }
        if !self.election.is_reading() {
            let rank = self.election.rank_among(self.peers.live(now));
            // The first to read after a start may be one with a narrow link.
            let relieves = rank == 0 && self.election.is_wider(now);
            if !relieves && !self.read_at(now).is_past(now) {
                return;
            }
            self.election.begin(now);
            let confirmed_age_ms = self.confirmed_ms(now);
            self.effects
                .push(FleetEffect::Event(FleetEvent::ReadingBegun { confirmed_age_ms, rank }));
        }
        if self.election.call_at().is_some_and(|at| at.is_past(now)) {
            self.election.called();
            self.called_at = now;
            let order = self.next_order(now);
            self.effects.push(FleetEffect::Read(order));
        }
    }

    /// Reads a first list, in the way that is cheap for the store and may be old.
    ///
    /// That doesn't make this instance a reader: whether the list is the newest
    /// is heard from peers.
    fn read_first(&mut self, now: ClockTime) {
        if self.election.is_waiting() || !self.start_at.is_past(now) {
            return;
        }
        self.election.called();
        self.called_at = now;
        self.effects.push(FleetEffect::Read(ReadOrder::All(ReadMode::MaybeOld)));
    }

    /// When this instance begins to read unless it hears of a confirmation before.
    fn read_at(&self, now: ClockTime) -> ClockTime {
        let rank = self.election.rank_among(self.peers.live(now));
        // Others have read what is new and it doesn't get here: they can't help.
        let is_behind = self.election.is_behind(now, self.list.head());
        let patience = if is_behind { 0 } else { ReaderElection::patience_ms(rank) };
        match self.confirmed_at {
            Some(at) => at.after_millis(self.options.takeover_ms + patience),
            None => self.start_at.after_millis(UNSURE_MS + patience),
        }
    }

    fn next_order(&self, now: ClockTime) -> ReadOrder {
        let is_far_behind =
            self.confirmed_at.is_some_and(|at| at.after_millis(FAR_BEHIND_MS).is_past(now));
        if self.needs_copy || is_far_behind {
            return ReadOrder::All(ReadMode::Newest);
        }
        let is_sure = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.watch_ms).is_past(now));
        let wait_ms = if is_sure { self.options.watch_ms } else { GLANCE_MS };
        ReadOrder::Watch { after: self.list.head(), wait_ms }
    }

    fn take_reading(&mut self, now: ClockTime, order: ReadOrder, reading: ListReading) {
        let failures = self.election.succeeded(now);
        if failures > 0 {
            self.effects.push(FleetEffect::Event(FleetEvent::StoreRegained { failures }));
        }
        for item in &reading.items {
            if let ItemChange::Malformed { key, revision, fault } = item {
                self.effects.push(FleetEffect::Event(FleetEvent::ItemRefused {
                    key: key.clone(),
                    revision: *revision,
                    fault: fault.clone(),
                }));
            }
        }
        let former = self.list.head();
        let head = reading.head;
        let (rows, is_newest) = match order {
            ReadOrder::All(mode) => {
                self.needs_copy = false;
                (self.list.take_reading(now, reading), mode == ReadMode::Newest)
            }
            ReadOrder::Watch { .. } => (self.list.take_watch(now, reading), true),
        };
        if is_newest {
            self.claim(now, head);
        }
        self.confirm();
        self.rows_taken(now, rows, former, "store".to_owned());
        if self.confirmed_at.is_none() {
            // A first list: peers' word whether it is the newest is waited for.
            self.start_at = now;
        }
        if self.election.is_reading() && self.election.is_needless(now) {
            let readers = self.election.other_readers(now).count();
            self.election.end();
            self.effects.push(FleetEffect::Event(FleetEvent::ReadingEnded { readers }));
        }
        self.spread_widely(now, former);
    }

    /// Notes that the store has just answered this instance.
    ///
    /// An answer that comes later than any can came before a pause of this
    /// process, nobody knows when; it counts from the call.
    fn claim(&mut self, now: ClockTime, head: u64) {
        self.serial += 1;
        let is_late = self.called_at.after_millis(self.options.watch_ms + SLOWEST_MS).is_past(now);
        let at = if is_late { self.called_at } else { now };
        let card = self.card.clone();
        self.election.take_claim(ReaderClaim { card, serial: self.serial, at, head });
    }

    fn take_failure(&mut self, now: ClockTime, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            self.needs_copy = true;
            self.election.succeeded(now);
            return;
        }
        if self.election.failures() == 0 {
            let confirmed_age_ms = self.confirmed_ms(now);
            let error = error.to_string();
            self.effects
                .push(FleetEffect::Event(FleetEvent::StoreLost { error, confirmed_age_ms }));
        }
        if matches!(error, SourceError::Timeout(_)) && self.list.head() > 0 {
            self.needs_copy = true;
        }
        self.election.failed(now);
        self.start_at = now.after_millis(START_RETRY_MS);
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.takeover_ms).is_past(now));
        if is_confirmed {
            // Others are served while this instance isn't.
            let readers = self.election.other_readers(now).count();
            self.election.end();
            self.effects.push(FleetEffect::Event(FleetEvent::ReadingEnded { readers }));
        }
    }

    /// Asks peers for a newer confirmation than the known one, twice.
    ///
    /// One in twenty instances misses an epidemic. Without the question, those
    /// with good ranks would take the readers for dead every few seconds, and
    /// each time call the store.
    fn ask_in_doubt(&mut self, now: ClockTime) {
        let Some(doubt) = self.doubt_at.filter(|at| at.is_past(now)) else { return };
        let is_first = self.confirmed_at.is_some_and(|at| doubt <= at.after_millis(DOUBT_MS));
        self.doubt_at = is_first.then(|| now.after_millis(DOUBT_AGAIN_MS));
        let near = self.options.data_centre.clone();
        let mut to = self.peers.pick_near(&mut self.rng, &near, 2);
        let far = self.peers.pick_far(&mut self.rng, &near, 1);
        to.extend(far.into_iter().take(1));
        let mut beat = self.beat_message(now, None);
        beat.wants_answer = true;
        for address in to {
            self.send(address, MessageBody::Beat(beat.clone()));
        }
    }

    fn ask_seeds(&mut self, now: ClockTime) {
        let mut beat = self.beat_message(now, None);
        beat.wants_answer = true;
        let mut seeds = self.options.seeds.clone();
        seeds.retain(|seed| *seed != self.options.address);
        for seed in seeds {
            self.send(seed, MessageBody::Beat(beat.clone()));
        }
    }

    /// Sends the heartbeat that is due, and forgets who has been silent.
    fn beat(&mut self, now: ClockTime) {
        self.notes.retain(|_, note| !note.at.after_millis(NOTE_MS).is_past(now));
        for (address, age_ms) in self.peers.forget(now) {
            let peer = address.to_string();
            self.effects.push(FleetEffect::Event(FleetEvent::PeerLost { peer, age_ms }));
        }
        if self.peers.len() == 0 {
            self.ask_seeds(now);
        }
        self.spread(now, self.list.head(), None);
    }

    /// Passes news on to some peers nearby, and now and then to one far away.
    fn spread(&mut self, now: ClockTime, base: u64, but: Option<SocketAddrV4>) {
        let near = self.options.data_centre.clone();
        let mut to = self.peers.pick_near(&mut self.rng, &near, NEAR_FANOUT + 1);
        to.retain(|address| Some(*address) != but);
        to.truncate(NEAR_FANOUT);
        let far = self.peers.pick_far(&mut self.rng, &near, 1);
        // One of the data centre's instances on average tells each other data centre.
        let odds = to.len() as u32 + 1;
        to.extend(far.into_iter().filter(|_| self.rng.random_ratio(1, odds)));
        self.send_beats(now, base, to);
    }

    /// Tells news of the store to peers nearby and in every data centre.
    fn spread_widely(&mut self, now: ClockTime, base: u64) {
        let near = self.options.data_centre.clone();
        let mut to = self.peers.pick_near(&mut self.rng, &near, NEAR_FANOUT);
        to.extend(self.peers.pick_far(&mut self.rng, &near, FAR_FANOUT));
        self.send_beats(now, base, to);
    }

    fn send_beats(&mut self, now: ClockTime, base: u64, to: Vec<SocketAddrV4>) {
        self.beat_at = now.after_millis(BEAT_MS);
        self.told_at = self.confirmed_at.unwrap_or(ClockTime::ZERO);
        let beat = self.beat_message(now, Some(base));
        for address in to {
            self.send(address, MessageBody::Beat(beat.clone()));
        }
    }

    fn tell(&mut self, now: ClockTime, to: SocketAddrV4, base: u64) {
        let mut beat = self.beat_message(now, Some(base));
        beat.peers = self.peers.sample(&mut self.rng, now, SAMPLE * 3);
        self.send(to, MessageBody::Beat(beat));
    }

    fn beat_message(&mut self, now: ClockTime, base: Option<u64>) -> BeatMessage {
        let (base, rows) = self.rows_since(now, base);
        let recent =
            self.notes.iter().filter(|(_, note)| !note.at.after_millis(NOTE_MS).is_past(now));
        BeatMessage {
            from: Some(self.card.clone()),
            head: self.list.head(),
            base,
            rows,
            notes: recent.take(MOST_NOTES).map(|(id, note)| note_message(now, *id, note)).collect(),
            peers: self.peers.sample(&mut self.rng, now, SAMPLE),
            claims: self.claim_messages(now),
            wants_answer: false,
            peer_count: self.peers.len() as u32,
        }
    }

    /// The rows that changed after `base`, if one message holds them.
    fn rows_since(&self, now: ClockTime, base: Option<u64>) -> (Option<u64>, Vec<ListRow>) {
        let Some(base) = base.filter(|base| *base > 0 && *base >= self.list.floor()) else {
            return (None, Vec::new());
        };
        if base >= self.list.head() {
            return (Some(self.list.head()), Vec::new());
        }
        let page = self.list.page(now, &ListCursor::after(base), ROW_BUDGET);
        match page.next {
            None => (Some(base), page.rows),
            Some(_) => (None, Vec::new()),
        }
    }

    fn claim_messages(&self, now: ClockTime) -> Vec<ClaimMessage> {
        let claims = self.election.claims().iter().take(MOST_CLAIMS);
        let message = |claim: &ReaderClaim| ClaimMessage {
            card: Some(claim.card.clone()),
            serial: claim.serial,
            age_ms: age_ms(now, claim.at),
            head: claim.head,
        };
        claims.map(message).collect()
    }

    fn confirmed_ms(&self, now: ClockTime) -> Option<u64> {
        Some(now.since(self.confirmed_at?).as_millis() as u64)
    }

    fn send(&mut self, to: SocketAddrV4, body: MessageBody) {
        let bytes = FleetMessage { body: Some(body) }.encode_to_vec();
        debug_assert!(bytes.len() <= LARGEST_MESSAGE + ROW_BUDGET);
        self.effects.push(FleetEffect::Send { to, bytes });
    }
}

fn earlier(now: ClockTime, age_ms: u32) -> ClockTime {
    ClockTime::from_micros(now.as_micros().saturating_sub(u64::from(age_ms) * 1_000))
}

/// Age in milliseconds, rounded up: told from hop to hop it mustn't shrink by rounding.
fn age_ms(now: ClockTime, at: ClockTime) -> u32 {
    u32::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn note_kind(code: u32) -> Option<NoteKind> {
    match code {
        1 => Some(NoteKind::Suspect),
        2 => Some(NoteKind::Ejected),
        3 => Some(NoteKind::Alive),
        _ => None,
    }
}

fn note_message(now: ClockTime, id: u32, note: &HealthNote) -> NoteMessage {
    let kind = match note.kind {
        NoteKind::Suspect => 1,
        NoteKind::Ejected => 2,
        NoteKind::Alive => 3,
    };
    NoteMessage { id, number: note.number, kind, age_ms: age_ms(now, note.at) }
}
