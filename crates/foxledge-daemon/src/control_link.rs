//! The part that connects the main loop with the side thread, which runs control calls.

use std::{io, net::SocketAddr, rc::Rc};

use foxledge_core::audit::{AuditChange, AuditEntry, AuditKind};
use foxledge_wire::control::MemberListing;
use log::warn;
use serde_json::json;
use stakker::{
    CX, Fwd, call, fail, fwd_to,
    sync::{Channel, ChannelGuard},
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    context::DaemonContext,
    engine_part::EnginePart,
    life_cycle::LifeCycle,
    list_manager::ListManager,
    member_manager::MemberManager,
    part_kind::DaemonSupervisor,
    side::{
        SideOptions,
        messages::{FlowQuery, LinkCommand, LinkEvent},
        start_side,
    },
    supervisor::PartReport,
};

/// Owns the side thread, sends commands to it and forwards its events to the other parts.
///
/// The thread ends together with this part, as its command channel is closed then.
pub struct ControlLink {
    context: Rc<DaemonContext>,
    commands: mpsc::UnboundedSender<LinkCommand>,
    _guard: ChannelGuard,
}

impl ControlLink {
    /// Starts the side thread and notifies the list manager; fails the part if it can't start.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<ControlLink> {
        let events: Fwd<LinkEvent> = fwd_to!([cx], handle_event() as (LinkEvent));
        let (channel, guard) = Channel::new(cx, events);
        match side_options(&context).and_then(|options| start_side(options, channel)) {
            Ok(commands) => {
                if let Some(lists) = context.directory.get::<ListManager>() {
                    call!([lists], on_link_started());
                }
                Some(ControlLink { context, commands, _guard: guard })
            }
            Err(error) => {
                fail!(cx, "can't start the side thread: {}", error);
                None
            }
        }
    }

    /// Sends a command to the side thread; fails the part when the thread has ended.
    pub fn send_command(&mut self, cx: CX![], command: LinkCommand) {
        if self.commands.send(command).is_err() {
            fail!(cx, "can't send a command, as the side thread has ended");
        }
    }

    fn handle_event(&mut self, cx: CX![], event: LinkEvent) {
        match event {
            LinkEvent::HeartbeatReceived(..)
            | LinkEvent::HeartbeatCompleted(..)
            | LinkEvent::ProbeCompleted(..)
            | LinkEvent::ListingRead(..) => self.forward_to_members(event),
            LinkEvent::ManifestRequested(..)
            | LinkEvent::PartsRequested(..)
            | LinkEvent::ManifestFetched(..)
            | LinkEvent::PartsFetched(..) => self.forward_to_lists(event),
            LinkEvent::PlatformContacted => {
                if let Some(life) = self.context.directory.get::<LifeCycle>() {
                    call!([life], on_platform_contact());
                }
            }
            LinkEvent::PlatformOutdated { shown, newest } => self.context.record(
                AuditChange::new(AuditKind::ListIgnored, "rule list")
                    .with_values(format!("revision {newest}"), format!("revision {shown}"))
                    .with_cause("the platform is at an older revision", "platform"),
            ),
            LinkEvent::Ended(reason) => {
                warn!("link: the side thread ended: {reason}");
                fail!(cx, "the side thread ended");
            }
            LinkEvent::StatusRequested(answer) => self.report_status(answer),
            LinkEvent::ExplainRequested(query, answer) => self.explain(query, answer),
            LinkEvent::AuditRequested { after, limit, answer } => {
                self.read_audit(after, limit, answer)
            }
            LinkEvent::DrainRequested(answer) => self.drain(answer),
            LinkEvent::CountersRequested(answer) => {
                if let Some(engine) = self.context.directory.get::<EnginePart>() {
                    call!([engine], update_metrics(answer));
                }
            }
        }
    }

    fn forward_to_members(&self, event: LinkEvent) {
        let Some(members) = self.context.directory.get::<MemberManager>() else { return };
        match event {
            LinkEvent::HeartbeatReceived(heartbeat, answer) => {
                call!([members], on_heartbeat(heartbeat, answer))
            }
            LinkEvent::HeartbeatCompleted(to, outcome) => {
                call!([members], on_heartbeat_outcome(to, outcome))
            }
            LinkEvent::ProbeCompleted(name, result) => {
                call!([members], on_probe_result(name, result))
            }
            LinkEvent::ListingRead(listing) => {
                if let Some(life) = self.context.directory.get::<LifeCycle>() {
                    call!([life], on_platform_listing(control_addresses(&listing)));
                }
                call!([members], on_platform_listing(listing));
            }
            _ => {}
        }
    }

    fn forward_to_lists(&self, event: LinkEvent) {
        let Some(lists) = self.context.directory.get::<ListManager>() else { return };
        match event {
            LinkEvent::ManifestRequested(answer) => call!([lists], answer_manifest(answer)),
            LinkEvent::PartsRequested(digests, answer) => {
                call!([lists], answer_parts(digests, answer))
            }
            LinkEvent::ManifestFetched(from, outcome) => {
                call!([lists], on_manifest_fetched(from, outcome));
            }
            LinkEvent::PartsFetched(from, outcome) => {
                call!([lists], on_parts_fetched(from, outcome))
            }
            _ => {}
        }
    }

    fn report_status(&self, answer: oneshot::Sender<String>) {
        let Some(root) = self.context.directory.get::<DaemonSupervisor>() else { return };
        let context = self.context.clone();
        let with_parts = move |parts: Vec<PartReport>| {
            let report = json!({
                "instance": &*context.local_info.borrow(),
                "phase": context.phase.as_str(),
                "uptime_ms": context.clock.now().as_micros() / 1000,
                "list": context.list_version(),
                "reads_platform": context.is_reader.get(),
                "view": &**context.peer_view.borrow(),
                "parts": parts,
            });
            match context.directory.get::<EnginePart>() {
                Some(engine) => call!([engine], report_status(report, answer)),
                None => drop(answer.send(report.to_string())),
            }
        };
        call!([root], read_parts(Box::new(with_parts)));
    }

    fn explain(&self, query: FlowQuery, answer: oneshot::Sender<Result<String, String>>) {
        if let Some(engine) = self.context.directory.get::<EnginePart>() {
            call!([engine], explain(query, answer));
        }
    }

    fn read_audit(&self, after: u64, limit: usize, answer: oneshot::Sender<String>) {
        let Some(root) = self.context.directory.get::<DaemonSupervisor>() else { return };
        let with_entries = move |entries: Vec<AuditEntry>| {
            let _ = answer.send(json!(entries).to_string());
        };
        call!([root], read_audit(after, limit, Box::new(with_entries)));
    }

    fn drain(&self, answer: oneshot::Sender<bool>) {
        let Some(life) = self.context.directory.get::<LifeCycle>() else { return };
        let leave = move |accepted: bool| {
            let _ = answer.send(accepted);
        };
        call!([life], leave("operator", Box::new(leave)));
    }
}

fn control_addresses(listing: &MemberListing) -> Vec<SocketAddr> {
    listing.members.iter().filter_map(|member| member.control_address.parse().ok()).collect()
}

fn side_options(context: &DaemonContext) -> io::Result<SideOptions> {
    let settings = &context.settings;
    let reader = context.local_info.borrow().name.to_string();
    Ok(SideOptions::new(context.sockets.control()?, context.sockets.admin()?, context.next_seed())
        .platform_addresses(settings.platform.addresses.clone(), settings.platform.wait_ms)
        .reader(reader)
        .tls(settings.tls.clone())
        .routes(context.routes.clone())
        .shared(context.metrics.clone(), context.phase.clone()))
}
