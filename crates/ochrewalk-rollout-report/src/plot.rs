//! Plots curves over time, as SVG.

use crate::history::Point;
use plotters::prelude::*;

/// The content of one plot.
pub struct Plot<'a> {
    pub name: String,
    /// Curves with their names and colours. The vertical axis extends to the largest share of all curves, at
    /// most 1.
    pub curves: Vec<(&'a str, RGBColor, Vec<Point>)>,
    /// The times of vertical lines, in seconds.
    pub marks_s: &'a [f64],
    pub duration_s: f64,
}

/// Returns the plot as SVG text. An error contains the message of the drawing library.
pub fn svg(plot: &Plot) -> Result<String, String> {
    let mut text = String::new();
    draw(plot, &mut text).map_err(|err| err.to_string())?;
    Ok(text)
}

fn draw(plot: &Plot, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, (900, 220)).into_drawing_area();
    area.fill(&WHITE)?;
    let highest =
        plot.curves.iter().flat_map(|(_, _, points)| points).map(|(_, share)| *share).fold(0.05, f64::max);
    let duration_s = plot.duration_s.max(1.0);
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .caption(&plot.name, ("sans-serif", 14))
        .build_cartesian_2d(0.0..duration_s, 0.0..highest * 1.05)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw()?;
    for mark in plot.marks_s {
        let line = [(*mark, 0.0), (*mark, highest * 1.05)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.3)))?;
    }
    for (name, color, points) in &plot.curves {
        let color = *color;
        let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
