//! What the parts of the packets' tree share.

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

/// Delay of a timer that shows that the process stood still, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// `PacketAdapters` translate between foxledge and the platform it runs on.
pub struct PacketAdapters {
    /// The form of packets.
    pub codec: Box<dyn PacketCodec>,
    /// Makes a reader of the published list.
    pub source: SourceFactory,
}

/// `SourceFactory` makes a reader of the published list from the settings.
pub type SourceFactory = Box<dyn Fn(&PacketSettings) -> Box<dyn ListSource>>;

/// `PacketContext` is what every part can reach, and what outlives a failed part.
pub struct PacketContext {
    /// The settings.
    pub settings: RefCell<PacketSettings>,
    /// Where they were read.
    pub settings_path: PathBuf,
    /// The process's clock.
    pub clock: BootClock,
    /// What is specific to the platform.
    pub adapters: PacketAdapters,
    /// Packets of callers.
    pub data: UdpSocket,
    /// Messages of instances.
    pub peer: UdpSocket,
    /// The metrics.
    pub metrics: Arc<PacketMetrics>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// The log.
    pub log: RefCell<EventLog>,
    /// List and fleet as they are known. They outlive the part that keeps them,
    /// so that a restart of it can't bring back an older list.
    pub member: RefCell<FleetMember>,
    /// When the next timer of the fleet part is due: a turn much later shows that
    /// the process stood still.
    pub next_timer_at: Cell<ClockTime>,
    /// The last pause that was noticed: its end and its length.
    pub last_pause: Cell<(ClockTime, Duration)>,
    /// When the last packet of a caller came.
    pub last_packet_at: Cell<ClockTime>,
    /// Orders for the side thread.
    pub side_commands: UnboundedSender<SideCommand>,
    /// The present actor of each part.
    pub directory: PartDirectory,
    /// Where audit entries go.
    pub audit: OnceCell<Fwd<AuditChange>>,
}

impl PacketContext {
    /// Logs a change of what the process is or believes.
    pub fn log_event<T: Serialize>(&self, kind: &'static str, event: &T) {
        self.log.borrow_mut().log_event(self.clock.now(), kind, event);
    }

    /// Puts a change into the audit trail.
    pub fn record(&self, change: AuditChange) {
        if let Some(audit) = self.audit.get() {
            audit.fwd(change);
        }
    }

    /// Time by which a timer is late, if so late that the process stood still.
    pub fn detect_pause(&self) -> Option<Duration> {
        let now = self.clock.now();
        let is_late = self.next_timer_at.get().after_millis(PAUSE_THRESHOLD_MS).is_past(now);
        is_late.then(|| now.since(self.next_timer_at.get()))
    }

    /// Time that the process has just stood still for; zero when it ran.
    pub fn recent_pause(&self) -> Duration {
        let (ended_at, length) = self.last_pause.get();
        let is_recent = !ended_at.after_millis(PAUSE_THRESHOLD_MS).is_past(self.clock.now());
        self.detect_pause().unwrap_or(if is_recent { length } else { Duration::ZERO })
    }

    /// Age of the store's last confirmation of the list, in milliseconds.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let confirmed = self.member.borrow().confirmed_at()?;
        Some(self.clock.now().since(confirmed).as_millis() as u64)
    }
}

/// `SharedContext` is the context as parts hold it.
pub type SharedContext = Rc<PacketContext>;
