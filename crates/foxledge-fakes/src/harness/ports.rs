//! Loopback ports, chosen by the system.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{LazyLock, Mutex, PoisonError},
};

use anyhow::bail;

/// Tries before giving up.
const TRIES: usize = 100;

/// Ports given out by this process.
///
/// A port is free again as soon as its trial socket closes. Without this record two calls could get
/// the same port, and one would notice a process that can't bind it.
static GIVEN_PORTS: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// An address on loopback whose port is free for both UDP and TCP.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    for _ in 0..TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_err() {
            continue;
        }
        let mut given = GIVEN_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if given.insert(address.port()) {
            return Ok(address);
        }
    }
    bail!("no free port in {TRIES} tries")
}
