//! Plots of calls per endpoint over time, as SVG.

use crate::emulated::{RunResult, WINDOW_US};
use plotters::prelude::*;
use std::path::Path;

/// Draws one panel per run, with one line per endpoint: its calls in each window divided by the mean of all endpoints.
pub fn by_endpoint(file: &Path, runs: &[(String, RunResult)], endpoints: &[usize]) -> Result<(), String> {
    let size = (900, 240 * runs.len().max(1) as u32);
    let area = SVGBackend::new(file, size).into_drawing_area();
    let error = |err: &dyn std::fmt::Display| format!("{}: {err}", file.display());
    area.fill(&WHITE).map_err(|err| error(&err))?;
    for ((name, result), panel) in runs.iter().zip(area.split_evenly((runs.len().max(1), 1))) {
        let mean = |window: &Vec<u32>| {
            endpoints.iter().map(|at| f64::from(window[*at])).sum::<f64>() / endpoints.len().max(1) as f64
        };
        let means: Vec<f64> = result.windows.iter().map(mean).collect();
        let seconds = |window: usize| window as f64 * WINDOW_US as f64 / 1e6;
        let mut chart = ChartBuilder::on(&panel)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(36)
            .caption(format!("{name}: calls of each endpoint divided by the mean"), ("sans-serif", 14))
            .build_cartesian_2d(0.0..seconds(result.windows.len()), 0.0..4.0)
            .map_err(|err| error(&err))?;
        chart.configure_mesh().light_line_style(WHITE).draw().map_err(|err| error(&err))?;
        for (number, endpoint) in endpoints.iter().enumerate() {
            let color = HSLColor(number as f64 / endpoints.len() as f64, 0.6, 0.45);
            let at = |(window, counts): (usize, &Vec<u32>)| {
                (seconds(window) + 5.0, (f64::from(counts[*endpoint]) / means[window].max(1e-9)).min(4.0))
            };
            let line = LineSeries::new(result.windows.iter().enumerate().map(at), color.mix(0.5));
            chart.draw_series(line).map_err(|err| error(&err))?;
        }
    }
    area.present().map_err(|err| error(&err))
}
