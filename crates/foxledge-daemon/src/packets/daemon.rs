//! The process of the packet path: setup, main loop and queries of operators.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use foxledge_core::{audit::AuditChange, time::ClockTime};
use foxledge_gossip::{FleetMember, MemberOptions};
use foxledge_settings::PacketSettings;
use log::info;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::Value;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use stakker::{
    ActorOwn, Stakker, StopCause, actor, call, fwd_do, fwd_to, ret_shutdown,
    sync::{Channel, ChannelGuard},
};
use stakker_mio::{
    MioPoll,
    mio::{Events, Poll},
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::ProcessClock,
    directory::PartDirectory,
    listener::POLL_PRIORITY,
    phase::PhaseCell,
    sockets::{bind_tcp, bind_udp},
    supervisor::SupervisorOptions,
};

use super::{
    clock::BootClock,
    context::{PacketAdapters, PacketContext, SharedContext},
    event_log::EventLog,
    fleet_part::FleetPart,
    flow_part::FlowPart,
    lifecycle_part::LifecyclePart,
    metrics::PacketMetrics,
    part_kind::PacketSupervisor,
    parts::PacketParts,
    reports::{MemberReport, StatusReport},
    side::{OperatorQuery, SideEvent, SideThread},
};

const POLL_EVENT_CAPACITY: usize = 256;
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Capacity of the audit trail, in entries.
const MAX_AUDIT_ENTRIES: usize = 500;

/// The log line written when the process starts.
#[derive(Serialize)]
struct StartLine<'a> {
    event: &'static str,
    instance: &'a str,
    data_centre: &'a str,
    data: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
    seeds: usize,
    incarnation: u64,
}

/// A running instance of the packet path: the main loop and everything that it owns.
pub struct PacketDaemon {
    stakker: Stakker,
    poll: MioPoll,
    context: SharedContext,
    is_idle_pending: bool,
    is_io_pending: bool,
    _guards: Vec<ChannelGuard>,
    _root: ActorOwn<PacketSupervisor>,
}

impl PacketDaemon {
    /// Binds the sockets and starts every part.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound or a thread can't be started.
    pub fn start(
        settings: PacketSettings,
        path: PathBuf,
        adapters: PacketAdapters,
    ) -> Result<PacketDaemon> {
        // Registered first: an earlier signal would end the process without a planned stop.
        let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new().context("can't create the poll")?;
        let events = Events::with_capacity(POLL_EVENT_CAPACITY);
        let poll = MioPoll::new(&mut stakker, poll, events, POLL_PRIORITY)?;
        let (side_commands, commands) = mpsc::unbounded_channel();
        let context = make_context(settings, path, adapters, side_commands)?;
        let side_guard = start_side(&mut stakker, &context, commands)?;
        let signal_guard = watch_signals(&mut stakker, &context, signals)?;
        let root = start_root(&mut stakker, &context);
        let is_idle_pending = stakker.run(Instant::now(), false);
        Ok(PacketDaemon {
            stakker,
            poll,
            context,
            is_idle_pending,
            is_io_pending: false,
            _guards: vec![side_guard, signal_guard],
            _root: root,
        })
    }

    /// Runs the main loop until a planned stop has finished.
    ///
    /// # Errors
    ///
    /// Fails when polling fails or the root supervisor ends for another reason.
    pub fn run(&mut self) -> Result<()> {
        while self.stakker.not_shutdown() {
            let is_pending = self.is_idle_pending || self.is_io_pending;
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, is_pending);
            let (is_active, is_io_pending) = self.poll.poll(wait)?;
            self.is_io_pending = is_io_pending;
            self.is_idle_pending = self.stakker.run(Instant::now(), !is_active);
        }
        self.context.log.borrow_mut().write_pending();
        match self.stakker.shutdown_reason() {
            None | Some(StopCause::Stopped) => Ok(()),
            Some(cause) => bail!("the root supervisor ended: {cause}"),
        }
    }
}

fn make_context(
    settings: PacketSettings,
    path: PathBuf,
    adapters: PacketAdapters,
    side_commands: mpsc::UnboundedSender<super::side::SideCommand>,
) -> Result<SharedContext> {
    let clock = BootClock::start();
    let mut rng = StdRng::from_os_rng();
    let incarnation = rng.random();
    let options = MemberOptions::new(settings.peer_public, settings.data_centre.clone())
        .incarnation(incarnation)
        .link_mbps(settings.link_mbps)
        .seeds(settings.seeds.clone())
        .report_load(settings.shares_load)
        .seed(rng.random());
    let mut log = EventLog::to_stdout(settings.log_lines_per_s)?;
    let line = StartLine {
        event: "started",
        instance: &settings.name,
        data_centre: &settings.data_centre,
        data: settings.data.into(),
        peer: settings.peer.into(),
        store: settings.store.into(),
        seeds: settings.seeds.len(),
        incarnation,
    };
    log.log_event(clock.now(), "started", &line);
    log.log_warnings(clock.now(), &settings.warnings);
    log.write_pending();
    Ok(Rc::new(PacketContext {
        data: bind_udp("listen.data", settings.data.into())?,
        peer: bind_udp("listen.peer", settings.peer.into())?,
        settings: RefCell::new(settings),
        settings_path: path,
        clock,
        adapters,
        metrics: Arc::new(PacketMetrics::new()),
        phase: Arc::new(PhaseCell::default()),
        log: RefCell::new(log),
        member: RefCell::new(FleetMember::new(options, clock.now())),
        next_timer_at: Cell::new(ClockTime::MAX),
        last_pause: Cell::new((ClockTime::ZERO, Duration::ZERO)),
        last_packet_at: Cell::new(ClockTime::ZERO),
        side_commands,
        directory: PartDirectory::default(),
        audit: OnceCell::new(),
    }))
}

fn start_root(stakker: &mut Stakker, context: &SharedContext) -> ActorOwn<PacketSupervisor> {
    let seed = StdRng::from_os_rng().random();
    let options =
        SupervisorOptions::new(ProcessClock::start(), seed).audit_limit(MAX_AUDIT_ENTRIES);
    let starter = Box::new(PacketParts::new(context.clone()));
    let root = actor!(stakker, PacketSupervisor::init(options, starter), ret_shutdown!(stakker));
    context.directory.set(&root);
    // The root supervisor is created once, so the cell is empty.
    let _ = context.audit.set(fwd_to!([root], record() as (AuditChange)));
    root
}

fn start_side(
    stakker: &mut Stakker,
    context: &SharedContext,
    commands: mpsc::UnboundedReceiver<super::side::SideCommand>,
) -> Result<ChannelGuard> {
    let settings = context.settings.borrow();
    let admin = bind_tcp("listen.admin", settings.admin)?;
    let metrics_listener = settings.metrics.and_then(|address| bind_metrics(context, address));
    let shared = context.clone();
    let (events, guard) =
        Channel::new(stakker, fwd_do!(move |event| handle_side_event(&shared, event)));
    let side = SideThread {
        commands,
        source: (context.adapters.source)(&settings),
        admin,
        metrics_listener,
        metrics: context.metrics.clone(),
        phase: context.phase.clone(),
        events,
    };
    side.start().context("can't start the side thread")?;
    Ok(guard)
}

/// Binds the separate port for metrics; returns none when the address is in use.
///
/// A failure isn't fatal: callers can be served without this port, and the admin
/// address serves the metrics as well.
fn bind_metrics(context: &SharedContext, address: SocketAddr) -> Option<TcpListener> {
    match bind_tcp("listen.metrics", address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            let event = "metrics_unavailable";
            let error = format!("{error:#}");
            context.log_event(event, &serde_json::json!({ "event": event, "error": error }));
            None
        }
    }
}

fn handle_side_event(context: &SharedContext, event: SideEvent) {
    match event {
        SideEvent::StoreResponse(query, response) => {
            if let Some(fleet) = context.directory.get::<FleetPart>() {
                call!([fleet], handle_store_response(query, response));
            }
        }
        SideEvent::QueryReceived(query, sender) => answer_operator_query(context, query, sender),
        // Without the side thread, health checks get no response and the store isn't read,
        // so the process ends and the platform restarts it.
        SideEvent::Ended(why) => {
            context
                .log_event("side_ended", &serde_json::json!({ "event": "side_ended", "why": why }));
            context.log.borrow_mut().write_pending();
            if let Some(root) = context.directory.get::<PacketSupervisor>() {
                call!([root], fail_process(why));
            }
        }
    }
}

fn answer_operator_query(
    context: &SharedContext,
    query: OperatorQuery,
    sender: oneshot::Sender<Value>,
) {
    match query {
        OperatorQuery::Gauges => {
            set_gauges(context);
            let Some(flows) = context.directory.get::<FlowPart>() else { return };
            // The send fails when the client has disconnected, which is harmless; so below.
            let answer = Box::new(move || drop(sender.send(Value::Null)));
            call!([flows], set_gauges(answer));
        }
        OperatorQuery::Status => {
            let Some(flows) = context.directory.get::<FlowPart>() else { return };
            let shared = context.clone();
            let answer = Box::new(move |routing| {
                let report = status_report(&shared, routing);
                let _ = sender.send(serde_json::to_value(report).unwrap_or_default());
            });
            call!([flows], report_routes(answer));
        }
        OperatorQuery::Explain(key, token) => {
            let Some(flows) = context.directory.get::<FlowPart>() else { return };
            let answer = Box::new(move |report| {
                let _ = sender.send(serde_json::to_value(report).unwrap_or_default());
            });
            call!([flows], explain(key, token, answer));
        }
        OperatorQuery::Audit => {
            let Some(root) = context.directory.get::<PacketSupervisor>() else { return };
            let answer = Box::new(move |entries| {
                let _ = sender.send(serde_json::to_value(entries).unwrap_or_default());
            });
            call!([root], read_audit(0, MAX_AUDIT_ENTRIES, answer));
        }
    }
}

fn status_report(context: &SharedContext, routing: super::reports::RouteReport) -> StatusReport {
    let settings = context.settings.borrow();
    StatusReport {
        instance: settings.name.to_string(),
        data_centre: settings.data_centre.to_string(),
        phase: context.phase.as_str(),
        list: MemberReport::new(&context.member.borrow(), context.clock.now()),
        routing,
    }
}

fn set_gauges(context: &SharedContext) {
    let member = context.member.borrow();
    let metrics = &context.metrics;
    metrics.peers.set(member.peer_count() as i64);
    metrics.is_reader.set(i64::from(member.is_reading_store()));
    metrics.list_age_ms.set(context.confirmed_age_ms().map_or(-1, |age| age as i64));
    metrics.lines_suppressed.set(context.log.borrow().suppressed_lines() as i64);
}

/// Starts a thread that forwards signals to the lifecycle part.
fn watch_signals(
    stakker: &mut Stakker,
    context: &SharedContext,
    mut signals: Signals,
) -> Result<ChannelGuard> {
    let shared = context.clone();
    let forward = fwd_do!(move |signal: i32| {
        if let Some(life) = shared.directory.get::<LifecyclePart>() {
            call!([life], on_signal(signal));
        }
    });
    let (channel, guard) = Channel::new(stakker, forward);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            info!("life: signal {signal}");
            channel.send(signal);
        }
    })?;
    Ok(guard)
}
