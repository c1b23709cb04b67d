//! A story as one HTML page that needs nothing beside it.

use crate::plot::{svg, Plot};
use crate::story::{Point, Story};
use plotters::style::RGBColor;
use std::fmt::Write;

const OLD: RGBColor = RGBColor(60, 90, 160);
const NEW: RGBColor = RGBColor(200, 90, 30);
/// Points of a curve at most.
const STEPS: usize = 120;

/// The page. `name` is its heading.
pub fn page(story: &Story, name: &str) -> String {
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}\
         table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}\
         .bad{color:#a02020}</style>",
    );
    // A string takes all that is written.
    let _ = write(story, name, &mut out);
    out
}

fn write(story: &Story, name: &str, out: &mut String) -> std::fmt::Result {
    let name = escaped(name);
    write!(out, "<title>{name}</title><h1>{name}</h1><p><b>{}</b>", escaped(&ending(story)))?;
    let (orders, lasted) = (story.changes.len(), seconds(story.lasted_ms));
    let conductors = story.conductors.len().max(1);
    writeln!(out, " after {lasted}, {orders} orders, {conductors} conductors.")?;
    if story.unread > 0 {
        writeln!(
            out,
            "<p class=\"bad\">{} lines of the record tell nothing: torn, or of a newer program.",
            story.unread
        )?;
    }
    let marks: Vec<f64> = story.conductors.iter().skip(1).map(|ms| *ms as f64 / 1e3).collect();
    let duration = story.lasted_ms as f64 / 1e3;
    let mut plots = vec![Plot {
        name: "share of the nodes that are changed (a grey line: another conductor begins)".into(),
        curves: vec![("changed", NEW, steps(&story.changed(), duration))],
        marks: &marks,
        seconds: duration,
    }];
    for (method, name) in story.methods.iter().enumerate() {
        let [old, new] = story.missed(method, STEPS);
        let curves = vec![("unchanged nodes", OLD, old), ("changed nodes", NEW, new)];
        let name = format!("{name}: share of calls without an answer in the latency target");
        plots.push(Plot { name, curves, marks: &marks, seconds: duration });
    }
    for plot in &plots {
        match svg(plot) {
            Ok(text) => out.push_str(&text),
            Err(why) => writeln!(out, "<p class=\"bad\">{}: {}", escaped(&plot.name), escaped(&why))?,
        }
    }
    table(
        out,
        "What the judge said",
        &["at", "verdict"],
        story.verdicts.iter().map(|(at, said)| vec![seconds(*at), said.clone()]),
    )?;
    table(
        out,
        "Course",
        &["at", "phase", "old", "new", "unknown"],
        story.stages.iter().map(|stage| {
            let [old, new, unknown] = stage.nodes.map(|count| count.to_string());
            vec![seconds(stage.at_ms), stage.phase.clone(), old, new, unknown]
        }),
    )?;
    table(
        out,
        "Orders",
        &["at", "node", "to", "how", "answer"],
        story.changes.iter().map(|change| {
            let answer = match &change.answer {
                Some((at_ms, word)) => format!("{word}, after {}", seconds(at_ms - change.at_ms)),
                None => "none: its conductor died, or the record stops".into(),
            };
            vec![seconds(change.at_ms), change.node.clone(), change.to.clone(), change.how.clone(), answer]
        }),
    )
}

/// How it ended, in a sentence.
fn ending(story: &Story) -> String {
    match (&story.end, story.verdicts.last(), story.stages.last()) {
        (Some(end), ..) => end.clone(),
        (None, Some((_, verdict)), _) if verdict.starts_with("Harm") => {
            format!("The record stops on the way back: {verdict}")
        }
        (None, _, Some(stage)) => format!("The record stops in the middle, in {}", stage.phase),
        (None, ..) => "The record tells of no step".into(),
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

/// A value holds until the next one.
fn steps(points: &[Point], until: f64) -> Vec<Point> {
    let mut all = Vec::new();
    for (at, point) in points.iter().enumerate() {
        let next = points.get(at + 1).map_or(until, |next| next.0);
        all.extend([*point, (next, point.1)]);
    }
    all
}

/// Guards against names of nodes and words of programs that would be read as part of the page.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_says_how_it_ended_and_takes_no_words_for_marks() {
        for (text, wanted) in [
            ("", "The record tells of no step"),
            (r#"{"ms":1,"what":{"phase":"Forward","nodes":[8,0,0]}}"#, "stops in the middle, in Forward"),
            (r#"{"ms":1,"what":{"verdict":"Harm(\"slow\")"}}"#, "stops on the way back: Harm"),
            (r#"{"ms":1,"what":{"end":"Back(\"<b>\")"}}"#, "Back(\"&lt;b&gt;\")"),
        ] {
            let page = page(&Story::read(text), "<x>");
            assert!(page.contains(wanted) && page.contains("<h1>&lt;x&gt;</h1>"), "{page}");
        }
    }

    #[test]
    fn a_value_holds_until_the_next() {
        assert_eq!(steps(&[(1.0, 0.1), (3.0, 0.5)], 9.0), [(1.0, 0.1), (3.0, 0.1), (3.0, 0.5), (9.0, 0.5)]);
        assert_eq!(steps(&[], 9.0), []);
    }
}
