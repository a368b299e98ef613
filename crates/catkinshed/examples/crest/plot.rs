//! Plot of the program latencies.

use crate::report::{Report, Scenario};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use sched::queue::Policy;
use std::path::Path;

const SIZE: (u32, u32) = (900, 420);

/// Writes an SVG plot of the share of programs that ended within a given time, by policy, for the
/// runs of [`Scenario::Swing`].
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write(report: &Report, path: &Path) -> Result<()> {
    draw(report, path)
        .map_err(|error| anyhow!("failed to write the plot {}: {error}", path.display()))
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let runs: Vec<_> = report.runs.iter().filter(|run| run.scenario == Scenario::Swing).collect();
    let max_latency =
        runs.iter().filter_map(|run| run.latencies.last()).fold(1.0, |a: f64, b| a.max(*b));
    let mut chart = ChartBuilder::on(&area)
        .caption("Programs that ended within a time, swing", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..max_latency / 1e3, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share").draw()?;
    for run in runs {
        let color = match run.policy {
            Policy::Program => BLUE,
            Policy::Fcfs => RED,
            Policy::RoundRobin => GREEN,
        };
        let count = run.latencies.len().max(1) as f64;
        let points = run.latencies.iter().enumerate();
        let curve = points.map(|(index, millis)| (millis / 1e3, (index + 1) as f64 / count));
        chart
            .draw_series(LineSeries::new(curve, color))?
            .label(format!("{:?}, seed {}", run.policy, run.seed))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
