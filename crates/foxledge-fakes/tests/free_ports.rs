//! Addresses that tests give to the processes that they start.

use std::net::{Ipv4Addr, UdpSocket};

use foxledge_fakes::harness::free_address;

/// Sockets on all addresses that are given ports by the system, as callers have.
const CALLERS: usize = 300;

// Symptom: one test of a hundred ends with "address in use", mostly beside others.
// Sequence: a port is chosen for an instance; before the instance binds it, a caller of another
//   test opens a socket on all addresses and is given the same port.
// Cause: the port was one of those that the system gives out.
#[test]
fn callers_take_none() -> anyhow::Result<()> {
    let addresses = (0..100).map(|_| free_address()).collect::<anyhow::Result<Vec<_>>>()?;
    let bind = |_| UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0));
    let callers = (0..CALLERS).map(bind).collect::<Result<Vec<_>, _>>()?;
    let lowest = callers.iter().map(|socket| socket.local_addr().map(|own| own.port()));
    let lowest = lowest.collect::<Result<Vec<_>, _>>()?.into_iter().min();
    for address in addresses {
        assert!(Some(address.port()) < lowest, "{address} may be given to a caller");
        UdpSocket::bind(address)?;
    }
    Ok(())
}
