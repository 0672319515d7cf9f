//! The socket loop around [`BackendState`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use foxledge_core::time::ClockTime;
use log::info;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::Notify,
};

use super::{
    options::BackendOptions,
    orders::{BackendOrder, BackendReply},
    state::{BackendEffect, BackendState},
};
use crate::control::serve_lines;

/// Longest sleep between two looks at the state.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);
/// Datagrams taken at once before timers are looked at.
const BATCH: usize = 64;
/// Limit of the planned stop that SIGTERM asks for, in milliseconds.
const STOP_LIMIT_MS: u64 = 10_000;

/// `BackendServer` is a running backend server: its sockets, clock and state.
pub struct BackendServer {
    socket: UdpSocket,
    control: TcpListener,
    shared: Arc<SharedState>,
}

struct SharedState {
    started: Instant,
    state: Mutex<BackendState>,
    ordered: Notify,
}

impl SharedState {
    fn now(&self) -> ClockTime {
        ClockTime::ZERO.after(self.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, order: BackendOrder) -> BackendReply {
        let reply = self.lock().on_order(self.now(), order);
        self.ordered.notify_one();
        reply
    }
}

impl BackendServer {
    /// Binds the sockets.
    pub async fn bind(
        listen: SocketAddr,
        control: SocketAddr,
        options: BackendOptions,
    ) -> anyhow::Result<BackendServer> {
        let place = || format!("backend {}: {listen}", options.name);
        let socket = UdpSocket::bind(listen).await.with_context(place)?;
        let control = TcpListener::bind(control).await.with_context(|| format!("{control}"))?;
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = BackendState::new(options.origin_us(origin.as_micros() as u64));
        let shared = SharedState {
            started: Instant::now(),
            state: Mutex::new(state),
            ordered: Notify::new(),
        };
        Ok(BackendServer { socket, control, shared: Arc::new(shared) })
    }

    /// Address of the data socket.
    pub fn data_address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Address of the control port.
    pub fn control_address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.control.local_addr()?)
    }

    /// Serves until a planned stop is over.
    pub async fn serve(self) -> anyhow::Result<()> {
        let BackendServer { socket, control, shared } = self;
        let orders = shared.clone();
        tokio::spawn(serve_lines(control, move |order| Ok(orders.carry_out(order))));
        let mut terminate = signal(SignalKind::terminate())?;
        while !shared.lock().is_finished(shared.now()) {
            tokio::select! {
                ready = socket.readable() => {
                    ready?;
                    receive_batch(&socket, &shared).await;
                }
                () = shared.ordered.notified() => (),
                () = tokio::time::sleep(sleep_span(&shared)) => (),
                _ = terminate.recv() => {
                    info!("backend: planned stop");
                    shared.lock().stop_gracefully(shared.now(), STOP_LIMIT_MS);
                }
            }
            let effects = shared.lock().on_wake(shared.now());
            carry_out_effects(&socket, effects).await;
        }
        info!("backend: stopped");
        Ok(())
    }
}

fn sleep_span(shared: &SharedState) -> Duration {
    let next = shared.lock().next_wake();
    next.map_or(LONGEST_SLEEP, |at| at.remaining(shared.now()).min(LONGEST_SLEEP))
}

async fn receive_batch(socket: &UdpSocket, shared: &SharedState) {
    let mut buffer = [0; 2048];
    for _ in 0..BATCH {
        let Ok((size, from)) = socket.try_recv_from(&mut buffer) else { return };
        let effects = shared.lock().on_datagram(shared.now(), from, &buffer[..size]);
        carry_out_effects(socket, effects).await;
    }
}

/// A datagram that can't be sent is as good as lost, which the protocol expects.
async fn carry_out_effects(socket: &UdpSocket, effects: Vec<BackendEffect>) {
    for BackendEffect::Send { to, bytes } in effects {
        let _ = socket.send_to(&bytes, to).await;
    }
}
