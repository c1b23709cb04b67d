//! Formats a rollout's history as one HTML page without external resources.

use crate::history::{Point, RolloutHistory};
use crate::plot::{svg, Plot};
use plotters::style::RGBColor;
use std::fmt::Write;

const OLD: RGBColor = RGBColor(60, 90, 160);
const NEW: RGBColor = RGBColor(200, 90, 30);
/// The maximum number of points of a curve.
const MAX_POINTS: usize = 120;

/// Returns the page. `name` is its heading.
pub fn page(history: &RolloutHistory, name: &str) -> String {
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}\
         table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}\
         .bad{color:#a02020}</style>",
    );
    // Writing to a string does not fail.
    let _ = write_page(history, name, &mut out);
    out
}

fn write_page(history: &RolloutHistory, name: &str, out: &mut String) -> std::fmt::Result {
    let name = escaped(name);
    write!(out, "<title>{name}</title><h1>{name}</h1><p><b>{}</b>", escaped(&outcome_sentence(history)))?;
    let (commands, duration) = (history.commands.len(), seconds(history.duration_ms));
    let controllers = history.controller_starts_ms.len().max(1);
    writeln!(out, " after {duration}. Commands: {commands}. Controllers: {controllers}.")?;
    if history.unreadable_lines > 0 {
        writeln!(
            out,
            "<p class=\"bad\">Log lines that could not be read, because they are truncated or of a newer program: {}.",
            history.unreadable_lines
        )?;
    }
    let marks_s: Vec<f64> = history.controller_starts_ms.iter().skip(1).map(|ms| *ms as f64 / 1e3).collect();
    let duration_s = history.duration_ms as f64 / 1e3;
    let mut plots = vec![Plot {
        name: "share of nodes that are changed (grey line: another controller starts)".into(),
        curves: vec![("changed", NEW, step_curve(&history.changed_shares(), duration_s))],
        marks_s: &marks_s,
        duration_s,
    }];
    for (method, name) in history.methods.iter().enumerate() {
        let [old, new] = history.missed_shares(method, MAX_POINTS);
        let curves = vec![("unchanged nodes", OLD, old), ("changed nodes", NEW, new)];
        let name = format!("{name}: share of calls without a served answer within the latency target");
        plots.push(Plot { name, curves, marks_s: &marks_s, duration_s });
    }
    for plot in &plots {
        match svg(plot) {
            Ok(text) => out.push_str(&text),
            Err(error) => writeln!(out, "<p class=\"bad\">{}: {}", escaped(&plot.name), escaped(&error))?,
        }
    }
    table(
        out,
        "Verdicts of the canary analysis",
        &["at", "verdict"],
        history.verdicts.iter().map(|(at_ms, verdict)| vec![seconds(*at_ms), verdict.clone()]),
    )?;
    table(
        out,
        "Phases",
        &["at", "phase", "old", "new", "unknown"],
        history.phase_changes.iter().map(|change| {
            let [old, new, unknown] = change.nodes.map(|count| count.to_string());
            vec![seconds(change.at_ms), change.phase.clone(), old, new, unknown]
        }),
    )?;
    table(
        out,
        "Commands",
        &["at", "node", "version", "method", "reply"],
        history.commands.iter().map(|command| {
            let reply = match &command.reply {
                Some((at_ms, reply)) => format!("{reply}, after {}", seconds(at_ms - command.at_ms)),
                None => "none: the controller ended first, or the log ends here".into(),
            };
            vec![
                seconds(command.at_ms),
                command.node.clone(),
                command.version.clone(),
                command.method.clone(),
                reply,
            ]
        }),
    )
}

/// Returns a sentence about the outcome.
fn outcome_sentence(history: &RolloutHistory) -> String {
    match (&history.outcome, history.verdicts.last(), history.phase_changes.last()) {
        (Some(outcome), ..) => outcome.clone(),
        (None, Some((_, verdict)), _) if verdict.starts_with("Harm") => {
            format!("The log ends during the rollback: {verdict}")
        }
        (None, _, Some(change)) => format!("The log ends during the rollout, in phase {}", change.phase),
        (None, ..) => "The log has no phases".into(),
    }
}

fn table(
    out: &mut String,
    name: &str,
    heads: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
) -> std::fmt::Result {
    write!(out, "<h2>{name}</h2><table><tr>")?;
    heads.iter().try_for_each(|head| write!(out, "<th>{head}</th>"))?;
    for row in rows {
        out.push_str("</tr>\n<tr>");
        row.iter().try_for_each(|cell| write!(out, "<td>{}</td>", escaped(cell)))?;
    }
    writeln!(out, "</tr></table>")
}

fn seconds(ms: u64) -> String {
    format!("{}.{:03} s", ms / 1_000, ms % 1_000)
}

/// Returns a curve in which each value holds until the next point.
fn step_curve(points: &[Point], end_s: f64) -> Vec<Point> {
    let mut curve = Vec::new();
    for (index, point) in points.iter().enumerate() {
        let next = points.get(index + 1).map_or(end_s, |next| next.0);
        curve.extend([*point, (next, point.1)]);
    }
    curve
}

/// Escapes text, so that names of nodes and messages of programs cannot be interpreted as HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_shows_the_outcome_and_escapes_html() {
        for (text, expected) in [
            ("", "The log has no phases"),
            (
                r#"{"ms":1,"what":{"phase":"Forward","nodes":[8,0,0]}}"#,
                "ends during the rollout, in phase Forward",
            ),
            (r#"{"ms":1,"what":{"verdict":"Harm(\"slow\")"}}"#, "ends during the rollback: Harm"),
            (r#"{"ms":1,"what":{"end":"Back(\"<b>\")"}}"#, "Back(\"&lt;b&gt;\")"),
        ] {
            let page = page(&RolloutHistory::read(text), "<x>");
            assert!(page.contains(expected) && page.contains("<h1>&lt;x&gt;</h1>"), "{page}");
        }
    }

    #[test]
    fn a_step_curve_holds_each_value_until_the_next() {
        assert_eq!(
            step_curve(&[(1.0, 0.1), (3.0, 0.5)], 9.0),
            [(1.0, 0.1), (3.0, 0.1), (3.0, 0.5), (9.0, 0.5)]
        );
        assert_eq!(step_curve(&[], 9.0), []);
    }
}
