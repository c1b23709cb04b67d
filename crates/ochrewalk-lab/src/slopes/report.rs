//! Runs measurements for the command line and writes them to a file.

use super::model::SlopeSet;
use super::{merge, run, Context};
use std::path::Path;

/// Runs measurements and writes or prints the slopes. Returns whether all measurements succeeded.
pub fn measure(
    program: &Path,
    only: Option<&str>,
    is_quick: bool,
    out: Option<&Path>,
) -> Result<bool, String> {
    let measured = run(&Context { program, is_quick }, only).map_err(|error| error.to_string())?;
    let is_complete = measured.failed.is_empty();
    measured.failed.iter().for_each(|failed| eprintln!("failed: {failed}"));
    let Some(out) = out else {
        println!("{}", to_json(&measured)?);
        return Ok(is_complete);
    };
    let all = match read_earlier(out)? {
        Some(earlier) => merge(earlier, measured),
        None => measured,
    };
    std::fs::write(out, to_json(&all)? + "\n").map_err(|error| format!("{}: {error}", out.display()))?;
    Ok(is_complete)
}

fn read_earlier(path: &Path) -> Result<Option<SlopeSet>, String> {
    let context = |error: String| format!("{}: {error}", path.display());
    if !path.exists() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(path).map_err(|error| context(error.to_string()))?;
    serde_json::from_str(&text).map(Some).map_err(|error| context(error.to_string()))
}

fn to_json(set: &SlopeSet) -> Result<String, String> {
    serde_json::to_string_pretty(set).map_err(|error| error.to_string())
}
