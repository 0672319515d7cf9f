//! Backend servers that vanished before an instance started.
//!
//! Callers go on with flows that they hold open to them, and an instance that has read its list
//! from the store has never heard of them: it can't tell where such packets belong. Others that
//! run for longer remember what vanished for as long as flows last. They are asked by the tokens
//! that callers send, so that a start costs nothing where nobody holds such a flow.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::token_of;
use rand::seq::IndexedRandom;

use crate::{
    effects::FleetEffect,
    member::FleetMember,
    messages::{MessageBody, TokenQuery, TokenResponse},
    packing::RowPacker,
};

/// Most tokens in one question, of four bytes each.
const MOST_TOKENS: usize = 250;
/// Bytes of rows in one answer.
const ANSWER_BUDGET: usize = 1_200;
/// Most answers to one question: what it asks for at most, at some 45 bytes a row.
const MOST_ANSWERS: usize = 8;

impl FleetMember {
    /// Asks one instance nearby and one elsewhere which backend servers these tokens named. Where
    /// a whole data centre has started anew, only others remember.
    pub fn query_removed_backends(&mut self, now: ClockTime, mut tokens: Vec<u32>) {
        tokens.truncate(MOST_TOKENS);
        if tokens.is_empty() {
            return;
        }
        let mut asked = self.peers.pick_same_centre(&mut self.rng, now, 1);
        let far = self.peers.pick_remote(&mut self.rng, 1);
        asked.extend(far.choose(&mut self.rng));
        for address in asked {
            let tokens = tokens.clone();
            self.send_message(address, MessageBody::TokenQuery(TokenQuery { tokens }));
        }
    }

    /// Answers with those of the asked that vanished and are remembered here.
    pub(crate) fn handle_token_query(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        question: &TokenQuery,
    ) {
        let asked = &question.tokens[..question.tokens.len().min(MOST_TOKENS)];
        let rows = self.list.removed_backends(now, |number| asked.contains(&token_of(number)));
        let mut rows = rows.iter().peekable();
        for _ in 0..MOST_ANSWERS {
            let (mut packer, mut size, mut count) = (RowPacker::default(), 0, 0);
            while let Some(row) = rows.peek() {
                size += packer.push(row);
                if size > ANSWER_BUDGET {
                    break;
                }
                count += 1;
                rows.next();
            }
            if count == 0 {
                return;
            }
            let rows = Some(packer.finish(count));
            self.send_message(from, MessageBody::TokenResponse(TokenResponse { rows }));
        }
    }

    /// Takes backend servers that vanished before this instance knew them.
    pub(crate) fn apply_removed_backends(&mut self, now: ClockTime, answer: TokenResponse) {
        let rows = answer.rows.map(|rows| rows.unpack()).unwrap_or_default();
        let taken = self.list.apply_removed_backends(now, rows);
        if !taken.is_empty() {
            self.effects.push(FleetEffect::ApplyRows(taken));
        }
    }
}
