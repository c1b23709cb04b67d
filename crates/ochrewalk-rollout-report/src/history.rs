//! Decides what happened in a rollout from its log: which lines belong together, which commands were never
//! answered, and which lines cannot be read. Controllers that were killed leave commands without a reply and
//! truncated lines. A calendar clock that was set back does not change the order of the lines.

use serde_json::Value;

/// The counts of one side in a sample.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Side {
    /// The number of nodes that reported.
    pub nodes: u64,
    /// Calls, those without a served answer within the latency target, and those without any served answer;
    /// by method.
    pub methods: Vec<[u64; 3]>,
    /// The memory of the node that uses most.
    pub memory_kb: Option<u64>,
}

/// A sample of the analysis; the side of the unchanged nodes is first.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub at_ms: u64,
    pub sides: [Side; 2],
}

/// A command to a node to change its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    pub at_ms: u64,
    pub node: String,
    pub version: String,
    pub method: String,
    /// The time and the text of the reply; `None` if the controller ended before it arrived.
    pub reply: Option<(u64, String)>,
}

/// The beginning of a phase, and the number of nodes that run the old version, the new version, and an
/// unknown one.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseChange {
    pub at_ms: u64,
    pub phase: String,
    pub nodes: [u64; 3],
}

/// A point of a curve: seconds since the first line, and a share.
pub type Point = (f64, f64);

/// The course of a rollout. Times are milliseconds since the first line of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutHistory {
    /// The time at which the first line was written, in Unix time.
    pub started_unix_ms: u64,
    pub duration_ms: u64,
    /// The times at which controllers began; more than one if a controller was killed or replaced.
    pub controller_starts_ms: Vec<u64>,
    pub methods: Vec<String>,
    pub phase_changes: Vec<PhaseChange>,
    pub commands: Vec<Command>,
    pub samples: Vec<Sample>,
    pub verdicts: Vec<(u64, String)>,
    /// The outcome that the last controller logged, if it ended regularly.
    pub outcome: Option<String>,
    /// The number of lines that cannot be read, because they are truncated or of an unknown kind.
    pub unreadable_lines: usize,
}

impl RolloutHistory {
    /// Reads a log. Reading never fails; lines that cannot be read are counted.
    pub fn read(text: &str) -> RolloutHistory {
        let mut history = RolloutHistory::default();
        let mut clock = Clock::default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let value: Value = serde_json::from_str(line).unwrap_or_default();
            let Some(ms) = value["ms"].as_u64() else {
                history.unreadable_lines += 1;
                continue;
            };
            let at_ms = clock.elapsed_since_first(ms);
            if !history.add_line(at_ms, &value["what"]) {
                history.unreadable_lines += 1;
            }
        }
        (history.started_unix_ms, history.duration_ms) = (clock.first.unwrap_or(0), clock.at_ms);
        history
    }

    /// Adds a line, and returns whether it is of a known kind.
    fn add_line(&mut self, at_ms: u64, what: &Value) -> bool {
        let text = |value: &Value| value.as_str().map(String::from);
        if what["begun"].is_u64() {
            self.controller_starts_ms.push(at_ms);
        } else if let Some(node) = text(&what["order"]) {
            let field = |name: &str| text(&what[name]).unwrap_or_default();
            self.commands.push(Command {
                at_ms,
                node,
                version: field("to"),
                method: field("how"),
                reply: None,
            });
        } else if let Some(node) = text(&what["answer"]) {
            // The reply belongs to the node's last pending command: commands of earlier controllers get no
            // reply any more.
            let reply = text(&what["word"]).unwrap_or_default();
            let is_pending = |command: &&mut Command| command.node == node && command.reply.is_none();
            if let Some(command) = self.commands.iter_mut().rev().find(is_pending) {
                command.reply = Some((at_ms, reply));
            }
        } else if let Some(phase) = text(&what["phase"]) {
            self.phase_changes.push(PhaseChange { at_ms, phase, nodes: numbers(&what["nodes"]) });
        } else if let Some(verdict) = text(&what["verdict"]) {
            // A verdict that is repeated, as long as the fleet is unhealthy, is added once.
            if self.verdicts.last().is_none_or(|(_, last)| *last != verdict) {
                self.verdicts.push((at_ms, verdict));
            }
        } else if let Some(outcome) = text(&what["end"]) {
            self.outcome = Some(outcome);
        } else if what["moment"].is_object() {
            self.add_sample(at_ms, &what["moment"]);
        } else {
            return what["judged"].is_u64();
        }
        true
    }

    fn add_sample(&mut self, at_ms: u64, what: &Value) {
        let names: Vec<&str> =
            what["methods"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        for name in &names {
            if !self.methods.iter().any(|known| known == name) {
                self.methods.push(name.to_string());
            }
        }
        // Methods are matched by name, because another controller may log other methods, or in another order.
        let indices: Vec<usize> =
            names.iter().filter_map(|name| self.methods.iter().position(|known| known == name)).collect();
        let side = |name: &str| {
            let counts = &what[name];
            let mut methods = vec![[0; 3]; self.methods.len()];
            for (index, method) in indices.iter().zip(counts["methods"].as_array().into_iter().flatten()) {
                methods[*index] = numbers(method);
            }
            let nodes = counts["nodes"].as_u64().unwrap_or(0);
            Side { nodes, methods, memory_kb: counts["memory_kb"].as_u64() }
        };
        let sides = [side("old"), side("new")];
        self.samples.push(Sample { at_ms, sides });
    }

    /// Returns the share of a method's calls that missed the latency target, by side, in that number of time
    /// steps. Steps in which a side had no calls have no point.
    pub fn missed_shares(&self, method: usize, steps: usize) -> [Vec<Point>; 2] {
        let step_ms = (self.duration_ms / steps.max(1) as u64).max(1);
        [0, 1].map(|side| {
            let mut sums: Vec<[u64; 2]> = vec![[0; 2]; steps + 1];
            for sample in &self.samples {
                let Some([calls, missed, _]) = sample.sides[side].methods.get(method) else { continue };
                let sum = &mut sums[((sample.at_ms / step_ms) as usize).min(steps)];
                *sum = [sum[0] + calls, sum[1] + missed];
            }
            let point = |(step, [calls, missed]): (usize, &[u64; 2])| {
                let at_s = (step as f64 + 0.5) * step_ms as f64 / 1e3;
                (*calls > 0).then(|| (at_s, *missed as f64 / *calls as f64))
            };
            sums.iter().enumerate().filter_map(point).collect()
        })
    }

    /// Returns the share of nodes that run the new version, at each line with a phase.
    pub fn changed_shares(&self) -> Vec<Point> {
        let point = |change: &PhaseChange| {
            let node_count = change.nodes.iter().sum::<u64>().max(1);
            (change.at_ms as f64 / 1e3, change.nodes[1] as f64 / node_count as f64)
        };
        self.phase_changes.iter().map(point).collect()
    }

    /// Returns the commands without a reply.
    pub fn unanswered_commands(&self) -> impl Iterator<Item = &Command> {
        self.commands.iter().filter(|command| command.reply.is_none())
    }
}

fn numbers<const N: usize>(value: &Value) -> [u64; N] {
    std::array::from_fn(|index| value[index].as_u64().unwrap_or(0))
}

/// Converts calendar times to times since the first one, which never decrease: if the calendar clock was set
/// back, the time stays the same.
#[derive(Default)]
struct Clock {
    first: Option<u64>,
    last: u64,
    at_ms: u64,
}

/// The interval between two lines that is attributed to a step of the calendar clock if it is at least this long,
/// because controllers write lines more often.
const CLOCK_STEP_MS: u64 = 30 * 60 * 1_000;

impl Clock {
    fn elapsed_since_first(&mut self, ms: u64) -> u64 {
        self.first.get_or_insert(ms);
        let elapsed = ms.saturating_sub(if self.last == 0 { ms } else { self.last });
        self.at_ms += if elapsed < CLOCK_STEP_MS { elapsed } else { 0 };
        self.last = ms;
        self.at_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(ms: u64, what: &str) -> String {
        format!("{{\"ms\":{ms},\"what\":{what}}}\n")
    }

    #[test]
    fn a_log_of_two_controllers_with_a_truncated_line_is_one_history() {
        let text = line(5_000, r#"{"begun":7}"#)
            + &line(5_100, r#"{"order":"n0","to":"new","how":"OnTrial"}"#)
            + "{\"ms\":5200,\"what\":{\"answ"
            + "\n"
            + &line(9_000, r#"{"begun":8}"#)
            + &line(9_100, r#"{"order":"n0","to":"new","how":"OnTrial"}"#)
            + &line(9_300, r#"{"answer":"n0","word":"Ended(Done)"}"#)
            + &line(9_300, r#"{"phase":"Judged { stage: 0 }","nodes":[7,1,0]}"#)
            + &line(9_301, r#"{"tea":"ready"}"#)
            + &line(9_400, r#"{"verdict":"Ill"}"#)
            + &line(9_500, r#"{"verdict":"Ill"}"#);
        let history = RolloutHistory::read(&text);
        assert_eq!(
            (history.started_unix_ms, history.duration_ms, history.unreadable_lines),
            (5_000, 4_500, 2)
        );
        assert_eq!(history.controller_starts_ms, [0, 4_000]);
        let unanswered: Vec<u64> = history.unanswered_commands().map(|command| command.at_ms).collect();
        assert_eq!(unanswered, [100], "the first controller's command");
        assert_eq!(history.commands[1].reply, Some((4_300, "Ended(Done)".into())));
        assert_eq!(history.changed_shares(), [(4.3, 0.125)]);
        assert_eq!((history.verdicts.len(), history.outcome), (1, None));
        assert_eq!(RolloutHistory::read("not a log\nat all").unreadable_lines, 2);
        assert_eq!(RolloutHistory::read(""), RolloutHistory::default());
    }

    #[test]
    fn shares_are_computed_from_sums_and_a_side_without_calls_has_no_point() {
        let sample = |ms: u64, old: &str, new: &str| {
            let side = |counts: &str| format!(r#"{{"nodes":1,"methods":[{counts}],"memory_kb":9}}"#);
            line(
                ms,
                &format!(r#"{{"moment":{{"methods":["look"],"old":{},"new":{}}}}}"#, side(old), side(new)),
            )
        };
        let text = sample(1_000, "[10,1,0]", "[0,0,0]")
            + &sample(1_400, "[30,3,0]", "[10,5,5]")
            + &sample(2_000, "[0,0,0]", "[4,4,0]");
        let history = RolloutHistory::read(&text);
        assert_eq!(history.missed_shares(0, 2), [vec![(0.25, 0.1)], vec![(0.25, 0.5), (1.25, 1.0)]]);
        assert_eq!(history.missed_shares(3, 2), [vec![], vec![]], "an unknown method");
        assert_eq!(history.samples[1].sides[1].memory_kb, Some(9));
    }

    #[test]
    fn steps_of_the_calendar_clock_are_ignored() {
        for steps in [[1_000, 1_500, 2_000], [1_000, 1_500 + 7_200_000, 2_000 + 7_200_000]] {
            let text: String = steps.iter().map(|ms| line(*ms, r#"{"begun":1}"#)).collect();
            let starts_ms: Vec<u64> = RolloutHistory::read(&text).controller_starts_ms;
            assert!(
                starts_ms.windows(2).all(|two| two[0] <= two[1]) && starts_ms[2] <= 1_000,
                "{starts_ms:?}"
            );
        }
        let text: String =
            [9_000_000, 5_000_000, 5_000_400].iter().map(|ms| line(*ms, r#"{"begun":1}"#)).collect();
        assert_eq!(RolloutHistory::read(&text).controller_starts_ms, [0, 0, 400]);
    }
}
