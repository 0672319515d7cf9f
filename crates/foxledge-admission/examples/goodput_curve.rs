//! Writes the goodput of a service at one to five times the capacity of its slots as CSV and plot:
//! without refusals, with fixed limits at each instance, and with shares of the capacity.
//!
//! Usage: `goodput_curve FOLDER [SEED]`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{env, fmt::Write as _, fs, path::Path};

use anyhow::{Result, anyhow};
use common::{ModelGate, ModelPlan, QueueModel, SLOTS, USUAL, share_gate};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::PathElement,
    prelude::{IntoFont, SVGBackend},
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};

const SIZE: (u32, u32) = (960, 420);
const INSTANCES: usize = 79;
/// Limits in requests per slot by priority: the best of the tried fixed limits for pattern B.
const LIMITS: [(u32, f64); 2] = [(1, 4.5), (2, 2.4)];

/// The results of one simulation.
struct CurvePoint {
    gate: &'static str,
    times: f64,
    /// Answers within the latency target per second.
    goodput: f64,
    /// Slots occupied by these answers.
    slots: f64,
    /// Fractions of the requests answered in time: priority 1, priority 2 and all.
    fractions: [f64; 3],
}

fn main() -> Result<()> {
    let mut arguments = env::args().skip(1);
    let folder = arguments.next().ok_or_else(|| anyhow!("missing argument: output folder"))?;
    let seed = arguments.next().map_or(Ok(1), |seed| seed.parse())?;
    let gates = ["refuse nothing", "limits by instance", "shares"];
    let times = (0..=8).map(|step| 1.0 + 0.5 * f64::from(step));
    let points: Vec<_> =
        gates.iter().flat_map(|gate| times.clone().map(|times| run(gate, times, seed))).collect();
    let folder = Path::new(&folder);
    fs::write(folder.join("goodput-curve.csv"), table(&points)?)?;
    draw(&folder.join("goodput-curve.svg"), &gates, &points)
}

/// Simulates a burst that needs `times` the slots, with both priorities in their usual proportion.
fn run(gate: &'static str, times: f64, seed: u64) -> CurvePoint {
    let usual: f64 = USUAL.iter().map(|(_, per_s, work_us)| per_s * work_us / 1e6).sum();
    let factor = times * SLOTS / usual;
    let plan = ModelPlan {
        instances: INSTANCES,
        ..ModelPlan::new(seed, &USUAL.map(|kind| (kind.0, factor)))
    };
    let (begin, end, _) = plan.times;
    let policy = match gate {
        "refuse nothing" => ModelGate::Open,
        "limits by instance" => ModelGate::Limits(LIMITS.into()),
        _ => share_gate(INSTANCES),
    };
    let tally = QueueModel::run(plan, policy);
    let in_time: f64 = tally.kinds.values().map(|kind| kind.in_time).sum();
    let work_s =
        |(priority, _, work_us): (u32, f64, f64)| tally.kinds[&priority].in_time * work_us / 1e6;
    let slots = USUAL.map(work_s).iter().sum::<f64>() / (end - begin);
    let fractions = [tally.in_time(1), tally.in_time(2), tally.all_in_time()];
    CurvePoint { gate, times, goodput: in_time / (end - begin), slots, fractions }
}

fn table(points: &[CurvePoint]) -> Result<String> {
    let mut table =
        "policy,times_slots,goodput_per_s,slots_in_aim,priority_1,priority_2,all\n".to_owned();
    for point in points {
        let [first, second, all] = point.fractions;
        let CurvePoint { gate, times, goodput, slots, .. } = point;
        writeln!(
            table,
            "{gate},{times:.1},{goodput:.0},{slots:.0},{first:.4},{second:.4},{all:.4}"
        )?;
    }
    Ok(table)
}

fn draw(path: &Path, gates: &[&str], points: &[CurvePoint]) -> Result<()> {
    let highest = points.iter().map(|point| point.goodput).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| anyhow!("can't plot {}: {error}", path.display());
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Goodput under overload", ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(1.0..5.0, 0.0..highest * 1.05)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("demand in multiples of the slots")
        .y_desc("answers in time per second")
        .light_line_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, gate) in gates.iter().enumerate() {
        let color =
            if *gate == "shares" { BLACK.to_rgba() } else { Palette99::pick(index).to_rgba() };
        let line = points.iter().filter(|point| point.gate == *gate);
        let line = line.map(|point| (point.times, point.goodput));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))
            .map_err(|error| failed(&error))?
            .label(*gate)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
