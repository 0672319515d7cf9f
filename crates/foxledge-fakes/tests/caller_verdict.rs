//! The verdict drawn from reports and counts.

use std::net::SocketAddr;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};
use foxledge_fakes::{
    caller::{FlowNote, LoadOptions, tally::LoadTally},
    report::{BUSY_WINDOW_MS, BackendStats, BusyWindows, LoadReport, RequestId, RunRecord, judge},
};
use foxledge_wire::flow::{RefusalReason, RunOutcome};

fn id(request: u64) -> RequestId {
    RequestId { flow: 1, request }
}

fn ran(request: u64, runs: u32) -> RunRecord {
    RunRecord { id: id(request), runs, idempotent: false }
}

fn backend(runs: Vec<RunRecord>, busy: &[f64]) -> BackendStats {
    let windows = BusyWindows { first: 10, busy: busy.to_vec() };
    BackendStats { service: "auction-desk".to_owned(), runs, windows, ..BackendStats::default() }
}

#[test]
fn runs_are_summed_over_backend_servers() {
    let idempotent = RunRecord { idempotent: true, ..ran(3, 2) };
    let stats =
        [backend(vec![ran(1, 1), ran(2, 1), idempotent], &[]), backend(vec![ran(2, 1)], &[])];
    let verdict = judge(&[], &stats);
    assert_eq!((verdict.doubled, verdict.repeated_idempotent), (vec![id(2)], 1));
}

#[test]
fn false_refusals_and_lost_work_are_named() {
    let report = LoadReport {
        not_run_ids: vec![id(1), id(2), id(2)],
        served_ids: vec![id(3), id(4)],
        broken_feeds: 2,
        ..LoadReport::default()
    };
    let verdict = judge(&[report], &[backend(vec![ran(2, 1), ran(3, 1)], &[])]);
    assert_eq!((&verdict.false_not_run, &verdict.lost), (&vec![id(2)], &vec![id(4)]));
    assert_eq!(verdict.broken, 2);
    assert!(!verdict.is_clean());
}

#[test]
fn imbalance_counts_whole_windows_of_the_load() {
    // The load starts within window 10 and ends within window 13; window 12 is idle.
    let started_unix_ms = 10 * BUSY_WINDOW_MS + 1;
    let seconds = 3.0 * BUSY_WINDOW_MS as f64 / 1000.0;
    let report = LoadReport { started_unix_ms, seconds, ..LoadReport::default() };
    let stats =
        [backend(vec![], &[9.0, 1.0, 0.0, 9.0, 9.0]), backend(vec![], &[0.0, 3.0, 0.0, 0.0, 0.0])];
    let verdict = judge(&[report], &stats);
    let [imbalance] = verdict.imbalance.as_slice() else { panic!("one service") };
    assert_eq!((imbalance.targets, imbalance.windows), (2, 1));
    assert_eq!((imbalance.max_over_mean, imbalance.variation), (1.5, 0.5));
}

#[test]
fn every_refusal_is_held_to_its_word_also_a_late_one() {
    let fabric = SocketAddr::from(([127, 0, 0, 1], 1));
    let options = LoadOptions::new(fabric, "auction.lakeshore", "bricks-and-co", TrafficKind::Bid);
    let mut tally = LoadTally::new(ClockTime::ZERO, 0, &options);
    let reason = RefusalReason::QueueFull;
    let notes = [
        FlowNote::Refused { id: Some(id(1)), outcome: RunOutcome::NotRun, reason },
        FlowNote::Refused { id: Some(id(2)), outcome: RunOutcome::Unknown, reason },
        FlowNote::LateRefusal { id: id(3), outcome: RunOutcome::NotRun },
        FlowNote::LateRefusal { id: id(4), outcome: RunOutcome::Unknown },
    ];
    notes.into_iter().for_each(|note| tally.count(ClockTime::ZERO, note));
    let report = tally.finish();
    assert_eq!(report.not_run_ids, [id(1), id(3)]);
    assert_eq!(report.unknown_ids, [id(2), id(4)]);
    assert_eq!((report.refused["QUEUE_FULL"], report.refused_not_run), (2, 1));
}
