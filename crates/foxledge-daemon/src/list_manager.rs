//! The part that maintains the newest accepted list and controls the platform watch.

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

/// Time between two ticks of the list store.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Owns the [`ListStore`] and applies its effects.
pub struct ListManager {
    context: Rc<DaemonContext>,
    store: ListStore,
    watch: WatchCommand,
}

impl ListManager {
    /// Creates the store, with the list that was accepted before a restart of this part.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<ListManager> {
        let options = list_options(&context.settings);
        let snapshot = context.accepted_list.borrow().clone();
        let store = match snapshot {
            Some(snapshot) => ListStore::restore(options, snapshot),
            None => ListStore::new(options),
        };
        let mut manager = ListManager { context, store, watch: WatchCommand::Pause };
        if let Some(list) = manager.store.current_list() {
            manager.apply_accepted_list(list);
        }
        call!([cx], on_tick());
        Some(manager)
    }

    /// Handles the version of a peer's list.
    pub fn on_peer_version(&mut self, _cx: CX![], from: SocketAddr, version: ListVersion) {
        let effects = self.store.on_peer_version(self.context.clock.now(), from, version);
        self.apply_effects(effects);
    }

    /// Handles the outcome of a fetch of a manifest.
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
                debug!("lists: can't fetch the manifest from {from:?}: {error}");
                self.store.on_fetch_failed(now, from)
            }
        };
        self.apply_effects(effects);
    }

    /// Handles the outcome of a fetch of list parts.
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
                debug!("lists: can't fetch parts from {from:?}: {error}");
                self.store.on_fetch_failed(now, from)
            }
        };
        self.apply_effects(effects);
    }

    /// Sends the manifest in force to a peer.
    pub fn answer_manifest(&mut self, _cx: CX![], answer: oneshot::Sender<Option<Manifest>>) {
        let _ = answer.send(self.store.manifest());
    }

    /// Sends list parts to a peer.
    pub fn answer_parts(
        &mut self,
        _cx: CX![],
        digests: Vec<u64>,
        answer: oneshot::Sender<Vec<ListPart>>,
    ) {
        let _ = answer.send(self.store.parts(&digests));
    }

    /// Passes the version in force and the newest known version to `answer`.
    pub fn read_versions(&mut self, _cx: CX![], answer: stakker::Ret<(ListVersion, ListVersion)>) {
        stakker::ret!([answer], self.store.version(), self.store.newest_known_version());
    }

    /// Starts the platform watch of a new side thread, if it is wanted.
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

    /// Runs the platform watch while this instance is a reader, has no list or is joining.
    fn update_watch(&mut self) {
        let has_list = self.store.version().revision > 0;
        let is_joining = self.context.phase.get() == EnginePhase::Joining;
        let is_wanted = self.context.is_reader.get() || !has_list || is_joining;
        let command = match is_wanted {
            true => WatchCommand::Run { after: self.store.version().revision },
            false => WatchCommand::Pause,
        };
        let was_running = self.watch != WatchCommand::Pause;
        if was_running == is_wanted {
            return;
        }
        self.watch = command;
        info!("lists: platform watch {}", if is_wanted { "starts" } else { "pauses" });
        self.send_command(LinkCommand::Watch(command));
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
