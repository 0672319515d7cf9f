//! The part that keeps the list and talks with other instances and the store.

use std::{io, net::SocketAddr, time::Duration};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    time::ClockTime,
};
use foxledge_flows::{HealthObservation, ListReading, SourceError, revisions::number_of};
use foxledge_gossip::{FleetEffect, FleetEvent, MAX_MESSAGE_BYTES, StoreCall, StoreQuery};
use serde::Serialize;
use stakker::{CX, FixedTimerKey, after, call, fail, fwd_to};
use stakker_mio::{
    MioPoll, MioSource, Ready,
    mio::{Interest, net::UdpSocket},
};

use crate::listener::{BATCH_LIMIT, POLL_PRIORITY};

use super::{context::SharedContext, flow_part::FlowPart, life_part::LifePart, side::SideOrder};

/// Larger than any message, so that one that is too long shows as cut.
const READ_SIZE: usize = 2 * MAX_MESSAGE_BYTES;
/// Shortest time between two turns for timers, in milliseconds: timers that
/// fall due together are served together.
const TICK_MS: u64 = 5;

/// `FleetPart` owns the socket for messages of instances.
pub struct FleetPart {
    context: SharedContext,
    socket: MioSource<UdpSocket>,
    timer: Option<FixedTimerKey>,
}

/// `PauseLine` is the log line of a process that stood still.
#[derive(Serialize)]
struct PauseLine {
    event: &'static str,
    late_ms: u64,
    discarded_messages: usize,
}

impl FleetPart {
    /// Opens a duplicate of the bound socket and goes on with what is known.
    pub fn init(cx: CX![], context: SharedContext) -> Option<FleetPart> {
        match FleetPart::open(cx, context) {
            Ok(part) => {
                call!([cx], drain());
                call!([cx], on_time());
                Some(part)
            }
            Err(error) => {
                fail!(cx, "can't open the socket: {}", error);
                None
            }
        }
    }

    fn open(cx: CX![], context: SharedContext) -> io::Result<FleetPart> {
        let poll = cx.anymap_get::<MioPoll>();
        let socket = UdpSocket::from_std(context.peer.try_clone()?);
        let ready = fwd_to!([cx], socket_ready() as (Ready));
        let socket = poll.add(socket, Interest::READABLE, POLL_PRIORITY, ready)?;
        Ok(FleetPart { context, socket, timer: None })
    }

    /// Tells other instances what packets told of backend servers.
    pub fn share_notes(&mut self, cx: CX![], notes: Vec<HealthObservation>) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().share_observations(now, &notes);
        self.carry_out(cx);
    }

    /// Sends the messages that callers' packets have made.
    pub fn send_messages(&mut self, cx: CX![]) {
        self.carry_out(cx);
    }

    /// Asks other instances for backend servers that vanished before this one started.
    pub fn ask_tokens(&mut self, cx: CX![], tokens: Vec<u32>) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().query_removed_backends(now, tokens);
        self.carry_out(cx);
    }

    /// Takes the store's answer to an order.
    pub fn take_reading(
        &mut self,
        cx: CX![],
        order: StoreQuery,
        answer: Result<ListReading, SourceError>,
    ) {
        let outcome = answer.as_ref().map_or_else(SourceError::as_str, |_| "answered");
        self.context.metrics.store_calls.with_label_values(&[outcome]).inc();
        let now = self.context.clock.now();
        self.context.member.borrow_mut().handle_store_response(now, order, answer);
        self.carry_out(cx);
    }

    /// Tells other instances that this one stops.
    pub fn leave(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        self.context.member.borrow_mut().announce_leave(now);
        self.carry_out(cx);
    }

    fn on_time(&mut self, cx: CX![]) {
        self.timer = None;
        self.discard_after_pause();
        let now = self.context.clock.now();
        self.context.member.borrow_mut().handle_timers(now);
        self.context.log.borrow_mut().flush(now);
        self.carry_out(cx);
    }

    fn socket_ready(&mut self, cx: CX![], _ready: Ready) {
        self.drain(cx);
    }

    /// Drops messages that have waited while the process stood still.
    ///
    /// Messages tell times as ages. After a freeze of four seconds, ages in what
    /// waited are short by as much: the list would count as confirmed a moment
    /// ago, and this would be told to others. Peers repeat what is still true.
    fn discard_after_pause(&mut self) {
        let Some(pause) = self.context.pause() else { return };
        let mut buffer = [0; READ_SIZE];
        let mut discarded_messages = 0;
        while self.socket.recv_from(&mut buffer).is_ok() {
            discarded_messages += 1;
        }
        let late_ms = pause.as_millis() as u64;
        let line = PauseLine { event: "paused", late_ms, discarded_messages };
        self.context.note("paused", &line);
        if let Some(flows) = self.context.directory.get::<FlowPart>() {
            call!([flows], note_pause());
        }
        self.context.last_pause.set((self.context.clock.now(), pause));
        self.context.due_at.set(ClockTime::MAX);
    }

    fn drain(&mut self, cx: CX![]) {
        self.discard_after_pause();
        let mut buffer = [0; READ_SIZE];
        for _ in 0..BATCH_LIMIT {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => self.take_message(&buffer[..size], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return fail!(cx, "can't read the socket: {}", error),
            }
        }
        self.carry_out(cx);
    }

    fn take_message(&mut self, bytes: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else { return };
        let metrics = &self.context.metrics;
        metrics.messages.with_label_values(&["in"]).inc();
        metrics.message_bytes.with_label_values(&["in"]).inc_by(bytes.len() as u64);
        let now = self.context.clock.now();
        if !self.context.member.borrow_mut().handle_datagram(now, from, bytes) {
            metrics.malformed.with_label_values(&["message"]).inc();
        }
    }

    fn carry_out(&mut self, cx: CX![]) {
        let effects = self.context.member.borrow_mut().drain_effects();
        for effect in effects {
            self.carry_out_one(effect);
        }
        self.context.log.borrow_mut().flush(self.context.clock.now());
        self.set_timer(cx);
    }

    fn call_store(&self, call: StoreCall) {
        let metrics = &self.context.metrics;
        let labels = [call.query.as_str(), call.reason.as_str()];
        metrics.store_readings.with_label_values(&labels).inc();
        if self.context.side.send(SideOrder::Read(call.query)).is_err() {
            // The side thread is gone, and its end is being reported.
            metrics.store_calls.with_label_values(&["unsent"]).inc();
        }
    }

    fn carry_out_one(&mut self, effect: FleetEffect) {
        let directory = &self.context.directory;
        match effect {
            FleetEffect::SendDatagram { to, bytes } => self.send(SocketAddr::V4(to), &bytes),
            FleetEffect::CallStore(call) => self.call_store(call),
            FleetEffect::ApplyRows(rows) => {
                self.set_list_metrics();
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], take_rows(rows));
                }
                if let Some(life) = directory.get::<LifePart>() {
                    call!([life], consider_serving());
                }
            }
            FleetEffect::ApplyRestoredRows(rows) => {
                self.set_list_metrics();
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], take_restored(rows));
                }
            }
            FleetEffect::RecordConfirmation(at) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], take_confirmation(at));
                }
                if let Some(life) = directory.get::<LifePart>() {
                    call!([life], consider_serving());
                }
            }
            FleetEffect::RecordObservation(note) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], take_note(note));
                }
            }
            FleetEffect::HandlePacket(bytes) => {
                if let Some(flows) = directory.get::<FlowPart>() {
                    call!([flows], take_relayed(bytes));
                }
            }
            FleetEffect::LogEvent(event) => self.log_event(&event),
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let metrics = &self.context.metrics;
        metrics.messages.with_label_values(&["out"]).inc();
        metrics.message_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
        if self.socket.send_to(bytes, to).is_err() {
            // Messages are repeated; the peer's silence is logged when it counts as lost.
            metrics.send_errors.with_label_values(&["peer"]).inc();
        }
    }

    fn log_event(&self, event: &FleetEvent) {
        self.context.note(event.kind(), event);
        let metrics = &self.context.metrics;
        match event {
            FleetEvent::ItemRefused(item) => {
                let what = if item.key.starts_with("backend/") { "backend" } else { "list" };
                metrics.refused_items.with_label_values(&[what]).inc();
            }
            FleetEvent::StoreEpochChanged { epoch, .. } => metrics.store_epoch.set(*epoch as i64),
            FleetEvent::ResponseIgnored { .. } => metrics.readings_passed_over.inc(),
            // The rows in force may be the same before and after.
            FleetEvent::ConfigRetained { .. } | FleetEvent::ConfigReleased { .. } => {
                self.set_list_metrics();
            }
            _ => {}
        }
        if let FleetEvent::ListApplied {
            version, epoch, revision, former_revision, source, ..
        } = event
        {
            let newer = match epoch {
                0 => revision.to_string(),
                _ => format!("{revision} of epoch {epoch}"),
            };
            let change = AuditChange::new(AuditKind::ListAccepted, format!("version {version}"))
                .with_values(former_revision.to_string(), newer)
                .with_cause("newer", source.as_str());
            self.context.record(change);
        }
    }

    fn set_list_metrics(&self) {
        let member = self.context.member.borrow();
        self.context.metrics.list_revision.set(number_of(member.list().head()) as i64);
        self.context.metrics.list_version.set(member.effective_version() as i64);
        self.context.metrics.config_held.set(i64::from(member.is_retaining_config()));
    }

    fn set_timer(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        let next = self.context.member.borrow().next_timer_at(now);
        let wait = next.remaining(now).max(Duration::from_millis(TICK_MS));
        self.context.due_at.set(now.after(wait));
        if let Some(key) = self.timer.take() {
            cx.timer_del(key);
        }
        self.timer = Some(after!(wait, [cx], on_time()));
    }
}
