//! Loopback addresses whose ports nothing else is given.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process,
    sync::{
        LazyLock, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use anyhow::bail;

/// Tries before giving up.
const TRIES: usize = 100;
/// First of the ports that are given out, and how many: below those that systems choose by
/// themselves, from 32,768 on as a rule.
///
/// A caller's socket on all addresses may be given any port that the system chooses, between
/// its choice here and its use by a started process, which then ends with "address in use".
const FIRST_PORT: u16 = 10_000;
const PORTS: u32 = 20_000;

/// Addresses given out by this process.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Held while a port is tried and while a process is started.
///
/// A process that another thread starts inherits the trial socket until it runs its own program.
/// Without the lock the port is still taken when the process it was chosen for binds it, which then
/// ends with "address in use".
static TRIAL: Mutex<()> = Mutex::new(());

/// Addresses given out by this process that something may not have bound yet.
///
/// The IP numbers repeat after 254 addresses. A large routed fleet asks for more before it starts
/// anything, and one would notice a link whose address is in use.
static TAKEN: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);

/// Keeps trial sockets out of processes that are being started.
pub(super) fn lock_trials() -> MutexGuard<'static, ()> {
    TRIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address on loopback whose port is free for both UDP and TCP.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let _trial = lock_trials();
    for _ in 0..TRIES {
        let address = next_address();
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free && TAKEN.lock().unwrap_or_else(PoisonError::into_inner).insert(address) {
            return Ok(address);
        }
    }
    bail!("no free port in {TRIES} tries")
}

/// A loopback address that follows from the process id and a count.
fn next_address() -> SocketAddr {
    let count = GIVEN.fetch_add(1, Ordering::Relaxed);
    let place = process::id().wrapping_mul(7_919).wrapping_add(count) % PORTS;
    SocketAddr::from((loopback_of(count), FIRST_PORT + place as u16))
}

/// A loopback IP number of this process's own, where the system has more than one.
fn loopback_of(count: u32) -> Ipv4Addr {
    let [_, _, middle, low] = process::id().to_be_bytes();
    // The second byte is from 1 to 254: neither 127.0.0.1 nor the broadcast address can come out.
    let own = Ipv4Addr::new(127, 1 + (count % 254) as u8, middle, low);
    match TcpListener::bind((own, 0)) {
        Ok(_) => own,
        // A system with 127.0.0.1 alone.
        Err(_) => Ipv4Addr::LOCALHOST,
    }
}
