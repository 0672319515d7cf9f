//! Plots of a matrix: what callers saw over time, with and without each mechanism.

use std::path::{Path, PathBuf};

use anyhow::{Result, anyhow};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::PathElement,
    prelude::{IntoFont, SVGBackend},
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};

use crate::{
    flows::{FlowPlan, FlowResult, tally::STEP},
    matrix::plan::MatrixPlan,
};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 420);
/// Seconds of a run before what is shown.
const FIRST_SECOND: f64 = 2.0;

/// `PlotLine` is one line of a plot: seconds and figures.
struct PlotLine {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes a plot for each site, variant and load: the share of requests that failed, by when
/// they were asked.
///
/// # Errors
///
/// When a file can't be written.
pub fn write_plots(
    plan: &MatrixPlan,
    runs: &[FlowPlan],
    results: &[FlowResult],
    folder: &Path,
) -> Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    let size = plan.seeds.len();
    let cells: Vec<_> = runs.chunks(size).zip(results.chunks(size)).collect();
    for group in cells.chunks(plan.mechanisms.len() + 1) {
        let Some(run) = group.first().and_then(|(runs, _)| runs.first()) else { continue };
        let title = format!("{}, {}, load {:.2}", run.site.name, run.variant.as_str(), run.level);
        let lines = group.iter().filter_map(|(runs, own)| plot_line(runs.first()?, own));
        let name = format!("{}-{}-{:.2}.svg", run.site.name, run.variant.as_str(), run.level);
        let path = folder.join(name);
        draw(&path, &title, &lines.collect::<Vec<_>>())?;
        paths.push(path);
    }
    Ok(paths)
}

/// The share that failed in each step, over all seeds.
fn plot_line(run: &FlowPlan, results: &[FlowResult]) -> Option<PlotLine> {
    let steps = results.iter().map(|result| result.steps.len()).max()?;
    let point = |step: usize| {
        let all = results.iter().filter_map(|result| result.steps.get(step));
        let (asked, failed) =
            all.fold((0, 0), |(asked, failed), one| (asked + one.asked, failed + one.failed));
        let second = FIRST_SECOND + step as f64 * STEP.as_secs_f64();
        (second, 100.0 * failed as f64 / asked.max(1) as f64)
    };
    let name = run.without.map_or("all".to_owned(), |one| format!("without {}", one.as_str()));
    Some(PlotLine { name, points: (0..steps).map(point).collect() })
}

fn draw(path: &Path, title: &str, lines: &[PlotLine]) -> Result<()> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let last = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = points().map(|point| point.1).fold(0.5, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| anyhow!("can't plot {}: {error}", path.display());
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(FIRST_SECOND..last, 0.0..highest * 1.05)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("second asked")
        .y_desc("failed, %")
        .light_line_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    // The line of all mechanisms comes first, and is drawn last so that none hides it.
    for (index, line) in lines.iter().enumerate().rev() {
        let color = if index == 0 { BLACK.to_rgba() } else { Palette99::pick(index).to_rgba() };
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))
            .map_err(|error| failed(&error))?
            .label(&line.name)
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
