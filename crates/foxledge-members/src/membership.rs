//! Detection of living instances in the data centre and of reachable other data centres.
//!
//! Each instance sends heartbeats to its successors on a few hash rings (see the `rings` module).
//! Heartbeats and replies carry recent changes. An instance that answers its observers neither
//! directly nor through a relay is suspected first, and is considered dead only if it does not
//! refute in time: the suspicion mechanism of SWIM (Das, Gupta and Motivala, "SWIM: scalable
//! weakly-consistent infection-style process group membership protocol", DSN 2002).

mod anti_entropy;
mod claims;
mod failure_detection;
mod heartbeats;

use std::{net::SocketAddr, sync::Arc};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::ListVersion,
    names::InstanceName,
    peers::{PeerInfo, PeerState, PeerView},
    time::ClockTime,
};
use foxledge_wire::{
    control::{Heartbeat, HeartbeatReply, MemberListing},
    convert,
};
use rand::{SeedableRng, rngs::StdRng};

use self::{anti_entropy::TableExchange, heartbeats::HeartbeatSchedule};
use crate::{
    MemberEffect, MemberOptions, ProbeResult,
    centres::{CentreTable, is_elected},
    hints::HintTable,
    observed_peers::ObservedPeers,
    rings::{HashRings, name_salt},
    table::MemberTable,
    update_queue::UpdateQueue,
};

/// The key under which the readers of the platform are elected.
const READER_KEY: &str = "platform-reader";

/// One instance's knowledge of the other instances and data centres.
#[derive(Debug)]
pub struct Membership {
    options: MemberOptions,
    local_peer: PeerInfo,
    local_positions: Vec<u64>,
    list_version: ListVersion,
    table: MemberTable,
    updates: UpdateQueue,
    observed: ObservedPeers,
    hints: HintTable,
    centres: CentreTable,
    exchange: TableExchange,
    schedule: HeartbeatSchedule,
    view: Arc<PeerView>,
    /// The change count of the table that the current view shows.
    viewed_change_count: u64,
    /// The number of instances in the last platform listing.
    listed_count: usize,
    last_tick: ClockTime,
    rng: StdRng,
}

impl Membership {
    /// Creates the membership of an instance that knows only itself and its seeds.
    pub fn new(
        options: MemberOptions,
        local_peer: PeerInfo,
        seed: u64,
        now: ClockTime,
    ) -> Membership {
        let rings = HashRings::new(options.rings);
        let local_positions = rings.positions(&local_peer.name);
        let mut hints = HintTable::new(options.retry_interval);
        for seed_address in &options.seeds {
            hints.add(now, *seed_address, ClockTime::MAX);
        }
        let mut membership = Membership {
            local_positions,
            list_version: ListVersion::default(),
            table: MemberTable::new(rings),
            updates: UpdateQueue::default(),
            observed: ObservedPeers::new(options.suspect_after),
            hints,
            centres: CentreTable::new(
                local_peer.data_centre.clone(),
                options.summary_timeout,
                options.summary_interval,
            ),
            exchange: TableExchange::new(now),
            schedule: HeartbeatSchedule::new(now),
            view: Arc::new(PeerView::default()),
            viewed_change_count: 0,
            listed_count: 0,
            last_tick: now,
            rng: StdRng::seed_from_u64(seed ^ name_salt(&local_peer.name)),
            options,
            local_peer,
        };
        membership.refresh_view(now);
        membership
    }

    /// Expires suspects, sends due heartbeats and probes. Must be called several times per
    /// heartbeat interval.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        self.extend_after_pause(now);
        self.last_tick = now;
        let mut effects = Vec::new();
        self.expire_suspects(now, &mut effects);
        self.suspect_unresponsive(now, &mut effects);
        effects.extend(self.refresh_view(now));
        self.send_heartbeats(now, &mut effects);
        self.probe_hints(now, &mut effects);
        self.send_centre_heartbeats(now, &mut effects);
        effects
    }

    /// Handles a heartbeat of another instance and returns the reply.
    pub fn on_heartbeat(
        &mut self,
        now: ClockTime,
        heartbeat: Heartbeat,
    ) -> (HeartbeatReply, Vec<MemberEffect>) {
        let mut effects = Vec::new();
        let Ok(sender) = convert::peer_info(&heartbeat.sender.clone().unwrap_or_default()) else {
            return (self.minimal_reply(), effects);
        };
        self.compare_list_version(&sender, heartbeat.version, &mut effects);
        if sender.data_centre != self.local_peer.data_centre {
            self.apply_remote_message(now, &sender, &heartbeat.centres);
            let reply = self.centre_reply(now, &sender.data_centre);
            effects.extend(self.refresh_view(now));
            return (reply, effects);
        }

        let name = sender.name.clone();
        let mut corrections = self.apply_sender_record(now, sender, &mut effects);
        corrections.extend(self.apply_updates(now, &name, &heartbeat.news, &mut effects));
        self.apply_relayed_summaries(now, &heartbeat.centres);
        self.compare_digest(now, heartbeat.table_digest);
        effects.extend(self.refresh_view(now));
        (self.make_reply(now, &heartbeat, corrections), effects)
    }

    /// Handles the reply to a heartbeat that was sent to `_from`.
    ///
    /// Only the sender named in the reply counts: the address may belong to another instance by
    /// now.
    pub fn on_heartbeat_reply(
        &mut self,
        now: ClockTime,
        _from: &InstanceName,
        reply: HeartbeatReply,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let Ok(sender) = convert::peer_info(&reply.sender.clone().unwrap_or_default()) else {
            return effects;
        };
        self.compare_list_version(&sender, reply.version, &mut effects);
        if sender.data_centre != self.local_peer.data_centre {
            self.apply_remote_message(now, &sender, &reply.centres);
            effects.extend(self.refresh_view(now));
            return effects;
        }

        let name = sender.name.clone();
        let address = sender.control_address;
        let refutation = self.local_peer.refutation;
        self.observed.record_answer(now, &name);
        self.finish_page(now, &sender, &reply.news);
        self.apply_sender_record(now, sender, &mut effects);
        self.apply_updates(now, &name, &reply.news, &mut effects);
        self.apply_relayed_summaries(now, &reply.centres);
        self.compare_digest(now, reply.table_digest);
        effects.extend(self.refresh_view(now));
        // The replying instance considered this one suspect or dead. A heartbeat corrects this at
        // once.
        if refutation != self.local_peer.refutation {
            effects.push(self.make_heartbeat(now, address, Some(&name)));
        }
        effects
    }

    /// Handles the failure of a heartbeat. The instance is probed through relays at once.
    pub fn on_heartbeat_failure(&mut self, _now: ClockTime, from: SocketAddr) -> Vec<MemberEffect> {
        // Later failures are followed by relayed probes with each round of heartbeats.
        let Some(name) = self.observed.find_newly_unanswered(from) else { return Vec::new() };
        self.probe_via_relays(&name)
    }

    /// Handles the result of a relayed probe.
    ///
    /// An instance that answers a relay is alive, though the direct link may be down in one
    /// direction.
    pub fn on_probe_result(
        &mut self,
        now: ClockTime,
        name: &InstanceName,
        result: ProbeResult,
    ) -> Vec<MemberEffect> {
        if result == ProbeResult::Answered {
            self.observed.record_answer(now, name);
        }
        Vec::new()
    }

    /// Handles the platform's listing of instances, whose addresses are used as hints only.
    ///
    /// The listing lags and may be empty for no reason. No instance is removed because of it, and
    /// none is considered alive before it has answered.
    pub fn on_platform_listing(
        &mut self,
        now: ClockTime,
        listing: &MemberListing,
    ) -> Vec<MemberEffect> {
        let listed_count = listing.members.len();
        if listed_count * 2 < self.listed_count {
            let change = AuditChange::new(AuditKind::MemberChanged, "platform listing")
                .with_values(
                    format!("{} instances", self.listed_count),
                    format!("{listed_count} instances"),
                )
                .with_cause("shrank to less than half, earlier hints are kept", "platform");
            self.listed_count = listed_count;
            return vec![MemberEffect::Audit(change)];
        }
        self.listed_count = listed_count;
        let expire_deadline = now.after(self.options.tombstone_ttl);
        for record in &listing.members {
            let Ok(info) = convert::peer_info(record) else { continue };
            if info.data_centre != self.local_peer.data_centre {
                self.centres.add_address(now, &info.data_centre, info.control_address);
            } else if !self.is_known_living(&info.name) {
                self.hints.add(now, info.control_address, expire_deadline);
            }
        }
        Vec::new()
    }

    /// Sets the state of the local instance. A step back is ignored.
    ///
    /// A planned stop ends with [`PeerState::Dead`]. The returned heartbeats announce it to the
    /// observed instances.
    pub fn set_state(&mut self, now: ClockTime, state: PeerState) -> Vec<MemberEffect> {
        if state <= self.local_peer.state || state == PeerState::Suspect {
            return Vec::new();
        }
        self.local_peer.state = state;
        self.schedule.request_full_round();
        let mut effects: Vec<_> = self.refresh_view(now).into_iter().collect();
        if state == PeerState::Dead {
            self.announce_departure(now, &mut effects);
        }
        effects
    }

    /// Sets the version of the list that is in force at the local instance.
    pub fn set_list_version(&mut self, version: ListVersion) {
        if version != self.list_version {
            self.list_version = version;
            self.schedule.request_full_round();
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<PeerView> {
        self.view.clone()
    }

    /// Returns true if this instance reads the platform on behalf of its data centre.
    pub fn is_reader(&self) -> bool {
        is_elected_in_view(
            &self.view,
            &self.local_peer,
            READER_KEY,
            self.options.readers_per_centre,
        )
    }

    /// Returns the number of records, including dead instances and address hints.
    pub fn record_count(&self) -> usize {
        self.table.living_count() + self.table.dead().count() + self.hints.len()
    }

    fn is_known_living(&self, name: &str) -> bool {
        self.table.get(name).is_some_and(|entry| entry.info.state != PeerState::Dead)
    }

    /// Returns the number of living instances of the data centre, including the local one.
    fn centre_size(&self) -> usize {
        self.table.living_count() + 1
    }

    fn refresh_view(&mut self, now: ClockTime) -> Option<MemberEffect> {
        let reachable_centres = self.centres.reachable_centres(now);
        let contacts = self.centres.contacts(now);
        let is_unchanged = reachable_centres == self.view.reachable_centres
            && contacts == self.view.contacts
            && self.viewed_change_count == self.table.change_count()
            && self.view.find(&self.local_peer.name) == Some(&self.local_peer);
        if is_unchanged {
            return None;
        }
        self.viewed_change_count = self.table.change_count();
        let mut peers: Vec<_> = self.table.living().map(|entry| entry.info.clone()).collect();
        let local_index = peers.partition_point(|peer| peer.name < self.local_peer.name);
        peers.insert(local_index, self.local_peer.clone());
        self.view = Arc::new(PeerView { peers, reachable_centres, contacts });
        self.update_observed(now);
        Some(MemberEffect::ViewChanged(self.view.clone()))
    }
}

/// Returns true if `local_peer` is among the `count` instances elected for `key`. Leaving instances
/// are not eligible; an instance without other peers is always elected.
fn is_elected_in_view(view: &PeerView, local_peer: &PeerInfo, key: &str, count: usize) -> bool {
    let is_staying = |peer: &&PeerInfo| peer.state < PeerState::Leaving;
    let names = view.peers.iter().filter(is_staying).map(|peer| &peer.name);
    let has_other = names.clone().any(|name| *name != local_peer.name);
    let is_local_staying = local_peer.state < PeerState::Leaving;
    !has_other || (is_local_staying && is_elected(key, count, &local_peer.name, names))
}
