//! Queries for backend servers that were removed before an instance started.
//!
//! Callers continue flows that they have open to them, and an instance that has read its list from
//! the store doesn't know them: it can't tell where such packets belong. Instances that have been
//! running for longer remember removed backend servers for as long as flows last. They are queried
//! by the tokens in callers' packets, so that a start costs nothing if no caller has such a flow.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{rows::ListRow, token_of};
use prost::Message;
use rand::seq::IndexedRandom;

use crate::{
    effects::FleetEffect,
    fragments::MAX_SENT_ROW_BYTES,
    member::FleetMember,
    messages::{MessageBody, TokenQuery, TokenResponse},
    packing::RowPacker,
};

/// Maximum number of tokens in one query, of four bytes each.
const MAX_TOKENS: usize = 250;
/// Size of the rows in one response, in bytes.
const MAX_RESPONSE_ROW_BYTES: usize = 1_200;
/// Maximum number of responses to one query: enough for all its tokens, at some 45 bytes a row.
const MAX_RESPONSES: usize = 8;

impl FleetMember {
    /// Asks one instance of the local data centre and one of another which backend servers these
    /// tokens named. If all instances of a data centre have restarted, only others remember.
    pub fn query_removed_backends(&mut self, now: ClockTime, mut tokens: Vec<u32>) {
        tokens.truncate(MAX_TOKENS);
        if tokens.is_empty() {
            return;
        }
        let mut recipients = self.peers.pick_same_centre(&mut self.rng, now, 1);
        let remote = self.peers.pick_remote(&mut self.rng, 1);
        recipients.extend(remote.choose(&mut self.rng));
        for address in recipients {
            let tokens = tokens.clone();
            self.send_message(address, MessageBody::TokenQuery(TokenQuery { tokens }));
        }
    }

    /// Responds with the queried backend servers that were removed and are remembered here.
    pub(crate) fn handle_token_query(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        query: &TokenQuery,
    ) {
        let tokens = &query.tokens[..query.tokens.len().min(MAX_TOKENS)];
        let rows = self.list.removed_backends(now, |number| tokens.contains(&token_of(number)));
        let is_sendable = |row: &&ListRow| row.encoded_len() <= MAX_SENT_ROW_BYTES;
        let mut rows = rows.iter().filter(is_sendable).peekable();
        for _ in 0..MAX_RESPONSES {
            let (mut packer, mut size, mut count) = (RowPacker::default(), 0, 0);
            while let Some(row) = rows.peek() {
                size += packer.push(row);
                if size > MAX_RESPONSE_ROW_BYTES && count > 0 {
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

    /// Applies backend servers that were removed before this instance knew them.
    pub(crate) fn apply_removed_backends(&mut self, now: ClockTime, response: TokenResponse) {
        let rows = response.rows.map(|rows| rows.unpack()).unwrap_or_default();
        let applied = self.list.apply_removed_backends(now, rows);
        if !applied.is_empty() {
            self.effects.push(FleetEffect::ApplyRows(applied));
        }
    }
}
