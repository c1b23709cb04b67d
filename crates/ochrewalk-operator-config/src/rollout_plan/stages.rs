//! Converts the stages of a plan, `stage NUMBER` or `stage SHARE%`, to increasing numbers of nodes that end with the
//! complete fleet.

use crate::diagnostic::{line_error, FileError, LineError};

/// The number of changed nodes at the end of a stage, as the plan states it.
pub(super) enum StageSize {
    Nodes(usize),
    /// A percentage above 0, up to 100.
    Percent(f64),
}

impl StageSize {
    pub fn parse(word: &str) -> Result<StageSize, LineError> {
        let size = match word.strip_suffix('%') {
            Some(share) => percent(share).map(StageSize::Percent),
            None => word.parse().ok().filter(|nodes| *nodes > 0).map(StageSize::Nodes),
        };
        size.map_or_else(
            || {
                line_error(
                    format!("{word} is not a stage"),
                    "write a number of nodes, or a share such as 10%",
                )
            },
            Ok,
        )
    }

    fn nodes(&self, node_count: usize) -> usize {
        match self {
            StageSize::Nodes(nodes) => *nodes,
            StageSize::Percent(share) => {
                ((share / 100.0 * node_count as f64).round() as usize).clamp(1, node_count)
            }
        }
    }
}

fn percent(word: &str) -> Option<f64> {
    word.parse().ok().filter(|share| *share > 0.0 && *share <= 100.0)
}

/// A `stage` directive with its line.
pub(super) struct StageLine {
    pub line: usize,
    pub size: StageSize,
}

/// Returns the number of changed nodes at the end of each stage; the last stage has all nodes.
pub(super) fn stage_sizes(lines: &[StageLine], node_count: usize) -> Result<Vec<usize>, FileError> {
    let mut stages: Vec<usize> = Vec::new();
    for StageLine { line, size } in lines {
        let nodes = size.nodes(node_count);
        let before = stages.last().copied().unwrap_or(0);
        if nodes > node_count {
            let problem = format!("a stage of {nodes} nodes in a fleet of {node_count}");
            return Err(FileError::new(*line, problem, "write fewer"));
        }
        match size {
            _ if nodes > before => stages.push(nodes),
            // Two shares of a small fleet may round to the same number of nodes; they form one stage.
            StageSize::Percent(_) => {}
            StageSize::Nodes(_) => {
                let problem = format!("a stage of {nodes} after one of {before}");
                return Err(FileError::new(*line, problem, "write stages that grow"));
            }
        }
    }
    if stages.last() != Some(&node_count) {
        stages.push(node_count);
    }
    Ok(stages)
}
