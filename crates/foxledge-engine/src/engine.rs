//! The state of the engine and its entry points.

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
    effects::{EngineEffect, EnginePhase},
    forwards::{ForwardTable, UnresponsiveHomes},
    home_work::HomeWork,
    journal::{FlowEvent, FlowJournal},
    ledger::{RequestKey, RequestLedger},
    options::{EngineOptions, FEED_CHECK_INTERVAL, REQUEST_CHECK_INTERVAL},
    packets::reply_to,
    placement::{HomePlacement, ShardKey, new_placement},
    schedulers::SchedulerSet,
    status::{EngineStatus, SchedulerEntry},
};

/// The minimum time between two audit entries about requests with an unknown outcome.
const MIN_UNKNOWN_AUDIT_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of flows in the journal.
const MAX_JOURNAL_FLOWS: usize = 2_000;

/// The routing and admission decisions of one instance.
pub struct FlowEngine {
    pub(crate) options: EngineOptions,
    pub(crate) me: PeerInfo,
    pub(crate) phase: EnginePhase,
    pub(crate) list: Arc<RuleList>,
    pub(crate) rule_index: RuleIndex,
    pub(crate) view: Arc<PeerView>,
    pub(crate) key_ring: KeyRing,
    pub(crate) placement: Box<dyn HomePlacement>,
    pub(crate) schedulers: SchedulerSet,
    /// Shards whose backend servers this instance probes.
    pub(crate) probed_shards: BTreeSet<ShardKey>,
    /// The published backend servers by address, each with the shard that it currently belongs to.
    pub(crate) target_owners: HashMap<SocketAddr, (ShardKey, Arc<TargetSpec>)>,
    pub(crate) ledger: RequestLedger,
    pub(crate) works: HashMap<u64, HomeWork>,
    /// The number of open works other than feeds; a planned stop waits for them.
    pub(crate) open_requests: usize,
    /// The number of feeds that are queued or not yet acknowledged by their backend server.
    pub(crate) opening_feeds: usize,
    /// The earliest time of the next audit entry about a request with an unknown outcome.
    pub(crate) next_unknown_audit_at: ClockTime,
    /// Work ids by dispatch id.
    pub(crate) work_by_dispatch: HashMap<u64, u64>,
    pub(crate) last_work_id: u64,
    pub(crate) forwards: ForwardTable,
    pub(crate) unresponsive_homes: UnresponsiveHomes,
    /// The latest start deadline of all tickets that this process has issued.
    pub(crate) latest_start_deadline: ClockTime,
    pub(crate) journal: FlowJournal,
    pub(crate) counters: EngineCounters,
    pub(crate) rng: StdRng,
    pub(crate) effects: Vec<EngineEffect>,
}

impl FlowEngine {
    /// Creates the engine of instance `me`. The seed determines ticket serials and dispatch ids.
    pub fn new(options: EngineOptions, me: PeerInfo, seed: u64) -> FlowEngine {
        FlowEngine {
            phase: EnginePhase::Joining,
            list: Arc::default(),
            rule_index: RuleIndex::new(Arc::default()),
            view: Arc::default(),
            key_ring: KeyRing::default(),
            placement: new_placement(options.placement),
            // The engine answers the scheduler's check effects by sending CHECK packets, so every
            // scheduler may check accepted work.
            schedulers: SchedulerSet::new(
                options
                    .scheduler
                    .clone()
                    .request_check_interval(REQUEST_CHECK_INTERVAL)
                    .feed_check_interval(FEED_CHECK_INTERVAL),
                &options.policy,
                seed,
            ),
            probed_shards: BTreeSet::new(),
            target_owners: HashMap::new(),
            ledger: RequestLedger::new(options.max_ledger_requests),
            works: HashMap::new(),
            open_requests: 0,
            opening_feeds: 0,
            next_unknown_audit_at: ClockTime::ZERO,
            work_by_dispatch: HashMap::new(),
            last_work_id: 0,
            forwards: ForwardTable::new(options.max_pending_forwards),
            unresponsive_homes: UnresponsiveHomes::default(),
            latest_start_deadline: ClockTime::ZERO,
            journal: FlowJournal::new(MAX_JOURNAL_FLOWS),
            counters: EngineCounters::default(),
            rng: StdRng::seed_from_u64(seed),
            effects: Vec::new(),
            options,
            me,
        }
    }

    /// Handles a datagram from a caller or a backend server.
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
        self.drain_effects()
    }

    /// Handles a datagram from another instance.
    pub fn on_peer_datagram(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Vec<EngineEffect> {
        self.counters.peer_received += 1;
        let Ok(datagram) = open_datagram(&self.key_ring, bytes) else {
            // Without the seal, anyone could make instances send datagrams to an arbitrary "caller
            // address" and bypass the checks of the entry instance.
            self.counters.peer_unsealed += 1;
            return Vec::new();
        };
        match datagram.body {
            Some(Body::Forward(forward)) => self.on_forward(now, from, forward),
            Some(Body::Ack(ack)) => self.on_forward_ack(ack.forward_id),
            None => self.counters.malformed += 1,
        }
        self.drain_effects()
    }

    /// Handles everything that has come due by `now`: forward timeouts, queues, deadlines, probes
    /// and expired ledger entries.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<EngineEffect> {
        self.retry_forwards(now);
        for key in self.schedulers.keys() {
            let Some(scheduler) = self.schedulers.find(&key) else { continue };
            let effects = scheduler.on_tick(now);
            self.apply_scheduler_effects(now, &key, effects);
        }
        self.ledger.remove_expired(now);
        self.drain_effects()
    }

    /// Sets the lifecycle phase of the process.
    pub fn set_phase(&mut self, _now: ClockTime, phase: EnginePhase) {
        self.phase = phase;
    }

    /// Returns the number of open requests and pending forwards that a planned stop has to wait
    /// for, plus one while any issued ticket is still valid.
    pub fn unfinished_count(&self, now: ClockTime) -> usize {
        let tickets = usize::from(!self.latest_start_deadline.is_past(now));
        self.open_requests + tickets + self.forwards.len()
    }

    /// Returns true when no request is open, no feed is being opened and no forward is pending, so
    /// that no deadline has to be checked soon.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.opening_feeds == 0 && self.forwards.is_empty()
    }

    /// Returns the peer record of this instance.
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// Returns the counters of the engine.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// Returns a snapshot of the engine's state for operators.
    pub fn status(&self, now: ClockTime) -> EngineStatus {
        EngineStatus {
            phase: self.phase,
            version: self.list.version,
            keys: self.key_ring.ids(),
            ledger_requests: self.ledger.len(),
            open_works: self.works.len(),
            pending_forwards: self.forwards.len(),
            schedulers: self
                .schedulers
                .iter()
                .map(|(key, scheduler)| SchedulerEntry {
                    key: key.clone(),
                    scheduler: scheduler.status(now),
                })
                .collect(),
        }
    }

    pub(crate) fn drain_effects(&mut self) -> Vec<EngineEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Queues a packet to be sent from the data socket.
    pub(crate) fn send_data(&mut self, to: SocketAddr, packet: &Packet) {
        self.effects.push(EngineEffect::SendData { to, bytes: encode_packet(packet) });
    }

    /// Queues a sealed datagram to be sent from the peer socket. Without a published key, nothing
    /// is sent.
    pub(crate) fn send_peer(&mut self, to: SocketAddr, body: Body) {
        let datagram = PeerDatagram { body: Some(body) };
        if let Ok(bytes) = seal_datagram(&self.key_ring, &datagram) {
            self.effects.push(EngineEffect::SendPeer { to, bytes });
        }
    }

    /// Removes a work that has ended.
    pub(crate) fn remove_work(&mut self, id: u64) -> Option<HomeWork> {
        let work = self.works.remove(&id)?;
        self.work_by_dispatch.remove(&work.dispatch);
        self.open_requests -= usize::from(!work.is_feed());
        self.opening_feeds -= usize::from(work.is_feed() && work.packet.is_some());
        Some(work)
    }

    /// Records in the audit trail that a request was refused with an unknown outcome.
    ///
    /// Writes at most one entry per [`MIN_UNKNOWN_AUDIT_INTERVAL`]: a flood of packets with tickets
    /// under a withdrawn key would otherwise evict all other changes from the bounded trail.
    pub(crate) fn audit_unknown_outcome(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        refusal: &Refusal,
    ) {
        if !self.next_unknown_audit_at.is_past(now) {
            return;
        }
        self.next_unknown_audit_at = now.after(MIN_UNKNOWN_AUDIT_INTERVAL);
        let subject = format!("flow {:016x} request {}", key.flow, key.request);
        let change = AuditChange::new(AuditKind::FlowDecided, subject)
            .with_values("", refusal_description(refusal))
            .with_cause("may have run", "engine");
        self.effects.push(EngineEffect::Audit(change));
    }

    /// Sends the final refusal of a request to its caller.
    pub(crate) fn send_refusal(
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
        let text = refusal_description(&refusal);
        debug!("engine: flow {:016x} request {} {text}", packet.flow, packet.request);
        if refusal.outcome() != RunOutcome::NotRun && !packet.ticket.is_empty() {
            self.audit_unknown_outcome(now, RequestKey::from_packet(packet), &refusal);
        }
        self.journal.record(packet.flow, FlowEvent::new(now, packet.request, text));
        let mut reply = Packet { refusal: Some(refusal), ..reply_to(packet, PacketKind::Refusal) };
        if reply.encoded_len() > packet.encoded_len() {
            // The source address may be forged. A reply larger than the packet would let an
            // attacker use instances to amplify traffic towards a victim.
            reply.address.clear();
        }
        self.send_data(to, &reply);
    }
}

fn refusal_description(refusal: &Refusal) -> String {
    format!("refused {:?} {:?}", refusal.outcome(), refusal.reason())
}
