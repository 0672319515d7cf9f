//! State that the parts of the packet path share.

use std::{
    cell::{Cell, OnceCell, RefCell},
    net::UdpSocket,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use foxledge_core::{audit::AuditChange, time::ClockTime};
use foxledge_flows::{ListSource, PacketCodec};
use foxledge_gossip::FleetMember;
use foxledge_settings::PacketSettings;
use serde::Serialize;
use stakker::Fwd;
use tokio::sync::mpsc::UnboundedSender;

use crate::{directory::PartDirectory, phase::PhaseCell};

use super::{clock::BootClock, event_log::EventLog, metrics::PacketMetrics, side::SideCommand};

/// Lateness of a timer, in milliseconds, from which the process counts as having been paused.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// The adapters to the platform that foxledge runs on.
pub struct PacketAdapters {
    /// Parses and builds packets.
    pub codec: Box<dyn PacketCodec>,
    /// Creates a reader of the published list.
    pub source: SourceFactory,
}

/// Creates a reader of the published list from the settings.
pub type SourceFactory = Box<dyn Fn(&PacketSettings) -> Box<dyn ListSource>>;

/// State that every part can access and that outlives a failed part.
pub struct PacketContext {
    /// The settings.
    pub settings: RefCell<PacketSettings>,
    /// The file that the settings were read from.
    pub settings_path: PathBuf,
    /// The clock of the process.
    pub clock: BootClock,
    /// The adapters to the platform.
    pub adapters: PacketAdapters,
    /// The socket for packets of callers.
    pub data: UdpSocket,
    /// The socket for messages of other instances.
    pub peer: UdpSocket,
    /// The metrics.
    pub metrics: Arc<PacketMetrics>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// The structured event log.
    pub log: RefCell<EventLog>,
    /// The state of list and fleet. It outlives the fleet part, so that a restart of
    /// that part can't bring back an older list.
    pub member: RefCell<FleetMember>,
    /// When the next timer of the fleet part expires; a much later expiry shows that
    /// the process was paused.
    pub next_timer_at: Cell<ClockTime>,
    /// End and length of the last pause that was detected.
    pub last_pause: Cell<(ClockTime, Duration)>,
    /// When the last packet of a caller was received.
    pub last_packet_at: Cell<ClockTime>,
    /// Sends commands to the side thread.
    pub side_commands: UnboundedSender<SideCommand>,
    /// The running actor of each part.
    pub directory: PartDirectory,
    /// Forwards changes to the audit trail.
    pub audit: OnceCell<Fwd<AuditChange>>,
}

impl PacketContext {
    /// Logs an event that isn't a decision on a flow. Lines are rate limited by `kind`.
    pub fn log_event<T: Serialize>(&self, kind: &'static str, event: &T) {
        self.log.borrow_mut().log_event(self.clock.now(), kind, event);
    }

    /// Records a change in the audit trail.
    pub fn record(&self, change: AuditChange) {
        if let Some(audit) = self.audit.get() {
            audit.fwd(change);
        }
    }

    /// Returns by how much the timer is late if the process was paused meanwhile.
    pub fn detect_pause(&self) -> Option<Duration> {
        let now = self.clock.now();
        let is_late = self.next_timer_at.get().after_millis(PAUSE_THRESHOLD_MS).is_past(now);
        is_late.then(|| now.since(self.next_timer_at.get()))
    }

    /// Returns the length of a pause that has just ended, or zero without one.
    pub fn recent_pause(&self) -> Duration {
        let (ended_at, length) = self.last_pause.get();
        let is_recent = !ended_at.after_millis(PAUSE_THRESHOLD_MS).is_past(self.clock.now());
        self.detect_pause().unwrap_or(if is_recent { length } else { Duration::ZERO })
    }

    /// Returns the age of the store's last confirmation of the list, in milliseconds.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let confirmed_at = self.member.borrow().confirmed_at()?;
        Some(self.clock.now().since(confirmed_at).as_millis() as u64)
    }
}

/// A shared reference to the context.
pub type SharedContext = Rc<PacketContext>;
