//! The part that runs the flow engine on received datagrams.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use foxledge_core::{lists::RuleList, peers::PeerView};
use foxledge_engine::{EngineEffect, EngineOptions, EnginePhase, ExplainQuery, FlowEngine};
use log::warn;
use serde_json::{Value, json};
use stakker::{CX, FixedTimerKey, Ret, after, call, fail, ret};
use tokio::sync::oneshot;

use crate::{
    choices::engine_options,
    context::DaemonContext,
    listener::{DatagramBatch, DatagramListener, OutgoingDatagram, SocketKind},
    side::messages::FlowQuery,
};

/// Time between two checks of deadlines while requests or forwards are pending.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks of deadlines while only probes and open feeds are pending.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Owns the [`FlowEngine`] and applies its effects.
pub struct EnginePart {
    context: Rc<DaemonContext>,
    engine: FlowEngine,
    tick_key: FixedTimerKey,
    tick_rate: TickRate,
}

/// The interval between ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TickRate {
    Busy,
    Idle,
}

impl EnginePart {
    /// Creates the engine with the list, membership and phase known so far.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<EnginePart> {
        let options: EngineOptions = engine_options(&context.settings);
        let local_info = context.local_info.borrow().clone();
        let mut engine = FlowEngine::new(options, local_info, context.next_seed());
        let now = context.clock.now();
        engine.set_phase(now, context.phase.get());
        let tick_key = after!(BUSY_TICK_INTERVAL, [cx], tick());
        let part = EnginePart { context, engine, tick_key, tick_rate: TickRate::Busy };
        let accepted_list =
            part.context.accepted_list.borrow().as_ref().map(|snapshot| snapshot.list().clone());
        if let Some(list) = accepted_list {
            call!([cx], apply_list(list));
        }
        let view = part.context.peer_view.borrow().clone();
        call!([cx], apply_peer_view(view));
        Some(part)
    }

    /// Handles a batch of datagrams.
    pub fn handle_batch(&mut self, cx: CX![], batch: DatagramBatch) {
        self.run_engine(cx, |engine, context| {
            let mut effects = Vec::new();
            for (from, bytes) in &batch.datagrams {
                let now = context.clock.now();
                effects.extend(match batch.socket {
                    SocketKind::Data => engine.on_datagram(now, *from, bytes),
                    SocketKind::Peer => engine.on_peer_datagram(now, *from, bytes),
                });
            }
            effects
        });
        self.shorten_tick(cx);
    }

    /// Applies a newly accepted list.
    pub fn apply_list(&mut self, cx: CX![], list: Arc<RuleList>) {
        self.run_engine(cx, |engine, context| engine.apply_list(context.clock.now(), list));
    }

    /// Applies a new view of the membership.
    pub fn apply_peer_view(&mut self, cx: CX![], view: Arc<PeerView>) {
        self.run_engine(cx, |engine, context| engine.apply_peer_view(context.clock.now(), view));
    }

    /// Sets the phase of the process.
    pub fn set_phase(&mut self, _cx: CX![], phase: EnginePhase) {
        self.engine.set_phase(self.context.clock.now(), phase);
    }

    /// Passes the number of requests that a planned stop has to wait for to `answer`.
    pub fn count_unfinished(&mut self, _cx: CX![], answer: Ret<usize>) {
        ret!([answer], self.engine.unfinished_count(self.context.clock.now()));
    }

    /// Updates the metrics of the engine.
    pub fn update_metrics(&mut self, _cx: CX![], answer: oneshot::Sender<()>) {
        let metrics = &self.context.metrics;
        metrics.set_engine_totals(&self.engine.counters().named_values());
        metrics.unfinished.set(self.engine.unfinished_count(self.context.clock.now()) as i64);
        // Fails when the query has timed out.
        let _ = answer.send(());
    }

    /// Adds the status of the engine to a report and sends it to `answer`.
    pub fn report_status(
        &mut self,
        _cx: CX![],
        mut report: Value,
        answer: oneshot::Sender<String>,
    ) {
        let status = self.engine.status(self.context.clock.now());
        report["engine"] = json!(status);
        let _ = answer.send(report.to_string());
    }

    /// Sends an explanation of the treatment of a flow to `answer`.
    pub fn explain(
        &mut self,
        _cx: CX![],
        flow_query: FlowQuery,
        answer: oneshot::Sender<Result<String, String>>,
    ) {
        let explained = flow_query.work.parse().map_err(|error| format!("{error}")).map(|kind| {
            let FlowQuery { address, member, flow, .. } = flow_query;
            let query = ExplainQuery { address, member, kind, flow };
            self.with_scheduler_status(json!(self.engine.explain(&query))).to_string()
        });
        let _ = answer.send(explained);
    }

    /// Adds the status of the flow's scheduler, by which a backend server is chosen, if this
    /// instance has it.
    fn with_scheduler_status(&self, mut explained: Value) -> Value {
        let status = json!(self.engine.status(self.context.clock.now()));
        let service = &explained["treatment"]["serve"]["service"];
        let is_same_shard = |entry: &&Value| {
            entry["key"]["service"] == *service && entry["key"]["shard"] == explained["shard"]
        };
        let scheduler =
            status["desks"].as_array().and_then(|schedulers| schedulers.iter().find(is_same_shard));
        explained["desk"] = scheduler.map_or(Value::Null, |entry| entry["desk"].clone());
        explained
    }

    fn tick(&mut self, cx: CX![]) {
        self.run_engine(cx, |engine, context| engine.on_tick(context.clock.now()));
        self.tick_rate = if self.engine.is_idle() { TickRate::Idle } else { TickRate::Busy };
        self.tick_key = match self.tick_rate {
            TickRate::Idle => after!(IDLE_TICK_INTERVAL, [cx], tick()),
            TickRate::Busy => after!(BUSY_TICK_INTERVAL, [cx], tick()),
        };
    }

    /// Shortens the time to the next tick when the engine is no longer idle.
    ///
    /// A hundred ticks a second would cost an idle daemon more than all its decisions,
    /// but the caller of an abandoned request has to be notified within 10 ms.
    fn shorten_tick(&mut self, cx: CX![]) {
        if self.tick_rate == TickRate::Busy || self.engine.is_idle() {
            return;
        }
        cx.timer_del(self.tick_key);
        self.tick_rate = TickRate::Busy;
        self.tick_key = after!(BUSY_TICK_INTERVAL, [cx], tick());
    }

    /// Runs `decide` on the engine and applies the effects.
    ///
    /// A panic in the engine would unwind through the main loop and end the process
    /// with all its flows. It is caught here, so that only this part fails and the
    /// supervisor restarts it under a new incarnation. The engine isn't used again
    /// after a panic, so its inconsistent state does no harm.
    fn run_engine<F>(&mut self, cx: CX![], decide: F)
    where
        F: FnOnce(&mut FlowEngine, &DaemonContext) -> Vec<EngineEffect>,
    {
        let started = Instant::now();
        let decided = catch_unwind(AssertUnwindSafe(|| decide(&mut self.engine, &self.context)));
        self.context.metrics.flow_engine.observe(started.elapsed().as_secs_f64());
        match decided {
            Ok(effects) => self.apply_effects(effects),
            Err(_) => fail!(cx, "the flow engine panicked"),
        }
    }

    fn apply_effects(&self, effects: Vec<EngineEffect>) {
        let mut outgoing = Vec::new();
        for effect in effects {
            match effect {
                EngineEffect::SendData { to, bytes } => {
                    outgoing.push(OutgoingDatagram { socket: SocketKind::Data, to, bytes });
                }
                EngineEffect::SendPeer { to, bytes } => {
                    outgoing.push(OutgoingDatagram { socket: SocketKind::Peer, to, bytes });
                }
                EngineEffect::Audit(change) => self.context.record(change),
                EngineEffect::RecordWait { kind, wait } => {
                    let admission = &self.context.metrics.admission;
                    admission.with_label_values(&[kind.as_str()]).observe(wait.as_secs_f64());
                }
            }
        }
        if outgoing.is_empty() {
            return;
        }
        match self.context.directory.get::<DatagramListener>() {
            Some(listener) => call!([listener], send(outgoing)),
            None => {
                warn!("engine: {} datagrams dropped, no listener", outgoing.len())
            }
        }
    }
}
