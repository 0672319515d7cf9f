//! State that the parts of the request path share on the main thread.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use foxledge_core::{
    audit::AuditChange,
    lists::ListVersion,
    peers::{PeerInfo, PeerView},
};
use foxledge_members::ListSnapshot;
use foxledge_settings::DaemonSettings;
use rand::{RngCore, rngs::StdRng};
use stakker::Fwd;

use crate::{
    choices::route_table, clock::ProcessClock, directory::PartDirectory, metrics::MetricSet,
    phase::PhaseCell, routes::RouteTable, sockets::ListenSockets,
};

/// State that every part can access and that outlives a failed part.
pub struct DaemonContext {
    /// The settings of this process, read once at its start.
    pub settings: DaemonSettings,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The listening sockets.
    pub sockets: ListenSockets,
    /// The metrics.
    pub metrics: Arc<MetricSet>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// The running actor of each part, by which parts call each other.
    pub directory: PartDirectory,
    /// The record of this instance that peers receive. Its `state` isn't updated here and stays
    /// `Joining`; the current state follows from `phase`.
    pub local_info: RefCell<PeerInfo>,
    /// The newest accepted rule list, from which a restarted list manager continues.
    ///
    /// Without it, a restarted list manager would have no list, accept an older one
    /// from a lagging peer and spread it, so that the revision would go back.
    pub accepted_list: RefCell<Option<ListSnapshot>>,
    /// The newest view of the membership.
    pub peer_view: RefCell<Arc<PeerView>>,
    /// True while this instance reads the platform for its data centre.
    pub is_reader: Cell<bool>,
    /// True after a signal has requested a planned stop, until the life cycle reads it. Stored
    /// here so that the request isn't lost while that part is restarted.
    pub is_stop_requested: Cell<bool>,
    /// Replaced destination addresses, by which tests can cut traffic; otherwise empty.
    pub routes: RouteTable,
    seed_rng: RefCell<StdRng>,
    audit: OnceCell<Fwd<AuditChange>>,
}

impl DaemonContext {
    /// Creates the context of a starting process; `seed_rng` generates the seeds of the parts.
    pub fn new(
        settings: DaemonSettings,
        clock: ProcessClock,
        sockets: ListenSockets,
        local_info: PeerInfo,
        seed_rng: StdRng,
    ) -> Rc<DaemonContext> {
        Rc::new(DaemonContext {
            routes: route_table(&settings),
            settings,
            clock,
            sockets,
            metrics: Arc::new(MetricSet::new()),
            phase: Arc::new(PhaseCell::default()),
            directory: PartDirectory::default(),
            local_info: RefCell::new(local_info),
            accepted_list: RefCell::new(None),
            peer_view: RefCell::new(Arc::new(PeerView::default())),
            is_reader: Cell::new(false),
            is_stop_requested: Cell::new(false),
            seed_rng: RefCell::new(seed_rng),
            audit: OnceCell::new(),
        })
    }

    /// Returns a new seed for the random numbers of a starting part.
    pub fn next_seed(&self) -> u64 {
        self.seed_rng.borrow_mut().next_u64()
    }

    /// Sets the actor that records changes in the audit trail; changes before that are lost.
    pub fn set_audit(&self, audit: Fwd<AuditChange>) {
        // The root supervisor is created once, so the cell is empty.
        let _ = self.audit.set(audit);
    }

    /// Records a change in the audit trail.
    pub fn record(&self, change: AuditChange) {
        if let Some(audit) = self.audit.get() {
            audit.fwd(change);
        }
    }

    /// Returns the version of the newest accepted rule list, or revision 0 without one.
    pub fn list_version(&self) -> ListVersion {
        self.accepted_list
            .borrow()
            .as_ref()
            .map(|snapshot| snapshot.list().version)
            .unwrap_or_default()
    }
}
