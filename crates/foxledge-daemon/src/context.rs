//! What the parts share on the main thread.

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

/// `DaemonContext` is what every part can reach, and what outlives a failed part.
pub struct DaemonContext {
    /// The settings.
    pub settings: DaemonSettings,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The listening sockets.
    pub sockets: ListenSockets,
    /// The metrics.
    pub metrics: Arc<MetricSet>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// The present actor of each part.
    pub directory: PartDirectory,
    /// This instance; the state in it is that of the start.
    pub local_info: RefCell<PeerInfo>,
    /// The newest accepted list, kept for a list keeper that starts anew.
    ///
    /// Without it a list keeper that failed would begin with no list, take an
    /// older one from a peer that lags, and spread that; one would notice a
    /// revision that goes back.
    pub accepted_list: RefCell<Option<ListSnapshot>>,
    /// The newest view of membership.
    pub peer_view: RefCell<Arc<PeerView>>,
    /// True while this instance reads the platform for its data centre.
    pub is_reader: Cell<bool>,
    /// Set by a signal; kept here so that it isn't lost while the life cycle is started anew.
    pub is_stop_requested: Cell<bool>,
    /// Addresses that stand in for others.
    pub routes: RouteTable,
    seed_rng: RefCell<StdRng>,
    audit: OnceCell<Fwd<AuditChange>>,
}

impl DaemonContext {
    /// Makes the context of a process that starts.
    pub fn new(
        settings: DaemonSettings,
        clock: ProcessClock,
        sockets: ListenSockets,
        me: PeerInfo,
        seeds: StdRng,
    ) -> Rc<DaemonContext> {
        Rc::new(DaemonContext {
            routes: route_table(&settings),
            settings,
            clock,
            sockets,
            metrics: Arc::new(MetricSet::new()),
            phase: Arc::new(PhaseCell::default()),
            directory: PartDirectory::default(),
            local_info: RefCell::new(me),
            accepted_list: RefCell::new(None),
            peer_view: RefCell::new(Arc::new(PeerView::default())),
            is_reader: Cell::new(false),
            is_stop_requested: Cell::new(false),
            seed_rng: RefCell::new(seeds),
            audit: OnceCell::new(),
        })
    }

    /// A new seed for a part that starts.
    pub fn next_seed(&self) -> u64 {
        self.seed_rng.borrow_mut().next_u64()
    }

    /// Sets where changes are recorded.
    pub fn set_audit(&self, audit: Fwd<AuditChange>) {
        // The root supervisor is made once, so the cell is empty.
        let _ = self.audit.set(audit);
    }

    /// Records a change in the audit trail.
    pub fn record(&self, change: AuditChange) {
        if let Some(audit) = self.audit.get() {
            audit.fwd(change);
        }
    }

    /// Version of the list in force; revision 0 without one.
    pub fn list_version(&self) -> ListVersion {
        self.accepted_list.borrow().as_ref().map(|kept| kept.list().version).unwrap_or_default()
    }
}
