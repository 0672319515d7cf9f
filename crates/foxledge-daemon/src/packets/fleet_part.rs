//! The part that maintains the list of backend servers and communicates with other instances and
//! the store.

use std::{io, net::SocketAddr, time::Duration};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    time::ClockTime,
};
use foxledge_flows::{HealthObservation, ListReading, SourceError, revisions::number_of};
use foxledge_gossip::{FleetEffect, FleetEvent, MAX_MESSAGE_BYTES, StoreCall, StoreQuery};
use serde::Serialize;
use stakker::{CX, FixedTimerKey, after, call, fail, fwd_to, idle};
use stakker_mio::{
    MioPoll, MioSource, Ready,
    mio::{Interest, net::UdpSocket},
};

use crate::listener::{BATCH_LIMIT, POLL_PRIORITY};

use super::{
    context::SharedContext, flow_part::FlowPart, lifecycle_part::LifecyclePart, side::SideCommand,
};

/// Size of the receive buffer: larger than any message, so that an oversized one is detected
/// instead of truncated to a valid length.
const BUFFER_BYTES: usize = 2 * MAX_MESSAGE_BYTES;
/// Minimum time between two expiries of the timer, in milliseconds, so that deadlines close
/// to each other are handled together.
const MIN_TIMER_INTERVAL_MS: u64 = 5;

/// Owns the socket for messages between instances and applies the effects of the fleet member.
pub struct FleetPart {
    context: SharedContext,
    socket: MioSource<UdpSocket>,
    timer: Option<FixedTimerKey>,
}

/// The log line of a detected pause of the process.
#[derive(Serialize)]
struct PauseLine {
    event: &'static str,
    late_ms: u64,
    discarded_messages: usize,
}

impl FleetPart {
    /// Starts the part on a duplicate of the bound peer socket, with the fleet member of
    /// `context`, whose state outlives a failed part.
    pub fn init(cx: CX![], context: SharedContext) -> Option<FleetPart> {
        match FleetPart::open(cx, context) {
            Ok(part) => {
                call!([cx], read_batch());
                call!([cx], on_timer());
                Some(part)
            }
            Err(error) => {
                fail!(cx, "can't open the peer socket: {}", error);
                None
            }
        }
    }

    fn open(cx: CX![], context: SharedContext) -> io::Result<FleetPart> {
        let poll = cx.anymap_get::<MioPoll>();
        let socket = UdpSocket::from_std(context.peer.try_clone()?);
        let on_ready = fwd_to!([cx], socket_ready() as (Ready));
        let socket = poll.add(socket, Interest::READABLE, POLL_PRIORITY, on_ready)?;
        Ok(FleetPart { context, socket, timer: None })
    }

    /// Sends observations of backend servers to other instances.
    pub fn share_observations(&mut self, cx: CX![], observations: Vec<HealthObservation>) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().share_observations(now, &observations);
        self.apply_effects(cx);
    }

    /// Sends the messages that the fleet member has queued.
    pub fn send_messages(&mut self, cx: CX![]) {
        self.apply_effects(cx);
    }

    /// Queries other instances for the backend servers of unknown tokens, which may have been
    /// removed from the list before this instance started.
    pub fn query_tokens(&mut self, cx: CX![], tokens: Vec<u32>) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().query_removed_backends(now, tokens);
        self.apply_effects(cx);
    }

    /// Handles the response of the store to a query.
    pub fn handle_store_response(
        &mut self,
        cx: CX![],
        query: StoreQuery,
        response: Result<ListReading, SourceError>,
    ) {
        let outcome = response.as_ref().map_or_else(SourceError::as_str, |_| "answered");
        self.context.metrics.store_calls.with_label_values(&[outcome]).inc();
        let now = self.context.clock.now();
        self.context.member.borrow_mut().handle_store_response(now, query, response);
        self.apply_effects(cx);
    }

    /// Announces the planned stop of this instance to the others.
    pub fn announce_leave(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().announce_leave(now);
        self.apply_effects(cx);
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.timer = None;
        self.discard_after_pause();
        let now = self.context.clock.now();
        self.context.member.borrow_mut().handle_timers(now);
        self.context.log.borrow_mut().flush(now);
        self.apply_effects(cx);
    }

    fn socket_ready(&mut self, cx: CX![], _ready: Ready) {
        self.read_batch(cx);
    }

    /// Discards messages that were queued in the socket while the process was paused.
    ///
    /// Messages carry times as ages. After a pause of four seconds, the ages in
    /// queued messages are too low by as much: the list would count as just
    /// confirmed, and this would spread to other instances. Peers repeat their state
    /// anyway.
    fn discard_after_pause(&mut self) {
        let Some(pause) = self.context.detect_pause() else { return };
        let mut buffer = [0; BUFFER_BYTES];
        let mut discarded_messages = 0;
        while self.socket.recv_from(&mut buffer).is_ok() {
            discarded_messages += 1;
        }
        let late_ms = pause.as_millis() as u64;
        let line = PauseLine { event: "paused", late_ms, discarded_messages };
        self.context.log_event("paused", &line);
        if let Some(flows) = self.context.directory.get::<FlowPart>() {
            call!([flows], record_pause());
        }
        self.context.last_pause.set((self.context.clock.now(), pause));
        self.context.next_timer_at.set(ClockTime::MAX);
    }

    fn read_batch(&mut self, cx: CX![]) {
        self.discard_after_pause();
        let mut buffer = [0; BUFFER_BYTES];
        let mut count = 0;
        while count < BATCH_LIMIT {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => self.handle_message(&buffer[..size], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return fail!(cx, "can't read from the peer socket: {}", error),
            }
            count += 1;
        }
        // The socket becomes ready again only with the next message.
        if count == BATCH_LIMIT {
            idle!([cx], read_batch());
        }
        self.apply_effects(cx);
    }

    fn handle_message(&mut self, bytes: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else { return };
        let metrics = &self.context.metrics;
        metrics.messages.with_label_values(&["in"]).inc();
        metrics.message_bytes.with_label_values(&["in"]).inc_by(bytes.len() as u64);
        let now = self.context.clock.now();
        if !self.context.member.borrow_mut().handle_datagram(now, from, bytes) {
            metrics.malformed.with_label_values(&["message"]).inc();
        }
    }

    fn apply_effects(&mut self, cx: CX![]) {
        let effects = self.context.member.borrow_mut().drain_effects();
        for effect in effects {
            self.apply_effect(effect);
        }
        self.context.log.borrow_mut().flush(self.context.clock.now());
        self.set_timer(cx);
    }

    fn call_store(&self, call: StoreCall) {
        let metrics = &self.context.metrics;
        let labels = [call.query.as_str(), call.reason.as_str()];
        metrics.store_readings.with_label_values(&labels).inc();
        if self.context.side_commands.send(SideCommand::CallStore(call.query)).is_err() {
            // The side thread has ended; its end is reported separately.
            metrics.store_calls.with_label_values(&["unsent"]).inc();
        }
    }

    fn apply_effect(&mut self, effect: FleetEffect) {
        let directory = &self.context.directory;
        match effect {
            FleetEffect::SendDatagram { to, bytes } => {
                self.send_datagram(SocketAddr::V4(to), &bytes)
            }
            FleetEffect::CallStore(call) => self.call_store(call),
            FleetEffect::ApplyRows(rows) => {
                self.set_list_metrics();
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], apply_rows(rows));
                }
                if let Some(life) = directory.get::<LifecyclePart>() {
                    call!([life], serve_when_ready());
                }
            }
            FleetEffect::ApplyRestoredRows(rows) => {
                self.set_list_metrics();
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], apply_restored_rows(rows));
                }
            }
            FleetEffect::RecordConfirmation(confirmed_at) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], record_confirmation(confirmed_at));
                }
                if let Some(life) = directory.get::<LifecyclePart>() {
                    call!([life], serve_when_ready());
                }
            }
            FleetEffect::RecordObservation(observation) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], apply_observation(observation));
                }
            }
            FleetEffect::HandlePacket(bytes) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], handle_relayed_packet(bytes));
                }
            }
            FleetEffect::LogEvent(event) => self.log_event(&event),
        }
    }

    fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        let metrics = &self.context.metrics;
        metrics.messages.with_label_values(&["out"]).inc();
        metrics.message_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
        if self.socket.send_to(bytes, to).is_err() {
            // Messages are repeated; an unreachable peer is logged when it is declared lost.
            metrics.send_errors.with_label_values(&["peer"]).inc();
        }
    }

    fn log_event(&self, event: &FleetEvent) {
        self.context.log_event(event.kind(), event);
        let metrics = &self.context.metrics;
        match event {
            FleetEvent::ItemRefused(item) => {
                let kind = if item.key.starts_with("backend/") { "backend" } else { "list" };
                metrics.refused_items.with_label_values(&[kind]).inc();
            }
            FleetEvent::StoreEpochChanged { epoch, .. } => metrics.store_epoch.set(*epoch as i64),
            FleetEvent::ResponseIgnored { .. } => metrics.outdated_readings.inc(),
            FleetEvent::PagesDiffer { .. } => metrics.uneven_readings.inc(),
            FleetEvent::TransferAbandoned { reason, .. } => {
                metrics.abandoned_transfers.with_label_values(&[reason.as_str()]).inc();
            }
            FleetEvent::MessageIncomplete { .. } => metrics.incomplete_messages.inc(),
            FleetEvent::MessageTooLong { .. } => metrics.unsent_messages.inc(),
            // No rows may have changed, in which case nothing else updates the metrics.
            FleetEvent::ConfigRetained { .. } | FleetEvent::ConfigReleased { .. } => {
                self.set_list_metrics();
            }
            _ => {}
        }
        if let FleetEvent::ListApplied {
            version, epoch, revision, former_revision, source, ..
        } = event
        {
            let revision_text = match epoch {
                0 => revision.to_string(),
                _ => format!("{revision} of epoch {epoch}"),
            };
            let audit_change =
                AuditChange::new(AuditKind::ListAccepted, format!("version {version}"))
                    .with_values(former_revision.to_string(), revision_text)
                    .with_cause("newer", source.as_str());
            self.context.record(audit_change);
        }
    }

    fn set_list_metrics(&self) {
        let member = self.context.member.borrow();
        self.context.metrics.list_revision.set(number_of(member.list().head()) as i64);
        self.context.metrics.list_version.set(member.effective_version() as i64);
        self.context.metrics.config_retained.set(i64::from(member.is_retaining_config()));
    }

    fn set_timer(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        let next_timer_at = self.context.member.borrow().next_timer_at(now);
        let wait = next_timer_at.remaining(now).max(Duration::from_millis(MIN_TIMER_INTERVAL_MS));
        self.context.next_timer_at.set(now.after(wait));
        if let Some(key) = self.timer.take() {
            cx.timer_del(key);
        }
        self.timer = Some(after!(wait, [cx], on_timer()));
    }
}
