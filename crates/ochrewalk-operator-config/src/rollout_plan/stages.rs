//! The stages of a plan: `stage NUMBER` or `stage SHARE%` as numbers of nodes that grow to the whole fleet.

use crate::diagnostic::{line_error, FileError, LineError};

/// How many nodes are changed at the end of a stage.
pub(super) enum StageSize {
    Nodes(usize),
    /// From above 0 to 100.
    Percent(f64),
}

impl StageSize {
    pub fn parse(word: &str) -> Result<StageSize, LineError> {
        let size = match word.strip_suffix('%') {
            Some(share) => percent(share).map(StageSize::Percent),
            None => word.parse().ok().filter(|nodes| *nodes > 0).map(StageSize::Nodes),
        };
        size.map_or_else(
            || line_error(format!("{word} is no stage"), "write a number of nodes, or a share such as 10%"),
            Ok,
        )
    }

    fn nodes(&self, all: usize) -> usize {
        match self {
            StageSize::Nodes(nodes) => *nodes,
            StageSize::Percent(share) => ((share / 100.0 * all as f64).round() as usize).clamp(1, all),
        }
    }
}

fn percent(word: &str) -> Option<f64> {
    word.parse().ok().filter(|share| *share > 0.0 && *share <= 100.0)
}

/// A `stage` line.
pub(super) struct StageLine {
    pub line: usize,
    pub size: StageSize,
}

/// Numbers of changed nodes at the end of each stage, of which the last is all.
pub(super) fn stage_sizes(lines: &[StageLine], all: usize) -> Result<Vec<usize>, FileError> {
    let mut stages: Vec<usize> = Vec::new();
    for StageLine { line, size } in lines {
        let nodes = size.nodes(all);
        let before = stages.last().copied().unwrap_or(0);
        if nodes > all {
            let problem = format!("{nodes} nodes in a stage, and {all} in all");
            return Err(FileError::new(*line, problem, "write fewer"));
        }
        match size {
            _ if nodes > before => stages.push(nodes),
            // Shares of a small fleet may come to the same number: one stage of it is enough.
            StageSize::Percent(_) => {}
            StageSize::Nodes(_) => {
                let problem = format!("a stage of {nodes} after one of {before}");
                return Err(FileError::new(*line, problem, "write stages that grow"));
            }
        }
    }
    if stages.last() != Some(&all) {
        stages.push(all);
    }
    Ok(stages)
}
