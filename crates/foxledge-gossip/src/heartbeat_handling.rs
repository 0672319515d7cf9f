//! Handling of received heartbeats: peers, readers' confirmations and rows of the list.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    list::ListBounds,
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

/// Time, in milliseconds, by which a confirmation must be newer than the known one to be forwarded;
/// with less, each one would be forwarded once per reader.
const MIN_CONFIRMATION_ADVANCE_MS: u64 = 300;
/// Number of instances that a seed must know for others to leave the first read to it.
const MIN_SEED_PEERS: u32 = 24;
/// Delay before an instance reads a first list when many start together, in milliseconds.
const FIRST_READ_DELAY_MS: u64 = 20;
/// Random spread of that delay in milliseconds, about the time for which the first answers to a
/// large fleet occupy the store's link.
const FIRST_READ_SPREAD_MS: u64 = 180;

impl FleetMember {
    /// Applies the content of a heartbeat and forwards what is new to this instance.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        heartbeat: HeartbeatMessage,
    ) {
        self.merge_sender_and_peers(now, &heartbeat);
        self.merge_confirmations(now, &heartbeat.confirmations);
        self.defer_first_read(now, from, &heartbeat);
        let former_head = self.list.head();
        self.apply_heartbeat_rows(now, from, &heartbeat);
        self.pull_retained_config(now, from, &heartbeat);
        let is_confirmed = self.update_confirmation();
        if heartbeat.wants_response && heartbeat.head == 0 {
            self.send_evidence_to_starter(now, from);
        }
        if heartbeat.wants_response
            || (heartbeat.head < self.list.head() && self.list.head() == former_head)
        {
            self.respond_to_heartbeat(now, from, &heartbeat);
        }
        let is_newer = self.list.head() > former_head;
        if is_newer || is_confirmed {
            let is_remote = heartbeat.is_from_remote_centre || !self.peers.is_same_centre(&from);
            self.update_origin =
                if is_remote { UpdateOrigin::RemoteCentre } else { UpdateOrigin::SameCentre };
            self.disseminate(now, former_head, Some(from));
        }
    }

    /// Delays the first read a little once a seed that is starting too has responded.
    ///
    /// Three hundred instances that read at the same moment have to wait for the store's link
    /// anyway, and those whose read comes late may have received the list from a peer by then.
    fn defer_first_read(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        heartbeat: &HeartbeatMessage,
    ) {
        let is_seed = |address: &SocketAddrV4| self.options.seeds.contains(address);
        let is_waiting = self.list.head() == 0 && !self.has_starting_seed;
        let is_large_start = heartbeat.head == 0 && heartbeat.peer_count >= MIN_SEED_PEERS;
        if !is_waiting || !is_large_start || !is_seed(&from) || is_seed(&self.options.address) {
            return;
        }
        self.has_starting_seed = true;
        let spread = self.rng.random_range(0..FIRST_READ_SPREAD_MS);
        self.first_read_at = self.first_read_at.max(now.after_millis(FIRST_READ_DELAY_MS + spread));
    }

    /// Merges the sender of a heartbeat and the instances listed in it.
    fn merge_sender_and_peers(&mut self, now: ClockTime, heartbeat: &HeartbeatMessage) {
        let sender = heartbeat.sender.clone().map(|descriptor| PeerEntry {
            descriptor: Some(descriptor),
            age_ms: 0,
            head: heartbeat.head,
        });
        self.merge_peers(now, sender.as_slice());
        self.merge_peers(now, &heartbeat.peers);
    }

    /// Merges instances that others have listed.
    pub(crate) fn merge_peers(&mut self, now: ClockTime, peers: &[PeerEntry]) {
        for peer in peers {
            let Some(descriptor) = &peer.descriptor else { continue };
            if descriptor.address() == Some(self.options.address) {
                continue;
            }
            let last_heard_at = now.before_millis(u64::from(peer.age_ms));
            let change = self.peers.record_contact(descriptor, last_heard_at, peer.head);
            self.remove_peer_load(change, descriptor);
            if let Some(event) = FleetEvent::from_change(change, descriptor) {
                self.effects.push(FleetEffect::LogEvent(event));
            }
        }
    }

    /// Merges the readers' last confirmations from the store, except those of this instance.
    ///
    /// If these announce a newer list, peers get some time to deliver it.
    pub(crate) fn merge_confirmations(&mut self, now: ClockTime, messages: &[ConfirmationMessage]) {
        let was_behind = self.election.is_behind(now, self.list.head());
        for message in messages {
            let Some(reader) = message.reader.clone() else { continue };
            if reader.address() == Some(self.options.address) {
                continue;
            }
            let confirmed_at = now.before_millis(u64::from(message.age_ms));
            let confirmation = StoreConfirmation {
                reader,
                serial: message.serial,
                confirmed_at,
                head: message.head,
            };
            self.election.record_confirmation(confirmation);
        }
        if !was_behind && self.election.is_behind(now, self.list.head()) {
            self.record_transfer_progress(now);
        }
    }

    /// Applies changed rows, or requests them if the heartbeat doesn't contain all that are
    /// missing.
    fn apply_heartbeat_rows(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        heartbeat: &HeartbeatMessage,
    ) {
        let known_head = self.list.head();
        if heartbeat.head <= known_head {
            return;
        }
        // Changes since revision 0 aren't a full copy: the first list is pulled whole.
        let has_all_changes =
            known_head > 0 && heartbeat.base.is_some_and(|base| base <= known_head);
        let is_across_gap =
            known_head > 0 && heartbeat.gap_base.is_some_and(|base| self.can_apply_gap_after(base));
        if !has_all_changes && !is_across_gap {
            return self.begin_pull(now, from);
        }
        let rows = heartbeat.rows.clone().map(PackedRows::unpack).unwrap_or_default();
        let rows = match has_all_changes {
            true => self.list.apply_changes(now, rows, heartbeat.head),
            false => {
                let bounds = ListBounds { head: heartbeat.head, ..ListBounds::default() };
                self.list.apply_changes_across_gap(now, rows, bounds)
            }
        };
        self.publish_changed_rows(now, rows, known_head, from.to_string());
    }

    /// Applies the newest confirmation of the list. Returns whether it is worth forwarding.
    pub(crate) fn update_confirmation(&mut self) -> bool {
        let Some(at) = self.election.latest_confirmation_at(self.list.head()) else { return false };
        if self.list.head() == 0 || self.confirmed_at.is_some_and(|known| at <= known) {
            return false;
        }
        self.confirmed_at = Some(at);
        self.next_confirmation_query_at = Some(at.after_millis(CONFIRMATION_QUERY_AGE_MS));
        self.effects.push(FleetEffect::RecordConfirmation(at));
        self.announced_confirmation_at.after_millis(MIN_CONFIRMATION_ADVANCE_MS).is_past(at)
    }

    /// Emits the rows that changed as an effect and an event, and removes expired tombstones.
    pub(crate) fn publish_changed_rows(
        &mut self,
        now: ClockTime,
        mut rows: Vec<ListRow>,
        former_head: u64,
        source: String,
    ) {
        if self.list.head() > former_head {
            self.store_needed_since = None;
            self.record_transfer_progress(now);
        }
        if former_head == 0 && self.list.head() > 0 {
            rows.extend(self.end_partial_list());
        }
        let rows = self.filter_retained_rows(rows);
        let is_restored = former_head > 0 && epoch_of(former_head) < epoch_of(self.list.head());
        if is_restored || !rows.is_empty() {
            let event = FleetEvent::ListApplied {
                version: self.list.version(),
                epoch: epoch_of(self.list.head()),
                revision: number_of(self.list.head()),
                former_revision: number_of(former_head),
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
