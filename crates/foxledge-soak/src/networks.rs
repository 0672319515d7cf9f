//! Loopback networks, of which each run reserves one.

use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    ops::RangeInclusive,
};

use anyhow::{Result, bail};

use crate::world::DATA_PORT;

/// The values of N for which a run may use the network 127.N.x.x.
const NETWORK_RANGE: RangeInclusive<u8> = 10..=240;
/// The number of instances in the largest run.
const MAX_INSTANCES: u8 = 100;
/// The port that a run binds to lock its network against other runs.
const LOCK_PORT: u16 = 7_099;

fn is_unused(net: u8) -> bool {
    let addresses = (1..=MAX_INSTANCES).map(|low| Ipv4Addr::new(127, net, 1, low));
    addresses.into_iter().all(|ip| UdpSocket::bind((ip, DATA_PORT)).is_ok())
}

/// Reserves a network that no other run uses, of this process or another, by a bound socket.
pub(crate) fn reserve_network() -> Result<(u8, UdpSocket)> {
    let first = (std::process::id() % 200) as u8;
    let nets = NETWORK_RANGE.skip(usize::from(first)).chain(NETWORK_RANGE);
    for net in nets {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, net, 0, 1), LOCK_PORT);
        let Ok(lock) = UdpSocket::bind(address) else { continue };
        if is_unused(net) {
            return Ok((net, lock));
        }
    }
    bail!("every network of loopback is taken")
}
