//! Curves over time, as SVG.

use crate::story::Point;
use plotters::prelude::*;

/// What one plot shows.
pub struct Plot<'a> {
    pub name: String,
    /// From 0 to 1, or to the largest share where that is less.
    pub curves: Vec<(&'a str, RGBColor, Vec<Point>)>,
    /// Moments that are marked, in seconds.
    pub marks: &'a [f64],
    pub seconds: f64,
}

/// The plot as text. An error says what the drawing library could not do.
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
    let seconds = plot.seconds.max(1.0);
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .caption(&plot.name, ("sans-serif", 14))
        .build_cartesian_2d(0.0..seconds, 0.0..highest * 1.05)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw()?;
    for mark in plot.marks {
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
