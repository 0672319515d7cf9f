//! State of one instance as a member of the fleet.

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
    fragments::{FragmentBuffer, InvalidFragment},
    list_pull::ListPull,
    load_reporting::LoadReporter,
    messages::{FleetMessage, MessageBody, PeerDescriptor},
    options::MemberOptions,
    partial_list::PartialList,
    peers::PeerTable,
    refused_items::{RefusedItem, RefusedTable},
};

/// Maximum interval between heartbeats, in milliseconds.
pub(crate) const MAX_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Delay before a seed reads the store at its start, in milliseconds. The second seed waits twice,
/// the third three times as long. A peer that has the list responds within a few milliseconds.
const SEED_READ_DELAY_MS: u64 = 10;
/// Minimum delay before any other instance reads the store at its start, in milliseconds.
const MIN_READ_DELAY_MS: u64 = 10;
/// Maximum jitter added to that delay, in milliseconds, so that the instances of a fleet that
/// starts at once don't all read the store: the first that have the list serve the others. With a
/// longer delay small fleets would serve later.
const READ_DELAY_JITTER_MS: u64 = 50;
/// Time, in milliseconds, for which an instance waits to hear from any other before it confirms its
/// list at the store. Until then each instance of a starting fleet ranks itself first.
const ISOLATION_TIMEOUT_MS: u64 = 500;
/// Maximum jitter added to [`ISOLATION_TIMEOUT_MS`], in milliseconds.
const ISOLATION_JITTER_MS: u64 = 1_000;
/// Interval between queries to the seeds while no list is known, in milliseconds.
const SEED_QUERY_INTERVAL_MS: u64 = 100;
/// The same while a partial list is used: seeds of a large fleet are busier then.
const PARTIAL_SEED_QUERY_INTERVAL_MS: u64 = 300;

/// `FleetMember` holds what one instance knows of the list and the fleet, and decides what it
/// sends, reads and applies.
pub struct FleetMember {
    /// Identity of this instance, and its seeds.
    pub(crate) options: MemberOptions,
    /// Descriptor of this instance that is sent to others.
    pub(crate) descriptor: PeerDescriptor,
    /// Source of random choices.
    pub(crate) rng: StdRng,
    /// The list as far as this instance knows it.
    pub(crate) list: FleetList,
    /// The operators' list that is retained in force while the store has an older version.
    pub(crate) retained_config: Option<RetainedConfig>,
    /// Version of the retained list that was last logged.
    pub(crate) logged_retained_version: Option<u64>,
    /// Transfer of a list that another instance retains.
    pub(crate) config_pull: Option<ConfigPull>,
    /// First part of the list, used until all of it is known.
    pub(crate) partial_list: PartialList,
    /// The known instances.
    pub(crate) peers: PeerTable,
    /// Election of readers, as seen by this instance.
    pub(crate) election: ReaderElection,
    /// The current transfer of rows.
    pub(crate) pull: Option<ListPull>,
    /// Time and peer of the next transfer, after a peer was busy or to wait for one of the same
    /// data centre.
    pub(crate) next_pull: Option<(ClockTime, SocketAddrV4)>,
    /// Peers that are being sent rows, each with the time at which it no longer counts as such.
    pub(crate) served_peers: HashMap<SocketAddrV4, ClockTime>,
    /// Messages of which some fragments have arrived.
    pub(crate) fragments: FragmentBuffer,
    /// Health evidence of backend servers that is disseminated.
    pub(crate) evidence: EvidenceTable,
    /// Time of the next round of evidence; `None` while there is nothing to send.
    pub(crate) next_evidence_round_at: Option<ClockTime>,
    /// Reporter of load; `None` if load isn't reported.
    pub(crate) load_reporter: Option<LoadReporter>,
    /// Time at which the pages sent so far, snapshots included, are covered by the page budget.
    pub(crate) page_budget_free_at: ClockTime,
    /// Time from which the evidence budget allows the next round.
    pub(crate) evidence_budget_free_at: ClockTime,
    /// Time of the last known confirmation of the list by the store.
    pub(crate) confirmed_at: Option<ClockTime>,
    /// The confirmation that was last sent to others.
    pub(crate) announced_confirmation_at: ClockTime,
    /// Data centre that the newest rows or confirmation came from.
    pub(crate) update_origin: UpdateOrigin,
    /// Number of responses of the store to this instance.
    pub(crate) response_serial: u32,
    /// Epoch of the store's history in its last response to this instance.
    pub(crate) store_epoch: Option<u64>,
    /// Time of the last call to the store.
    pub(crate) last_call_at: ClockTime,
    /// Time at which peers are next queried for a newer confirmation; `None` after the second
    /// query.
    pub(crate) next_confirmation_query_at: Option<ClockTime>,
    /// Time from which a transfer of rows from peers counts as stalled, unless more rows arrive.
    pub(crate) transfer_stalled_at: ClockTime,
    /// Time at which a peer responded that the next row is too long for a message, so that only the
    /// store can provide it; `None` once the list has advanced or the store has failed.
    pub(crate) store_needed_since: Option<ClockTime>,
    /// Time from which an instance that has heard from no other assumes that it is the only one.
    pub(crate) isolation_assumed_at: ClockTime,
    /// Items of the store that couldn't be parsed.
    pub(crate) refused_table: RefusedTable,
    /// Reason for which the whole list must be read; `None` while changes suffice.
    pub(crate) full_read_reason: Option<ReadReason>,
    /// A heartbeat of a seed that is starting as well was received.
    pub(crate) has_starting_seed: bool,
    /// Time from which the next heartbeat is a full one.
    pub(crate) next_full_heartbeat_at: ClockTime,
    /// Latest time of the next heartbeat.
    pub(crate) next_heartbeat_at: ClockTime,
    /// Time from which a data centre that went quiet is probed again.
    pub(crate) next_centre_query_at: ClockTime,
    /// Time of the next query to the seeds, while no list is known.
    pub(crate) next_seed_query_at: ClockTime,
    /// Time from which a first list is read from the store, and then from which its confirmation is
    /// awaited.
    pub(crate) first_read_at: ClockTime,
    /// Effects that were not drained yet.
    pub(crate) effects: Vec<FleetEffect>,
}

impl FleetMember {
    /// Creates a member that knows nothing; its first queries are due at once.
    pub fn new(options: MemberOptions, now: ClockTime) -> FleetMember {
        let descriptor = PeerDescriptor {
            ip: u32::from(*options.address.ip()),
            port: u32::from(options.address.port()),
            data_centre: options.data_centre.to_string(),
            incarnation: options.incarnation,
            is_leaving: false,
            link_mbps: options.link_mbps,
        };
        let mut rng = StdRng::seed_from_u64(options.seed);
        let seed_index = options.seeds.iter().position(|seed| *seed == options.address);
        let read_delay_ms = match seed_index {
            Some(seed_index) => SEED_READ_DELAY_MS * (seed_index as u64 + 1),
            None => MIN_READ_DELAY_MS + rng.random_range(0..READ_DELAY_JITTER_MS),
        };
        let has_other_seeds = options.seeds.iter().any(|seed| *seed != options.address);
        let isolation_ms = match seed_index {
            None if has_other_seeds => {
                ISOLATION_TIMEOUT_MS
                    + ReaderRank::from_descriptor(&descriptor).hash_below(ISOLATION_JITTER_MS)
            }
            _ => 0,
        };
        FleetMember {
            election: ReaderElection::new(&descriptor),
            descriptor,
            rng,
            list: FleetList::new(),
            retained_config: None,
            config_pull: None,
            logged_retained_version: None,
            partial_list: PartialList::default(),
            peers: PeerTable::new(options.data_centre.as_str()),
            pull: None,
            next_pull: None,
            served_peers: HashMap::new(),
            fragments: FragmentBuffer::default(),
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
            last_call_at: now,
            next_confirmation_query_at: None,
            transfer_stalled_at: now,
            store_needed_since: None,
            isolation_assumed_at: now.after_millis(isolation_ms),
            refused_table: RefusedTable::default(),
            full_read_reason: None,
            has_starting_seed: false,
            next_full_heartbeat_at: now,
            next_heartbeat_at: now.after_millis(MAX_HEARTBEAT_INTERVAL_MS),
            next_centre_query_at: now,
            next_seed_query_at: now,
            first_read_at: now.after_millis(read_delay_ms),
            effects: Vec::new(),
            options,
        }
    }

    /// Returns true if all routes are known, by the list or by the retained list after the store
    /// lost them.
    fn has_all_routes(&self) -> bool {
        self.list.has_routes() || self.is_retaining_config()
    }

    /// Returns the list as far as this instance knows it.
    pub fn list(&self) -> &FleetList {
        &self.list
    }

    /// Returns the time of the last known confirmation of the list by the store.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// Returns true while this instance reads the store.
    pub fn is_reading_store(&self) -> bool {
        self.election.is_reading()
    }

    /// Returns the number of other instances that are known.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the other instances of the same data centre, including those that stopped responding
    /// recently.
    pub fn recent_neighbours(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        self.peers.neighbours(now)
    }

    /// Returns the items of the store that couldn't be parsed, as far as this instance has read it.
    pub fn refused_items(&self) -> impl Iterator<Item = &RefusedItem> {
        self.refused_table.items()
    }

    /// Removes and returns the pending effects, in order.
    pub fn drain_effects(&mut self) -> Vec<FleetEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.options.seeds = seeds;
    }

    /// Returns the time at which [`FleetMember::handle_timers`] must be called next.
    pub fn next_timer_at(&self, now: ClockTime) -> ClockTime {
        let mut next = self.next_heartbeat_at;
        if !self.has_all_routes() {
            next = next.min(self.next_seed_query_at);
        }
        if let Some(pull) = &self.pull {
            next = next.min(pull.retry_at);
        }
        if let Some((at, _)) = self.next_pull {
            next = next.min(at);
        }
        if let Some(at) = self.election.next_call_at() {
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
        if let Some(at) =
            self.load_reporter.as_ref().and_then(|reporter| reporter.next_report_at(now))
        {
            next = next.min(at);
        }
        if self.list.head() == 0 && !self.election.is_call_pending() {
            next = next.min(self.first_read_at);
        }
        if self.list.head() > 0 && !self.election.is_reading() {
            next = next.min(self.reading_starts_at(now));
        }
        next
    }

    /// Does everything that is due: queries to seeds, transfers of rows, reading of the store,
    /// evidence, load reports and heartbeats.
    pub fn handle_timers(&mut self, now: ClockTime) {
        if !self.has_all_routes() && self.next_seed_query_at.is_past(now) {
            let interval_ms = if self.partial_list.was_received() {
                PARTIAL_SEED_QUERY_INTERVAL_MS
            } else {
                SEED_QUERY_INTERVAL_MS
            };
            self.next_seed_query_at = now.after_millis(interval_ms);
            self.query_seeds(now);
        }
        self.begin_postponed_pull(now);
        self.retry_pull(now);
        self.query_confirmation(now);
        self.update_reading(now);
        self.send_due_evidence(now);
        self.report_load(now);
        if self.next_heartbeat_at.is_past(now) {
            self.send_periodic_heartbeat(now);
        }
    }

    /// Handles a datagram of another instance; returns false if it isn't a valid message.
    pub fn handle_datagram(&mut self, now: ClockTime, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let Some(message) = FleetMessage::from_datagram(bytes) else { return false };
        match message.body {
            Some(MessageBody::Fragment(fragment)) => {
                match self.fragments.insert(now, from, fragment) {
                    Ok(Some(message)) => self.handle_message(now, from, message),
                    Ok(None) => true,
                    Err(InvalidFragment) => false,
                }
            }
            _ => self.handle_message(now, from, message),
        }
    }

    /// Handles a whole message of another instance; returns false if it has no valid body.
    fn handle_message(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        message: FleetMessage,
    ) -> bool {
        match message.body {
            Some(MessageBody::Heartbeat(heartbeat)) => self.handle_heartbeat(now, from, heartbeat),
            Some(MessageBody::PullRequest(request)) => {
                self.handle_pull_request(now, from, &request)
            }
            Some(MessageBody::PullPage(page)) => self.handle_pull_page(now, page),
            Some(MessageBody::Evidence(evidence)) => self.handle_evidence(now, &evidence),
            Some(MessageBody::TokenQuery(query)) => {
                self.handle_token_query(now, from, &query);
            }
            Some(MessageBody::TokenResponse(response)) => {
                self.apply_removed_backends(now, response)
            }
            Some(MessageBody::ConfigRequest(request)) => self.handle_config_request(from, &request),
            Some(MessageBody::ConfigPage(page)) => self.handle_config_page(now, from, page),
            Some(MessageBody::Load(load)) => self.handle_load(now, from, load),
            Some(MessageBody::RelayedPacket(packet)) => {
                self.effects.push(FleetEffect::HandlePacket(packet.bytes));
            }
            // Fragments aren't split again.
            Some(MessageBody::Fragment(_)) | None => return false,
        }
        true
    }

    /// Handles the response of the store to a [`FleetEffect::CallStore`].
    pub fn handle_store_response(
        &mut self,
        now: ClockTime,
        query: StoreQuery,
        response: Result<ListReading, SourceError>,
    ) {
        match response {
            Ok(reading) => self.apply_store_reading(now, query, reading),
            Err(error) => self.handle_store_failure(now, &error),
        }
        self.update_reading(now);
    }

    /// Announces to all known instances that this one stops, and stops reading the store.
    pub fn announce_leave(&mut self, now: ClockTime) {
        self.descriptor.is_leaving = true;
        self.election.stop_reading();
        let peers = self.peers.addresses();
        self.send_heartbeats(now, self.list.head(), peers, Vec::new());
    }

    pub(crate) fn confirmation_age_ms(&self, now: ClockTime) -> Option<u64> {
        Some(now.since(self.confirmed_at?).as_millis() as u64)
    }
}
