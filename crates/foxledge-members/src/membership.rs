//! Which instances of the data centre live, and which other data centres answer.
//!
//! Each instance sends beats to its successors on a few hash rings (see
//! [`crate::rings`]). Beats and replies carry what changed lately. An instance
//! that doesn't answer its observers, neither directly nor through a relay, is
//! suspected first and counts as dead only if it doesn't refute in time: the
//! suspicion mechanism of SWIM (Das, Gupta and Motivala, "SWIM: scalable
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

use self::{anti_entropy::TableExchange, heartbeats::BeatRound};
use crate::{
    MemberEffect, MemberOptions, ProbeResult,
    centres::{CentreTable, is_elected},
    hints::HintTable,
    observed_peers::WatchList,
    rings::{HashRings, name_salt},
    table::MemberTable,
    update_queue::NewsQueue,
};

/// Key under which the readers of the platform are drawn.
const READER_KEY: &str = "platform-reader";

/// `Membership` is one instance's knowledge of who lives.
#[derive(Debug)]
pub struct Membership {
    options: MemberOptions,
    me: PeerInfo,
    own_positions: Vec<u64>,
    version: ListVersion,
    table: MemberTable,
    news: NewsQueue,
    watch: WatchList,
    hints: HintTable,
    centres: CentreTable,
    exchange: TableExchange,
    round: BeatRound,
    view: Arc<PeerView>,
    /// Changes of the table that the view shows.
    viewed_changes: u64,
    /// Size of the last listing that was believed.
    listed: usize,
    last_tick: ClockTime,
    rng: StdRng,
}

impl Membership {
    /// Makes the membership of one instance, which knows only itself and its seeds.
    pub fn new(options: MemberOptions, me: PeerInfo, seed: u64, now: ClockTime) -> Membership {
        let rings = HashRings::new(options.rings);
        let own_positions = rings.positions(&me.name);
        let mut hints = HintTable::new(options.retry_every);
        for seed_address in &options.seeds {
            hints.add(now, *seed_address, ClockTime::MAX);
        }
        let mut membership = Membership {
            own_positions,
            version: ListVersion::default(),
            table: MemberTable::new(rings),
            news: NewsQueue::default(),
            watch: WatchList::new(options.suspect_after),
            hints,
            centres: CentreTable::new(
                me.data_centre.clone(),
                options.summary_deadline,
                options.summary_every,
            ),
            exchange: TableExchange::new(now),
            round: BeatRound::new(now),
            view: Arc::new(PeerView::default()),
            viewed_changes: 0,
            listed: 0,
            last_tick: now,
            rng: StdRng::seed_from_u64(seed ^ name_salt(&me.name)),
            options,
            me,
        };
        membership.renew_view(now);
        membership
    }

    /// Does what is due; call it several times a heartbeat.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        self.grant_after_pause(now);
        self.last_tick = now;
        let mut effects = Vec::new();
        self.expire(now, &mut effects);
        self.suspect_silent(now, &mut effects);
        effects.extend(self.renew_view(now));
        self.send_round(now, &mut effects);
        self.try_hints(now, &mut effects);
        self.talk_across(now, &mut effects);
        effects
    }

    /// Takes another instance's beat.
    pub fn on_heartbeat(
        &mut self,
        now: ClockTime,
        beat: Heartbeat,
    ) -> (HeartbeatReply, Vec<MemberEffect>) {
        let mut effects = Vec::new();
        let Ok(sender) = convert::peer_info(&beat.sender.clone().unwrap_or_default()) else {
            return (self.bare_reply(), effects);
        };
        self.compare_version(&sender, beat.version, &mut effects);
        if sender.data_centre != self.me.data_centre {
            self.take_foreign(now, &sender, &beat.centres);
            let reply = self.foreign_reply(now, &sender.data_centre);
            effects.extend(self.renew_view(now));
            return (reply, effects);
        }

        let name = sender.name.clone();
        let mut corrections = self.take_sender(now, sender, &mut effects);
        corrections.extend(self.take_news(now, &name, &beat.news, &mut effects));
        self.take_relayed(now, &beat.centres);
        self.compare_digest(now, beat.table_digest);
        effects.extend(self.renew_view(now));
        (self.reply_to(now, &beat, corrections), effects)
    }

    /// Takes the answer to a beat; the caller believed to call `_from`.
    ///
    /// What counts is who says that it answered: an address may have another owner by now.
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
        self.compare_version(&sender, reply.version, &mut effects);
        if sender.data_centre != self.me.data_centre {
            self.take_foreign(now, &sender, &reply.centres);
            effects.extend(self.renew_view(now));
            return effects;
        }

        let name = sender.name.clone();
        let address = sender.control_address;
        let refutation = self.me.refutation;
        self.watch.answered(now, &name);
        self.end_page(now, &sender, &reply.news);
        self.take_sender(now, sender, &mut effects);
        self.take_news(now, &name, &reply.news, &mut effects);
        self.take_relayed(now, &reply.centres);
        self.compare_digest(now, reply.table_digest);
        effects.extend(self.renew_view(now));
        // Whoever held this instance for dead learns at once that it isn't.
        if refutation != self.me.refutation {
            effects.push(self.beat_to(now, address, Some(&name)));
        }
        effects
    }

    /// Takes the failure of a beat to a control address: another way to it is tried at once.
    pub fn on_heartbeat_failure(&mut self, _now: ClockTime, from: SocketAddr) -> Vec<MemberEffect> {
        // Later failures of the same silence are followed by probes in each round.
        let Some(name) = self.watch.at_first_failure(from) else { return Vec::new() };
        self.probe_through(&name)
    }

    /// Takes the end of a relayed probe.
    ///
    /// An instance that answers somebody lives, though the link to it may be cut one way.
    pub fn on_probe_result(
        &mut self,
        now: ClockTime,
        name: &InstanceName,
        result: ProbeResult,
    ) -> Vec<MemberEffect> {
        if result == ProbeResult::Answered {
            self.watch.answered(now, name);
        }
        Vec::new()
    }

    /// Takes the platform's list of instances: a hint whom to try, and no more.
    ///
    /// The list lags and may be empty for no reason. Nobody is removed because
    /// of it, and nobody is believed to live before an answer came.
    pub fn on_platform_listing(
        &mut self,
        now: ClockTime,
        listing: &MemberListing,
    ) -> Vec<MemberEffect> {
        let listed = listing.members.len();
        if listed * 2 < self.listed {
            let change = AuditChange::new(AuditKind::MemberChanged, "platform listing")
                .with_values(format!("{} instances", self.listed), format!("{listed} instances"))
                .with_cause("shrank to less than half, earlier hints are kept", "platform");
            self.listed = listed;
            return vec![MemberEffect::Audit(change)];
        }
        self.listed = listed;
        let expire_deadline = now.after(self.options.tombstone);
        for record in &listing.members {
            let Ok(info) = convert::peer_info(record) else { continue };
            if info.data_centre != self.me.data_centre {
                self.centres.add_address(now, &info.data_centre, info.control_address);
            } else if !self.knows_alive(&info.name) {
                self.hints.add(now, info.control_address, expire_deadline);
            }
        }
        Vec::new()
    }

    /// Sets the own state; a step back is ignored.
    ///
    /// The end of a planned stop is [`PeerState::Dead`]: the returned beats tell the observers.
    pub fn set_state(&mut self, now: ClockTime, state: PeerState) -> Vec<MemberEffect> {
        if state <= self.me.state || state == PeerState::Suspect {
            return Vec::new();
        }
        self.me.state = state;
        self.round.widen();
        let mut effects: Vec<_> = self.renew_view(now).into_iter().collect();
        if state == PeerState::Dead {
            self.say_farewell(now, &mut effects);
        }
        effects
    }

    /// Sets the version of the list in force here.
    pub fn set_list_version(&mut self, version: ListVersion) {
        if version != self.version {
            self.version = version;
            self.round.widen();
        }
    }

    /// The present view.
    pub fn view(&self) -> Arc<PeerView> {
        self.view.clone()
    }

    /// True when this instance reads the platform on behalf of its data centre.
    pub fn is_reader(&self) -> bool {
        elected_in(&self.view, &self.me, READER_KEY, self.options.readers_per_centre)
    }

    /// Number of records held, the dead ones and the addresses to try included.
    pub fn record_count(&self) -> usize {
        self.table.living_len() + self.table.dead().count() + self.hints.len()
    }

    fn knows_alive(&self, name: &str) -> bool {
        self.table.get(name).is_some_and(|entry| entry.info.state != PeerState::Dead)
    }

    /// Number of living instances of the data centre, the own one included.
    fn size(&self) -> usize {
        self.table.living_len() + 1
    }

    fn renew_view(&mut self, now: ClockTime) -> Option<MemberEffect> {
        let reachable_centres = self.centres.reachable(now);
        let contacts = self.centres.contacts(now);
        let is_same = reachable_centres == self.view.reachable_centres
            && contacts == self.view.contacts
            && self.viewed_changes == self.table.changes()
            && self.view.find(&self.me.name) == Some(&self.me);
        if is_same {
            return None;
        }
        self.viewed_changes = self.table.changes();
        let mut peers: Vec<_> = self.table.living().map(|entry| entry.info.clone()).collect();
        let own = peers.partition_point(|peer| peer.name < self.me.name);
        peers.insert(own, self.me.clone());
        self.view = Arc::new(PeerView { peers, reachable_centres, contacts });
        self.renew_watch(now);
        Some(MemberEffect::ViewChanged(self.view.clone()))
    }
}

/// True when `me` is among the `count` drawn for `key` from those who stay; alone, it always is.
fn elected_in(view: &PeerView, me: &PeerInfo, key: &str, count: usize) -> bool {
    let stays = |peer: &&PeerInfo| peer.state < PeerState::Leaving;
    let names = view.peers.iter().filter(stays).map(|peer| &peer.name);
    let has_other = names.clone().any(|name| *name != me.name);
    let own_stays = me.state < PeerState::Leaving;
    !has_other || (own_stays && is_elected(key, count, &me.name, names))
}
