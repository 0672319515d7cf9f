//! Sealing and opening of tickets, flow tokens, datagrams and return paths.
//!
//! A sealed value is authenticated but not encrypted: it contains the encoded message, the id of
//! the key and a message authentication code. Opening verifies the code and decodes the message.

use prost::Message;

use foxledge_wire::flow::{FlowToken, PeerDatagram, ReturnPath, Sealed, Ticket};

use crate::{
    errors::{Error, Result},
    keys::{KeyRing, Purpose},
};

/// Seals a ticket.
pub fn seal_ticket(ring: &KeyRing, ticket: &Ticket) -> Result<Vec<u8>> {
    seal(ring, Purpose::Ticket, ticket)
}

/// Opens a ticket that was sealed with a published key.
pub fn open_ticket(ring: &KeyRing, bytes: &[u8]) -> Result<Ticket> {
    open(ring, Purpose::Ticket, bytes).map(|(ticket, _)| ticket)
}

/// Seals a flow token.
pub fn seal_token(ring: &KeyRing, token: &FlowToken) -> Result<Vec<u8>> {
    seal(ring, Purpose::Token, token)
}

/// Opens a flow token that was sealed with a published key.
pub fn open_token(ring: &KeyRing, bytes: &[u8]) -> Result<FlowToken> {
    open(ring, Purpose::Token, bytes).map(|(token, _)| token)
}

/// Seals a datagram between instances.
pub fn seal_datagram(ring: &KeyRing, datagram: &PeerDatagram) -> Result<Vec<u8>> {
    seal(ring, Purpose::Datagram, datagram)
}

/// Opens a datagram that was sealed with a published key.
pub fn open_datagram(ring: &KeyRing, bytes: &[u8]) -> Result<PeerDatagram> {
    open(ring, Purpose::Datagram, bytes).map(|(datagram, _)| datagram)
}

/// Seals a return path.
pub fn seal_path(ring: &KeyRing, path: &ReturnPath) -> Result<Vec<u8>> {
    seal(ring, Purpose::ReturnPath, path)
}

/// Opens a return path that was sealed with a published key.
pub fn open_path(ring: &KeyRing, bytes: &[u8]) -> Result<ReturnPath> {
    open(ring, Purpose::ReturnPath, bytes).map(|(path, _)| path)
}

/// Reseals a flow token with the newest key; returns `None` if it is sealed with that key already.
///
/// Feeds are flows that last longer than keys are published. Without resealing, a feed's token
/// could no longer be opened once its key is withdrawn, and the feed would break at the second
/// rotation after it was opened.
pub fn reseal_token(ring: &KeyRing, bytes: &[u8]) -> Result<Option<Vec<u8>>> {
    let (token, key_id) = open::<FlowToken>(ring, Purpose::Token, bytes)?;
    if ring.ids().last() == Some(&key_id) {
        return Ok(None);
    }
    seal_token(ring, &token).map(Some)
}

fn seal<M: Message>(ring: &KeyRing, purpose: Purpose, message: &M) -> Result<Vec<u8>> {
    let body = message.encode_to_vec();
    let (key_id, mac) = ring.sign(purpose, &body)?;
    Ok(Sealed { key_id, mac: mac.to_vec(), body }.encode_to_vec())
}

fn open<M: Message + Default>(ring: &KeyRing, purpose: Purpose, bytes: &[u8]) -> Result<(M, u32)> {
    let sealed = Sealed::decode(bytes).map_err(|_| Error::Malformed)?;
    ring.verify(sealed.key_id, purpose, &sealed.body, &sealed.mac)?;
    let message = M::decode(sealed.body.as_slice()).map_err(|_| Error::Malformed)?;
    Ok((message, sealed.key_id))
}
