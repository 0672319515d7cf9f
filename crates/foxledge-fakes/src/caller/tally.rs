//! Counting what flows saw into a report.

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::RunOutcome;
use hdrhistogram::Histogram;

use super::{effects::FlowNote, options::LoadOptions};
use crate::{
    backend::reason_word,
    report::{LatencyReport, LoadReport},
};

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Decimal digits that percentiles keep.
const DIGITS: u8 = 3;

/// `LoadTally` counts notes.
pub struct LoadTally {
    report: LoadReport,
    latency: Histogram<u64>,
    started_at: ClockTime,
}

impl LoadTally {
    /// Makes an empty tally; `unix_ms` is the wall-clock time of `started_at`.
    pub fn new(started_at: ClockTime, unix_ms: u64, options: &LoadOptions) -> LoadTally {
        let latency = Histogram::new_with_max(LONGEST_US, DIGITS);
        LoadTally {
            report: LoadReport {
                member: options.member.to_string(),
                address: options.address.to_string(),
                kind: options.kind.to_string(),
                started_unix_ms: unix_ms,
                seconds: options.seconds,
                ..LoadReport::default()
            },
            latency: latency.expect("the bounds are constants that fit"),
            started_at,
        }
    }

    /// Counts a piece of work that arrived.
    pub fn count_offered(&mut self) {
        self.report.offered += 1;
    }

    /// Counts a datagram that names no known flow, or can't be read.
    pub fn count_stray(&mut self) {
        self.report.stray += 1;
    }

    /// Counts one note.
    pub fn count(&mut self, now: ClockTime, note: FlowNote) {
        let report = &mut self.report;
        match note {
            FlowNote::Served { id, born } => {
                report.served += 1;
                report.served_ids.push(id);
                let micros = now.since(born).as_micros() as u64;
                self.latency.saturating_record(micros);
                self.count_goodput(now);
            }
            FlowNote::Refused { id, outcome, reason } => {
                *report.refused.entry(reason_word(reason)).or_default() += 1;
                report.refused_not_run += u64::from(outcome == RunOutcome::NotRun);
                self.keep_refused(id, outcome);
            }
            FlowNote::LateRefusal { id, outcome } => self.keep_refused(Some(id), outcome),
            FlowNote::AskedAgain => report.asked_again += 1,
            FlowNote::GaveUp => report.given_up += 1,
            FlowNote::EndedUnknown => report.unknown += 1,
            FlowNote::TimedOut { id } => {
                report.timed_out += 1;
                report.timed_out_ids.extend(id);
            }
            FlowNote::Resent => report.resends += 1,
            FlowNote::TicketAsked => report.tickets_asked += 1,
            FlowNote::TicketGot => report.tickets_got += 1,
            FlowNote::Crossed => report.crossed += 1,
            FlowNote::WrongService => report.wrong_service += 1,
            FlowNote::Late => report.late += 1,
            FlowNote::FeedOpened => report.feeds += 1,
            FlowNote::FeedReopened => report.reopened_feeds += 1,
            FlowNote::FeedItem { silence_ms } => {
                report.feed_items += 1;
                report.longest_silence_ms = report.longest_silence_ms.max(silence_ms);
            }
            FlowNote::FeedBroken => report.broken_feeds += 1,
        }
    }

    /// The report.
    pub fn finish(mut self) -> LoadReport {
        let millis = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        self.report.latency = LatencyReport {
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
            max_ms: self.latency.max() as f64 / 1000.0,
        };
        self.report
    }

    /// A late refusal is held to its word like any other.
    fn keep_refused(&mut self, id: Option<crate::report::RequestId>, outcome: RunOutcome) {
        match outcome {
            RunOutcome::NotRun => self.report.not_run_ids.extend(id),
            _ => self.report.unknown_ids.extend(id),
        }
    }

    fn count_goodput(&mut self, now: ClockTime) {
        let second = now.since(self.started_at).as_secs() as usize;
        let goodput = &mut self.report.goodput;
        if goodput.len() <= second {
            goodput.resize(second + 1, 0);
        }
        goodput[second] += 1;
    }
}
