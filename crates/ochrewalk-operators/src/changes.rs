//! Decides what it takes to bring a changed operators' file into force: which directives differ in meaning, and for each
//! whether a running program takes it over by itself, whether another program has to take over with the new file, or
//! whether the node has to be started anew.

use crate::{read, words};
use std::collections::BTreeMap;
use std::fmt;

/// What a changed directive needs to be in force, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Needs {
    /// SIGHUP: the running program reads it again.
    Reload,
    /// A successor with the new file: nothing that is held gets lost.
    HandOver,
    /// Listeners, and what lies below, cannot be changed while the node runs.
    Start,
}

/// A directive that says other things in the newer file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// As in `ajp route`.
    pub directive: String,
    /// Its lines, with names of hosts as their addresses; none where it does not stand.
    pub before: Vec<String>,
    pub after: Vec<String>,
    pub needs: Needs,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let says = |lines: &[String]| if lines.is_empty() { "nothing".into() } else { lines.join(", ") };
        let by = match self.needs {
            Needs::Reload => "by SIGHUP",
            Needs::HandOver => "by a hand-over",
            Needs::Start => "by a start only",
        };
        write!(f, "{}: {} becomes {} ({by})", self.directive, says(&self.before), says(&self.after))
    }
}

/// What differs between two files that can be read, in the order of directives' names. Blanks, comments, the order of
/// lines that does not count, and how a host is called are no difference.
///
/// ```
/// use ochrewalk_operators::{changes, Needs};
/// let (old, new) = ("below ajp 10.0.0.1:8009\nbelow pong 250ms", "below  pong 300ms # slower\nhost a 10.0.0.1\nbelow ajp a:8009");
/// let found = changes(old, new);
/// assert_eq!(found.len(), 1);
/// assert_eq!(found[0].to_string(), "below pong: 250ms becomes 300ms (by a hand-over)");
/// assert_eq!(found[0].needs, Needs::HandOver);
/// ```
pub fn changes(before: &str, after: &str) -> Vec<Change> {
    let (before, after) = (meaning(before), meaning(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let of = |file: &Meaning, name: &String| file.get(name).map_or(Vec::new(), |(lines, _)| lines.clone());
    let calls = |file: &Meaning| file.contains_key("below ajp");
    let change = |name: &String| {
        let (old, new) = (of(&before, name), of(&after, name));
        if old == new {
            return None;
        }
        let (_, needs) = after.get(name).or(before.get(name))?;
        // To call below by another protocol than before, or the same of a front, is another node.
        let turns = name == "below ajp" && calls(&before) != calls(&after);
        let needs = if turns { Needs::Start } else { *needs };
        Some(Change { directive: name.clone(), before: old, after: new, needs })
    };
    names.into_iter().filter_map(change).collect()
}

/// Directives, with their lines and what a change of them needs.
type Meaning = BTreeMap<String, (Vec<String>, Needs)>;

fn meaning(text: &str) -> Meaning {
    let lines: Vec<Vec<String>> = text.lines().filter_map(|line| words::split(line).ok()).collect();
    let hosts: BTreeMap<&str, &str> =
        lines.iter().filter(|w| w.len() == 3 && w[0] == "host").map(|w| (&*w[1], &*w[2])).collect();
    let plain = |word: &String| match word.rsplit_once(':') {
        Some((name, port)) if hosts.contains_key(name) => format!("{}:{port}", hosts[name]),
        _ if word.is_empty() || word.contains([' ', '#']) => format!("{word:?}"),
        _ => word.clone(),
    };
    let mut all = Meaning::new();
    for words in lines.iter().filter(|words| words.len() > 2 && words[0] != "host") {
        let Some(directive) = read::directive(words) else { continue };
        let line = words[2..].iter().map(plain).collect::<Vec<_>>().join(" ");
        let of = all.entry(format!("{} {}", words[0], words[1])).or_insert((Vec::new(), directive.needs));
        of.0.push(line);
    }
    // The first route that fits counts; of all else the order says nothing.
    all.iter_mut().filter(|(name, _)| *name != "ajp route").for_each(|(_, (lines, _))| lines.sort());
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_change_needs_what_its_directive_needs() {
        let base =
            "ajp listen 127.0.0.1:1\najp allow 127.0.0.0/8\najp route GET /a look\najp route GET /b look\n\
                    below ajp 127.0.0.1:2\nupgrade control /run/a\n";
        for (from, to, wanted) in [
            ("", "", None),
            ("ajp allow 127.0.0.0/8", "ajp allow 127.0.0.0/16", Some(("ajp allow", Needs::Reload))),
            ("127.0.0.1:1\n", "127.0.0.1:3\n", Some(("ajp listen", Needs::Start))),
            ("upgrade control /run/a", "upgrade control /run/b", Some(("upgrade control", Needs::Start))),
            ("below ajp 127.0.0.1:2", "below ajp 127.0.0.1:4", Some(("below ajp", Needs::Reload))),
            ("below ajp 127.0.0.1:2", "", Some(("below ajp", Needs::Start))),
            ("upgrade", "below reply 2s\nupgrade", Some(("below reply", Needs::HandOver))),
            ("upgrade", "ajp idle 2s\nupgrade", Some(("ajp idle", Needs::HandOver))),
            (
                "ajp route GET /a look\najp route GET /b look",
                "ajp route GET /b look\najp route GET /a look",
                Some(("ajp route", Needs::Reload)),
            ),
            ("ajp allow 127.0.0.0/8\n", "ajp allow   127.0.0.0/8 # all\n\n", None),
        ] {
            let after = base.replacen(from, to, 1);
            let found = changes(base, &after);
            let found: Vec<(&str, Needs)> = found.iter().map(|c| (&*c.directive, c.needs)).collect();
            assert_eq!(found, wanted.into_iter().collect::<Vec<_>>(), "{from} becomes {to}");
        }
    }

    #[test]
    fn an_added_list_is_told_whole_and_the_order_of_places_says_nothing() {
        let (old, new) =
            ("below ajp 1.1.1.1:1\nbelow ajp 1.1.1.1:2", "below ajp 1.1.1.1:2\nbelow ajp 1.1.1.1:1");
        assert_eq!(changes(old, new), []);
        let found = changes(old, &format!("{new}\nbelow weight 1.1.1.1:1 2\nbelow weight 1.1.1.1:2 3"));
        assert_eq!(
            found[0].to_string(),
            "below weight: nothing becomes 1.1.1.1:1 2, 1.1.1.1:2 3 (by SIGHUP)"
        );
    }
}
