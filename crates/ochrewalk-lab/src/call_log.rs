//! Log of calls and their answers, and its check: each call has exactly one final answer, a served call has the
//! result of its own run, and no token ran twice.

use crate::executor::result_of;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    Served,
    Rejected,
    Aborted,
    /// Any other answer, which is not valid for a well-formed call.
    Invalid,
    /// No answer in time.
    Missing,
}

/// A call and its answers.
#[derive(Clone, Debug)]
pub struct Entry {
    pub method: usize,
    pub by_ajp: bool,
    /// The body that the run receives, which identifies the call, or the token that repeated calls share.
    pub body: Vec<u8>,
    pub has_token: bool,
    pub answers: Vec<AnswerKind>,
    pub result: Option<Vec<u8>>,
    pub latency_us: u64,
    /// Whether the caller closed the connection or cancelled the call before an answer, so that none is required.
    pub is_abandoned: bool,
}

#[derive(Debug, Default)]
pub struct CallLog {
    pub entries: Vec<Entry>,
}

impl CallLog {
    /// Returns a description of each violated rule. `runs` contains the number of runs of each body.
    pub fn violations(&self, runs: &BTreeMap<Vec<u8>, u32>) -> Vec<String> {
        let mut violations = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            let name = || format!("call {number} by {}", if entry.by_ajp { "AJP" } else { "JSON" });
            match entry.answers.as_slice() {
                [AnswerKind::Missing] | [] if entry.is_abandoned => {}
                [AnswerKind::Missing] | [] => violations.push(format!("{}: no answer", name())),
                [AnswerKind::Invalid] => violations.push(format!("{}: an invalid answer", name())),
                [_] => {}
                more => violations.push(format!("{}: {} answers", name(), more.len())),
            }
            if entry.result.as_ref().is_some_and(|result| *result != result_of(&entry.body)) {
                violations.push(format!("{}: a result that none of its executions produced", name()));
            }
        }
        for entry in self.entries.iter().filter(|e| e.has_token) {
            let times = runs.get(&entry.body).copied().unwrap_or(0);
            if times > 1 {
                violations.push(format!("token {}: ran {times} times", String::from_utf8_lossy(&entry.body)));
            }
        }
        violations.sort();
        violations.dedup();
        violations
    }

    pub fn count(&self, method: usize, kind: AnswerKind) -> usize {
        self.entries.iter().filter(|e| e.method == method && e.answers.first() == Some(&kind)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_violated_rule_is_reported() {
        let entry = |answers: &[AnswerKind], result: Option<&str>, is_abandoned| Entry {
            method: 0,
            by_ajp: false,
            body: b"t".to_vec(),
            has_token: true,
            answers: answers.to_vec(),
            result: result.map(|r| r.as_bytes().to_vec()),
            latency_us: 0,
            is_abandoned,
        };
        for (entry, runs, wrong) in [
            (entry(&[AnswerKind::Served], Some("done:t"), false), 1, None),
            (entry(&[AnswerKind::Missing], None, true), 1, None),
            (entry(&[AnswerKind::Missing], None, false), 1, Some("no answer")),
            (entry(&[AnswerKind::Served, AnswerKind::Aborted], None, false), 1, Some("2 answers")),
            (entry(&[AnswerKind::Served], Some("done:u"), false), 1, Some("none of its executions produced")),
            (entry(&[AnswerKind::Invalid], None, false), 1, Some("an invalid answer")),
            (entry(&[AnswerKind::Aborted], None, false), 2, Some("ran 2 times")),
        ] {
            let call_log = CallLog { entries: vec![entry] };
            let violations = call_log.violations(&BTreeMap::from([(b"t".to_vec(), runs)]));
            assert_eq!(violations.len(), usize::from(wrong.is_some()), "{violations:?}");
            assert!(violations.iter().all(|b| b.contains(wrong.unwrap())), "{violations:?}");
        }
    }
}
