//! Reading of the store: when and how it is queried, and how its responses are applied.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    ListReading, SourceError,
    revisions::{epoch_of, number_of},
};

use crate::{
    dissemination::UpdateOrigin,
    effects::{FleetEffect, FleetEvent, ReadReason, StoreCall, StoreQuery},
    election::{ReaderElection, StoreConfirmation},
    member::FleetMember,
    refused_items::ReadingScope,
};

/// Maximum time, in milliseconds, that a response takes in addition to the wait of its watch.
const MAX_RESPONSE_DELAY_MS: u64 = 1_000;
/// Age of the last confirmation at which the whole list is read instead of changes, in
/// milliseconds.
///
/// A watch returns every version of the list published since then in full, which is more than
/// everything in the store once there are several.
const FULL_READ_AGE_MS: u64 = 4_000;
/// Maximum number of rows that one response of the store holds. A longer list takes several calls,
/// so changes are queried first, however old the last confirmation is.
const MAX_SINGLE_RESPONSE_ROWS: usize = 500;
/// Wait of a watch that only checks whether a list is still the newest, in milliseconds.
const REVISION_CHECK_WAIT_MS: u64 = 20;
/// Maximum number of changes in a response after which the next call is delayed to collect more of
/// them. That many fit easily into one message. After more changes the next call isn't delayed,
/// since changes that take several messages take effect later.
const MAX_DELAYED_CHANGES: usize = 8;
/// Delay before a first reading that failed is repeated, in milliseconds.
const FIRST_READ_RETRY_MS: u64 = 250;
/// Time without rows from a peer, in milliseconds, after which an instance with an outdated list
/// stops waiting for them.
const TRANSFER_STALL_TIMEOUT_MS: u64 = 500;
/// Time, in milliseconds, over which instances with an outdated list spread their calls by rank.
const OUTDATED_READ_SPREAD_MS: u64 = 500;
/// Time to wait for a confirmation of a first list by a peer, in milliseconds.
const FIRST_CONFIRMATION_TIMEOUT_MS: u64 = 100;

impl FleetMember {
    /// Starts to read when the list hasn't been confirmed for too long, and calls the store when a
    /// call is due.
    pub(crate) fn update_reading(&mut self, now: ClockTime) {
        if self.descriptor.is_leaving {
            return;
        }
        if self.list.head() == 0 {
            return self.read_first_list(now);
        }
        if !self.election.is_reading() {
            let rank = self.estimated_rank(now);
            // The first reader after a start may have a narrow link, so the best ranked instance
            // with a wider link replaces it at once.
            let is_replacing_reader = rank == 0 && self.election.has_widest_link(now);
            if !is_replacing_reader && !self.reading_starts_at(now).is_past(now) {
                return;
            }
            self.election.start_reading(now);
            let confirmed_age_ms = self.confirmation_age_ms(now);
            self.effects
                .push(FleetEffect::LogEvent(FleetEvent::ReadingStarted { confirmed_age_ms, rank }));
        }
        if self.election.next_call_at().is_some_and(|at| at.is_past(now)) {
            let call = self.next_store_call(now);
            self.call_store(now, call);
        }
    }

    fn call_store(&mut self, now: ClockTime, call: StoreCall) {
        self.election.record_call();
        self.last_call_at = now;
        if call.reason != ReadReason::Changes {
            let event = FleetEvent::StoreCalled {
                order: call.query.as_str(),
                reason: call.reason,
                known_revision: number_of(self.list.head()),
                confirmed_age_ms: self.confirmation_age_ms(now),
                rank: self.estimated_rank(now),
            };
            self.effects.push(FleetEffect::LogEvent(event));
        }
        self.effects.push(FleetEffect::CallStore(call));
    }

    /// Reads a first list by a query that is cheap for the store and may return a stale list.
    ///
    /// This doesn't make the instance a reader: peers confirm whether the list is the newest.
    fn read_first_list(&mut self, now: ClockTime) {
        if self.election.is_call_pending() || !self.first_read_at.is_past(now) {
            return;
        }
        let (query, reason) = match self.full_read_reason {
            Some(reason) => (StoreQuery::All, reason),
            None if self.partial_list.was_received() => {
                (StoreQuery::Remainder, ReadReason::Remainder)
            }
            None => (StoreQuery::FirstPage, ReadReason::Start),
        };
        self.call_store(now, StoreCall { query, reason });
    }

    /// Returns the estimated number of instances that are ranked before this one.
    ///
    /// In a large fleet only few instances are heard from at a time, and among those alone each
    /// instance would have a good rank. The rank is therefore scaled to the size of the fleet.
    fn estimated_rank(&self, now: ClockTime) -> usize {
        let live_count = self.peers.live_peers(now).count();
        let rank = self.election.rank_among(self.peers.live_peers(now));
        rank * self.peers.estimated_fleet_size().max(live_count) / live_count.max(1)
    }

    /// Returns the time at which this instance starts to read unless the list is confirmed before.
    pub(crate) fn reading_starts_at(&self, now: ClockTime) -> ClockTime {
        let at = match self.confirmed_at {
            Some(at) => at.after_millis(self.options.takeover_ms),
            None => self.first_read_at.after_millis(FIRST_CONFIRMATION_TIMEOUT_MS),
        };
        if let Some(refused_at) = self.store_needed_since {
            return refused_at.after_millis(self.outdated_read_delay_ms(now));
        }
        if self.election.is_behind(now, self.list.head()) {
            return at.max(self.transfer_stalled_at).after_millis(self.outdated_read_delay_ms(now));
        }
        if self.confirmed_at.is_none() && self.peers.live_peers(now).next().is_none() {
            return at.max(self.isolation_assumed_at);
        }
        at.after_millis(ReaderElection::takeover_delay_ms(self.estimated_rank(now)))
    }

    /// Returns how long this instance waits while its list is outdated, in milliseconds.
    ///
    /// Peers with newer rows can't help once nothing has come from them for some time; the rank
    /// only keeps a whole fleet from calling the store at the same moment.
    fn outdated_read_delay_ms(&self, now: ClockTime) -> u64 {
        let fleet_size = self.peers.estimated_fleet_size().max(1);
        OUTDATED_READ_SPREAD_MS * self.estimated_rank(now).min(fleet_size) as u64
            / fleet_size as u64
    }

    /// Records that peers are sending newer rows.
    pub(crate) fn record_transfer_progress(&mut self, now: ClockTime) {
        self.transfer_stalled_at = now.after_millis(TRANSFER_STALL_TIMEOUT_MS);
    }

    /// Returns the next call to the store, for everything or for changes.
    fn next_store_call(&self, now: ClockTime) -> StoreCall {
        let is_outdated =
            self.confirmed_at.is_some_and(|at| at.after_millis(FULL_READ_AGE_MS).is_past(now));
        let fits_one_response = self.list.len() <= MAX_SINGLE_RESPONSE_ROWS;
        let outdated_reason = (is_outdated && fits_one_response).then_some(ReadReason::Outdated);
        if let Some(reason) = self.full_read_reason.or(outdated_reason) {
            return StoreCall { query: StoreQuery::All, reason };
        }
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.watch_ms).is_past(now));
        let (wait_ms, reason) = match is_confirmed {
            true => (self.options.watch_ms, ReadReason::Changes),
            false => (REVISION_CHECK_WAIT_MS, ReadReason::Unconfirmed),
        };
        StoreCall { query: StoreQuery::Watch { after: self.list.head(), wait_ms }, reason }
    }

    /// Applies a response of the store, and disseminates what it changed.
    pub(crate) fn apply_store_reading(
        &mut self,
        now: ClockTime,
        query: StoreQuery,
        reading: ListReading,
    ) {
        let reading = match query {
            StoreQuery::Remainder => self.partial_list.join_remainder(reading),
            _ => Some(reading),
        };
        let Some(reading) = reading else { return self.handle_unusable_remainder(now) };
        self.log_reading(now, query, &reading);
        let known = epoch_of(self.list.head());
        if reading.epoch() < known {
            // A response from before the store was restored from a backup confirms nothing.
            let error = SourceError::OlderEpoch { answered: reading.epoch(), known };
            return self.handle_store_failure(now, &error);
        }
        self.record_store_success(now);
        let scope = match query {
            StoreQuery::All => ReadingScope::Complete,
            StoreQuery::FirstPage | StoreQuery::Remainder | StoreQuery::Watch { .. } => {
                ReadingScope::Changes
            }
        };
        for item in self.refused_table.record_reading(&reading, scope) {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ItemRefused(item)));
        }
        if reading.is_partial {
            return self.apply_partial_list(now, reading);
        }
        let former_head = self.list.head();
        let head = reading.head;
        let confirmed_at = self.state_time(now, &reading);
        let contains_first_page = query == StoreQuery::Remainder;
        if former_head == 0 && head < self.partial_list.head() && !contains_first_page {
            // The list is older than the partial list that is used already.
            self.first_read_at = now.after_millis(FIRST_READ_RETRY_MS);
            return;
        }
        self.retain_config_across_restore(head);
        let (rows, is_newest) = match query {
            StoreQuery::FirstPage | StoreQuery::Remainder => {
                (self.list.apply_reading(now, reading), false)
            }
            StoreQuery::All => {
                self.full_read_reason = None;
                (self.list.apply_reading(now, reading), true)
            }
            StoreQuery::Watch { .. } => (self.list.apply_watch(now, reading), true),
        };
        if is_newest {
            self.record_own_confirmation(confirmed_at, head);
        }
        if former_head > 0 && (1..=MAX_DELAYED_CHANGES).contains(&rows.len()) {
            self.election.delay_next_call(now);
        }
        self.update_confirmation();
        self.publish_changed_rows(now, rows, former_head, "store".to_owned());
        if self.confirmed_at.is_none() {
            // Wait for peers to confirm that this first list is the newest.
            self.first_read_at = now;
        }
        if self.election.is_reading() && self.election.is_redundant(now) {
            let readers = self.election.other_readers(now).count();
            self.election.stop_reading();
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ReadingEnded { readers }));
        }
        self.update_origin = UpdateOrigin::SameCentre;
        self.disseminate_widely(now, former_head);
    }

    fn record_store_success(&mut self, now: ClockTime) {
        let failures = self.election.record_success(now);
        if failures > 0 {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::StoreRegained { failures }));
        }
    }

    /// Handles pages that don't complete the first one: the store was restored in between, or a
    /// peer has sent the list.
    fn handle_unusable_remainder(&mut self, now: ClockTime) {
        self.record_store_success(now);
        if self.list.head() == 0 {
            self.full_read_reason = Some(ReadReason::HistoryGone);
        }
    }

    /// Logs a change of the store's epoch, pages of different revisions, and a response that is
    /// older than the known list.
    fn log_reading(&mut self, now: ClockTime, query: StoreQuery, reading: &ListReading) {
        let known_head = self.list.head();
        let epoch = reading.epoch();
        if self.store_epoch != Some(epoch) {
            let former_epoch = self.store_epoch.replace(epoch);
            self.effects.push(FleetEffect::LogEvent(FleetEvent::StoreEpochChanged {
                epoch,
                former_epoch,
                revision: number_of(reading.head),
                known_revision: number_of(known_head),
            }));
        }
        if reading.head < reading.newest_head {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::PagesDiffer {
                order: query.as_str(),
                oldest_revision: number_of(reading.head),
                newest_revision: number_of(reading.newest_head),
                items: reading.items.len(),
                known_revision: number_of(known_head),
            }));
        }
        if reading.head < known_head {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ResponseIgnored {
                order: query.as_str(),
                epoch,
                revision: number_of(reading.head),
                items: reading.items.len(),
                known_revision: number_of(known_head),
                confirmed_age_ms: self.confirmation_age_ms(now),
            }));
        }
    }

    /// Returns the latest time at which the store's state was certainly that of its response.
    ///
    /// A response that arrives after the maximum wait and delay was held up by a pause of this
    /// process of unknown length, and the store has changed since the first page if a later one is
    /// newer. Only the time of the call is certain then.
    fn state_time(&self, now: ClockTime, reading: &ListReading) -> ClockTime {
        let max_response_ms = self.options.watch_ms + MAX_RESPONSE_DELAY_MS;
        let is_late = self.last_call_at.after_millis(max_response_ms).is_past(now);
        let is_uneven = reading.head < reading.newest_head;
        if is_late || is_uneven { self.last_call_at } else { now }
    }

    /// Records that the store's newest revision was `head` at a time.
    fn record_own_confirmation(&mut self, confirmed_at: ClockTime, head: u64) {
        self.response_serial += 1;
        let reader = self.descriptor.clone();
        self.election.record_confirmation(StoreConfirmation {
            reader,
            serial: self.response_serial,
            confirmed_at,
            head,
        });
    }

    /// Handles a failed call, and leaves reading to others if the store responds to them.
    pub(crate) fn handle_store_failure(&mut self, now: ClockTime, error: &SourceError) {
        self.store_needed_since = None;
        if *error == SourceError::HistoryGone {
            self.full_read_reason = Some(ReadReason::HistoryGone);
            self.election.record_success(now);
            return;
        }
        if self.election.failures() == 0 {
            let confirmed_age_ms = self.confirmation_age_ms(now);
            let error = error.to_string();
            self.effects
                .push(FleetEffect::LogEvent(FleetEvent::StoreLost { error, confirmed_age_ms }));
        }
        let is_unusable = matches!(error, SourceError::Timeout(_) | SourceError::Malformed(_));
        if is_unusable && self.list.head() > 0 {
            self.full_read_reason.get_or_insert(ReadReason::Unanswered);
        }
        let rank = self.estimated_rank(now);
        self.election.record_failure(now, rank);
        self.first_read_at = now.after_millis(FIRST_READ_RETRY_MS);
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.takeover_ms).is_past(now));
        if is_confirmed {
            // The store responds to other instances, so reading it is left to them.
            let readers = self.election.other_readers(now).count();
            self.election.stop_reading();
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ReadingEnded { readers }));
        }
    }
}
