//! One run in virtual time.

use std::{collections::HashMap, time::Duration};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{FlowPacket, FlowRouter, HealthObservation, PacketKind, RouterOptions};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    events::EventQueue,
    flows::{
        callers::{FlowRequest, RequestClass, SimFlow},
        plan::{FlowPlan, RUN_TIME, TICK, TROUBLE_AT, TROUBLE_END},
        published::published_rows,
        report::FlowResult,
        servers::{ServerRun, SimServer},
        sites::{CentrePlan, SitePlan},
        tally::FlowTally,
    },
};

/// One way between a caller and an instance or a backend server.
pub(super) const CALLER_WAY: Duration = Duration::from_millis(3);
/// What comes before isn't measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// `FlowEvent` is what happens at a point of virtual time.
pub(super) enum FlowEvent {
    /// A caller of a data centre asks.
    Arrive { centre: usize },
    /// A packet reaches its instance.
    ToInstance { instance: usize, flow: u64, packet: FlowPacket },
    /// A packet reaches a backend server.
    ToServer { flow: u64, server: usize, kind: PacketKind, request: Option<usize> },
    /// A backend server has taken the flow, as its caller learns.
    Accepted { flow: u64, server: usize },
    /// A backend server's answer reaches the caller.
    Answered { flow: u64, request: usize },
    /// A backend server's word that it has no room reaches the caller.
    TurnedAway { flow: u64, request: usize },
    /// An instance's reset reaches the caller.
    Reset { flow: u64 },
    /// The opening packet is sent, or again, if nothing has come.
    OpeningDue { flow: u64, copy: u32 },
    /// The request is sent again, if nothing has come.
    RequestDue { flow: u64, request: usize },
    /// A request's time is over.
    Deadline { request: usize },
    /// A backend server has done a request.
    RunDone { server: usize, run: ServerRun },
    /// An instance looks for unanswered openings.
    Tick { instance: usize },
    /// An observation reaches another instance.
    Note { instance: usize, note: HealthObservation },
    /// The variant's trouble begins.
    TroubleBegins,
    /// It ends, if it does.
    TroubleEnds,
    /// Crashed backend servers start again under their ids.
    ServersRestart,
}

/// `SimInstance` is an instance: its router, and whether it stands still.
pub(super) struct SimInstance {
    pub(super) router: FlowRouter,
    pub(super) centre: usize,
    pub(super) frozen_until: ClockTime,
    /// Until when it has no power.
    pub(super) dark_until: ClockTime,
}

/// `FlowWorld` is everything in one run.
pub(super) struct FlowWorld {
    pub(super) plan: FlowPlan,
    pub(super) now: ClockTime,
    pub(super) events: EventQueue<FlowEvent>,
    pub(super) random: StdRng,
    pub(super) instances: Vec<SimInstance>,
    pub(super) servers: Vec<SimServer>,
    pub(super) server_centres: Vec<usize>,
    pub(super) flows: HashMap<u64, SimFlow>,
    pub(super) flow_count: u64,
    pub(super) requests: Vec<FlowRequest>,
    /// The flows that callers keep, by data centre.
    pub(super) users: Vec<Vec<KeptFlows>>,
    pub(super) is_lossy: bool,
    pub(super) is_shifted: bool,
    pub(super) tally: FlowTally,
}

/// `KeptFlows` is the flows that one caller keeps open.
#[derive(Clone, Copy, Default)]
pub(super) struct KeptFlows {
    feed: KeptFlow,
    bid: KeptFlow,
}

impl KeptFlows {
    /// True while a request of the class is under way.
    pub(super) fn is_busy(&self, class: RequestClass) -> bool {
        match class {
            RequestClass::Feed => self.feed.is_busy,
            RequestClass::Bid => self.bid.is_busy,
        }
    }

    /// The one for requests of a class.
    pub(super) fn of(&mut self, class: RequestClass) -> &mut KeptFlow {
        match class {
            RequestClass::Feed => &mut self.feed,
            RequestClass::Bid => &mut self.bid,
        }
    }
}

/// `KeptFlow` is one of them.
#[derive(Clone, Copy, Default)]
pub(super) struct KeptFlow {
    pub(super) flow: Option<u64>,
    /// A request is under way on it.
    pub(super) is_busy: bool,
}

/// Makes the runs, several at a time; results come in the order of the plans.
pub fn run_flows(plans: &[FlowPlan], threads: usize) -> Vec<FlowResult> {
    let share = plans.len().div_ceil(threads.max(1)).max(1);
    std::thread::scope(|scope| {
        let parts: Vec<_> = plans
            .chunks(share)
            .map(|part| scope.spawn(|| part.iter().map(|plan| run_one(*plan)).collect::<Vec<_>>()))
            .collect();
        parts.into_iter().flat_map(|part| part.join().expect("no run panics")).collect()
    })
}

fn run_one(plan: FlowPlan) -> FlowResult {
    let mut world = FlowWorld::new(plan);
    while let Some((at, event)) = world.events.pop() {
        if at > start().after(RUN_TIME + Duration::from_secs(2)) {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    for request in &world.requests {
        if request.asked_at >= start().after(WARM_UP) {
            world.tally.add_request(request, request.asked_at.since(start().after(WARM_UP)));
        }
    }
    FlowResult::new(plan, &world.tally)
}

/// The begin of every run, an hour into the clock.
pub(super) fn start() -> ClockTime {
    ClockTime::from_micros(3_600_000_000)
}

impl FlowWorld {
    fn new(plan: FlowPlan) -> FlowWorld {
        let site = plan.site;
        let server_centres = spread_over(site, |centre| centre.servers);
        let rows = published_rows(site, &server_centres);
        let instances = spread_over(site, |centre| centre.instances).into_iter().enumerate();
        let instances = instances.map(|(index, centre)| {
            let mut options = RouterOptions::new(CentreName::new(site.centres[centre].name))
                .seed(plan.seed ^ index as u64);
            if let Some(mechanism) = plan.without {
                options = options.without(mechanism);
            }
            let policy = plan.policy.make(plan.seed ^ index as u64);
            let mut router = FlowRouter::new(options).policy(policy);
            router.apply_rows(start(), &rows);
            router.set_confirmed_at(start());
            router.set_peer_count(site.instances() - 1);
            SimInstance {
                router,
                centre,
                frozen_until: ClockTime::ZERO,
                dark_until: ClockTime::ZERO,
            }
        });
        // With few callers a high load would wait for them and not for slots.
        let crowd = (plan.level / site.level).max(1.0);
        let users = site.centres.iter().map(|centre| (centre.users as f64 * crowd) as usize);
        let mut world = FlowWorld {
            plan,
            now: start(),
            events: EventQueue::new(),
            random: StdRng::seed_from_u64(plan.seed),
            instances: instances.collect(),
            servers: (0..site.servers()).map(|_| SimServer::new()).collect(),
            server_centres,
            flows: HashMap::new(),
            flow_count: 0,
            requests: Vec::new(),
            users: users.map(|count| vec![KeptFlows::default(); count]).collect(),
            is_lossy: false,
            is_shifted: false,
            tally: FlowTally::new(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for centre in 0..self.plan.site.centres.len() {
            self.next_arrival(centre);
        }
        for instance in 0..self.instances.len() {
            self.push_after(TICK, FlowEvent::Tick { instance });
        }
        self.push_after(TROUBLE_AT, FlowEvent::TroubleBegins);
        self.push_after(TROUBLE_END, FlowEvent::TroubleEnds);
    }

    pub(super) fn push_after(&mut self, span: Duration, event: FlowEvent) {
        self.events.push(self.now.after(span), event);
    }

    fn handle(&mut self, event: FlowEvent) {
        match event {
            FlowEvent::Arrive { centre } => self.arrive(centre),
            FlowEvent::ToInstance { instance, flow, packet } => {
                self.at_instance(instance, flow, packet);
            }
            FlowEvent::ToServer { flow, server, kind, request } => {
                self.at_server(flow, server, kind, request);
            }
            FlowEvent::Accepted { flow, server } => self.accepted(flow, server),
            FlowEvent::Answered { flow, request } => self.answered(flow, request),
            FlowEvent::TurnedAway { flow, request } => self.turned_away(flow, request),
            FlowEvent::Reset { flow } => self.reset(flow),
            FlowEvent::OpeningDue { flow, copy } => self.opening_due(flow, copy),
            FlowEvent::RequestDue { flow, request } => self.request_due(flow, request),
            FlowEvent::Deadline { request } => self.requests[request].is_over = true,
            FlowEvent::RunDone { server, run } => self.run_done(server, run),
            FlowEvent::Tick { instance } => self.tick(instance),
            FlowEvent::Note { instance, note } => self.note(instance, note),
            FlowEvent::TroubleBegins => self.begin_trouble(),
            FlowEvent::ServersRestart => self.restart_servers(),
            FlowEvent::TroubleEnds => {
                self.is_lossy = false;
                self.is_shifted = false;
            }
        }
    }
}

/// The data centre of each of some things, from how many each data centre has.
fn spread_over(site: &SitePlan, count: impl Fn(&CentrePlan) -> usize) -> Vec<usize> {
    let centres = site.centres.iter().enumerate();
    centres.flat_map(|(index, centre)| vec![index; count(centre)]).collect()
}
