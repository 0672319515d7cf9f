//! The side thread: incoming and outgoing control calls, the platform watch, metrics and health.
//!
//! It runs its own tokio runtime, which tonic requires, and leaves all decisions to the
//! main loop: incoming queries are forwarded as [`LinkEvent`]s, and each
//! [`LinkCommand`] becomes one call with a deadline.

mod calls;
pub mod clients;
mod counted;
mod http;
pub mod messages;
mod server;
pub mod tls;
mod watch;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use foxledge_settings::TlsSettings;
use log::{info, warn};
use stakker::sync::Channel;
use tokio::{runtime, sync::mpsc, task::JoinSet};

use crate::{metrics::MetricSet, phase::PhaseCell, routes::RouteTable};

use self::{
    calls::CallRunner,
    clients::ClientPool,
    messages::{LinkCommand, LinkEvent, WatchCommand},
    tls::TlsFiles,
    watch::PlatformWatch,
};

/// Options of the side thread.
pub struct SideOptions {
    control: TcpListener,
    admin: TcpListener,
    seed: u64,
    platform_addresses: Vec<SocketAddr>,
    watch_timeout: Duration,
    reader: String,
    tls: Option<TlsSettings>,
    metrics: Arc<MetricSet>,
    phase: Arc<PhaseCell>,
    routes: RouteTable,
}

impl SideOptions {
    /// Creates options of a thread that serves these sockets.
    pub fn new(control: TcpListener, admin: TcpListener, seed: u64) -> SideOptions {
        SideOptions {
            control,
            admin,
            seed,
            platform_addresses: Vec::new(),
            watch_timeout: Duration::from_secs(10),
            reader: String::new(),
            tls: None,
            metrics: Arc::default(),
            phase: Arc::default(),
            routes: RouteTable::default(),
        }
    }

    /// Sets the addresses of the platform and the duration of one long poll.
    pub fn platform_addresses(mut self, platforms: Vec<SocketAddr>, wait_ms: u64) -> SideOptions {
        self.platform_addresses = platforms;
        self.watch_timeout = Duration::from_millis(wait_ms);
        self
    }

    /// Sets the reader name in requests to the platform.
    pub fn reader(mut self, reader: String) -> SideOptions {
        self.reader = reader;
        self
    }

    /// Sets the files for TLS between instances.
    pub fn tls(mut self, tls: Option<TlsSettings>) -> SideOptions {
        self.tls = tls;
        self
    }

    /// Sets the table of replaced addresses.
    pub fn routes(mut self, routes: RouteTable) -> SideOptions {
        self.routes = routes;
        self
    }

    /// Sets the metrics and the phase, which are shared with the main thread.
    pub fn shared(mut self, metrics: Arc<MetricSet>, phase: Arc<PhaseCell>) -> SideOptions {
        self.metrics = metrics;
        self.phase = phase;
        self
    }
}

/// Starts the side thread, which ends when the returned sender is dropped.
///
/// # Errors
///
/// Fails when the certificates can't be loaded or the thread can't be started.
pub fn start_side(
    options: SideOptions,
    events: Channel<LinkEvent>,
) -> io::Result<mpsc::UnboundedSender<LinkCommand>> {
    let (sender, commands) = mpsc::unbounded_channel();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let tls = TlsFiles::load(options.tls.clone()).map_err(io::Error::other)?;
    thread::Builder::new().name("side".to_owned()).spawn(move || {
        let notice = EndNotice { events: events.clone() };
        let result = runtime.block_on(run(options, tls, events, commands));
        if let Err(error) = result {
            warn!("link: {error}");
        }
        drop(notice);
    })?;
    Ok(sender)
}

/// Notifies the main loop when the thread ends, including by a panic.
struct EndNotice {
    events: Channel<LinkEvent>,
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        let reason = if thread::panicking() { "panic" } else { "end of its work" };
        self.events.send(LinkEvent::Ended(reason.to_owned()));
    }
}

async fn run(
    options: SideOptions,
    tls: TlsFiles,
    events: Channel<LinkEvent>,
    mut commands: mpsc::UnboundedReceiver<LinkCommand>,
) -> anyhow::Result<()> {
    let metrics = options.metrics.clone();
    let (bundle_sender, bundles) = tokio::sync::watch::channel(tls.bundle());
    let peers = ClientPool::new(metrics.clone(), bundles.clone(), options.routes.clone());
    let runner = CallRunner::new(peers.clone(), events.clone(), metrics.clone());
    let platform = PlatformWatch::new(
        &options.platform_addresses,
        options.watch_timeout,
        options.reader.clone(),
        metrics.clone(),
        events.clone(),
        options.seed,
    );
    let (watch_orders, orders) = tokio::sync::watch::channel(WatchCommand::Pause);
    let mut servers = JoinSet::new();
    let control = options.control.try_clone()?;
    servers.spawn(server::serve(control, bundles, runner.clone(), events.clone(), metrics.clone()));
    servers.spawn(http::serve(options.admin, metrics, options.phase, events));
    servers.spawn(tls.reload_on_change(bundle_sender));
    servers.spawn(platform.clone().run(orders));
    info!("link: control on {}", options.control.local_addr()?);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(LinkCommand::Watch(order)) => drop(watch_orders.send(order)),
                Some(command) => runner.start(command, &platform),
                None => return Ok(()),
            },
            // A server ends only on an error.
            ended = servers.join_next() => match ended {
                Some(Ok(Err(error))) => return Err(error),
                Some(Err(error)) => return Err(error.into()),
                _ => anyhow::bail!("a task of the side thread ended unexpectedly"),
            },
        }
    }
}
