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
    member_manager::MemberManager,
    part_kind::DaemonSupervisor,
    side::messages::{CallError, LinkCommand, WatchCommand},
};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// `ListManager` is the part that holds the [`ListStore`].
pub struct ListManager {
    context: Rc<DaemonContext>,
    store: ListStore,
    watch: WatchCommand,
}

impl ListManager {
    /// Makes the store, with the list that an earlier keeper had accepted.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<ListManager> {
        let options = list_options(&context.settings);
        let kept = context.accepted_list.borrow().clone();
        let store = match kept {
            Some(kept) => ListStore::restore(options, kept),
            None => ListStore::new(options),
        };
        let mut keeper = ListManager { context, store, watch: WatchCommand::Pause };
        if let Some(list) = keeper.store.current_list() {
            keeper.apply_accepted_list(list);
        }
        call!([cx], on_tick());
        Some(keeper)
    }

    /// Takes the version of the list that a peer holds.
    pub fn on_peer_version(&mut self, _cx: CX![], from: SocketAddr, version: ListVersion) {
        let effects = self.store.on_peer_version(self.context.clock.now(), from, version);
        self.apply_effects(effects);
    }

    /// Takes the end of a manifest's fetch.
    pub fn on_manifest_fetched(
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
        self.apply_effects(effects);
    }

    /// Takes the end of a fetch of parts.
    pub fn on_parts_fetched(
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
        self.apply_effects(effects);
    }

    /// Answers a peer that wants the manifest in force.
    pub fn answer_manifest(&mut self, _cx: CX![], answer: oneshot::Sender<Option<Manifest>>) {
        let _ = answer.send(self.store.manifest());
    }

    /// Answers a peer that wants parts.
    pub fn answer_parts(
        &mut self,
        _cx: CX![],
        digests: Vec<u64>,
        answer: oneshot::Sender<Vec<ListPart>>,
    ) {
        let _ = answer.send(self.store.parts(&digests));
    }

    /// Answers which list is in force and the newest heard of.
    pub fn read_versions(&mut self, _cx: CX![], answer: stakker::Ret<(ListVersion, ListVersion)>) {
        stakker::ret!([answer], self.store.version(), self.store.newest_known_version());
    }

    /// Tells a side thread that was started anew what to watch.
    pub fn on_link_started(&mut self, _cx: CX![]) {
        self.watch = WatchCommand::Pause;
        self.update_watch();
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], on_tick());
        self.update_watch();
        let effects = self.store.on_tick(self.context.clock.now());
        self.apply_effects(effects);
    }

    /// Watches while this instance is a reader, has no list at all, or hasn't served yet.
    fn update_watch(&mut self) {
        let has_list = self.store.version().revision > 0;
        let is_joining = self.context.phase.get() == EnginePhase::Joining;
        let wanted = self.context.is_reader.get() || !has_list || is_joining;
        let order = match wanted {
            true => WatchCommand::Run { after: self.store.version().revision },
            false => WatchCommand::Pause,
        };
        let was_running = self.watch != WatchCommand::Pause;
        if was_running == wanted {
            return;
        }
        self.watch = order;
        info!("lists: platform watch {}", if wanted { "starts" } else { "pauses" });
        self.send_command(LinkCommand::Watch(order));
    }

    fn apply_effects(&mut self, effects: Vec<ListEffect>) {
        for effect in effects {
            match effect {
                ListEffect::FetchManifest { from } => {
                    self.send_command(LinkCommand::FetchManifest { from });
                }
                ListEffect::FetchParts { from, digests } => {
                    self.send_command(LinkCommand::FetchParts { from, digests });
                }
                ListEffect::Accepted(list) => self.apply_accepted_list(list),
                ListEffect::Audit(change) => self.context.record(change),
            }
        }
    }

    fn apply_accepted_list(&mut self, list: Arc<RuleList>) {
        let version = list.version;
        info!("lists: revision {} is in force", version.revision);
        *self.context.accepted_list.borrow_mut() = self.store.snapshot();
        self.context.metrics.list_revision.set(version.revision as i64);
        let directory = &self.context.directory;
        if let Some(root) = directory.get::<DaemonSupervisor>() {
            call!([root], set_list_revision(version.revision));
        }
        if let Some(engine) = directory.get::<EnginePart>() {
            call!([engine], apply_list(list));
        }
        if let Some(members) = directory.get::<MemberManager>() {
            call!([members], set_list_version(version));
        }
        self.update_watch();
    }

    fn send_command(&self, command: LinkCommand) {
        if let Some(link) = self.context.directory.get::<ControlLink>() {
            call!([link], send_command(command));
        }
    }
}
