//! Random sequences of packets and rows at two instances.

mod common;

use std::collections::{HashMap, HashSet};

use common::*;
use foxledge_flows::{FlowDecision, FlowPacket, FlowRouter, PacketKind};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Open {
        router: usize,
        flow: u16,
        attempt: u32,
    },
    Data {
        router: usize,
        flow: u16,
    },
    Retransmit {
        router: usize,
        flow: u16,
    },
    Finish {
        router: usize,
        flow: u16,
    },
    Drain {
        router: usize,
        backend: u64,
    },
    Remove {
        router: usize,
        backend: u64,
    },
    Return {
        router: usize,
        backend: u64,
    },
    RemoveRoute {
        router: usize,
    },
    AddRoute {
        router: usize,
    },
    Confirm {
        router: usize,
    },
    /// The instance restarts and reads the current list.
    Start {
        router: usize,
    },
    /// The backend server stops for good, and its entry is removed.
    Stop {
        backend: u64,
    },
    Wait {
        millis: u64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let router = 0..2_usize;
    let backend = 1..4_u64;
    prop_oneof![
        4 => (router.clone(), 0..4_u16, 0..3_u32)
            .prop_map(|(router, flow, attempt)| Step::Open { router, flow, attempt }),
        6 => (router.clone(), 0..4_u16).prop_map(|(router, flow)| Step::Data { router, flow }),
        4 => (router.clone(), 0..4_u16)
            .prop_map(|(router, flow)| Step::Retransmit { router, flow }),
        1 => (router.clone(), 0..4_u16).prop_map(|(router, flow)| Step::Finish { router, flow }),
        1 => (router.clone(), backend.clone())
            .prop_map(|(router, backend)| Step::Drain { router, backend }),
        1 => (router.clone(), backend.clone())
            .prop_map(|(router, backend)| Step::Remove { router, backend }),
        1 => (router.clone(), backend)
            .prop_map(|(router, backend)| Step::Return { router, backend }),
        1 => router.clone().prop_map(|router| Step::RemoveRoute { router }),
        1 => router.clone().prop_map(|router| Step::AddRoute { router }),
        2 => router.clone().prop_map(|router| Step::Confirm { router }),
        1 => router.prop_map(|router| Step::Start { router }),
        1 => (1..4_u64).prop_map(|backend| Step::Stop { backend }),
        3 => (0..400_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

struct Run {
    routers: Vec<FlowRouter>,
    revisions: [u64; 2],
    drained: [Vec<u64>; 2],
    /// The backend server of each open flow, as its caller knows it.
    flow_backends: HashMap<u16, u64>,
    /// When and where each flow's opening packet was last sent.
    openings: HashMap<u16, (u64, u64)>,
    /// The same for each instance, which sends an early retransmission to the same backend server.
    instance_openings: HashMap<(usize, u16), (u64, u64)>,
    /// The last packet sent on each open flow.
    last_data: HashMap<u16, FlowPacket>,
    /// When backend servers first left an opening unanswered until its retransmission, or a flow's
    /// data for half a second.
    unanswered: HashMap<u64, u64>,
    /// The backend servers that stopped for good.
    stopped: HashSet<u64>,
    /// For each instance, the expired entries of live backend servers.
    expired: [HashSet<u64>; 2],
    /// When each restarted instance has the expired entries back: about two seconds after the store
    /// confirms its list.
    restore_at: [Option<u64>; 2],
    now: u64,
}

/// The time, in milliseconds, between the store's return and that of expired entries.
const RESTORE_DELAY_MS: u64 = 2_000;

impl Run {
    fn new() -> Run {
        let backends: Vec<_> =
            (1..4).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
        Run {
            routers: vec![listed_router(&backends), listed_router(&backends)],
            revisions: [10, 10],
            drained: Default::default(),
            flow_backends: HashMap::new(),
            openings: HashMap::new(),
            instance_openings: HashMap::new(),
            last_data: HashMap::new(),
            unanswered: HashMap::new(),
            stopped: HashSet::new(),
            expired: Default::default(),
            restore_at: [None; 2],
            now: 0,
        }
    }

    fn rows(&mut self, index: usize, make: impl Fn(u64) -> foxledge_flows::rows::ListRow) {
        self.revisions[index] += 1;
        let row = make(self.revisions[index]);
        self.routers[index].apply_rows(clock_at(self.now), &[row]);
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait { millis } => {
                self.now += millis;
                for router in &mut self.routers {
                    router.report_overdue_openings(clock_at(self.now));
                }
                for router in 0..2 {
                    self.restore_expired(router);
                }
            }
            Step::Confirm { router } => {
                self.routers[router].set_confirmed_at(clock_at(self.now));
                self.restore_at[router].get_or_insert(self.now + RESTORE_DELAY_MS);
            }
            Step::Start { router } => self.start(router),
            Step::Stop { backend: number } => {
                self.stopped.insert(number);
                for router in 0..2 {
                    let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                    self.drained[router].retain(|other| *other != number);
                    self.rows(router, |revision| removed_row(&row, revision, 0));
                }
            }
            Step::Drain { backend: number, .. }
            | Step::Remove { backend: number, .. }
            | Step::Return { backend: number, .. }
                if self.stopped.contains(&number) => {}
            Step::Drain { router, backend: number } => {
                self.drained[router].push(number);
                self.expired[router].remove(&number);
                let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                self.rows(router, |revision| draining_row(&row, revision));
            }
            Step::Remove { router, backend: number } => {
                let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                self.rows(router, |revision| removed_row(&row, revision, 0));
                self.drained[router].retain(|other| *other != number);
                self.expired[router].insert(number);
            }
            Step::Return { router, backend: number } => {
                self.drained[router].retain(|other| *other != number);
                self.expired[router].remove(&number);
                self.rows(router, |revision| {
                    listed_backend(number, "desk", LOCAL_CENTRE, revision)
                });
            }
            Step::RemoveRoute { router } => {
                let row = route_row("r", 443, "desk", 1);
                self.rows(router, |revision| removed_row(&row, revision, 0));
            }
            Step::AddRoute { router } => {
                self.rows(router, |revision| route_row("r", 443, "desk", revision));
            }
            Step::Open { router, flow, attempt } => self.open(router, flow, attempt),
            Step::Data { router, flow } => self.send_packet(router, flow, PacketKind::Continue),
            Step::Retransmit { router, flow } => self.retransmit(router, flow),
            Step::Finish { router, flow } => self.send_packet(router, flow, PacketKind::Finish),
        }
    }

    /// Restarts an instance, which then knows the listed entries but not the expired ones.
    fn start(&mut self, router: usize) {
        self.drained[router].clear();
        self.restore_at[router] = None;
        self.instance_openings.retain(|(index, _), _| *index != router);
        let listed = (1..4).filter(|number| {
            !self.stopped.contains(number) && !self.expired[router].contains(number)
        });
        let rows: Vec<_> =
            listed.map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
        let mut started = foxledge_flows::FlowRouter::new(foxledge_flows::RouterOptions::new(
            foxledge_core::names::CentreName::new(LOCAL_CENTRE),
        ));
        started.apply_rows(clock_at(self.now), &[limits_row(1, 1), route_row("r", 443, "desk", 1)]);
        started.apply_rows(clock_at(self.now), &rows);
        self.routers[router] = started;
    }

    fn restore_expired(&mut self, router: usize) {
        if self.restore_at[router].is_none_or(|at| at > self.now) {
            return;
        }
        let restored: Vec<_> = self.expired[router].drain().collect();
        for number in restored {
            if !self.stopped.contains(&number) {
                self.rows(router, |revision| {
                    listed_backend(number, "desk", LOCAL_CENTRE, revision)
                });
            }
        }
    }

    fn open(&mut self, index: usize, flow: u16, attempt: u32) {
        if self.flow_backends.contains_key(&flow) {
            // A caller sends no opening packet on an open flow.
            return;
        }
        let router = &mut self.routers[index];
        let decision =
            router.on_packet(clock_at(self.now), &opening_packet(flow_key(1, flow), attempt));
        let Some(number) = decided_backend(router, &decision) else { return };
        // A retransmission within 150 ms of the packet before it goes to the same backend server,
        // even if that began to drain in between: it may have accepted the flow already, and
        // another one would accept it a second time.
        let last = self.instance_openings.insert((index, flow), (self.now, number));
        if let Some((_, to)) = last.filter(|(sent, _)| self.now >= sent + 150) {
            self.unanswered.entry(to).or_insert(self.now);
        }
        let is_retransmission =
            last.is_some_and(|(sent, to)| to == number && self.now < sent + 150);
        let is_draining = self.drained[index].contains(&number);
        assert!(!is_draining || is_retransmission, "a draining backend server got a new flow");
        self.openings.insert(flow, (self.now, number));
    }

    fn send_packet(&mut self, index: usize, flow: u16, kind: PacketKind) {
        let opened = self.openings.get(&flow).map(|(_, number)| *number);
        let Some(flow_backend) = self.flow_backends.get(&flow).copied().or(opened) else { return };
        self.flow_backends.insert(flow, flow_backend);
        if self.stopped.contains(&flow_backend) && kind == PacketKind::Finish {
            // The packet stays unanswered, and the caller gives up.
            self.flow_backends.remove(&flow);
            self.openings.remove(&flow);
            return;
        }
        let mut sent = data_packet(flow_key(1, flow), flow_backend as u32, self.now as u32, 1);
        sent.kind = kind;
        self.last_data.insert(flow, sent);
        self.send(index, flow, flow_backend, &sent);
        if kind == PacketKind::Finish {
            self.flow_backends.remove(&flow);
        }
    }

    /// Retransmits the last packet of the flow.
    fn retransmit(&mut self, index: usize, flow: u16) {
        let Some(flow_backend) = self.flow_backends.get(&flow).copied() else { return };
        let Some(sent) = self.last_data.get(&flow).copied() else { return };
        self.send(index, flow, flow_backend, &sent);
    }

    fn send(&mut self, index: usize, flow: u16, flow_backend: u64, sent: &FlowPacket) {
        let router = &mut self.routers[index];
        let decision = router.on_packet(clock_at(self.now), sent);
        if matches!(decision, FlowDecision::Refuse(_)) {
            assert!(
                self.stopped.contains(&flow_backend),
                "a flow of a live backend server was reset"
            );
            self.flow_backends.remove(&flow);
            self.openings.remove(&flow);
        }
        if matches!(decision, FlowDecision::Reset { .. }) {
            let first_sent = u64::from(sent.sequence);
            let unanswered_since =
                self.unanswered.get(&flow_backend).expect("another packet stayed unanswered");
            // One retransmission suffices after 500 ms of evidence, otherwise two are needed.
            let wait = if unanswered_since + 500 <= first_sent { 150 } else { 500 };
            assert!(self.now >= first_sent + wait, "reset while its caller may get a response");
            self.flow_backends.remove(&flow);
            self.openings.remove(&flow);
        }
        if self.now >= u64::from(sent.sequence) + 500 {
            self.unanswered.entry(flow_backend).or_insert(self.now);
        }
        if let Some(number) = decided_backend(router, &decision) {
            assert_eq!(number, flow_backend, "an open flow reached another backend server");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        // The sequences are the same in every run, so that a failure is caused by a change.
        ..ProptestConfig::default()
    })]

    /// Whatever the two instances know and in whatever order packets arrive: the packets of an open
    /// flow reach its backend server or none, the flow is reset only if its backend server answers
    /// neither it nor new flows, and a draining backend server gets no new flow.
    #[test]
    fn flows_reach_only_their_backend(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step);
        }
    }
}
