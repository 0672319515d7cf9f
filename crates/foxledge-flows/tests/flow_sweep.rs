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
        copy: u32,
    },
    Data {
        router: usize,
        flow: u16,
    },
    Resend {
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
    Vanish {
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
            .prop_map(|(router, flow, copy)| Step::Open { router, flow, copy }),
        6 => (router.clone(), 0..4_u16).prop_map(|(router, flow)| Step::Data { router, flow }),
        4 => (router.clone(), 0..4_u16).prop_map(|(router, flow)| Step::Resend { router, flow }),
        1 => (router.clone(), 0..4_u16).prop_map(|(router, flow)| Step::Finish { router, flow }),
        1 => (router.clone(), backend.clone())
            .prop_map(|(router, backend)| Step::Drain { router, backend }),
        1 => (router.clone(), backend.clone())
            .prop_map(|(router, backend)| Step::Remove { router, backend }),
        1 => (router.clone(), backend).prop_map(|(router, backend)| Step::Return { router, backend }),
        1 => router.clone().prop_map(|router| Step::RemoveRoute { router }),
        1 => router.clone().prop_map(|router| Step::AddRoute { router }),
        2 => router.clone().prop_map(|router| Step::Confirm { router }),
        1 => router.prop_map(|router| Step::Start { router }),
        1 => (1..4_u64).prop_map(|backend| Step::Vanish { backend }),
        3 => (0..400_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

struct Run {
    routers: Vec<FlowRouter>,
    revisions: [u64; 2],
    drained: [Vec<u64>; 2],
    /// The backend server of each open flow, as its caller knows it.
    holders: HashMap<u16, u64>,
    /// When and where each flow's opening packet was last sent.
    openings: HashMap<u16, (u64, u64)>,
    /// The same for each instance, which sends an early retransmission to the same backend server.
    own_openings: HashMap<(usize, u16), (u64, u64)>,
    /// The last packet sent on each open flow.
    last_data: HashMap<u16, FlowPacket>,
    /// When backend servers first left an opening unanswered until its retransmission, or a flow's
    /// data for half a second.
    unanswered: HashMap<u64, u64>,
    /// The backend servers that stopped for good.
    vanished: HashSet<u64>,
    /// For each instance, the expired entries of live backend servers.
    lapsed: [HashSet<u64>; 2],
    /// When each restarted instance has the expired entries back: about two seconds after the store
    /// confirms its list.
    back_at: [Option<u64>; 2],
    now: u64,
}

/// The time, in milliseconds, between the store's return and that of expired entries.
const BACK_MS: u64 = 2_000;

impl Run {
    fn new() -> Run {
        let backends: Vec<_> =
            (1..4).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
        Run {
            routers: vec![listed_router(&backends), listed_router(&backends)],
            revisions: [10, 10],
            drained: Default::default(),
            holders: HashMap::new(),
            openings: HashMap::new(),
            own_openings: HashMap::new(),
            last_data: HashMap::new(),
            unanswered: HashMap::new(),
            vanished: HashSet::new(),
            lapsed: Default::default(),
            back_at: [None; 2],
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
                    self.bring_back(router);
                }
            }
            Step::Confirm { router } => {
                self.routers[router].set_confirmed_at(clock_at(self.now));
                self.back_at[router].get_or_insert(self.now + BACK_MS);
            }
            Step::Start { router } => self.start(router),
            Step::Vanish { backend: number } => {
                self.vanished.insert(number);
                for router in 0..2 {
                    let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                    self.drained[router].retain(|one| *one != number);
                    self.rows(router, |revision| removed_row(&row, revision, 0));
                }
            }
            Step::Drain { backend: number, .. }
            | Step::Remove { backend: number, .. }
            | Step::Return { backend: number, .. }
                if self.vanished.contains(&number) => {}
            Step::Drain { router, backend: number } => {
                self.drained[router].push(number);
                self.lapsed[router].remove(&number);
                let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                self.rows(router, |revision| draining_row(&row, revision));
            }
            Step::Remove { router, backend: number } => {
                let row = listed_backend(number, "desk", LOCAL_CENTRE, 1);
                self.rows(router, |revision| removed_row(&row, revision, 0));
                self.drained[router].retain(|one| *one != number);
                self.lapsed[router].insert(number);
            }
            Step::Return { router, backend: number } => {
                self.drained[router].retain(|one| *one != number);
                self.lapsed[router].remove(&number);
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
            Step::Open { router, flow, copy } => self.open(router, flow, copy),
            Step::Data { router, flow } => self.follow(router, flow, PacketKind::Continue),
            Step::Resend { router, flow } => self.resend(router, flow),
            Step::Finish { router, flow } => self.follow(router, flow, PacketKind::Finish),
        }
    }

    /// Restarts an instance, which then knows the listed entries but not the expired ones.
    fn start(&mut self, router: usize) {
        self.drained[router].clear();
        self.back_at[router] = None;
        self.own_openings.retain(|(index, _), _| *index != router);
        let listed = (1..4).filter(|number| {
            !self.vanished.contains(number) && !self.lapsed[router].contains(number)
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

    fn bring_back(&mut self, router: usize) {
        if self.back_at[router].is_none_or(|at| at > self.now) {
            return;
        }
        let back: Vec<_> = self.lapsed[router].drain().collect();
        for number in back {
            if !self.vanished.contains(&number) {
                self.rows(router, |revision| {
                    listed_backend(number, "desk", LOCAL_CENTRE, revision)
                });
            }
        }
    }

    fn open(&mut self, index: usize, flow: u16, copy: u32) {
        if self.holders.contains_key(&flow) {
            // A caller sends no opening packet on an open flow.
            return;
        }
        let router = &mut self.routers[index];
        let decision =
            router.on_packet(clock_at(self.now), &opening_packet(flow_key(1, flow), copy));
        let Some(number) = decided_backend(router, &decision) else { return };
        // A retransmission within 150 ms of the packet before it goes to the same backend server,
        // even if that began to drain in between: it may have accepted the flow already, and
        // another one would accept it a second time.
        let last = self.own_openings.insert((index, flow), (self.now, number));
        if let Some((_, to)) = last.filter(|(sent, _)| self.now >= sent + 150) {
            self.unanswered.entry(to).or_insert(self.now);
        }
        let is_copy = last.is_some_and(|(sent, to)| to == number && self.now < sent + 150);
        let is_leaving = self.drained[index].contains(&number);
        assert!(!is_leaving || is_copy, "a leaving backend server got a new flow");
        self.openings.insert(flow, (self.now, number));
    }

    fn follow(&mut self, index: usize, flow: u16, kind: PacketKind) {
        let opened = self.openings.get(&flow).map(|(_, number)| *number);
        let Some(holder) = self.holders.get(&flow).copied().or(opened) else { return };
        self.holders.insert(flow, holder);
        if self.vanished.contains(&holder) && kind == PacketKind::Finish {
            // The packet stays unanswered, and the caller gives up.
            self.holders.remove(&flow);
            self.openings.remove(&flow);
            return;
        }
        let mut sent = data_packet(flow_key(1, flow), holder as u32, self.now as u32, 1);
        sent.kind = kind;
        self.last_data.insert(flow, sent);
        self.send(index, flow, holder, &sent);
        if kind == PacketKind::Finish {
            self.holders.remove(&flow);
        }
    }

    /// Retransmits the last packet of the flow.
    fn resend(&mut self, index: usize, flow: u16) {
        let Some(holder) = self.holders.get(&flow).copied() else { return };
        let Some(sent) = self.last_data.get(&flow).copied() else { return };
        self.send(index, flow, holder, &sent);
    }

    fn send(&mut self, index: usize, flow: u16, holder: u64, sent: &FlowPacket) {
        let router = &mut self.routers[index];
        let decision = router.on_packet(clock_at(self.now), sent);
        if matches!(decision, FlowDecision::Refuse(_)) {
            assert!(self.vanished.contains(&holder), "a flow of a live backend server was reset");
            self.holders.remove(&flow);
            self.openings.remove(&flow);
        }
        if matches!(decision, FlowDecision::Reset { .. }) {
            let first_sent = u64::from(sent.sequence);
            let silent_since = self.unanswered.get(&holder).expect("other evidence");
            // One retransmission suffices after 500 ms of evidence, otherwise two are needed.
            let wait = if silent_since + 500 <= first_sent { 150 } else { 500 };
            assert!(self.now >= first_sent + wait, "ended while its caller may get an answer");
            self.holders.remove(&flow);
            self.openings.remove(&flow);
        }
        if self.now >= u64::from(sent.sequence) + 500 {
            self.unanswered.entry(holder).or_insert(self.now);
        }
        if let Some(number) = decided_backend(router, &decision) {
            assert_eq!(number, holder, "an open flow reached another backend server");
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
