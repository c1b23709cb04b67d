//! Decides what a conductor's record tells: in which order, what belongs together, what was never answered, and which
//! lines tell nothing. Conductors that died leave orders without an end and lines that are torn; a clock that was set
//! back does not turn the order of lines round.

use serde_json::Value;

/// One side's counts in a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Side {
    /// Nodes that spoke.
    pub nodes: u64,
    /// Calls, those without an answer in the latency target, those without a served answer; by method.
    pub methods: Vec<[u64; 3]>,
    /// Of the node that has most.
    pub memory_kb: Option<u64>,
}

/// What was seen at one moment, unchanged nodes first.
#[derive(Clone, Debug, PartialEq)]
pub struct Moment {
    pub at_ms: u64,
    pub sides: [Side; 2],
}

/// A node that was ordered to change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub at_ms: u64,
    pub node: String,
    pub to: String,
    pub how: String,
    /// When its answer came, and in which words; none where its conductor died before.
    pub answer: Option<(u64, String)>,
}

/// A phase of the change, and how many nodes ran the old, the new, and what is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    pub at_ms: u64,
    pub phase: String,
    pub nodes: [u64; 3],
}

/// A point of a curve: seconds from the beginning, and a share.
pub type Point = (f64, f64);

/// All that a record tells. Times are milliseconds from its first line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    /// When the first line was written, Unix time.
    pub began_unix_ms: u64,
    pub lasted_ms: u64,
    /// When conductors began; more than one where one was killed or replaced.
    pub conductors: Vec<u64>,
    pub methods: Vec<String>,
    pub stages: Vec<Stage>,
    pub changes: Vec<Change>,
    pub moments: Vec<Moment>,
    pub verdicts: Vec<(u64, String)>,
    /// How the last conductor ended, if it lived to say so.
    pub end: Option<String>,
    /// Lines that tell nothing: torn, or of no kind that is known here.
    pub unread: usize,
}

impl Story {
    /// Reads a record. There is no record that cannot be read; some tell little.
    pub fn read(text: &str) -> Story {
        let mut story = Story::default();
        let mut clock = Clock::default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let value: Value = serde_json::from_str(line).unwrap_or_default();
            let Some(ms) = value["ms"].as_u64() else {
                story.unread += 1;
                continue;
            };
            let at_ms = clock.since_first(ms);
            if !story.line(at_ms, &value["what"]) {
                story.unread += 1;
            }
        }
        (story.began_unix_ms, story.lasted_ms) = (clock.first.unwrap_or(0), clock.at_ms);
        story
    }

    /// Whether the line told something.
    fn line(&mut self, at_ms: u64, what: &Value) -> bool {
        let text = |value: &Value| value.as_str().map(String::from);
        if what["begun"].is_u64() {
            self.conductors.push(at_ms);
        } else if let Some(node) = text(&what["order"]) {
            let word = |name: &str| text(&what[name]).unwrap_or_default();
            self.changes.push(Change { at_ms, node, to: word("to"), how: word("how"), answer: None });
        } else if let Some(node) = text(&what["answer"]) {
            // The last order of that node that waits: an earlier conductor's has no answer any more.
            let word = text(&what["word"]).unwrap_or_default();
            let waits = |change: &&mut Change| change.node == node && change.answer.is_none();
            if let Some(change) = self.changes.iter_mut().rev().find(waits) {
                change.answer = Some((at_ms, word));
            }
        } else if let Some(phase) = text(&what["phase"]) {
            self.stages.push(Stage { at_ms, phase, nodes: numbers(&what["nodes"]) });
        } else if let Some(verdict) = text(&what["verdict"]) {
            // The same again and again, as long as all are ill, is told once.
            if self.verdicts.last().is_none_or(|(_, last)| *last != verdict) {
                self.verdicts.push((at_ms, verdict));
            }
        } else if let Some(end) = text(&what["end"]) {
            self.end = Some(end);
        } else if what["moment"].is_object() {
            self.moment(at_ms, &what["moment"]);
        } else {
            return what["judged"].is_u64();
        }
        true
    }

    fn moment(&mut self, at_ms: u64, what: &Value) {
        let names: Vec<&str> =
            what["methods"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        for name in &names {
            if !self.methods.iter().any(|known| known == name) {
                self.methods.push(name.to_string());
            }
        }
        // A conductor that knows other methods, or in another order, is read by its own names.
        let places: Vec<usize> =
            names.iter().filter_map(|name| self.methods.iter().position(|known| known == name)).collect();
        let side = |name: &str| {
            let of = &what[name];
            let mut methods = vec![[0; 3]; self.methods.len()];
            for (place, counts) in places.iter().zip(of["methods"].as_array().into_iter().flatten()) {
                methods[*place] = numbers(counts);
            }
            let nodes = of["nodes"].as_u64().unwrap_or(0);
            Side { nodes, methods, memory_kb: of["memory_kb"].as_u64() }
        };
        let sides = [side("old"), side("new")];
        self.moments.push(Moment { at_ms, sides });
    }

    /// The share of a method's calls that missed the latency target, by side, in so many steps of time. Steps in which a
    /// side had no calls have no point.
    pub fn missed(&self, method: usize, steps: usize) -> [Vec<Point>; 2] {
        let step_ms = (self.lasted_ms / steps.max(1) as u64).max(1);
        [0, 1].map(|side| {
            let mut sums: Vec<[u64; 2]> = vec![[0; 2]; steps + 1];
            for moment in &self.moments {
                let Some([calls, missed, _]) = moment.sides[side].methods.get(method) else { continue };
                let sum = &mut sums[((moment.at_ms / step_ms) as usize).min(steps)];
                *sum = [sum[0] + calls, sum[1] + missed];
            }
            let point = |(step, [calls, missed]): (usize, &[u64; 2])| {
                let at_s = (step as f64 + 0.5) * step_ms as f64 / 1e3;
                (*calls > 0).then(|| (at_s, *missed as f64 / *calls as f64))
            };
            sums.iter().enumerate().filter_map(point).collect()
        })
    }

    /// How many nodes ran the new program, as a share, at each change of that.
    pub fn changed(&self) -> Vec<Point> {
        let point = |stage: &Stage| {
            let all = stage.nodes.iter().sum::<u64>().max(1);
            (stage.at_ms as f64 / 1e3, stage.nodes[1] as f64 / all as f64)
        };
        self.stages.iter().map(point).collect()
    }

    /// Orders that nobody answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(|change| change.answer.is_none())
    }
}

fn numbers<const N: usize>(value: &Value) -> [u64; N] {
    std::array::from_fn(|at| value[at].as_u64().unwrap_or(0))
}

/// Calendar times as times since the first, which never go back: where the calendar was set back, time stands still.
#[derive(Default)]
struct Clock {
    first: Option<u64>,
    last: u64,
    at_ms: u64,
}

/// A step between two lines that no conductor makes: it was the calendar's.
const LEAP_MS: u64 = 30 * 60 * 1_000;

impl Clock {
    fn since_first(&mut self, ms: u64) -> u64 {
        self.first.get_or_insert(ms);
        let passed = ms.saturating_sub(if self.last == 0 { ms } else { self.last });
        self.at_ms += if passed < LEAP_MS { passed } else { 0 };
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
    fn a_record_of_two_conductors_with_a_torn_line_between_tells_one_story() {
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
        let story = Story::read(&text);
        assert_eq!((story.began_unix_ms, story.lasted_ms, story.unread), (5_000, 4_500, 2));
        assert_eq!(story.conductors, [0, 4_000]);
        let unanswered: Vec<u64> = story.unanswered().map(|change| change.at_ms).collect();
        assert_eq!(unanswered, [100], "the first conductor's");
        assert_eq!(story.changes[1].answer, Some((4_300, "Ended(Done)".into())));
        assert_eq!(story.changed(), [(4.3, 0.125)]);
        assert_eq!((story.verdicts.len(), story.end), (1, None));
        assert_eq!(Story::read("no record\nat all").unread, 2);
        assert_eq!(Story::read(""), Story::default());
    }

    #[test]
    fn shares_are_of_sums_and_a_side_without_calls_has_no_point() {
        let moment = |ms: u64, old: &str, new: &str| {
            let of = |counts: &str| format!(r#"{{"nodes":1,"methods":[{counts}],"memory_kb":9}}"#);
            line(ms, &format!(r#"{{"moment":{{"methods":["look"],"old":{},"new":{}}}}}"#, of(old), of(new)))
        };
        let text = moment(1_000, "[10,1,0]", "[0,0,0]")
            + &moment(1_400, "[30,3,0]", "[10,5,5]")
            + &moment(2_000, "[0,0,0]", "[4,4,0]");
        let story = Story::read(&text);
        assert_eq!(story.missed(0, 2), [vec![(0.25, 0.1)], vec![(0.25, 0.5), (1.25, 1.0)]]);
        assert_eq!(story.missed(3, 2), [vec![], vec![]], "a method that nobody knows");
        assert_eq!(story.moments[1].sides[1].memory_kb, Some(9));
    }

    #[test]
    fn a_calendar_that_is_set_forward_or_back_moves_nothing() {
        for steps in [[1_000, 1_500, 2_000], [1_000, 1_500 + 7_200_000, 2_000 + 7_200_000]] {
            let text: String = steps.iter().map(|ms| line(*ms, r#"{"begun":1}"#)).collect();
            let at: Vec<u64> = Story::read(&text).conductors;
            assert!(at.windows(2).all(|two| two[0] <= two[1]) && at[2] <= 1_000, "{at:?}");
        }
        let text: String =
            [9_000_000, 5_000_000, 5_000_400].iter().map(|ms| line(*ms, r#"{"begun":1}"#)).collect();
        assert_eq!(Story::read(&text).conductors, [0, 0, 400]);
    }
}
