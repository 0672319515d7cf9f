//! The backend servers' side of a run, and the troubles.

use std::time::Duration;

use foxledge_flows::PacketKind;

use crate::flows::{
    plan::FlowVariant,
    published::backend_row,
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

/// Time from a crash to the start under the same id.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// How long no instance has power.
const OUTAGE_TIME: Duration = Duration::from_millis(1_600);

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
        let is_known = self.servers[server].held.contains(&flow);
        let is_open = matches!(kind, PacketKind::Open { .. });
        if self.servers[server].crashed_at.is_some() || !(is_known || is_open) {
            return self.push_after(CALLER_WAY, FlowEvent::Reset { flow });
        }
        match kind {
            PacketKind::Open { .. } => {
                self.servers[server].held.insert(flow);
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
        if self.servers[server].is_dead() || !self.servers[server].held.contains(&run.flow) {
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
        let count = self.servers.len();
        let chosen = |step: usize| (0..count).filter(move |server| server % step == 1);
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
                self.instances[FROZEN].router.record_pause();
            }
            FlowVariant::ColdServers => chosen(4).for_each(|server| self.servers[server].cool(now)),
            FlowVariant::ShiftedCallers => self.is_shifted = true,
            FlowVariant::CrashedServers => chosen(5).for_each(|server| self.crash(server)),
            FlowVariant::RestartedServers => {
                chosen(5).for_each(|server| self.crash(server));
                self.push_after(RESTART_TIME, FlowEvent::ServersRestart);
            }
            FlowVariant::Outage => {
                let until = now.after(OUTAGE_TIME);
                self.instances.iter_mut().for_each(|instance| instance.dark_until = until);
            }
        }
    }

    /// Ends a backend server's process; its callers learn that their flows are closed.
    fn crash(&mut self, server: usize) {
        let held = std::mem::take(&mut self.servers[server].held);
        self.servers[server].crash(self.now);
        let mut held: Vec<u64> = held.into_iter().collect();
        held.sort_unstable();
        for flow in held {
            self.push_after(CALLER_WAY, FlowEvent::Reset { flow });
        }
    }

    /// Starts crashed backend servers again under their ids, and tells all instances.
    pub(super) fn restart_servers(&mut self) {
        for server in 0..self.servers.len() {
            if self.servers[server].crashed_at.take().is_none() {
                continue;
            }
            self.servers[server].cool(self.now);
            let centre = self.plan.site.centres[self.server_centres[server]].name;
            let row = backend_row(server, centre, 2);
            for instance in &mut self.instances {
                instance.router.apply_rows(self.now, std::slice::from_ref(&row));
            }
        }
    }
}
