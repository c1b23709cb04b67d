//! The table of all directives of the operators' file: the syntax of each, whether it is repeatable, and the action
//! that puts a changed one into force.

use crate::diagnostic::LineError;

/// The action that puts a changed directive into force, in the order of increasing disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeClass {
    /// SIGHUP: the running program reads the file again.
    Reload,
    /// A successor process takes over with the new file; requests and connections stay.
    HandOver,
    /// The node is restarted: listeners, and the protocol of upstream calls, cannot change while the node runs.
    Restart,
}

/// The section of a directive, named by the first word of its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Section {
    /// Host names for IP addresses.
    Host,
    /// The AJP listener.
    Ajp,
    /// Upstream calls over AJP.
    Upstream,
    /// Upgrades.
    Upgrade,
    /// The agent that subscribes to the control plane.
    Config,
}

const SECTIONS: [Section; 5] =
    [Section::Host, Section::Ajp, Section::Upstream, Section::Upgrade, Section::Config];

impl Section {
    /// Returns the section's name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Section::Host => "host",
            Section::Ajp => "ajp",
            Section::Upstream => "below",
            Section::Upgrade => "upgrade",
            Section::Config => "config",
        }
    }

    /// Returns the number of words that name a directive of this section; the remaining words are its arguments.
    pub fn name_words(self) -> usize {
        if self == Section::Host {
            1
        } else {
            2
        }
    }
}

/// A row of the table of directives.
pub(crate) struct Directive {
    pub section: Section,
    /// The second word of the line; empty if the section has only one directive.
    pub name: &'static str,
    /// The syntax, with one word for each argument.
    pub usage: &'static str,
    /// Whether the directive may occur more than once.
    pub is_repeatable: bool,
    pub change_class: ChangeClass,
}

impl Directive {
    const fn with_change_class(self, change_class: ChangeClass) -> Directive {
        Directive { change_class, ..self }
    }

    /// Returns the number of arguments that the directive takes.
    pub fn argument_count(&self) -> usize {
        self.usage.split(' ').count() - self.section.name_words()
    }
}

/// Returns a directive that may occur once; a change needs a hand-over unless the row states another class.
const fn single(section: Section, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, is_repeatable: false, change_class: ChangeClass::HandOver }
}

/// Returns a directive that may occur repeatedly; a change needs a reload unless the row states another class.
const fn repeatable(section: Section, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, is_repeatable: true, change_class: ChangeClass::Reload }
}

const DIRECTIVES: [Directive; 43] = [
    repeatable(Section::Host, "", "host NAME ADDRESS"),
    single(Section::Ajp, "listen", "ajp listen ADDRESS:PORT").with_change_class(ChangeClass::Restart),
    repeatable(Section::Ajp, "allow", "ajp allow NETWORK"),
    repeatable(Section::Ajp, "deny", "ajp deny NETWORK"),
    single(Section::Ajp, "secret", "ajp secret WORD").with_change_class(ChangeClass::Reload),
    single(Section::Ajp, "secret-file", "ajp secret-file PATH").with_change_class(ChangeClass::Reload),
    single(Section::Ajp, "packet", "ajp packet SIZE"),
    single(Section::Ajp, "connections", "ajp connections NUMBER"),
    single(Section::Ajp, "idle", "ajp idle TIME"),
    single(Section::Ajp, "memory", "ajp memory KB").with_change_class(ChangeClass::Reload),
    single(Section::Ajp, "health", "ajp health PATH").with_change_class(ChangeClass::Reload),
    repeatable(Section::Ajp, "header", "ajp header id|token|left|memory|tenant NAME"),
    repeatable(Section::Ajp, "route", "ajp route HTTP-METHOD PATH METHOD"),
    repeatable(Section::Upstream, "ajp", "below ajp ADDRESS:PORT"),
    single(Section::Upstream, "name", "below name SERVER-NAME"),
    single(Section::Upstream, "uri", "below uri PATH"),
    single(Section::Upstream, "secret", "below secret WORD"),
    single(Section::Upstream, "secret-file", "below secret-file PATH"),
    single(Section::Upstream, "packet", "below packet SIZE"),
    single(Section::Upstream, "connections", "below connections NUMBER"),
    single(Section::Upstream, "connect", "below connect TIME"),
    single(Section::Upstream, "pong", "below pong TIME"),
    single(Section::Upstream, "reply", "below reply TIME"),
    single(Section::Upstream, "trust", "below trust TIME"),
    single(Section::Upstream, "keep", "below keep TIME"),
    single(Section::Upstream, "leave-out", "below leave-out FAILURES"),
    single(Section::Upstream, "pause", "below pause TIME TIME"),
    single(Section::Upstream, "repeats", "below repeats SHARE"),
    repeatable(Section::Upstream, "weight", "below weight ADDRESS:PORT NUMBER"),
    repeatable(Section::Upstream, "zone", "below zone ADDRESS:PORT ZONE"),
    single(Section::Upstream, "here", "below here ZONE").with_change_class(ChangeClass::Reload),
    single(Section::Upstream, "way", "below way POLICY"),
    single(Section::Upstream, "reach", "below reach ENDPOINTS"),
    single(Section::Upstream, "number", "below number NUMBER COUNT"),
    single(Section::Upstream, "warm", "below warm TIME"),
    single(Section::Upstream, "status", "below status PATH"),
    single(Section::Upgrade, "control", "upgrade control PATH").with_change_class(ChangeClass::Restart),
    repeatable(Section::Config, "relay", "config relay ADDRESS:PORT")
        .with_change_class(ChangeClass::HandOver),
    single(Section::Config, "region", "config region NAME"),
    repeatable(Section::Config, "scope", "config scope SCOPE").with_change_class(ChangeClass::HandOver),
    single(Section::Config, "snapshot", "config snapshot PATH"),
    single(Section::Config, "budget", "config budget BYTES"),
    single(Section::Config, "tenants", "config tenants NUMBER"),
];

/// Returns the directive that the words of a line begin with.
pub(crate) fn find(words: &[String]) -> Option<&'static Directive> {
    let first = words.first()?;
    let second = words.get(1).map_or("", String::as_str);
    DIRECTIVES.iter().find(|directive| {
        directive.section.name() == first && (directive.name == second || directive.section == Section::Host)
    })
}

/// Returns the error for words that begin no directive, with the most similar directive as a suggestion.
pub(crate) fn unknown(section: &str, name: &str) -> LineError {
    let is_in_section =
        |directive: &&Directive| directive.section.name() == section && !directive.name.is_empty();
    let known: Vec<&str> = DIRECTIVES.iter().filter(is_in_section).map(|directive| directive.name).collect();
    if known.is_empty() {
        return unknown_section(section);
    }
    let suggestion = match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {section} {near}?"),
        None => format!("after {section} comes one of {}", known.join(", ")),
    };
    let written = format!("{section} {name}");
    LineError::new(format!("{} is not a directive", written.trim_end()), suggestion)
}

fn unknown_section(section: &str) -> LineError {
    let suggestion = match nearest(section, SECTIONS.into_iter().map(Section::name)) {
        Some(near) => format!("did you mean {near}?"),
        None => "a line begins with host, ajp, below, upgrade or config".to_string(),
    };
    LineError::new(format!("{section} is not a directive"), suggestion)
}

/// The largest edit distance at which a word counts as a misspelling of a known one.
const MAX_EDIT_DISTANCE: usize = 2;

/// Returns the known word that `word` is probably a misspelling of.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let (distance, nearest) = known.map(|known| (strsim::damerau_levenshtein(word, known), known)).min()?;
    (distance <= MAX_EDIT_DISTANCE && distance < nearest.len()).then_some(nearest)
}
