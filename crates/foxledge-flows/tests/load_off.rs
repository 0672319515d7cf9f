//! Without its settings, load control changes nothing.

mod common;

use std::{fmt::Write, sync::Arc};

use common::{load::*, *};
use foxledge_core::names::CentreName;
use foxledge_flows::{
    BackendNews, FlowDecision, FlowKey, FlowRouter, PacketKind, RouterOptions, rows::ListRow,
};
use foxledge_load::LocalLoad;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the decisions on the sequence by the router from before load control.
const FORMER_DECISIONS: u64 = 17_309_931_106_680_505_870;

/// `SeededDraws` is a sequence of numbers that is the same in each run.
struct SeededDraws(u64);

impl SeededDraws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 += 1;
        xxh3_64(&self.0.to_be_bytes()) % limit
    }
}

fn centre_of(number: u64) -> &'static str {
    if number.is_multiple_of(3) { FAR } else { NEAR }
}

fn rows() -> Vec<ListRow> {
    let mut rows: Vec<_> =
        (1..=12).map(|number| backend(number, "desk", centre_of(number), 2)).collect();
    rows.push(service_limits("desk", 2_000, 40, 1));
    rows
}

fn off_router() -> FlowRouter {
    filled(FlowRouter::new(RouterOptions::new(CentreName::new(NEAR)).seed(7)), &rows())
}

/// A list change now and then: leaves, returns, new starts, evacuations.
fn change_list(router: &mut FlowRouter, draws: &mut SeededDraws, now: u64) {
    let number = 1 + draws.below(12);
    let revision = 10 + now;
    let row = backend(number, "desk", centre_of(number), revision);
    let row = match draws.below(5) {
        0 => draining(&row, revision),
        1 => removed(&row, revision, 0),
        2 => evacuation(FAR, revision),
        3 => removed(&evacuation(FAR, revision), revision, 0),
        _ => row,
    };
    router.take_rows(at(now), &[row]);
    let _: Vec<BackendNews> = router.take_backend_news();
}

/// Takes a decision into a text, by what each build tells of it.
fn tell(text: &mut String, router: &FlowRouter, decision: &FlowDecision) {
    let number = number_of(router, decision);
    let told = match decision {
        FlowDecision::Open { reason, .. } => {
            format!("open {number:?} {:?} {} {}", reason.rank, reason.copy, reason.candidates)
        }
        FlowDecision::Forward { stall, .. } => format!("forward {number:?} {stall:?}"),
        other => format!("{other:?}"),
    };
    writeln!(text, "{told}").expect("is written");
}

/// The decisions on 20,000 packets; `each` runs before every hundredth.
fn decisions(router: &mut FlowRouter, mut each: impl FnMut(&mut FlowRouter, u64)) -> String {
    let mut draws = SeededDraws(20_261_204);
    let mut flows: Vec<(FlowKey, u32, u32)> = Vec::new();
    let mut text = String::new();
    for step in 0..20_000_u64 {
        let now = step;
        if step % 100 == 0 {
            router.set_confirmed(at(now));
            router.check_overdue(at(now));
            each(router, now);
        }
        if draws.below(400) == 0 {
            change_list(router, &mut draws, now);
        }
        let place = draws.below(flows.len().max(1) as u64) as usize;
        let kind = draws.below(10);
        if flows.is_empty() || kind < 4 {
            let key = key(draws.below(200) as u8, 1_024 + draws.below(3_000) as u16);
            let copy = (draws.below(8) == 0) as u32;
            let decision = router.on_packet(at(now), &opening(key, copy));
            tell(&mut text, router, &decision);
            flows.extend(number_of(router, &decision).map(|number| (key, number as u32, 1)));
            continue;
        }
        let (key, token, sequence) = flows[place];
        let packet = match kind {
            4..7 => data(key, token, sequence, 1),
            7 => packet(key, PacketKind::Continue, token),
            8 => foxledge_flows::FlowPacket {
                acknowledged: 1 + sequence * 7,
                ..packet(key, PacketKind::Continue, token)
            },
            _ => foxledge_flows::FlowPacket {
                acknowledged: 900,
                ..packet(key, PacketKind::Finish, token)
            },
        };
        let decision = router.on_packet(at(now), &packet);
        tell(&mut text, router, &decision);
        match kind {
            4..7 if draws.below(3) > 0 => flows[place].2 += 100,
            9 => drop(flows.swap_remove(place)),
            _ => {}
        }
    }
    text
}

// A deployment without the settings is served otherwise than by the build before.
#[test]
fn same_as_before() {
    let text = decisions(&mut off_router(), |_, _| ());
    assert_eq!(text.lines().count(), 20_000);
    assert_eq!(xxh3_64(text.as_bytes()), FORMER_DECISIONS, "{}", &text[..2_000]);
}

// A load view steers flows though the settings don't ask for it.
#[test]
fn views_ignored() {
    let burst = callers(&[(1, 4_000.0), (2, 4_000.0)], &[(NEAR, 100.0)]);
    let calm = callers(&[(1, 1.0)], &[(FAR, 0.0)]);
    let mut is_asked = false;
    let text = decisions(&mut off_router(), |router, now| {
        is_asked |= router.load_due(at(now));
        assert_eq!(router.own_load(at(now)), LocalLoad::default());
        let centres = [(NEAR, burst.clone()), (FAR, calm.clone())];
        router.set_load(at(now), Arc::new(view(at(now), &centres)));
        assert_eq!((router.pressure(), router.load_reports(at(now)).len()), (0.0, 0));
        assert_eq!(router.take_load_news(), []);
    });
    assert!(!is_asked);
    assert_eq!(text, decisions(&mut off_router(), |_, _| ()));
}

// Measuring the own load changes decisions while no view is known.
#[test]
fn measuring_changes_nothing() {
    let options = RouterOptions::new(CentreName::new(NEAR)).seed(7).overflow(true);
    let mut router = filled(FlowRouter::new(options), &rows());
    let text = decisions(&mut router, |router, now| {
        if router.load_due(at(now)) {
            router.own_load(at(now));
        }
    });
    assert_eq!(text, decisions(&mut off_router(), |_, _| ()));
}
