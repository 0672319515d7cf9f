//! The engine: its state, and what comes in from outside.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::{FlowTraits, FlowTreatment, RuleList, ServiceSpec, TargetSpec},
    names::ServiceName,
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
    desks::{DeskSet, changed_services, drain_changes, probed_desks, shard_count, shard_targets},
    effects::{EngineEffect, EnginePhase},
    explain::{ExplainQuery, FlowExplanation},
    forwards::{ForwardTable, SilentHomes},
    home::HomeWork,
    journal::FlowJournal,
    ledger::RunLedger,
    options::EngineOptions,
    packets::reply_to,
    placement::{DeskKey, HomePlacement, placement_of, shard_of},
    status::{DeskEntry, EngineStatus},
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
            desks: DeskSet::new(options.desk.clone(), &options.policy, seed),
            probed: BTreeSet::new(),
            owners: HashMap::new(),
            ledger: RunLedger::new(options.ledger_limit),
            works: HashMap::new(),
            open_requests: 0,
            next_unknown_audit: ClockTime::ZERO,
            dispatches: HashMap::new(),
            last_work: 0,
            forwards: ForwardTable::new(options.forward_limit),
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
            PacketKind::Unspecified | PacketKind::TicketGrant | PacketKind::Probe => {
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

    /// Takes a newly accepted list into force.
    pub fn on_list(&mut self, now: ClockTime, list: Arc<RuleList>) -> Vec<EngineEffect> {
        let is_newer = list.version.revision > self.list.version.revision;
        if !is_newer && self.options.trial.refuse_stale_lists {
            return Vec::new();
        }
        let changed = changed_services(&self.list, &list);
        for change in drain_changes(&self.list, &list, &changed) {
            self.out.push(EngineEffect::Audit(change));
        }
        let ring = KeyRing::from_keys(&list.keys);
        self.audit_keys(&ring, list.version.revision);
        self.ring = ring;
        self.index = RuleIndex::new(list.clone());
        let old = std::mem::replace(&mut self.list, list);
        for name in &changed {
            self.refresh_owners(name, &old);
            self.refresh_service(now, name);
        }
        self.drop_idle_desks();
        self.take_effects()
    }

    /// Takes a new view of the instances into force.
    pub fn on_view(&mut self, now: ClockTime, view: Arc<PeerView>) -> Vec<EngineEffect> {
        self.view = view;
        let list = self.list.clone();
        self.probed.clear();
        for service in list.services.values() {
            self.refresh_probed(now, service);
        }
        self.drop_idle_desks();
        self.take_effects()
    }

    /// Sets where the process stands in its life.
    pub fn set_phase(&mut self, _now: ClockTime, phase: EnginePhase) {
        self.phase = phase;
    }

    /// Requests, tickets and forwardings that a planned stop has to wait for.
    pub fn unfinished(&self, now: ClockTime) -> usize {
        let tickets = usize::from(!self.tickets_until.is_past(now));
        self.open_requests + tickets + self.forwards.len()
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

    /// Why a flow is treated as it is.
    pub fn explain(&self, query: &ExplainQuery) -> FlowExplanation {
        let mut explanation = FlowExplanation {
            revision: self.list.version.revision,
            flow_events: self.journal.read(query.flow),
            ..FlowExplanation::default()
        };
        let traits = FlowTraits {
            address: &query.address,
            member: &query.member,
            data_centre: &self.me.data_centre,
            kind: query.kind,
        };
        self.explain_rule(&traits, query.flow, &mut explanation);
        explanation
    }

    fn explain_rule(&self, traits: &FlowTraits<'_>, flow: u64, explanation: &mut FlowExplanation) {
        let reasons = &mut explanation.reasons;
        if !self.list.members.contains_key(traits.member) {
            reasons.push(format!("member {} is not listed, so the flow is refused", traits.member));
            return;
        }
        let Some(rule) = self.index.decide(traits) else {
            reasons.push("no rule matches, so the flow is refused".to_owned());
            return;
        };
        reasons.push(format!("rule {} is the first that matches", rule.name));
        explanation.rule = Some(rule.name.to_string());
        explanation.treatment = Some(rule.then.clone());
        let FlowTreatment::Serve(treatment) = &rule.then else { return };
        let Some(service) = self.list.services.get(&treatment.service) else { return };

        let shards = shard_count(service, &self.me.data_centre, self.placement.as_ref());
        let key = DeskKey { service: service.name.clone(), shard: shard_of(flow, shards) };
        let ranked = self.placement.ranked(&key, &self.me.name, &self.view);
        explanation.homes = ranked.iter().map(|peer| peer.name.to_string()).collect();
        reasons
            .push(format!("shard {} of {shards} decides the home by rendezvous hash", key.shard));
        explanation.shard = Some(key.shard);
        explanation.targets = self
            .targets_of(&key)
            .iter()
            .map(|target| format!("{}@{}", target.name, target.address))
            .collect();
        let dispatched = explanation.flow_events.iter().rev().find(|e| e.text.contains(" to "));
        explanation.target = dispatched.and_then(|e| e.text.rsplit(' ').next().map(str::to_owned));
    }

    fn audit_keys(&mut self, ring: &KeyRing, revision: u64) {
        let (old, new) = (self.ring.ids(), ring.ids());
        if old == new {
            return;
        }
        let change = AuditChange::new(AuditKind::KeysRotated, "token keys")
            .values(format!("{old:?}"), format!("{new:?}"))
            .because(format!("list {revision}"), "list");
        self.out.push(EngineEffect::Audit(change));
    }

    /// Notes who owns the addresses of a changed service's targets.
    fn refresh_owners(&mut self, name: &ServiceName, old: &RuleList) {
        let former = old.services.get(name).map_or(&[][..], |service| &service.targets);
        for target in former {
            let is_ours =
                self.owners.get(&target.address).is_some_and(|(key, _)| key.service == *name);
            if is_ours {
                self.owners.remove(&target.address);
            }
        }
        let list = self.list.clone();
        let Some(service) = list.services.get(name) else { return };
        for target in &service.targets {
            let key = DeskKey { service: name.clone(), shard: 0 };
            self.owners.insert(target.address, (key, Arc::new(target.clone())));
        }
        for shard in 0..shard_count(service, &self.me.data_centre, self.placement.as_ref()) {
            let key = DeskKey { service: name.clone(), shard };
            for target in self.targets_of(&key) {
                self.owners.insert(target.address, (key.clone(), target));
            }
        }
    }

    /// Brings the desks of a changed service up to date.
    fn refresh_service(&mut self, now: ClockTime, name: &ServiceName) {
        self.probed.retain(|key| key.service != *name);
        if let Some(service) = self.list.clone().services.get(name) {
            self.refresh_probed(now, service);
        }
        for key in self.desks.keys_of(name) {
            let targets = self.targets_of(&key);
            let queue_limit = self.queue_limit_of(&key);
            let Some(desk) = self.desks.find(&key) else { continue };
            desk.set_queue_limit(queue_limit);
            let effects = desk.set_targets(now, targets);
            self.carry_out(now, &key, effects);
        }
    }

    /// Makes the desks of a service that this instance has to keep warm.
    fn refresh_probed(&mut self, now: ClockTime, service: &ServiceSpec) {
        let keys = probed_desks(
            service,
            &self.view,
            &self.me.name,
            &self.me.data_centre,
            self.placement.as_ref(),
        );
        for key in keys {
            self.obtain_desk(now, &key);
            self.probed.insert(key);
        }
    }

    fn drop_idle_desks(&mut self) {
        let probed = &self.probed;
        self.desks.drop_idle(|key| probed.contains(key));
    }

    /// Makes sure the desk exists.
    pub(crate) fn obtain_desk(&mut self, now: ClockTime, key: &DeskKey) {
        let targets = self.targets_of(key);
        let queue_limit = self.queue_limit_of(key);
        let (_, effects) = self.desks.obtain(now, key, || targets, queue_limit);
        self.carry_out(now, key, effects);
    }

    pub(crate) fn targets_of(&self, key: &DeskKey) -> Vec<Arc<TargetSpec>> {
        let Some(service) = self.list.services.get(&key.service) else { return Vec::new() };
        shard_targets(service, &self.me.data_centre, key.shard, self.placement.as_ref())
    }

    fn queue_limit_of(&self, key: &DeskKey) -> u32 {
        self.list.services.get(&key.service).map_or(0, |service| service.queue_limit)
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
        Some(work)
    }

    /// Puts a request into the audit trail whose caller was told that nobody knows.
    ///
    /// At most one each [`UNKNOWN_AUDIT_GAP`]: a flood of packets with withdrawn
    /// tickets would otherwise push every other change out of the bounded trail.
    fn audit_unknown(&mut self, now: ClockTime, packet: &Packet, text: &str) {
        if !self.next_unknown_audit.is_past(now) {
            return;
        }
        self.next_unknown_audit = now.after(UNKNOWN_AUDIT_GAP);
        let subject = format!("flow {:016x} request {}", packet.flow, packet.request);
        let change = AuditChange::new(AuditKind::FlowDecided, subject)
            .values("", text)
            .because("may have run", "engine");
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
        let text = format!("refused {:?} {:?}", refusal.outcome(), refusal.reason());
        debug!("engine: flow {:016x} request {} {text}", packet.flow, packet.request);
        if refusal.outcome() != RunOutcome::NotRun && !packet.ticket.is_empty() {
            self.audit_unknown(now, packet, &text);
        }
        self.journal.note(now, packet.flow, packet.request, text);
        let mut reply = Packet { refusal: Some(refusal), ..reply_to(packet, PacketKind::Refusal) };
        if reply.encoded_len() > packet.encoded_len() {
            // The sender's address may be forged; an answer larger than the
            // datagram would make instances amplify an attack on it.
            reply.address.clear();
        }
        self.send_data(to, &reply);
    }
}
