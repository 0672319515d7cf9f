//! Tokens that name no backend server of the list.
//!
//! An instance that starts has never heard of backend servers that vanished before. Their callers
//! go on with the flows that they hold open, hear nothing from anybody, and wait until their
//! deadline. Such a flow is reset where it is sure that its backend server is gone.

use std::collections::HashMap;

use foxledge_core::time::ClockTime;

use crate::{
    backends::REMOVAL_GRACE_MS,
    decisions::{DropReason, FlowDecision, RefuseReason, ResetReason},
    mechanisms::RouterMechanism,
    packet::FlowPacket,
    router::FlowRouter,
};

/// By how much a confirmation of the list must be newer than the first packet with a token, in
/// milliseconds. Peers tell its age without the time of the way.
const CONFIRMED_AFTER_MS: u64 = 200;
/// How long a token that isn't asked for any more is remembered, in milliseconds: longer than
/// any deadline of callers.
const REMEMBERED_MS: u64 = 30_000;
/// Time until others are asked once more for a token, in milliseconds.
const ASK_AGAIN_MS: u64 = 500;
/// Most tokens remembered, at some 60 bytes each: all backend servers of a data centre of the
/// largest deployment.
const MOST_TOKENS: usize = 5_000;

/// `AbsentToken` is when packets came with a token that names nobody.
#[derive(Clone, Copy, Debug)]
struct AbsentToken {
    first: ClockTime,
    last: ClockTime,
    /// When others may be asked for it again.
    ask_at: ClockTime,
}

/// `UnknownTokens` is the tokens that name nobody.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnknownTokens {
    seen: HashMap<u32, AbsentToken>,
    /// Those for which others are to be asked.
    wanted: Vec<u32>,
}

impl UnknownTokens {
    /// Notes a token; returns when it was first seen, or none when there is no room for it.
    fn note(&mut self, now: ClockTime, token: u32) -> Option<ClockTime> {
        if self.seen.len() >= MOST_TOKENS && !self.seen.contains_key(&token) {
            self.seen.retain(|_, known| !known.is_forgotten(now));
            if self.seen.len() >= MOST_TOKENS {
                return None;
            }
        }
        let new = AbsentToken { first: now, last: now, ask_at: now };
        let known = self.seen.entry(token).or_insert(new);
        if known.is_forgotten(now) {
            *known = new;
        }
        known.last = now;
        if known.ask_at.is_past(now) {
            known.ask_at = now.after_millis(ASK_AGAIN_MS);
            self.wanted.push(token);
        }
        Some(known.first)
    }
}

impl AbsentToken {
    fn is_forgotten(&self, now: ClockTime) -> bool {
        self.last.after_millis(REMEMBERED_MS).is_past(now)
    }
}

impl FlowRouter {
    /// Tokens that name nobody here, for which others are to be asked now.
    pub fn drain_token_queries(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.unknown_tokens.wanted)
    }

    /// Why a flow that waits is ended because another backend server has the address of its own.
    ///
    /// One that vanished can't live where another registered since. The list must be as sure as
    /// for a refusal.
    pub(crate) fn replaced_reset_reason(
        &self,
        now: ClockTime,
        index: usize,
    ) -> Option<ResetReason> {
        let gone = self.backends.get(index)?.removed_at?;
        if !self.backends.is_replaced(index) || self.list_doubt(now).is_some() {
            return None;
        }
        Some(ResetReason::AddressTaken { gone_ms: now.since(gone).as_millis() as u64 })
    }

    /// Decides on a packet whose token names nobody; `may_repeat` tells that its route's requests
    /// may be repeated.
    ///
    /// As long as no list was confirmed, what is known may be a part, and most open flows' backend
    /// servers aren't in it: others know them.
    ///
    /// What the list must be for the flow to be reset:
    ///
    /// - known in full and confirmed lately, by an instance that didn't stand still since;
    /// - confirmed after the token was first seen, as the entry of a backend server is older
    ///   than its flows: one that just isn't known here yet is in the list by then;
    /// - confirmed for longer without a gap than entries that lapsed while the store was away
    ///   take to come back.
    ///
    /// Only data is answered: whoever sends none waits for nothing. Requests that can't be
    /// repeated aren't ended, as their callers couldn't do anything else before their deadline.
    pub(crate) fn handle_unknown_token(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        may_repeat: bool,
    ) -> FlowDecision {
        let unknown = FlowDecision::Drop(DropReason::UnknownToken);
        if packet.token == 0 {
            return unknown;
        }
        if self.confirmed_at.is_none() && self.has_mechanism(RouterMechanism::Relays) {
            return FlowDecision::Relay;
        }
        if packet.length == 0 {
            return unknown;
        }
        let first = self.unknown_tokens.note(now, packet.token);
        let is_absent = first.zip(self.confirmed_at).is_some_and(|(first, confirmed)| {
            first.after_millis(CONFIRMED_AFTER_MS).is_past(confirmed)
        });
        let is_list_sure =
            self.confirmed_since.is_some_and(|at| at.after_millis(REMOVAL_GRACE_MS).is_past(now));
        if !may_repeat || !is_absent || !is_list_sure || self.list_doubt(now).is_some() {
            return unknown;
        }
        FlowDecision::Refuse(RefuseReason::BackendVanished)
    }
}
