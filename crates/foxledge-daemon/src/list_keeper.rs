//! The part that keeps the newest accepted list and has the platform watched.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use foxledge_core::lists::{ListVersion, RuleList};
use foxledge_engine::EnginePhase;
use foxledge_members::{ListEffect, ListSource, ListStore};
use foxledge_wire::control::{ListPart, Manifest};
use log::{debug, info};
use stakker::{CX, after, call};
use tokio::sync::oneshot;

use crate::{
    choices::list_options,
    context::DaemonContext,
    control_link::ControlLink,
    engine_part::EnginePart,
    member_keeper::MemberKeeper,
    part_kind::DaemonSupervisor,
    side::messages::{CallError, LinkCommand, WatchOrder},
};

const TICK: Duration = Duration::from_millis(100);

/// `ListKeeper` is the part that holds the [`ListStore`].
pub struct ListKeeper {
    context: Rc<DaemonContext>,
    store: ListStore,
    watch: WatchOrder,
}

impl ListKeeper {
    /// Makes the store, with the list that an earlier keeper had accepted.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<ListKeeper> {
        let options = list_options(&context.settings);
        let kept = context.kept_list.borrow().clone();
        let store = match kept {
            Some(kept) => ListStore::restore(options, kept),
            None => ListStore::new(options),
        };
        let mut keeper = ListKeeper { context, store, watch: WatchOrder::Pause };
        if let Some(list) = keeper.store.current_list() {
            keeper.accepted(list);
        }
        call!([cx], on_tick());
        Some(keeper)
    }

    /// Takes the version of the list that a peer holds.
    pub fn peer_version(&mut self, _cx: CX![], from: SocketAddr, version: ListVersion) {
        let effects = self.store.on_peer_version(self.context.clock.now(), from, version);
        self.carry_out(effects);
    }

    /// Takes the end of a manifest's fetch.
    pub fn manifest_fetched(
        &mut self,
        _cx: CX![],
        from: ListSource,
        outcome: Result<Manifest, CallError>,
    ) {
        let now = self.context.clock.now();
        let effects = match outcome {
            Ok(manifest) => self.store.on_manifest(now, from, manifest),
            Err(error) => {
                debug!("lists: no manifest from {from:?}: {error}");
                self.store.on_fetch_failed(now, from)
            }
        };
        self.carry_out(effects);
    }

    /// Takes the end of a fetch of parts.
    pub fn parts_fetched(
        &mut self,
        _cx: CX![],
        from: ListSource,
        outcome: Result<Vec<ListPart>, CallError>,
    ) {
        let now = self.context.clock.now();
        let effects = match outcome {
            Ok(parts) => self.store.on_parts(now, from, parts),
            Err(error) => {
                debug!("lists: no parts from {from:?}: {error}");
                self.store.on_fetch_failed(now, from)
            }
        };
        self.carry_out(effects);
    }

    /// Answers a peer that wants the manifest in force.
    pub fn manifest_asked(&mut self, _cx: CX![], answer: oneshot::Sender<Option<Manifest>>) {
        let _ = answer.send(self.store.manifest());
    }

    /// Answers a peer that wants parts.
    pub fn parts_asked(
        &mut self,
        _cx: CX![],
        digests: Vec<u64>,
        answer: oneshot::Sender<Vec<ListPart>>,
    ) {
        let _ = answer.send(self.store.parts(&digests));
    }

    /// Answers which list is in force and the newest heard of.
    pub fn newest_heard(&mut self, _cx: CX![], answer: stakker::Ret<(ListVersion, ListVersion)>) {
        stakker::ret!([answer], self.store.version(), self.store.newest_known_version());
    }

    /// Tells a side thread that was started anew what to watch.
    pub fn link_started(&mut self, _cx: CX![]) {
        self.watch = WatchOrder::Pause;
        self.order_watch();
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], on_tick());
        self.order_watch();
        let effects = self.store.on_tick(self.context.clock.now());
        self.carry_out(effects);
    }

    /// Watches while this instance is a reader, has no list at all, or hasn't served yet.
    fn order_watch(&mut self) {
        let has_list = self.store.version().revision > 0;
        let is_joining = self.context.phase.get() == EnginePhase::Joining;
        let wanted = self.context.is_reader.get() || !has_list || is_joining;
        let order = match wanted {
            true => WatchOrder::Run { after: self.store.version().revision },
            false => WatchOrder::Pause,
        };
        let was_running = self.watch != WatchOrder::Pause;
        if was_running == wanted {
            return;
        }
        self.watch = order;
        info!("lists: platform watch {}", if wanted { "starts" } else { "pauses" });
        self.send(LinkCommand::Watch(order));
    }

    fn carry_out(&mut self, effects: Vec<ListEffect>) {
        for effect in effects {
            match effect {
                ListEffect::FetchManifest { from } => {
                    self.send(LinkCommand::FetchManifest { from });
                }
                ListEffect::FetchParts { from, digests } => {
                    self.send(LinkCommand::FetchParts { from, digests });
                }
                ListEffect::Accepted(list) => self.accepted(list),
                ListEffect::Audit(change) => self.context.record(change),
            }
        }
    }

    fn accepted(&mut self, list: Arc<RuleList>) {
        let version = list.version;
        info!("lists: revision {} is in force", version.revision);
        *self.context.kept_list.borrow_mut() = self.store.snapshot();
        self.context.metrics.list_revision.set(version.revision as i64);
        let directory = &self.context.directory;
        if let Some(root) = directory.get::<DaemonSupervisor>() {
            call!([root], set_revision(version.revision));
        }
        if let Some(engine) = directory.get::<EnginePart>() {
            call!([engine], take_list(list));
        }
        if let Some(members) = directory.get::<MemberKeeper>() {
            call!([members], set_version(version));
        }
        self.order_watch();
    }

    fn send(&self, command: LinkCommand) {
        if let Some(link) = self.context.directory.get::<ControlLink>() {
            call!([link], command(command));
        }
    }
}
