//! What a member takes from the messages of others.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    revisions::{epoch_of, number_of},
    rows::ListRow,
};
use rand::Rng;

use crate::{
    dissemination::{CONFIRMATION_QUERY_AGE_MS, UpdateOrigin},
    effects::{FleetEffect, FleetEvent},
    election::StoreConfirmation,
    member::FleetMember,
    messages::{ConfirmationMessage, HeartbeatMessage, PeerEntry},
    packing::PackedRows,
};

/// A confirmation is news if it is newer than the known one by this, in
/// milliseconds; less would pass each on as often as there are readers.
const NEWER_MS: u64 = 300;
/// Instances that a seed must have heard of for others to leave the first reading to it.
const MANY: u32 = 24;
/// Wait before an instance reads a first list by itself when many start together, in
/// milliseconds.
const TOGETHER_MS: u64 = 20;
/// Spread of that wait in milliseconds, about as long as the store's link is taken by the first
/// answers to a large fleet.
const TOGETHER_SPREAD_MS: u64 = 180;

impl FleetMember {
    /// Takes a heartbeat with its news, and passes on what is new here.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        beat: HeartbeatMessage,
    ) {
        self.learn_peers(now, &beat);
        self.merge_confirmations(now, &beat.confirmations);
        self.leave_reading_to_seeds(now, from, &beat);
        let former = self.list.head();
        self.learn_rows(now, from, &beat);
        self.pull_retained_config(now, from, &beat);
        let is_confirmed = self.update_confirmation();
        if beat.wants_response && beat.head == 0 {
            self.send_evidence_to_starter(now, from);
        }
        if beat.wants_response || (beat.head < self.list.head() && self.list.head() == former) {
            self.respond_to_heartbeat(now, from, &beat);
        }
        let is_newer = self.list.head() > former;
        if is_newer || is_confirmed {
            let is_far = beat.is_from_remote_centre || !self.peers.is_same_centre(&from);
            self.update_origin =
                if is_far { UpdateOrigin::RemoteCentre } else { UpdateOrigin::SameCentre };
            self.disseminate(now, former, Some(from));
        }
    }

    /// Waits a little longer before a first reading, once a seed that starts too has answered.
    ///
    /// Three hundred instances that read in one moment wait for the store's link all the same,
    /// and those whose reading comes late may have the list from a peer by then.
    fn leave_reading_to_seeds(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        beat: &HeartbeatMessage,
    ) {
        let is_seed = |address: &SocketAddrV4| self.options.seeds.contains(address);
        let is_waiting = self.list.head() == 0 && !self.has_starting_seed;
        let are_many = beat.head == 0 && beat.peer_count >= MANY;
        if !is_waiting || !are_many || !is_seed(&from) || is_seed(&self.options.address) {
            return;
        }
        self.has_starting_seed = true;
        let spread = self.rng.random_range(0..TOGETHER_SPREAD_MS);
        self.first_read_at = self.first_read_at.max(now.after_millis(TOGETHER_MS + spread));
    }

    /// Takes the sender of a heartbeat and the instances that it tells of.
    fn learn_peers(&mut self, now: ClockTime, beat: &HeartbeatMessage) {
        let sender = beat.sender.clone().map(|card| PeerEntry {
            descriptor: Some(card),
            age_ms: 0,
            head: beat.head,
        });
        self.merge_peers(now, sender.as_slice());
        self.merge_peers(now, &beat.peers);
    }

    /// Takes instances that others tell of.
    pub(crate) fn merge_peers(&mut self, now: ClockTime, peers: &[PeerEntry]) {
        for peer in peers {
            let Some(card) = &peer.descriptor else { continue };
            if card.address() == Some(self.options.address) {
                continue;
            }
            let heard_at = now.before_millis(u64::from(peer.age_ms));
            let change = self.peers.record_contact(card, heard_at, peer.head);
            self.remove_peer_load(change, card);
            if let Some(event) = FleetEvent::from_change(change, card) {
                self.effects.push(FleetEffect::LogEvent(event));
            }
        }
    }

    /// Takes readers' last answers from the store; what is told of this instance is known.
    ///
    /// Where that tells of a newer list, peers have a moment to hand it over.
    pub(crate) fn merge_confirmations(&mut self, now: ClockTime, claims: &[ConfirmationMessage]) {
        let was_behind = self.election.is_behind(now, self.list.head());
        for message in claims {
            let Some(card) = message.reader.clone() else { continue };
            if card.address() == Some(self.options.address) {
                continue;
            }
            let at = now.before_millis(u64::from(message.age_ms));
            let claim = StoreConfirmation {
                reader: card,
                serial: message.serial,
                confirmed_at: at,
                head: message.head,
            };
            self.election.record_confirmation(claim);
        }
        if !was_behind && self.election.is_behind(now, self.list.head()) {
            self.record_transfer_progress(now);
        }
    }

    /// Takes changed rows, or asks for them when the heartbeat has too few.
    fn learn_rows(&mut self, now: ClockTime, from: SocketAddrV4, beat: &HeartbeatMessage) {
        let known = self.list.head();
        if beat.head <= known {
            return;
        }
        // Rows after nothing hold no copy: the first list is pulled whole.
        let is_whole = known > 0 && beat.base.is_some_and(|base| base <= known);
        let is_over_gap =
            known > 0 && beat.gap_base.is_some_and(|base| self.can_apply_gap_after(base));
        if !is_whole && !is_over_gap {
            return self.begin_pull(now, from);
        }
        let rows = beat.rows.clone().map(PackedRows::unpack).unwrap_or_default();
        let rows = match is_whole {
            true => self.list.apply_changes(now, rows, beat.head),
            false => self.list.apply_changes_across_gap(now, rows, beat.head),
        };
        self.publish_changed_rows(now, rows, known, from.to_string());
    }

    /// Takes the newest claim that confirms the list; true when it is worth passing on.
    pub(crate) fn update_confirmation(&mut self) -> bool {
        let Some(at) = self.election.latest_confirmation_at(self.list.head()) else { return false };
        if self.list.head() == 0 || self.confirmed_at.is_some_and(|known| at <= known) {
            return false;
        }
        self.confirmed_at = Some(at);
        self.next_confirmation_query_at = Some(at.after_millis(CONFIRMATION_QUERY_AGE_MS));
        self.effects.push(FleetEffect::RecordConfirmation(at));
        self.announced_confirmation_at.after_millis(NEWER_MS).is_past(at)
    }

    /// Hands on rows that changed here, and forgets old removals.
    pub(crate) fn publish_changed_rows(
        &mut self,
        now: ClockTime,
        mut rows: Vec<ListRow>,
        former: u64,
        source: String,
    ) {
        if self.list.head() > former {
            self.record_transfer_progress(now);
        }
        if former == 0 && self.list.head() > 0 {
            rows.extend(self.end_partial_list());
        }
        let rows = self.filter_retained_rows(rows);
        let is_restored = former > 0 && epoch_of(former) < epoch_of(self.list.head());
        if is_restored || !rows.is_empty() {
            let event = FleetEvent::ListTaken {
                version: self.list.version(),
                epoch: epoch_of(self.list.head()),
                revision: number_of(self.list.head()),
                former_revision: number_of(former),
                rows: rows.len(),
                source,
                confirmed_age_ms: self.confirmation_age_ms(now),
            };
            self.effects.push(match is_restored {
                true => FleetEffect::ApplyRestoredRows(rows),
                false => FleetEffect::ApplyRows(rows),
            });
            self.effects.push(FleetEffect::LogEvent(event));
        }
        self.list.remove_expired(now);
    }
}
