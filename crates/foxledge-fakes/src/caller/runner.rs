//! The socket loop around [`LoadState`].

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use foxledge_core::time::ClockTime;
use tokio::net::UdpSocket;

use super::{load::LoadState, options::LoadOptions};
use crate::report::LoadReport;

/// Longest sleep between two looks at the state.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);
/// Datagrams taken at once before timers are looked at.
const BATCH: usize = 64;

/// Runs the load and returns its report.
pub async fn run_load(options: LoadOptions) -> anyhow::Result<LoadReport> {
    run_load_until(options, std::future::pending()).await
}

/// Runs the load, which ends early at `stop`: no more work arrives then, and what is open ends.
pub async fn run_load_until(
    options: LoadOptions,
    stop: impl Future<Output = ()>,
) -> anyhow::Result<LoadReport> {
    let mut stop = std::pin::pin!(stop);
    let mut is_stopped = false;
    let options = options.settled();
    let socket = UdpSocket::bind(unspecified(options.fabric)).await.context("caller: socket")?;
    let fabric = options.fabric;
    let started = Instant::now();
    let clock = || ClockTime::ZERO.after(started.elapsed());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut state = LoadState::new(clock(), unix.as_millis() as u64, options);
    while !state.is_finished(clock()) {
        let sleep = state.next_wake().remaining(clock()).min(LONGEST_SLEEP);
        tokio::select! {
            ready = socket.readable() => {
                ready?;
                receive_batch(&socket, fabric, &mut state, clock).await;
            }
            () = &mut stop, if !is_stopped => {
                is_stopped = true;
                state.end_load(clock());
            }
            () = tokio::time::sleep(sleep) => (),
        }
        send_all(&socket, fabric, state.on_wake(clock())).await;
    }
    let (datagrams, report) = state.finish(clock());
    send_all(&socket, fabric, datagrams).await;
    Ok(report)
}

/// Any address of the same family, and a free port.
pub(super) fn unspecified(fabric: SocketAddr) -> SocketAddr {
    match fabric {
        SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
        SocketAddr::V6(_) => SocketAddr::from(([0u16; 8], 0)),
    }
}

async fn receive_batch(
    socket: &UdpSocket,
    fabric: SocketAddr,
    state: &mut LoadState,
    clock: impl Fn() -> ClockTime,
) {
    let mut buffer = [0; 2048];
    for _ in 0..BATCH {
        let Ok((size, _)) = socket.try_recv_from(&mut buffer) else { return };
        send_all(socket, fabric, state.on_datagram(clock(), &buffer[..size])).await;
    }
}

/// A datagram that can't be sent is as good as lost, which the protocol expects.
async fn send_all(socket: &UdpSocket, fabric: SocketAddr, datagrams: Vec<Vec<u8>>) {
    for bytes in datagrams {
        let _ = socket.send_to(&bytes, fabric).await;
    }
}
