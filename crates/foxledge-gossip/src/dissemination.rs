//! Heartbeats: when they are sent, to which instances, and what they contain.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    RetainedConfig,
    list::{ChangeCoverage, ListCursor},
};
use prost::Message;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    effects::{FleetEffect, FleetEvent},
    election::StoreConfirmation,
    fragments::{MAX_SPLIT_BYTES, split_message},
    member::{FleetMember, MAX_HEARTBEAT_INTERVAL_MS},
    messages::{
        ConfirmationMessage, FleetMessage, HeartbeatMessage, MAX_BODY_BYTES, MAX_MESSAGE_BYTES,
        MessageBody,
    },
    packing::{PackedRows, RowPacker},
    peer_selection::SampleSize,
};

/// Average number of heartbeats after which an instance that knows no other of its data centre
/// queries a seed for some. Instances of other data centres alone would bring it most updates too
/// late.
const HEARTBEATS_PER_SEED_QUERY: u32 = 4;
/// Number of known instances from which on an instance isn't sent more of them in responses: with
/// as many, updates reach it by several ways.
const SUFFICIENT_PEERS: u32 = 24;
/// Maximum size of the rows in a heartbeat in bytes, so that its other fields fit too.
pub(crate) const MAX_HEARTBEAT_ROW_BYTES: usize = 900;
/// Age of the last confirmation at which peers are queried for a newer one, in milliseconds: the
/// interval of a reader's calls, 1.1 s, and some margin.
pub(crate) const CONFIRMATION_QUERY_AGE_MS: u64 = 1_250;
/// Number of peers of the same data centre that an update is sent on to. A round of gossip misses a
/// few instances, which the next one reaches.
pub(crate) const SAME_CENTRE_FANOUT: usize = 3;
/// Number of peers of each other data centre to which a reader sends its own updates.
const REMOTE_FANOUT: usize = 2;
/// Interval between the two confirmation queries, in milliseconds.
const CONFIRMATION_QUERY_INTERVAL_MS: u64 = 250;
/// Average number of instances of a large data centre that send an update to each other one.
const REMOTE_SENDERS: u32 = 3;
/// The same for an update that came from another data centre: its instances send it to all others,
/// so this is needed only round a network partition between two data centres.
const REMOTE_FORWARDERS: u32 = 1;
/// Maximum size of a data centre in which one of four instances sends updates to others, which
/// makes the same number of them.
const MAX_SMALL_CENTRE_INSTANCES: u32 = REMOTE_SENDERS * (REMOTE_SENDERS + 1);
/// Maximum number of confirmations in a heartbeat.
pub(crate) const MAX_CONFIRMATIONS: usize = 3;
/// Minimum interval, in milliseconds, between full heartbeats, which name instances and hold the
/// confirmations of all readers. It is a little less than the interval of a reader's calls, whose
/// updates are the usual ones. Sent with every update, those fields would be most of each message.
const FULL_HEARTBEAT_INTERVAL_MS: u64 = 900;

/// `UpdateOrigin` is where the newest update of the list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOrigin {
    /// The same data centre: one of its instances read it from the store.
    SameCentre,
    /// Another data centre.
    RemoteCentre,
}

/// `HeartbeatScope` is what a heartbeat contains besides rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatScope {
    /// The newest confirmation.
    Update,
    /// The confirmations of all readers.
    Response,
    /// Few instances, and the confirmations of all readers.
    FullRemote,
    /// Some instances, and the confirmations of all readers.
    Full,
}

/// `HeartbeatRows` holds the changed rows of a heartbeat, and the revisions from which on they are
/// complete.
#[derive(Default)]
struct HeartbeatRows {
    base: Option<u64>,
    /// The same if some changes in between are unknown.
    gap_base: Option<u64>,
    rows: Option<PackedRows>,
}

impl FleetMember {
    /// Queries peers for a newer confirmation than the known one, twice.
    ///
    /// Gossip misses one instance in twenty. Without this query, instances with good ranks would
    /// take the readers for dead every few seconds, and call the store each time.
    pub(crate) fn query_confirmation(&mut self, now: ClockTime) {
        let Some(query_at) = self.next_confirmation_query_at.filter(|at| at.is_past(now)) else {
            return;
        };
        let is_first = self
            .confirmed_at
            .is_some_and(|at| query_at <= at.after_millis(CONFIRMATION_QUERY_AGE_MS));
        self.next_confirmation_query_at =
            is_first.then(|| now.after_millis(CONFIRMATION_QUERY_INTERVAL_MS));
        let mut peers = self.peers.pick_same_centre(&mut self.rng, now, 2);
        let remote = self.peers.pick_remote(&mut self.rng, 1);
        peers.extend(remote.into_iter().take(1));
        let mut heartbeat = self.heartbeat_message(now, None, HeartbeatScope::Update);
        heartbeat.wants_response = true;
        for address in peers {
            self.send_message(address, MessageBody::Heartbeat(heartbeat.clone()));
        }
    }

    /// Queries a seed, as no list or no peer is known. A seed queries all other seeds.
    ///
    /// When a fleet starts at once, a seed responds to a hundred instances before it gets to
    /// anything else, including its own list; queried by all others together, it needs three times
    /// as long. A dead seed costs the instances that query it one interval.
    pub(crate) fn query_seeds(&mut self, now: ClockTime) {
        let own_address = self.options.address;
        let mut seeds = self.options.seeds.clone();
        if !seeds.contains(&own_address) {
            seeds = seeds.choose(&mut self.rng).copied().into_iter().collect();
        }
        let mut heartbeat = self.heartbeat_message(now, None, HeartbeatScope::Full);
        heartbeat.wants_response = true;
        for seed in seeds.into_iter().filter(|seed| *seed != own_address) {
            self.send_message(seed, MessageBody::Heartbeat(heartbeat.clone()));
        }
    }

    /// Sends a heartbeat that is due, and removes peers and evidence that have expired.
    pub(crate) fn send_periodic_heartbeat(&mut self, now: ClockTime) {
        self.evidence.remove_expired(now);
        self.remove_lost_messages(now);
        for loss in self.peers.remove_lost(now) {
            self.remove_lost_peer_load(&loss);
            self.effects.push(FleetEffect::LogEvent(FleetEvent::from_loss(loss)));
        }
        if self.peers.len() == 0
            || self.is_alone_in_centre(now) && self.rng.random_ratio(1, HEARTBEATS_PER_SEED_QUERY)
        {
            self.query_seeds(now);
        }
        self.disseminate(now, self.list.head(), None);
    }

    /// Removes messages whose missing fragments are lost.
    fn remove_lost_messages(&mut self, now: ClockTime) {
        for lost in self.fragments.remove_expired(now) {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::MessageIncomplete {
                peer: lost.from.to_string(),
                received: lost.received,
                fragments: lost.count,
            }));
        }
    }

    /// Returns true if no other instance of the same data centre is known: there may be none, or
    /// the seeds that were queried at the start knew none.
    fn is_alone_in_centre(&self, now: ClockTime) -> bool {
        self.peers.count_same_centre(now) == 0
    }

    /// Sends updates to some instances of the same data centre except `excluded`, and sometimes to
    /// remote ones.
    pub(crate) fn disseminate(
        &mut self,
        now: ClockTime,
        base: u64,
        excluded: Option<SocketAddrV4>,
    ) {
        let mut same_centre =
            self.peers.pick_same_centre(&mut self.rng, now, SAME_CENTRE_FANOUT + 1);
        same_centre.retain(|address| Some(*address) != excluded);
        same_centre.truncate(SAME_CENTRE_FANOUT);
        let remote = self.pick_remote_sometimes(now, self.update_origin);
        self.send_heartbeats(now, base, same_centre, remote);
        self.probe_quiet_peers(now, base);
    }

    /// Probes a quiet instance of the same data centre, and an instance of a quiet data centre; the
    /// probes hold the same updates.
    fn probe_quiet_peers(&mut self, now: ClockTime, base: u64) {
        let same_centre = self.peers.pick_probe_target(&mut self.rng, now);
        let remote = match self.next_centre_query_at.is_past(now) {
            true => self.peers.pick_quiet_centre_peer(&mut self.rng, now),
            false => None,
        };
        if remote.is_some() {
            self.next_centre_query_at = now.after_millis(MAX_HEARTBEAT_INTERVAL_MS);
        }
        let targets: Vec<_> = same_centre.into_iter().chain(remote).collect();
        if targets.is_empty() {
            return;
        }
        let mut heartbeat = self.heartbeat_message(now, Some(base), HeartbeatScope::Update);
        heartbeat.wants_response = true;
        for address in targets {
            self.send_message(address, MessageBody::Heartbeat(heartbeat.clone()));
        }
    }

    /// Returns an instance of each other data centre, or none, at random.
    ///
    /// On average, one instance of a small data centre, or one in four of them, sends an update to
    /// each other one. Of a large data centre [`REMOTE_SENDERS`] instances do, or
    /// [`REMOTE_FORWARDERS`] if the update came from another data centre itself.
    pub(crate) fn pick_remote_sometimes(
        &mut self,
        now: ClockTime,
        origin: UpdateOrigin,
    ) -> Vec<SocketAddrV4> {
        let instances = self.peers.count_same_centre(now) as u32 + 1;
        let (senders, out_of) = match (instances, origin) {
            (0..=MAX_SMALL_CENTRE_INSTANCES, _) => (1, instances.min(REMOTE_SENDERS + 1)),
            (_, UpdateOrigin::SameCentre) => (REMOTE_SENDERS, instances),
            (_, UpdateOrigin::RemoteCentre) => (REMOTE_FORWARDERS, instances),
        };
        if !self.rng.random_ratio(senders, out_of) {
            return Vec::new();
        }
        self.peers.pick_remote(&mut self.rng, 1)
    }

    /// Sends updates from the store to instances of the same data centre and of every other one.
    pub(crate) fn disseminate_widely(&mut self, now: ClockTime, base: u64) {
        let same_centre = self.peers.pick_same_centre(&mut self.rng, now, SAME_CENTRE_FANOUT);
        let remote = self.peers.pick_remote(&mut self.rng, REMOTE_FANOUT);
        self.send_heartbeats(now, base, same_centre, remote);
    }

    /// Sends heartbeats with the rows after `base` to instances of the same data centre and of
    /// others.
    pub(crate) fn send_heartbeats(
        &mut self,
        now: ClockTime,
        base: u64,
        same_centre: Vec<SocketAddrV4>,
        remote: Vec<SocketAddrV4>,
    ) {
        self.announced_confirmation_at = self.confirmed_at.unwrap_or(ClockTime::ZERO);
        let is_full = self.next_full_heartbeat_at.is_past(now);
        if is_full {
            self.next_heartbeat_at = now.after_millis(MAX_HEARTBEAT_INTERVAL_MS);
            self.next_full_heartbeat_at = now.after_millis(FULL_HEARTBEAT_INTERVAL_MS);
        }
        let (same_centre_scope, remote_scope) = match is_full {
            true => (HeartbeatScope::Full, HeartbeatScope::FullRemote),
            false => (HeartbeatScope::Update, HeartbeatScope::Update),
        };
        self.send_heartbeat(now, base, same_centre_scope, same_centre);
        self.send_heartbeat(now, base, remote_scope, remote);
    }

    fn send_heartbeat(
        &mut self,
        now: ClockTime,
        base: u64,
        scope: HeartbeatScope,
        peers: Vec<SocketAddrV4>,
    ) {
        if peers.is_empty() {
            return;
        }
        let heartbeat = self.heartbeat_message(now, Some(base), scope);
        for address in peers {
            self.send_message(address, MessageBody::Heartbeat(heartbeat.clone()));
        }
    }

    /// Responds to an instance that asked for a heartbeat, or whose heartbeat was outdated. The
    /// response names instances to one that knows few.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        now: ClockTime,
        to: SocketAddrV4,
        received: &HeartbeatMessage,
    ) {
        let mut response =
            self.heartbeat_message(now, Some(received.head), HeartbeatScope::Response);
        if response.rows.is_none() && received.peer_count < SUFFICIENT_PEERS {
            let centre = received.sender.as_ref().map_or("", |sender| sender.data_centre.as_str());
            response.peers =
                self.peers.sample_entries(&mut self.rng, now, centre, SampleSize::RESPONSE);
        }
        self.send_message(to, MessageBody::Heartbeat(response));
    }

    /// Creates a heartbeat; if `base` is given, with the rows that changed after it.
    fn heartbeat_message(
        &mut self,
        now: ClockTime,
        base: Option<u64>,
        scope: HeartbeatScope,
    ) -> HeartbeatMessage {
        let (sample_size, max_confirmations) = match scope {
            HeartbeatScope::Update => (SampleSize::NONE, 1),
            HeartbeatScope::Response => (SampleSize::NONE, MAX_CONFIRMATIONS),
            HeartbeatScope::FullRemote => (SampleSize::REMOTE_HEARTBEAT, MAX_CONFIRMATIONS),
            HeartbeatScope::Full => (SampleSize::FULL_HEARTBEAT, MAX_CONFIRMATIONS),
        };
        let changes = self.rows_since(now, base);
        let mut heartbeat = HeartbeatMessage {
            sender: Some(self.descriptor.clone()),
            head: self.list.head(),
            base: changes.base,
            gap_base: changes.gap_base,
            rows: changes.rows,
            peers: self.peers.sample_entries(
                &mut self.rng,
                now,
                &self.options.data_centre,
                sample_size,
            ),
            confirmations: self.confirmation_messages(now, max_confirmations),
            wants_response: false,
            peer_count: self.peers.len() as u32,
            is_from_remote_centre: self.update_origin == UpdateOrigin::RemoteCentre,
            retained_version: self.retained_config.as_ref().map_or(0, RetainedConfig::version),
        };
        // Rows take precedence: missing rows have to be requested, while instances are named by
        // other heartbeats too.
        while heartbeat.encoded_len() > MAX_BODY_BYTES && heartbeat.peers.pop().is_some() {}
        heartbeat
    }

    /// Returns the rows that changed after `base`, if one message holds them.
    fn rows_since(&self, now: ClockTime, base: Option<u64>) -> HeartbeatRows {
        let Some(base) = base.filter(|base| *base > 0) else { return HeartbeatRows::default() };
        let coverage = self.list.coverage_since(base);
        if coverage == ChangeCoverage::Unavailable {
            return HeartbeatRows::default();
        }
        if base >= self.list.head() {
            return HeartbeatRows { base: Some(self.list.head()), ..HeartbeatRows::default() };
        }
        match (
            self.pack_page(now, &ListCursor::after_revision(base), MAX_HEARTBEAT_ROW_BYTES),
            coverage,
        ) {
            ((_, Some(_)), _) => HeartbeatRows::default(),
            // A single row may exceed the size. Those that lack it request it, so that it isn't sent
            // to others again and again.
            ((rows, None), _) if rows.encoded_len() > MAX_HEARTBEAT_ROW_BYTES => {
                HeartbeatRows::default()
            }
            // Only a page says that the gap ends after the head.
            (_, ChangeCoverage::AcrossGap) if self.list.is_uneven() => HeartbeatRows::default(),
            ((rows, None), ChangeCoverage::AcrossGap) => {
                HeartbeatRows { base: None, gap_base: Some(base), rows: Some(rows) }
            }
            ((rows, None), _) => {
                HeartbeatRows { base: Some(base), gap_base: None, rows: Some(rows) }
            }
        }
    }

    /// Packs rows after a cursor; returns them with the cursor of the next page, if there is one.
    pub(crate) fn pack_page(
        &self,
        now: ClockTime,
        cursor: &ListCursor,
        max_bytes: usize,
    ) -> (PackedRows, Option<ListCursor>) {
        let mut packer = RowPacker::default();
        let page = self.list.page_with_size(now, cursor, max_bytes, |row| packer.push(row));
        (packer.finish(page.rows.len()), page.next)
    }

    /// Returns the newest confirmations as messages, up to `limit` of them, the newest first.
    pub(crate) fn confirmation_messages(
        &self,
        now: ClockTime,
        limit: usize,
    ) -> Vec<ConfirmationMessage> {
        let confirmations = self.election.confirmations().iter().take(limit);
        let message = |confirmation: &StoreConfirmation| ConfirmationMessage {
            reader: Some(confirmation.reader.clone()),
            serial: confirmation.serial,
            age_ms: age_ms(now, confirmation.confirmed_at),
            head: confirmation.head,
        };
        confirmations.map(message).collect()
    }

    /// Sends a message, in fragments if it exceeds a datagram.
    pub(crate) fn send_message(&mut self, to: SocketAddrV4, body: MessageBody) {
        let message = FleetMessage { body: Some(body) };
        let bytes = message.to_datagram();
        if bytes.len() <= MAX_MESSAGE_BYTES {
            return self.effects.push(FleetEffect::SendDatagram { to, bytes });
        }
        if bytes.len() > MAX_SPLIT_BYTES {
            let event = FleetEvent::MessageTooLong { peer: to.to_string(), bytes: bytes.len() };
            return self.effects.push(FleetEffect::LogEvent(event));
        }
        for fragment in split_message(&message, self.rng.random()) {
            let fragment = FleetMessage { body: Some(MessageBody::Fragment(fragment)) };
            let bytes = fragment.to_datagram();
            debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
            self.effects.push(FleetEffect::SendDatagram { to, bytes });
        }
    }
}

/// Returns an age in milliseconds, rounded up: passed on from hop to hop, it must not shrink by
/// rounding.
pub(crate) fn age_ms(now: ClockTime, at: ClockTime) -> u32 {
    u32::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
