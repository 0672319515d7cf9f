//! Feeds: items are pushed to where the caller was heard last.
//!
//! Items are numbered by wall-clock time, so every target of a service goes on at the same
//! position when a feed is reopened there.

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason, RunOutcome};

use super::{
    content::feed_payload,
    dispatches::{DispatchState, FeedState},
    sends::refusal_of,
    state::{BackendState, WakeCause},
};

/// Silence of the caller after which a feed is closed, in milliseconds.
pub const FEED_IDLE_MS: u64 = 15_000;
/// Most items sent at once.
const PUSH_BATCH: u64 = 32;
/// Time between two batches for a feed that lags, in milliseconds.
const CATCH_UP_MS: u64 = 2;
/// Time between two `GO_AWAY`s to a feed that stays, in milliseconds.
const GO_AWAY_AGAIN_MS: u64 = 1000;

impl BackendState {
    /// Number of the newest item at `now`.
    pub fn feed_position(&self, now: ClockTime) -> u64 {
        (self.options.origin_us + now.as_micros()) / (self.options.feed_ms * 1000)
    }

    pub(super) fn open_feed(&mut self, now: ClockTime, packet: &Packet) {
        let newest = self.feed_position(now);
        let sent = if packet.sequence == 0 { newest.saturating_sub(1) } else { packet.sequence };
        let idle_at = now.after_millis(FEED_IDLE_MS);
        if let Some(entry) = self.entries.get_mut(&packet.dispatch) {
            entry.state = DispatchState::Feed(FeedState { sent, idle_at });
        }
        self.send_ack(now, packet.dispatch);
        self.wakes.insert((idle_at, WakeCause::FeedIdle(packet.dispatch)));
        self.push_feed(now, packet.dispatch);
    }

    /// A heartbeat, or a copy of the opening packet: what follows its `sequence` is sent again.
    pub(super) fn on_feed_packet(&mut self, now: ClockTime, packet: &Packet) {
        let Some(feed) = self.feed_mut(packet.dispatch) else { return };
        feed.idle_at = now.after_millis(FEED_IDLE_MS);
        let rewinds = packet.sequence != 0 && packet.sequence < feed.sent;
        if rewinds {
            feed.sent = packet.sequence;
        }
        self.send_ack(now, packet.dispatch);
        if rewinds {
            self.send_items(now, packet.dispatch);
        }
    }

    /// Sends what is due and plans the next push.
    pub(super) fn push_feed(&mut self, now: ClockTime, dispatch: u64) {
        self.send_items(now, dispatch);
        let newest = self.feed_position(now);
        let Some(feed) = self.feed_mut(dispatch) else { return };
        let lags = feed.sent < newest;
        let next = if lags { now.after_millis(CATCH_UP_MS) } else { self.time_of(newest + 1) };
        self.wakes.insert((next, WakeCause::FeedPush(dispatch)));
    }

    fn send_items(&mut self, now: ClockTime, dispatch: u64) {
        let newest = self.feed_position(now);
        let Some(feed) = self.feed_mut(dispatch) else { return };
        let from = feed.sent + 1;
        let to = newest.min(feed.sent + PUSH_BATCH);
        feed.sent = feed.sent.max(to);
        for sequence in from..=to {
            let payload = feed_payload(&self.options.service, sequence);
            self.send_for(now, dispatch, PacketKind::FeedItem, |item| {
                item.sequence = sequence;
                item.payload = payload;
            });
        }
    }

    fn time_of(&self, sequence: u64) -> ClockTime {
        let wall_us = sequence * self.options.feed_ms * 1000;
        ClockTime::from_micros(wall_us.saturating_sub(self.options.origin_us))
    }

    fn feed_mut(&mut self, dispatch: u64) -> Option<&mut FeedState> {
        match &mut self.entries.get_mut(&dispatch)?.state {
            DispatchState::Feed(feed) => Some(feed),
            _ => None,
        }
    }

    /// Closes a feed whose caller has gone without a word. Without this the connections of
    /// callers that died would fill the server; one would notice `connections` that never falls.
    pub(super) fn close_idle(&mut self, now: ClockTime, dispatch: u64) {
        let Some(feed) = self.feed_mut(dispatch) else { return };
        let idle_at = feed.idle_at;
        if !idle_at.is_past(now) {
            self.wakes.insert((idle_at, WakeCause::FeedIdle(dispatch)));
            return;
        }
        self.counts.idle_feeds += 1;
        let refusal = refusal_of(RunOutcome::Unknown, RefusalReason::TargetLost);
        if let Some(entry) = self.entries.get_mut(&dispatch) {
            entry.state = DispatchState::Refused(refusal);
        }
        self.note_end(now, dispatch);
        self.send_done(now, dispatch);
    }

    /// Asks every feed to reopen elsewhere, again and again until it has.
    pub(super) fn send_away(&mut self, now: ClockTime) {
        if !self.plan.go_away_at.is_some_and(|at| at.is_past(now)) {
            return;
        }
        let mut feeds: Vec<(u64, u64)> = self
            .entries
            .values()
            .filter_map(|entry| match &entry.state {
                DispatchState::Feed(feed) => Some((entry.dispatch, feed.sent)),
                _ => None,
            })
            .collect();
        // The table's order differs from run to run; effects must not.
        feeds.sort_unstable();
        for (dispatch, sent) in feeds {
            self.counts.sent_away += 1;
            self.send_for(now, dispatch, PacketKind::GoAway, |away| away.sequence = sent);
        }
        self.wakes.insert((now.after_millis(GO_AWAY_AGAIN_MS), WakeCause::GoAway));
    }
}
