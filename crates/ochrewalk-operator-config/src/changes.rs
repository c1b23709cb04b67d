//! Decides what it takes to bring a changed operators' file into force: which directives differ in meaning, and for each
//! whether the running program takes it over by itself, whether a successor has to take over with the new file, or whether
//! the node has to be started again.

use crate::directive::{self, ChangeClass, Section};
use crate::lexer::split_words;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Whether there is this directive decides by which protocol upstream calls go.
const UPSTREAM_ENDPOINT: &str = "below ajp";
/// The only directive whose lines have an order: the first route that fits counts.
const ROUTE: &str = "ajp route";

/// A directive with another meaning in the newer file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// As in `ajp route`.
    pub directive: String,
    /// The arguments of its lines in the older file, with names of hosts as their addresses; none where it does not stand.
    pub before: Vec<String>,
    /// The same in the newer file.
    pub after: Vec<String>,
    /// What brings it into force.
    pub class: ChangeClass,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let list = |lines: &[String]| {
            if lines.is_empty() {
                "nothing".to_string()
            } else {
                lines.join(", ")
            }
        };
        let by = match self.class {
            ChangeClass::Reload => "by SIGHUP",
            ChangeClass::HandOver => "by a hand-over",
            ChangeClass::Restart => "by a start only",
        };
        write!(f, "{}: {} becomes {} ({by})", self.directive, list(&self.before), list(&self.after))
    }
}

/// What differs between two files that can be read, in the order of directives' names. Blanks, comments, the order of
/// lines where it has no meaning, and how a host is named are no difference.
///
/// ```
/// use ochrewalk_operator_config::{changes, ChangeClass};
/// let (old, new) = ("below ajp 10.0.0.1:8009\nbelow pong 250ms", "below  pong 300ms # slower\nhost a 10.0.0.1\nbelow ajp a:8009");
/// let found = changes(old, new);
/// assert_eq!(found.len(), 1);
/// assert_eq!(found[0].to_string(), "below pong: 250ms becomes 300ms (by a hand-over)");
/// assert_eq!(found[0].class, ChangeClass::HandOver);
/// ```
pub fn changes(before: &str, after: &str) -> Vec<Change> {
    let (before, after) = (Meaning::of(before), Meaning::of(after));
    let names: BTreeSet<&String> = before.0.keys().chain(after.0.keys()).collect();
    names.into_iter().filter_map(|name| change(name, &before, &after)).collect()
}

fn change(name: &str, before: &Meaning, after: &Meaning) -> Option<Change> {
    let (old, new) = (before.arguments(name), after.arguments(name));
    if old == new {
        return None;
    }
    let DirectiveLines { class, .. } = after.0.get(name).or_else(|| before.0.get(name))?;
    // Upstream calls by another protocol than before make another node.
    let changes_protocol = name == UPSTREAM_ENDPOINT && before.has_ajp_upstream() != after.has_ajp_upstream();
    let class = if changes_protocol { ChangeClass::Restart } else { *class };
    Some(Change { directive: name.to_string(), before: old, after: new, class })
}

/// All lines of one directive.
struct DirectiveLines {
    arguments: Vec<String>,
    class: ChangeClass,
}

/// What a file says, by directive, without what makes no difference.
struct Meaning(BTreeMap<String, DirectiveLines>);

impl Meaning {
    fn of(text: &str) -> Meaning {
        let lines: Vec<Vec<String>> = text.lines().filter_map(|line| split_words(line).ok()).collect();
        let hosts = hosts(&lines);
        let mut all = BTreeMap::new();
        for words in lines.iter().filter(|words| words.len() > 2 && words[0] != Section::Host.name()) {
            let Some(directive) = directive::find(words) else { continue };
            let arguments: Vec<String> = words[2..].iter().map(|word| normalized(word, &hosts)).collect();
            let empty = DirectiveLines { arguments: Vec::new(), class: directive.change_class };
            let lines = all.entry(format!("{} {}", words[0], words[1])).or_insert(empty);
            lines.arguments.push(arguments.join(" "));
        }
        for (_, lines) in all.iter_mut().filter(|(name, _)| *name != ROUTE) {
            lines.arguments.sort();
        }
        Meaning(all)
    }

    fn arguments(&self, directive: &str) -> Vec<String> {
        self.0.get(directive).map_or(Vec::new(), |lines| lines.arguments.clone())
    }

    fn has_ajp_upstream(&self) -> bool {
        self.0.contains_key(UPSTREAM_ENDPOINT)
    }
}

/// Addresses by name, of all `host` lines.
fn hosts(lines: &[Vec<String>]) -> BTreeMap<&str, &str> {
    let host = |words: &'_ Vec<String>| words.len() == 3 && words[0] == Section::Host.name();
    lines.iter().filter(|words| host(words)).map(|words| (&*words[1], &*words[2])).collect()
}

/// A word with a host's name as its address, quoted where it needs to be.
fn normalized(word: &str, hosts: &BTreeMap<&str, &str>) -> String {
    if let Some((name, port)) = word.rsplit_once(':') {
        if let Some(address) = hosts.get(name) {
            return format!("{address}:{port}");
        }
    }
    if word.is_empty() || word.contains([' ', '#']) {
        return format!("{word:?}");
    }
    word.to_string()
}
