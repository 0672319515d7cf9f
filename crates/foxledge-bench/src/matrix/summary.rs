//! What a matrix gave: each mechanism against its twins.

use std::{
    io::Write,
    sync::atomic::{AtomicUsize, Ordering},
};

use anyhow::{Context, Result};
use foxledge_flows::RouterMechanism;
use serde::Serialize;

use crate::{
    flows::{FlowPlan, FlowResult, run_flows},
    matrix::plan::MatrixPlan,
};

/// `MatrixRow` is the runs of one site, variant and load without one mechanism, or with all.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MatrixRow {
    /// The site.
    pub site: &'static str,
    /// What went wrong.
    pub variant: &'static str,
    /// Load relative to what the slots can carry.
    pub level: f64,
    /// What the routers did without; empty when nothing.
    pub without: &'static str,
    /// Runs, one a seed.
    pub runs: usize,
    /// Share of requests answered in time: mean, and its standard deviation over seeds.
    pub in_aim: f64,
    /// Its standard deviation.
    pub in_aim_spread: f64,
    /// Feeds that failed, of a thousand asked.
    pub feeds_failed: f64,
    /// Bids that failed, of a thousand asked.
    pub bids_failed: f64,
    /// The standard deviation of that.
    pub bids_failed_spread: f64,
    /// Failed requests a run that began on a flow to a backend server dead already.
    pub failed_at_dead: f64,
    /// The slowest hundredth, in milliseconds.
    pub p99_ms: f64,
    /// Time from a death to the last flow placed there unawares, in milliseconds.
    pub silence_ms: f64,
    /// Flows ended at backend servers that live, a run.
    pub ended_falsely: f64,
    /// Share in time less that of the twins with all mechanisms, a mean over pairs.
    pub in_aim_gain: f64,
    /// The standard error of that mean.
    pub in_aim_error: f64,
    /// Failed bids of a thousand less those of the twins.
    pub bids_failed_more: f64,
    /// The standard error of that mean.
    pub bids_failed_error: f64,
}

/// Makes the runs of a plan on some threads; results come in the order of the runs.
pub fn run_matrix(runs: &[FlowPlan], threads: usize) -> Vec<FlowResult> {
    let next = AtomicUsize::new(0);
    // Large sites take a hundred times as long as small ones: each thread takes the next.
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(run) = runs.get(index) else { return done };
            done.extend(run_flows(&[*run], 1).into_iter().map(|result| (index, result)));
        }
    };
    let mut results: Vec<(usize, FlowResult)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no run panics")).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Sums results up, cell by cell.
pub fn matrix_rows(plan: &MatrixPlan, runs: &[FlowPlan], results: &[FlowResult]) -> Vec<MatrixRow> {
    let size = plan.seeds.len();
    let cells: Vec<_> = runs.chunks(size).zip(results.chunks(size)).collect();
    let mut rows = Vec::new();
    for group in cells.chunks(plan.mechanisms.len() + 1) {
        let Some((_, twins)) = group.first() else { continue };
        rows.extend(group.iter().filter_map(|(runs, own)| matrix_row(runs.first()?, own, twins)));
    }
    rows
}

fn matrix_row(run: &FlowPlan, own: &[FlowResult], twins: &[FlowResult]) -> Option<MatrixRow> {
    let of = |figure: fn(&FlowResult) -> f64| Sample::new(own.iter().map(figure));
    let gain = |figure: fn(&FlowResult) -> f64| {
        Sample::new(own.iter().zip(twins).map(|(own, twin)| figure(own) - figure(twin)))
    };
    let in_aim = of(|result| result.in_aim);
    let bids = of(bids_failed);
    let (in_aim_gain, bids_more) = (gain(|result| result.in_aim), gain(bids_failed));
    Some(MatrixRow {
        site: run.site.name,
        variant: run.variant.as_str(),
        level: run.level,
        without: run.without.map_or("", RouterMechanism::as_str),
        runs: own.len(),
        in_aim: in_aim.mean,
        in_aim_spread: in_aim.spread,
        feeds_failed: of(|result| 1_000.0 * (1.0 - result.feeds_served)).mean,
        bids_failed: bids.mean,
        bids_failed_spread: bids.spread,
        failed_at_dead: of(|result| result.failed_at_dead as f64).mean,
        p99_ms: of(|result| result.p99_ms).mean,
        silence_ms: of(|result| result.silence_ms as f64).mean,
        ended_falsely: of(|result| result.ended_falsely as f64).mean,
        in_aim_gain: in_aim_gain.mean,
        in_aim_error: in_aim_gain.error(),
        bids_failed_more: bids_more.mean,
        bids_failed_error: bids_more.error(),
    })
}

/// Failed bids of a thousand.
fn bids_failed(result: &FlowResult) -> f64 {
    1_000.0 * (1.0 - result.bids_served)
}

/// `Sample` is the mean and the standard deviation of some figures.
#[derive(Clone, Copy, Debug)]
struct Sample {
    mean: f64,
    spread: f64,
    count: usize,
}

impl Sample {
    fn new(figures: impl Iterator<Item = f64>) -> Sample {
        let figures: Vec<f64> = figures.collect();
        let count = figures.len();
        let mean = figures.iter().sum::<f64>() / count.max(1) as f64;
        let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
        let spread = (squares / count.saturating_sub(1).max(1) as f64).sqrt();
        Sample { mean, spread, count }
    }

    /// Standard error of the mean.
    fn error(&self) -> f64 {
        self.spread / (self.count.max(1) as f64).sqrt()
    }
}

/// The rows as a table in Markdown.
pub fn matrix_table(rows: &[MatrixRow]) -> String {
    let mut table = String::from(
        "| site | variant | load | without | in time | feeds failed, ‰ | bids failed, ‰ | at dead | \
         p99 ms | noticed ms | false ends | in time, against all | bids failed, against all |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let without = if row.without.is_empty() { "nothing" } else { row.without };
        table += &format!(
            "| {} | {} | {:.2} | {without} | {:.4} ± {:.4} | {:.2} | {:.2} ± {:.2} | {:.1} | {:.0} | {:.0} | {:.1} | \
             {:+.4} ± {:.4} | {:+.2} ± {:.2} |\n",
            row.site,
            row.variant,
            row.level,
            row.in_aim,
            row.in_aim_spread,
            row.feeds_failed,
            row.bids_failed,
            row.bids_failed_spread,
            row.failed_at_dead,
            row.p99_ms,
            row.silence_ms,
            row.ended_falsely,
            row.in_aim_gain,
            row.in_aim_error,
            row.bids_failed_more,
            row.bids_failed_error,
        );
    }
    table
}

/// Writes the rows as CSV.
///
/// # Errors
///
/// When the output takes nothing more.
pub fn write_csv(rows: &[MatrixRow], output: impl Write) -> Result<()> {
    let mut writer = csv::Writer::from_writer(output);
    for row in rows {
        writer.serialize(row).context("can't write a row")?;
    }
    writer.flush().context("can't write the rows")
}
