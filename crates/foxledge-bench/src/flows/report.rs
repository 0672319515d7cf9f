//! What a run gave, and the table of several.

use serde::Serialize;

use crate::flows::{
    plan::FlowPlan,
    tally::{ClassTally, FlowTally, StepTally},
};

/// `FlowResult` is the figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowResult {
    /// Where new flows went.
    pub policy: &'static str,
    /// What went wrong.
    pub variant: &'static str,
    /// Load relative to what the slots can carry.
    pub level: f64,
    /// Share of feeds and of bids that were answered.
    pub feeds_served: f64,
    /// Share of bids that were answered.
    pub bids_served: f64,
    /// Share of requests answered within 100 ms.
    pub in_aim: f64,
    /// Latency of the answered ones, in milliseconds.
    pub p50_ms: f64,
    /// The slowest hundredth.
    pub p99_ms: f64,
    /// Share of new flows that went to another data centre.
    pub far: f64,
    /// Requests that backend servers turned away, for each that callers asked.
    pub turned_away: f64,
    /// Longest time from a backend server's silence to the last new flow placed there as if
    /// it were healthy, in milliseconds.
    pub silence_ms: u64,
    /// Suspicions of backend servers that live.
    pub false_suspicions: u64,
    /// Ejections of backend servers that live.
    pub false_ejections: u64,
    /// Open flows that were reset.
    pub ended: u64,
    /// Those of backend servers that live.
    pub ended_falsely: u64,
    /// Feeds that were never answered.
    pub feeds_failed: u64,
    /// Bids that were never answered.
    pub bids_failed: u64,
    /// Those of both that were asked on a kept flow whose backend server was dead already.
    pub failed_at_dead: u64,
    /// The run in steps of a quarter of a second, from its third second on.
    #[serde(skip)]
    pub steps: Vec<StepTally>,
}

impl FlowResult {
    pub(crate) fn new(plan: FlowPlan, tally: &FlowTally) -> FlowResult {
        let FlowTally { feeds, bids, .. } = tally;
        let asked = (feeds.asked + bids.asked).max(1) as f64;
        let latency_ms = |part| tally.latency.value_at_quantile(part) as f64 / 1_000.0;
        let opened = tally.opened.max(1) as f64;
        FlowResult {
            policy: plan.policy.as_str(),
            variant: plan.variant.as_str(),
            level: plan.level,
            feeds_served: ClassTally::served(feeds),
            bids_served: ClassTally::served(bids),
            in_aim: (feeds.in_aim + bids.in_aim) as f64 / asked,
            p50_ms: latency_ms(0.5),
            p99_ms: latency_ms(0.99),
            far: tally.opened_far as f64 / opened,
            turned_away: tally.turned_away as f64 / asked,
            silence_ms: tally.silence_noticed.as_millis() as u64,
            false_suspicions: tally.false_suspicions,
            false_ejections: tally.false_ejections,
            ended: tally.ended,
            ended_falsely: tally.ended_falsely,
            feeds_failed: feeds.failed,
            bids_failed: bids.failed,
            failed_at_dead: tally.failed_at_dead,
            steps: tally.steps.clone(),
        }
    }
}

/// The results as a table in Markdown.
pub fn flow_table(results: &[FlowResult]) -> String {
    let mut table = String::from(
        "| variant | load | policy | feeds | bids | in time | p50 ms | p99 ms | far | turned away | \
         silence ms | false suspicions, ejections | flows ended, falsely |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for result in results {
        let FlowResult { variant, level, policy, .. } = result;
        table += &format!(
            "| {variant} | {level} | {policy} | {:.4} | {:.4} | {:.4} | {:.1} | {:.0} | {:.3} | {:.3} | {} | {}, {} | {}, {} |\n",
            result.feeds_served,
            result.bids_served,
            result.in_aim,
            result.p50_ms,
            result.p99_ms,
            result.far,
            result.turned_away,
            result.silence_ms,
            result.false_suspicions,
            result.false_ejections,
            result.ended,
            result.ended_falsely,
        );
    }
    table
}
