//! The checker: each call has exactly one final answer, a served one is its own run's result, and no token ran twice.

use crate::executor::result_of;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    Served,
    Rejected,
    Aborted,
    /// Anything else that is no answer to a proper call.
    Invalid,
    /// None in time.
    Missing,
}

/// One call and what came of it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub method: usize,
    pub by_ajp: bool,
    /// What its run gets; it names the call, or the token that its repeats share.
    pub body: Vec<u8>,
    pub has_token: bool,
    pub answers: Vec<AnswerKind>,
    pub result: Option<Vec<u8>>,
    pub latency_us: u64,
    /// Its caller closed, or gave it up, before an answer: none is owed.
    pub is_abandoned: bool,
}

#[derive(Debug, Default)]
pub struct CallLog {
    pub entries: Vec<Entry>,
}

impl CallLog {
    /// Every broken rule, in plain words. `runs` counts the runs of each body.
    pub fn violations(&self, runs: &BTreeMap<Vec<u8>, u32>) -> Vec<String> {
        let mut broken = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            let name = || format!("call {number} by {}", if entry.by_ajp { "AJP" } else { "JSON" });
            match entry.answers.as_slice() {
                [AnswerKind::Missing] | [] if entry.is_abandoned => {}
                [AnswerKind::Missing] | [] => broken.push(format!("{}: no answer", name())),
                [AnswerKind::Invalid] => broken.push(format!("{}: an answer that means nothing", name())),
                [_] => {}
                more => broken.push(format!("{}: {} answers", name(), more.len())),
            }
            if entry.result.as_ref().is_some_and(|result| *result != result_of(&entry.body)) {
                broken.push(format!("{}: a result that no run of it made", name()));
            }
        }
        for entry in self.entries.iter().filter(|e| e.has_token) {
            let times = runs.get(&entry.body).copied().unwrap_or(0);
            if times > 1 {
                broken.push(format!("token {}: ran {times} times", String::from_utf8_lossy(&entry.body)));
            }
        }
        broken.sort();
        broken.dedup();
        broken
    }

    pub fn count(&self, method: usize, end: AnswerKind) -> usize {
        self.entries.iter().filter(|e| e.method == method && e.answers.first() == Some(&end)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_broken_rule_is_seen() {
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
            (entry(&[AnswerKind::Served], Some("done:u"), false), 1, Some("no run of it made")),
            (entry(&[AnswerKind::Invalid], None, false), 1, Some("means nothing")),
            (entry(&[AnswerKind::Aborted], None, false), 2, Some("ran 2 times")),
        ] {
            let call_log = CallLog { entries: vec![entry] };
            let broken = call_log.violations(&BTreeMap::from([(b"t".to_vec(), runs)]));
            assert_eq!(broken.len(), usize::from(wrong.is_some()), "{broken:?}");
            assert!(broken.iter().all(|b| b.contains(wrong.unwrap())), "{broken:?}");
        }
    }
}
