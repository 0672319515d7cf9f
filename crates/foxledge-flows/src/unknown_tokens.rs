//! Flows whose token matches no listed backend server.
//!
//! An instance that has just started doesn't know backend servers that were removed before. Callers
//! that still hold flows to them get no response and wait until their deadline. Such a flow is
//! reset once the list proves that its backend server is gone.

use std::collections::HashMap;

use foxledge_core::time::ClockTime;

use crate::{
    backends::REMOVAL_GRACE_MS,
    decisions::{DropReason, FlowDecision, RefuseReason, ResetReason},
    mechanisms::RouterMechanism,
    packet::FlowPacket,
    router::FlowRouter,
};

/// How much newer than the first packet with a token a list confirmation must be, in milliseconds.
/// Peers report the age of a confirmation without the transfer time.
const MIN_CONFIRMATION_GAP_MS: u64 = 200;
/// The time, in milliseconds, after which a token without further packets is forgotten. It exceeds
/// every deadline of callers.
const TOKEN_TTL_MS: u64 = 30_000;
/// The time, in milliseconds, between two queries to peers about the same token.
const QUERY_INTERVAL_MS: u64 = 500;
/// The maximum number of remembered tokens, at about 60 bytes each. It covers all backend servers
/// of a data centre of the largest deployment.
const MAX_TOKENS: usize = 5_000;

/// The times at which packets with one unknown token arrived.
#[derive(Clone, Copy, Debug)]
struct TokenRecord {
    first_seen_at: ClockTime,
    last_seen_at: ClockTime,
    /// When peers may be queried again.
    next_query_at: ClockTime,
}

/// The tokens that match no listed backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnknownTokens {
    records: HashMap<u32, TokenRecord>,
    /// The tokens that peers are to be queried for.
    pending_queries: Vec<u32>,
}

impl UnknownTokens {
    /// Records a packet with a token. Returns when the token was first seen, or `None` if the table
    /// is full.
    fn record_token(&mut self, now: ClockTime, token: u32) -> Option<ClockTime> {
        if self.records.len() >= MAX_TOKENS && !self.records.contains_key(&token) {
            self.records.retain(|_, record| !record.is_expired(now));
            if self.records.len() >= MAX_TOKENS {
                return None;
            }
        }
        let new_record = TokenRecord { first_seen_at: now, last_seen_at: now, next_query_at: now };
        let record = self.records.entry(token).or_insert(new_record);
        if record.is_expired(now) {
            *record = new_record;
        }
        record.last_seen_at = now;
        if record.next_query_at.is_past(now) {
            record.next_query_at = now.after_millis(QUERY_INTERVAL_MS);
            self.pending_queries.push(token);
        }
        Some(record.first_seen_at)
    }
}

impl TokenRecord {
    fn is_expired(&self, now: ClockTime) -> bool {
        self.last_seen_at.after_millis(TOKEN_TTL_MS).is_past(now)
    }
}

impl FlowRouter {
    /// Returns the unknown tokens that peers are to be queried for now.
    pub fn drain_token_queries(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.unknown_tokens.pending_queries)
    }

    /// Returns why a stalled flow is reset if another backend server has the address of its own.
    ///
    /// A backend server that was removed can't be alive if another one has registered at its
    /// address since. The list must be as certain as for a refusal.
    pub(crate) fn replaced_reset_reason(
        &self,
        now: ClockTime,
        index: usize,
    ) -> Option<ResetReason> {
        let removed_at = self.backends.get(index)?.removed_at?;
        if !self.backends.is_replaced(index) || self.list_doubt(now).is_some() {
            return None;
        }
        Some(ResetReason::AddressTaken { gone_ms: now.since(removed_at).as_millis() as u64 })
    }

    /// Decides on a packet with an unknown token; `is_repeatable` is true if requests of its route
    /// are idempotent.
    ///
    /// Before the first list confirmation the known list may be partial and lack the backend
    /// servers of most open flows. The packet is then relayed to another instance.
    ///
    /// The flow is reset only if all of these hold:
    ///
    /// - The list is complete and was confirmed recently, and this process wasn't paused since.
    /// - The list was confirmed after the token was first seen. An entry is older than the flows of
    ///   its backend server, so a backend server that merely isn't known here yet is listed by
    ///   then.
    /// - Confirmations came without a gap for longer than entries that expired during a store
    ///   outage take to come back.
    ///
    /// Only data packets lead to a reset: a caller that sends no data awaits no response. Requests
    /// that aren't idempotent are never reset, as their callers couldn't do anything else before
    /// their deadline.
    pub(crate) fn handle_unknown_token(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        is_repeatable: bool,
    ) -> FlowDecision {
        let drop_packet = FlowDecision::Drop(DropReason::UnknownToken);
        if packet.token == 0 {
            return drop_packet;
        }
        if self.confirmed_at.is_none() && self.has_mechanism(RouterMechanism::Relays) {
            return FlowDecision::Relay;
        }
        if packet.length == 0 {
            return drop_packet;
        }
        let first_seen_at = self.unknown_tokens.record_token(now, packet.token);
        let is_missing_in_list =
            first_seen_at.zip(self.confirmed_at).is_some_and(|(first_seen_at, confirmed_at)| {
                first_seen_at.after_millis(MIN_CONFIRMATION_GAP_MS).is_past(confirmed_at)
            });
        let is_list_complete = self
            .confirmed_since
            .is_some_and(|since| since.after_millis(REMOVAL_GRACE_MS).is_past(now));
        if !is_repeatable
            || !is_missing_in_list
            || !is_list_complete
            || self.list_doubt(now).is_some()
        {
            return drop_packet;
        }
        FlowDecision::Refuse(RefuseReason::BackendVanished)
    }
}
