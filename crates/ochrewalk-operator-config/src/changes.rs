//! Decides which action puts a changed operators' file into force: finds the directives that differ in meaning, and for
//! each whether the running process can reload it, whether a successor process has to take over with the new file, or
//! whether the node has to be restarted.

use crate::directive::{self, ChangeClass, Section};
use crate::lexer::split_words;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The directive whose presence selects AJP as the protocol of upstream calls.
const UPSTREAM_ENDPOINT: &str = "below ajp";
/// The only directive for which the order of lines is significant: the first route that matches applies.
const ROUTE: &str = "ajp route";

/// A directive whose meaning differs between two files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The name of the directive, such as `ajp route`.
    pub directive: String,
    /// The arguments of its lines in the older file, with host names replaced by their addresses; empty if the
    /// directive is absent.
    pub before: Vec<String>,
    /// The arguments of its lines in the newer file, in the same form.
    pub after: Vec<String>,
    /// The action that puts the change into force.
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
        let action = match self.class {
            ChangeClass::Reload => "by SIGHUP",
            ChangeClass::HandOver => "by a hand-over",
            ChangeClass::Restart => "by a restart only",
        };
        write!(f, "{}: {} becomes {} ({action})", self.directive, list(&self.before), list(&self.after))
    }
}

/// Returns the differences between two valid files, sorted by the names of the directives. Differences in blanks, in
/// comments, in the names of hosts, and in the order of lines where it is not significant, are ignored.
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
    let (before, after) = (NormalizedFile::parse(before), NormalizedFile::parse(after));
    let names: BTreeSet<&String> = before.0.keys().chain(after.0.keys()).collect();
    names.into_iter().filter_map(|name| change(name, &before, &after)).collect()
}

fn change(name: &str, before: &NormalizedFile, after: &NormalizedFile) -> Option<Change> {
    let (old, new) = (before.arguments(name), after.arguments(name));
    if old == new {
        return None;
    }
    let DirectiveLines { class, .. } = after.0.get(name).or_else(|| before.0.get(name))?;
    // The protocol of upstream calls cannot change while the node runs.
    let changes_protocol = name == UPSTREAM_ENDPOINT && before.has_ajp_upstream() != after.has_ajp_upstream();
    let class = if changes_protocol { ChangeClass::Restart } else { *class };
    Some(Change { directive: name.to_string(), before: old, after: new, class })
}

/// The lines of one directive.
struct DirectiveLines {
    arguments: Vec<String>,
    class: ChangeClass,
}

/// The directives of a file by name, normalized so that equal meanings compare equal.
struct NormalizedFile(BTreeMap<String, DirectiveLines>);

impl NormalizedFile {
    fn parse(text: &str) -> NormalizedFile {
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
        NormalizedFile(all)
    }

    fn arguments(&self, directive: &str) -> Vec<String> {
        self.0.get(directive).map_or(Vec::new(), |lines| lines.arguments.clone())
    }

    fn has_ajp_upstream(&self) -> bool {
        self.0.contains_key(UPSTREAM_ENDPOINT)
    }
}

/// Returns the addresses of all `host` lines by name.
fn hosts(lines: &[Vec<String>]) -> BTreeMap<&str, &str> {
    let is_host = |words: &'_ Vec<String>| words.len() == 3 && words[0] == Section::Host.name();
    lines.iter().filter(|words| is_host(words)).map(|words| (&*words[1], &*words[2])).collect()
}

/// Returns a word with the host name replaced by its address, quoted if necessary.
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
