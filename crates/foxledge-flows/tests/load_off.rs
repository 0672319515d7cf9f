//! Load control changes no decision while its settings are absent.

mod common;

use std::{fmt::Write, sync::Arc};

use common::{load::*, *};
use foxledge_core::names::CentreName;
use foxledge_flows::{
    BackendEvent, FlowDecision, FlowKey, FlowRouter, PacketKind, RouterOptions, rows::ListRow,
};
use foxledge_load::LocalLoad;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the decisions that the router took on the sequence before load control existed, except
/// that a removal ends no warm-up.
const FORMER_DECISIONS: u64 = 12_743_723_089_089_072_963;

/// Names in the printed decisions, and the names that they had when [`FORMER_DECISIONS`] was
/// computed.
const FORMER_NAMES: [(&str, &str); 6] = [
    ("health_penalty: ", "avoidance: "),
    ("open_flows: ", "flows: "),
    ("last_placement: ", "picked: "),
    ("retransmissions: ", "copies: "),
    ("health: ", "class: "),
    ("Reset {", "End {"),
];

/// A sequence of numbers that is the same in each run.
struct SeededDraws(u64);

impl SeededDraws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 += 1;
        xxh3_64(&self.0.to_be_bytes()) % limit
    }
}

fn centre_of(number: u64) -> &'static str {
    if number.is_multiple_of(3) { REMOTE_CENTRE } else { LOCAL_CENTRE }
}

fn rows() -> Vec<ListRow> {
    let mut rows: Vec<_> =
        (1..=12).map(|number| listed_backend(number, "desk", centre_of(number), 2)).collect();
    rows.push(service_row("desk", 2_000, 40, 1));
    rows
}

fn router_without_load_control() -> FlowRouter {
    fill_router(FlowRouter::new(RouterOptions::new(CentreName::new(LOCAL_CENTRE)).seed(7)), &rows())
}

/// Applies a random list change: drains, removals, new entries, evacuations.
fn change_list(router: &mut FlowRouter, draws: &mut SeededDraws, now: u64) {
    let number = 1 + draws.below(12);
    let revision = 10 + now;
    let row = listed_backend(number, "desk", centre_of(number), revision);
    let row = match draws.below(5) {
        0 => draining_row(&row, revision),
        1 => removed_row(&row, revision, 0),
        2 => evacuation_row(REMOTE_CENTRE, revision),
        3 => removed_row(&evacuation_row(REMOTE_CENTRE, revision), revision, 0),
        _ => row,
    };
    router.apply_rows(clock_at(now), &[row]);
    let _: Vec<BackendEvent> = router.drain_backend_events();
}

/// Appends a decision to a text, in a form that doesn't depend on the build.
fn append_decision(text: &mut String, router: &FlowRouter, decision: &FlowDecision) {
    let number = decided_backend(router, decision);
    let mut line = match decision {
        FlowDecision::Open { reason, .. } => {
            format!("open {number:?} {:?} {} {}", reason.rank, reason.attempt, reason.candidates)
        }
        FlowDecision::Forward { stall, .. } => format!("forward {number:?} {stall:?}"),
        other => format!("{other:?}"),
    };
    for (name, former) in FORMER_NAMES {
        line = line.replace(name, former);
    }
    writeln!(text, "{line}").expect("a string can be written");
}

/// Returns the decisions on 20,000 packets; `each` runs before every hundredth.
fn decisions(router: &mut FlowRouter, mut before_step: impl FnMut(&mut FlowRouter, u64)) -> String {
    let mut draws = SeededDraws(20_261_204);
    let mut flows: Vec<(FlowKey, u32, u32)> = Vec::new();
    let mut text = String::new();
    for step in 0..20_000_u64 {
        let now = step;
        if step % 100 == 0 {
            router.set_confirmed_at(clock_at(now));
            router.report_overdue_openings(clock_at(now));
            before_step(router, now);
        }
        if draws.below(400) == 0 {
            change_list(router, &mut draws, now);
        }
        let index = draws.below(flows.len().max(1) as u64) as usize;
        let kind = draws.below(10);
        if flows.is_empty() || kind < 4 {
            let key = flow_key(draws.below(200) as u8, 1_024 + draws.below(3_000) as u16);
            let attempt = (draws.below(8) == 0) as u32;
            let decision = router.on_packet(clock_at(now), &opening_packet(key, attempt));
            append_decision(&mut text, router, &decision);
            flows.extend(decided_backend(router, &decision).map(|number| (key, number as u32, 1)));
            continue;
        }
        let (key, token, sequence) = flows[index];
        let packet = match kind {
            4..7 => data_packet(key, token, sequence, 1),
            7 => flow_packet(key, PacketKind::Continue, token),
            8 => foxledge_flows::FlowPacket {
                acknowledged: 1 + sequence * 7,
                ..flow_packet(key, PacketKind::Continue, token)
            },
            _ => foxledge_flows::FlowPacket {
                acknowledged: 900,
                ..flow_packet(key, PacketKind::Finish, token)
            },
        };
        let decision = router.on_packet(clock_at(now), &packet);
        append_decision(&mut text, router, &decision);
        match kind {
            4..7 if draws.below(3) > 0 => flows[index].2 += 100,
            9 => drop(flows.swap_remove(index)),
            _ => {}
        }
    }
    text
}

// Guards against changed decisions in a deployment that doesn't have the settings of load control.
#[test]
fn decisions_match_those_before_load_control() {
    let text = decisions(&mut router_without_load_control(), |_, _| ());
    assert_eq!(text.lines().count(), 20_000);
    assert_eq!(xxh3_64(text.as_bytes()), FORMER_DECISIONS, "{}", &text[..2_000]);
}

// Guards against load views that steer flows though the settings don't enable it.
#[test]
fn load_views_are_ignored_when_off() {
    let burst = caller_load(&[(1, 4_000.0), (2, 4_000.0)], &[(LOCAL_CENTRE, 100.0)]);
    let calm = caller_load(&[(1, 1.0)], &[(REMOTE_CENTRE, 0.0)]);
    let mut is_report_due = false;
    let text = decisions(&mut router_without_load_control(), |router, now| {
        is_report_due |= router.is_load_report_due(clock_at(now));
        assert_eq!(router.collect_local_load(clock_at(now)), LocalLoad::default());
        let centres = [(LOCAL_CENTRE, burst.clone()), (REMOTE_CENTRE, calm.clone())];
        router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), &centres)));
        assert_eq!((router.load_ratio(), router.load_reports(clock_at(now)).len()), (0.0, 0));
        assert_eq!(router.drain_load_events(), []);
    });
    assert!(!is_report_due);
    assert_eq!(text, decisions(&mut router_without_load_control(), |_, _| ()));
}

// Guards against changed decisions when the local load is measured but no view is known.
#[test]
fn measuring_load_changes_no_decision() {
    let options = RouterOptions::new(CentreName::new(LOCAL_CENTRE)).seed(7).overflow(true);
    let mut router = fill_router(FlowRouter::new(options), &rows());
    let text = decisions(&mut router, |router, now| {
        if router.is_load_report_due(clock_at(now)) {
            router.collect_local_load(clock_at(now));
        }
    });
    assert_eq!(text, decisions(&mut router_without_load_control(), |_, _| ()));
}
