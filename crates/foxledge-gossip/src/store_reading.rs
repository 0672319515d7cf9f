//! Reading the store: when, how, and what its answers change.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    ListReading, SourceError,
    revisions::{epoch_of, number_of},
    source::ReadMode,
};

use crate::{
    dissemination::UpdateOrigin,
    effects::{FleetEffect, FleetEvent, ReadReason, StoreCall, StoreQuery},
    election::{ReaderElection, StoreConfirmation},
    member::FleetMember,
    refused_items::ReadingScope,
};

/// Longest time that an answer takes beside what its watch waits, in milliseconds.
const SLOWEST_MS: u64 = 1_000;
/// Age of the last confirmation at which everything is read in place of changes,
/// in milliseconds.
///
/// A watch brings every list published since, whole, which is more than all of the store once
/// there are several.
const FAR_BEHIND_MS: u64 = 4_000;
/// Rows of a list that one answer of the store holds: a longer one takes several calls, and
/// changes are asked for first, however old the last confirmation is.
const SHORT_LIST: usize = 500;
/// Wait of a watch that only asks whether a list is still the newest, in milliseconds.
const GLANCE_MS: u64 = 20;
/// Changes that one message holds with room to spare: when more come between two calls, they
/// are read sooner, as what takes several messages is in force later.
const FEW_CHANGES: usize = 8;
/// Wait after a first reading that failed, in milliseconds.
const START_RETRY_MS: u64 = 250;
/// Time without rows from a peer after which an instance that is behind can't count on any, in
/// milliseconds.
const STALLED_MS: u64 = 500;
/// Time over which instances that are behind spread their calls, in milliseconds.
const BEHIND_SPREAD_MS: u64 = 500;
/// Wait for somebody's word that a first list is the newest, in milliseconds.
const UNSURE_MS: u64 = 100;

impl FleetMember {
    /// Begins to read when nobody has confirmed the list for too long, and calls when due.
    pub(crate) fn consider_reading(&mut self, now: ClockTime) {
        if self.descriptor.is_leaving {
            return;
        }
        if self.list.head() == 0 {
            return self.read_first(now);
        }
        if !self.election.is_reading() {
            let rank = self.rank(now);
            // The first to read after a start may be one with a narrow link.
            let relieves = rank == 0 && self.election.is_wider(now);
            if !relieves && !self.reading_starts_at(now).is_past(now) {
                return;
            }
            self.election.begin(now);
            let confirmed_age_ms = self.confirmation_age_ms(now);
            self.effects
                .push(FleetEffect::LogEvent(FleetEvent::ReadingBegun { confirmed_age_ms, rank }));
        }
        if self.election.call_at().is_some_and(|at| at.is_past(now)) {
            let call = self.next_call(now);
            self.call_store(now, call);
        }
    }

    fn call_store(&mut self, now: ClockTime, call: StoreCall) {
        self.election.called();
        self.called_at = now;
        if call.reason != ReadReason::Changes {
            let event = FleetEvent::StoreCalled {
                order: call.query.as_str(),
                reason: call.reason,
                known_revision: number_of(self.list.head()),
                confirmed_age_ms: self.confirmation_age_ms(now),
                rank: self.rank(now),
            };
            self.effects.push(FleetEffect::LogEvent(event));
        }
        self.effects.push(FleetEffect::CallStore(call));
    }

    /// Reads a first list, in the way that is cheap for the store and may be old.
    ///
    /// That doesn't make this instance a reader: whether the list is the newest
    /// is heard from peers.
    fn read_first(&mut self, now: ClockTime) {
        if self.election.is_waiting() || !self.first_read_at.is_past(now) {
            return;
        }
        let (order, reason) = match self.preview.was_received() {
            true => (StoreQuery::All(ReadMode::Serializable), ReadReason::Rest),
            false => (StoreQuery::FirstPage, ReadReason::Start),
        };
        self.call_store(now, StoreCall { query: order, reason });
    }

    /// Number of instances that are ranked before this one, as far as is known.
    ///
    /// Of a large fleet few are heard of at a time, and ranked among those alone each has a
    /// good rank. Those heard of stand for all others.
    fn rank(&self, now: ClockTime) -> usize {
        let live = self.peers.live(now).count();
        let rank = self.election.rank_among(self.peers.live(now));
        rank * self.peers.fleet_size().max(live) / live.max(1)
    }

    /// When this instance begins to read unless it hears of a confirmation before.
    pub(crate) fn reading_starts_at(&self, now: ClockTime) -> ClockTime {
        let at = match self.confirmed_at {
            Some(at) => at.after_millis(self.options.takeover_ms),
            None => self.first_read_at.after_millis(UNSURE_MS),
        };
        if self.election.is_behind(now, self.list.head()) {
            return at.max(self.transfer_stalled_at).after_millis(self.behind_patience_ms(now));
        }
        if self.confirmed_at.is_none() && self.peers.live(now).next().is_none() {
            return at.max(self.isolation_assumed_at);
        }
        at.after_millis(ReaderElection::patience_ms(self.rank(now)))
    }

    /// How long this instance waits beside others that are behind as well, in milliseconds.
    ///
    /// Those that have read what is new can't help once nothing has come for some time; the
    /// rank only keeps a whole fleet from reading in one moment.
    fn behind_patience_ms(&self, now: ClockTime) -> u64 {
        let fleet = self.peers.fleet_size().max(1);
        BEHIND_SPREAD_MS * self.rank(now).min(fleet) as u64 / fleet as u64
    }

    /// Notes that peers are at handing over what is newer.
    pub(crate) fn record_transfer_progress(&mut self, now: ClockTime) {
        self.transfer_stalled_at = now.after_millis(STALLED_MS);
    }

    /// The next call of the store: everything, or what changed.
    fn next_call(&self, now: ClockTime) -> StoreCall {
        let is_far_behind =
            self.confirmed_at.is_some_and(|at| at.after_millis(FAR_BEHIND_MS).is_past(now));
        let is_short = self.list.len() <= SHORT_LIST;
        let far_behind = (is_far_behind && is_short).then_some(ReadReason::FarBehind);
        if let Some(reason) = self.full_read_reason.or(far_behind) {
            return StoreCall { query: StoreQuery::All(ReadMode::Linearizable), reason };
        }
        let is_sure = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.watch_ms).is_past(now));
        let (wait_ms, reason) = match is_sure {
            true => (self.options.watch_ms, ReadReason::Changes),
            false => (GLANCE_MS, ReadReason::Unsure),
        };
        StoreCall { query: StoreQuery::Watch { after: self.list.head(), wait_ms }, reason }
    }

    /// Takes an answer of the store, and tells everybody what it brought.
    pub(crate) fn apply_store_reading(
        &mut self,
        now: ClockTime,
        order: StoreQuery,
        reading: ListReading,
    ) {
        self.note_reading(now, order, &reading);
        let known = epoch_of(self.list.head());
        if reading.epoch() < known {
            // What was true before the store came back from a copy confirms nothing.
            let error = SourceError::OlderEpoch { answered: reading.epoch(), known };
            return self.handle_store_failure(now, &error);
        }
        let failures = self.election.succeeded(now);
        if failures > 0 {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::StoreRegained { failures }));
        }
        let scope = match order {
            StoreQuery::All(_) => ReadingScope::Everything,
            StoreQuery::FirstPage | StoreQuery::Watch { .. } => ReadingScope::Changes,
        };
        for item in self.refused.record_reading(&reading, scope) {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ItemRefused(item)));
        }
        if reading.is_partial {
            return self.apply_partial_list(now, reading);
        }
        let former = self.list.head();
        let head = reading.head;
        if former == 0 && head < self.preview.head() {
            // Older than what serves already.
            self.first_read_at = now.after_millis(START_RETRY_MS);
            return;
        }
        self.retain_config_across_restore(head);
        let (rows, is_newest) = match order {
            StoreQuery::FirstPage => (self.list.apply_reading(now, reading), false),
            StoreQuery::All(mode) => {
                self.full_read_reason = None;
                (self.list.apply_reading(now, reading), mode == ReadMode::Linearizable)
            }
            StoreQuery::Watch { .. } => (self.list.apply_watch(now, reading), true),
        };
        if is_newest {
            self.claim(now, head);
        }
        if former > 0 && (1..=FEW_CHANGES).contains(&rows.len()) {
            self.election.expect_more(now);
        }
        self.update_confirmation();
        self.publish_changed_rows(now, rows, former, "store".to_owned());
        if self.confirmed_at.is_none() {
            // A first list: peers' word whether it is the newest is waited for.
            self.first_read_at = now;
        }
        if self.election.is_reading() && self.election.is_needless(now) {
            let readers = self.election.other_readers(now).count();
            self.election.end();
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ReadingEnded { readers }));
        }
        self.update_origin = UpdateOrigin::SameCentre;
        self.disseminate_widely(now, former);
    }

    /// Notes what an answer tells of the store's history, if that is news.
    fn note_reading(&mut self, now: ClockTime, order: StoreQuery, reading: &ListReading) {
        let known_revision = self.list.head();
        let epoch = reading.epoch();
        if self.store_epoch != Some(epoch) {
            let former_epoch = self.store_epoch.replace(epoch);
            self.effects.push(FleetEffect::LogEvent(FleetEvent::StoreEpochChanged {
                epoch,
                former_epoch,
                revision: number_of(reading.head),
                known_revision: number_of(known_revision),
            }));
        }
        if reading.head < known_revision {
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ReadingPassedOver {
                order: order.as_str(),
                epoch,
                revision: number_of(reading.head),
                items: reading.items.len(),
                known_revision: number_of(known_revision),
                confirmed_age_ms: self.confirmation_age_ms(now),
            }));
        }
    }

    /// Notes that the store has just answered this instance.
    ///
    /// An answer that comes later than any can came before a pause of this
    /// process, nobody knows when; it counts from the call.
    fn claim(&mut self, now: ClockTime, head: u64) {
        self.response_serial += 1;
        let is_late = self.called_at.after_millis(self.options.watch_ms + SLOWEST_MS).is_past(now);
        let at = if is_late { self.called_at } else { now };
        let card = self.descriptor.clone();
        self.election.record_confirmation(StoreConfirmation {
            reader: card,
            serial: self.response_serial,
            confirmed_at: at,
            head,
        });
    }

    /// Takes the failure of a call, and leaves reading to others if they are served.
    pub(crate) fn handle_store_failure(&mut self, now: ClockTime, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            self.full_read_reason = Some(ReadReason::HistoryGone);
            self.election.succeeded(now);
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
        let rank = self.rank(now);
        self.election.failed(now, rank);
        self.first_read_at = now.after_millis(START_RETRY_MS);
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| !at.after_millis(self.options.takeover_ms).is_past(now));
        if is_confirmed {
            // Others are served while this instance isn't.
            let readers = self.election.other_readers(now).count();
            self.election.end();
            self.effects.push(FleetEffect::LogEvent(FleetEvent::ReadingEnded { readers }));
        }
    }
}
