//! The engine: its state, and what comes in from outside.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::{RuleList, TargetSpec},
    peers::{PeerInfo, PeerView},
    time::ClockTime,
};
use foxledge_rules::RuleIndex;
use foxledge_seal::{
    KeyRing,
    seals::{open_datagram, seal_datagram},
};
use foxledge_wire::{
    decode_packet, encode_packet,
    flow::{Packet, PacketKind, PeerDatagram, Refusal, RunOutcome, peer_datagram::Body},
};
use log::debug;
use prost::Message;
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    counters::EngineCounters,
    desks::DeskSet,
    effects::{EngineEffect, EnginePhase},
    forwards::{ForwardTable, SilentHomes},
    journal::{FlowEvent, FlowJournal},
    ledger::{RequestKey, RunLedger},
    options::{EngineOptions, FEED_CHECK, RUN_CHECK},
    packets::reply_to,
    placement::{DeskKey, HomePlacement, placement_of},
    status::{DeskEntry, EngineStatus},
    work::HomeWork,
};

/// Shortest time between two audit entries about requests left unknown.
const UNKNOWN_AUDIT_GAP: Duration = Duration::from_millis(100);
/// Flows that the journal keeps.
const JOURNAL_FLOWS: usize = 2_000;

/// `FlowEngine` is the decisions of one instance.
pub struct FlowEngine {
    pub(crate) options: EngineOptions,
    pub(crate) me: PeerInfo,
    pub(crate) phase: EnginePhase,
    pub(crate) list: Arc<RuleList>,
    pub(crate) index: RuleIndex,
    pub(crate) view: Arc<PeerView>,
    pub(crate) ring: KeyRing,
    pub(crate) placement: Box<dyn HomePlacement>,
    pub(crate) desks: DeskSet,
    /// Desks whose targets this instance probes.
    pub(crate) probed: BTreeSet<DeskKey>,
    /// Published targets by address: who owns it now.
    pub(crate) owners: HashMap<SocketAddr, (DeskKey, Arc<TargetSpec>)>,
    pub(crate) ledger: RunLedger,
    pub(crate) works: HashMap<u64, HomeWork>,
    /// Works that are no feeds; a planned stop waits for them.
    pub(crate) open_requests: usize,
    /// Feeds that wait for a place or for their target's word.
    pub(crate) opening_feeds: usize,
    /// No refusal that leaves a request unknown goes into the audit trail before.
    pub(crate) next_unknown_audit: ClockTime,
    /// Work ids by dispatch.
    pub(crate) dispatches: HashMap<u64, u64>,
    pub(crate) last_work: u64,
    pub(crate) forwards: ForwardTable,
    pub(crate) silent: SilentHomes,
    /// Start deadline of the newest ticket issued here.
    pub(crate) tickets_until: ClockTime,
    pub(crate) journal: FlowJournal,
    pub(crate) counters: EngineCounters,
    pub(crate) rng: StdRng,
    pub(crate) out: Vec<EngineEffect>,
}

impl FlowEngine {
    /// Makes the engine of instance `me`; the seed draws ticket and dispatch numbers.
    pub fn new(options: EngineOptions, me: PeerInfo, seed: u64) -> FlowEngine {
        FlowEngine {
            phase: EnginePhase::Joining,
            list: Arc::default(),
            index: RuleIndex::new(Arc::default()),
            view: Arc::default(),
            ring: KeyRing::default(),
            placement: placement_of(options.placement),
            // Every desk may ask about accepted work, as the engine sends CHECK for it.
            desks: DeskSet::new(
                options
                    .scheduler
                    .clone()
                    .request_check_interval(RUN_CHECK)
                    .feed_check_interval(FEED_CHECK),
                &options.policy,
                seed,
            ),
            probed: BTreeSet::new(),
            owners: HashMap::new(),
            ledger: RunLedger::new(options.max_ledger_requests),
            works: HashMap::new(),
            open_requests: 0,
            opening_feeds: 0,
            next_unknown_audit: ClockTime::ZERO,
            dispatches: HashMap::new(),
            last_work: 0,
            forwards: ForwardTable::new(options.max_pending_forwards),
            silent: SilentHomes::default(),
            tickets_until: ClockTime::ZERO,
            journal: FlowJournal::new(JOURNAL_FLOWS),
            counters: EngineCounters::default(),
            rng: StdRng::seed_from_u64(seed),
            out: Vec::new(),
            options,
            me,
        }
    }

    /// Takes a datagram from a caller or a backend server.
    pub fn on_datagram(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<EngineEffect> {
        self.counters.data_received += 1;
        let Ok(packet) = decode_packet(bytes) else {
            self.counters.malformed += 1;
            return Vec::new();
        };
        match packet.kind() {
            PacketKind::TicketRequest
            | PacketKind::Work
            | PacketKind::Poll
            | PacketKind::Cancel => self.on_caller_packet(now, from, packet),
            PacketKind::ProbeReply => self.on_probe_reply(now, from, &packet),
            PacketKind::Ack
            | PacketKind::Answer
            | PacketKind::Refusal
            | PacketKind::FeedItem
            | PacketKind::Done
            | PacketKind::GoAway => self.on_target_packet(now, from, packet),
            PacketKind::Unspecified
            | PacketKind::TicketGrant
            | PacketKind::Probe
            | PacketKind::Check
            | PacketKind::Resend => {
                self.counters.malformed += 1;
            }
        }
        self.take_effects()
    }

    /// Takes a datagram from another instance.
    pub fn on_peer_datagram(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<EngineEffect> {
        self.counters.peer_received += 1;
        let Ok(datagram) = open_datagram(&self.ring, bytes) else {
            // Without the seal anybody could have instances send datagrams to
            // any "caller address", and could bypass the checks at entry.
            self.counters.peer_unsealed += 1;
            return Vec::new();
        };
        match datagram.body {
            Some(Body::Forward(forward)) => self.on_forward(now, from, forward),
            Some(Body::Ack(ack)) => self.on_forward_ack(ack.forward_id),
            None => self.counters.malformed += 1,
        }
        self.take_effects()
    }

    /// Lets time pass: queues, deadlines, probes.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<EngineEffect> {
        self.retry_forwards(now);
        for key in self.desks.keys() {
            let Some(desk) = self.desks.find(&key) else { continue };
            let effects = desk.on_tick(now);
            self.carry_out(now, &key, effects);
        }
        self.ledger.forget_past(now);
        self.take_effects()
    }

    /// Sets where the process stands in its life.
    pub fn set_phase(&mut self, _now: ClockTime, phase: EnginePhase) {
        self.phase = phase;
    }

    /// Requests, tickets and forwardings that a planned stop has to wait for.
    pub fn unfinished_count(&self, now: ClockTime) -> usize {
        let tickets = usize::from(!self.tickets_until.is_past(now));
        self.open_requests + tickets + self.forwards.len()
    }

    /// True when no deadline of a request, of a feed's opening or of a forwarding runs.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.opening_feeds == 0 && self.forwards.is_empty()
    }

    /// What this instance is.
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// The engine's counters.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// The engine's present state.
    pub fn status(&self, now: ClockTime) -> EngineStatus {
        EngineStatus {
            phase: self.phase,
            version: self.list.version,
            keys: self.ring.ids(),
            ledger_requests: self.ledger.len(),
            open_works: self.works.len(),
            pending_forwards: self.forwards.len(),
            desks: self
                .desks
                .iter()
                .map(|(key, desk)| DeskEntry { key: key.clone(), desk: desk.status(now) })
                .collect(),
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<EngineEffect> {
        std::mem::take(&mut self.out)
    }

    /// Sends a packet from the data socket.
    pub(crate) fn send_data(&mut self, to: SocketAddr, packet: &Packet) {
        self.out.push(EngineEffect::SendData { to, bytes: encode_packet(packet) });
    }

    /// Sends a sealed datagram from the peer socket.
    pub(crate) fn send_peer(&mut self, to: SocketAddr, body: Body) {
        let datagram = PeerDatagram { body: Some(body) };
        if let Ok(bytes) = seal_datagram(&self.ring, &datagram) {
            self.out.push(EngineEffect::SendPeer { to, bytes });
        }
    }

    /// Takes out a work that has ended.
    pub(crate) fn remove_work(&mut self, id: u64) -> Option<HomeWork> {
        let work = self.works.remove(&id)?;
        self.dispatches.remove(&work.dispatch);
        self.open_requests -= usize::from(!work.is_feed());
        self.opening_feeds -= usize::from(work.is_feed() && work.packet.is_some());
        Some(work)
    }

    /// Puts a request into the audit trail whose caller was told that nobody knows.
    ///
    /// At most one each [`UNKNOWN_AUDIT_GAP`]: a flood of packets with withdrawn
    /// tickets would otherwise push every other change out of the bounded trail.
    pub(crate) fn audit_unknown(&mut self, now: ClockTime, key: RequestKey, refusal: &Refusal) {
        if !self.next_unknown_audit.is_past(now) {
            return;
        }
        self.next_unknown_audit = now.after(UNKNOWN_AUDIT_GAP);
        let subject = format!("flow {:016x} request {}", key.flow, key.request);
        let change = AuditChange::new(AuditKind::FlowDecided, subject)
            .with_values("", refusal_text(refusal))
            .with_cause("may have run", "engine");
        self.out.push(EngineEffect::Audit(change));
    }

    /// Sends the final refusal of a request to its caller.
    pub(crate) fn refuse(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
        packet: &Packet,
        refusal: Refusal,
    ) {
        match refusal.outcome() {
            RunOutcome::NotRun => self.counters.refused_not_run += 1,
            _ => self.counters.refused_unknown += 1,
        }
        let text = refusal_text(&refusal);
        debug!("engine: flow {:016x} request {} {text}", packet.flow, packet.request);
        if refusal.outcome() != RunOutcome::NotRun && !packet.ticket.is_empty() {
            self.audit_unknown(now, RequestKey::of(packet), &refusal);
        }
        self.journal.note(packet.flow, FlowEvent::new(now, packet.request, text));
        let mut reply = Packet { refusal: Some(refusal), ..reply_to(packet, PacketKind::Refusal) };
        if reply.encoded_len() > packet.encoded_len() {
            // The sender's address may be forged; an answer larger than the
            // datagram would make instances amplify an attack on it.
            reply.address.clear();
        }
        self.send_data(to, &reply);
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    format!("refused {:?} {:?}", refusal.outcome(), refusal.reason())
}
