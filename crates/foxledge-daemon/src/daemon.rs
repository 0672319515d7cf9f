//! The process of the request path: setup and main loop.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use foxledge_core::{
    audit::{AuditChange, AuditKind},
    peers::{PeerInfo, PeerState},
};
use foxledge_settings::DaemonSettings;
use log::{info, warn};
use rand::{SeedableRng, rngs::StdRng};
use stakker::{ActorOwn, Stakker, StopCause, actor, fwd_to, ret_shutdown, sync::ChannelGuard};
use stakker_mio::{
    MioPoll,
    mio::{Events, Poll},
};

use crate::{
    clock::{ProcessClock, new_incarnation},
    context::DaemonContext,
    listener::POLL_PRIORITY,
    part_kind::DaemonSupervisor,
    parts::DaemonParts,
    signals::watch_signals,
    sockets::{ListenAddresses, ListenSockets},
    supervisor::SupervisorOptions,
};

const POLL_EVENT_CAPACITY: usize = 1024;
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// A running instance of the request path: the main loop and everything that it owns.
pub struct Daemon {
    stakker: Stakker,
    poll: MioPoll,
    context: Rc<DaemonContext>,
    pending: PendingWork,
    _signals: ChannelGuard,
    _root: ActorOwn<DaemonSupervisor>,
}

/// Work that is left over from the last run of the main loop and can continue at once.
#[derive(Clone, Copy, Debug, Default)]
struct PendingWork {
    /// The actor system has calls queued that run when nothing else is pending.
    has_idle_calls: bool,
    /// The poll has more I/O events to deliver.
    has_io: bool,
}

impl Daemon {
    /// Binds the sockets and starts every part.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound or a thread can't be started.
    pub fn start(settings: DaemonSettings) -> Result<Daemon> {
        let clock = ProcessClock::start();
        let sockets = ListenSockets::bind(&listen_addresses(&settings))?;
        let info = local_info(&settings, &sockets)?;
        info!("daemon: {} in {}, incarnation {}", info.name, info.data_centre, info.incarnation);
        for key in settings.trial.disabled_mechanisms() {
            warn!("daemon: trial.{key} is off, so its guarantee does not hold");
        }
        let seed_rng = StdRng::from_os_rng();
        let context = DaemonContext::new(settings, clock, sockets, info, seed_rng);

        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new().context("can't create the I/O poll")?;
        let events = Events::with_capacity(POLL_EVENT_CAPACITY);
        let poll = MioPoll::new(&mut stakker, poll, events, POLL_PRIORITY)?;
        let signals = watch_signals(&mut stakker, context.clone())?;
        let root = start_root(&mut stakker, &context);
        let has_idle_calls = stakker.run(Instant::now(), false);
        let pending = PendingWork { has_idle_calls, has_io: false };
        Ok(Daemon { stakker, poll, context, pending, _signals: signals, _root: root })
    }

    /// Runs the main loop until a planned stop has finished.
    ///
    /// # Errors
    ///
    /// Fails when polling fails or the root supervisor ends for another reason.
    pub fn run(&mut self) -> Result<()> {
        while self.stakker.not_shutdown() {
            self.run_once(MAX_POLL_WAIT)?;
        }
        match self.stakker.shutdown_reason() {
            None | Some(StopCause::Stopped) => {
                info!("daemon: stopped");
                Ok(())
            }
            Some(cause) => bail!("the root supervisor ended: {cause}"),
        }
    }

    /// Runs one iteration of the main loop: waits for events, up to `max_wait`, and handles them.
    ///
    /// # Errors
    ///
    /// Fails when polling fails.
    pub fn run_once(&mut self, max_wait: Duration) -> Result<()> {
        let is_pending = self.pending.has_idle_calls || self.pending.has_io;
        let wait = self.stakker.next_wait_max(Instant::now(), max_wait, is_pending);
        let (is_active, has_io) = self.poll.poll(wait)?;
        let has_idle_calls = self.stakker.run(Instant::now(), !is_active);
        self.pending = PendingWork { has_idle_calls, has_io };
        Ok(())
    }

    /// Returns the state that the parts share.
    pub fn context(&self) -> &Rc<DaemonContext> {
        &self.context
    }
}

fn start_root(stakker: &mut Stakker, context: &Rc<DaemonContext>) -> ActorOwn<DaemonSupervisor> {
    let options = SupervisorOptions::new(context.clock, context.next_seed())
        .audit_limit(context.settings.audit.entries);
    let starter = Box::new(DaemonParts::new(context.clone()));
    let root = actor!(stakker, DaemonSupervisor::init(options, starter), ret_shutdown!(stakker));
    context.directory.set(&root);
    context.set_audit(fwd_to!([root], record() as (AuditChange)));
    context.record(
        AuditChange::new(AuditKind::ProcessChanged, context.local_info.borrow().name.as_str())
            .with_values("", "joining")
            .with_cause("start", "daemon"),
    );
    root
}

fn listen_addresses(settings: &DaemonSettings) -> ListenAddresses {
    let listen = &settings.listen;
    ListenAddresses {
        data: listen.data,
        peer: listen.peer,
        control: listen.control,
        admin: listen.admin,
    }
}

fn local_info(settings: &DaemonSettings, sockets: &ListenSockets) -> Result<PeerInfo> {
    let addresses = sockets.addresses()?;
    Ok(PeerInfo {
        name: settings.instance.name.clone(),
        incarnation: new_incarnation(),
        refutation: 0,
        state: PeerState::Joining,
        data_centre: settings.instance.data_centre.clone(),
        data_address: addresses.data,
        peer_address: addresses.peer,
        control_address: addresses.control,
    })
}
