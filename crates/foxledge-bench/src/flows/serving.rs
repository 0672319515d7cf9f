//! The backend servers' side of a run, and the troubles.

use std::time::Duration;

use foxledge_flows::PacketKind;

use crate::flows::{
    plan::{FlowVariant, SERVERS},
    servers::{OfferOutcome, ServerRun},
    world::{CALLER_WAY, FlowEvent, FlowWorld},
};

/// Time that a backend server takes to accept a flow.
const ACCEPT_TIME: Duration = Duration::from_micros(300);
/// How long the frozen instance stands still.
const FREEZE_TIME: Duration = Duration::from_secs(2);
/// The instance that freezes.
const FROZEN: usize = 1;
/// How many times as long slow backend servers take.
const SLOW_FACTOR: f64 = 5.0;

impl FlowWorld {
    /// Lets a backend server take a packet.
    pub(super) fn at_server(
        &mut self,
        flow: u64,
        server: usize,
        kind: PacketKind,
        request: Option<usize>,
    ) {
        if self.servers[server].is_silent() {
            return;
        }
        match kind {
            PacketKind::Open { .. } => {
                let way = ACCEPT_TIME + CALLER_WAY;
                self.push_after(way, FlowEvent::Accepted { flow, server });
            }
            PacketKind::Continue => {
                if let Some(request) = request {
                    self.offer(flow, server, request);
                }
            }
            PacketKind::Finish | PacketKind::Abort => {}
        }
    }

    fn offer(&mut self, flow: u64, server: usize, request: usize) {
        let run = ServerRun { flow, request, run: self.requests[request].run };
        // A copy of a request that is there already changes nothing.
        if !self.servers[server].takes(&run) {
            return;
        }
        match self.servers[server].offer(self.now, run) {
            OfferOutcome::Runs(time) => self.push_after(time, FlowEvent::RunDone { server, run }),
            OfferOutcome::Waits => {}
            OfferOutcome::TurnedAway => {
                self.push_after(CALLER_WAY, FlowEvent::TurnedAway { flow, request });
            }
        }
    }

    /// Answers a request that was run, and begins the next.
    pub(super) fn run_done(&mut self, server: usize, run: ServerRun) {
        if self.servers[server].is_silent() {
            return;
        }
        let ServerRun { flow, request, .. } = run;
        self.push_after(CALLER_WAY, FlowEvent::Answered { flow, request });
        if let Some((next, time)) = self.servers[server].end_run(self.now) {
            self.push_after(time, FlowEvent::RunDone { server, run: next });
        }
    }

    /// Begins what the variant says.
    pub(super) fn begin_trouble(&mut self) {
        let now = self.now;
        // Backend servers of several data centres each.
        let chosen = |step: usize| (0..SERVERS).filter(move |server| server % step == 1);
        match self.plan.variant {
            FlowVariant::Plain => {}
            FlowVariant::SilentServers => {
                chosen(5).for_each(|server| self.servers[server].silent_at = Some(now));
            }
            FlowVariant::SlowServers => {
                chosen(4).for_each(|server| self.servers[server].slowness = SLOW_FACTOR);
            }
            FlowVariant::LostPackets => self.is_lossy = true,
            FlowVariant::FrozenInstance => {
                self.instances[FROZEN].frozen_until = now.after(FREEZE_TIME);
                self.instances[FROZEN].router.note_pause();
            }
            FlowVariant::ColdServers => chosen(4).for_each(|server| self.servers[server].cool(now)),
            FlowVariant::ShiftedCallers => self.is_shifted = true,
        }
    }
}
