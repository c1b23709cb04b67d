//! The table of all directives of the operators' file: how each is written, whether it may stand more than once, and what
//! brings a changed one into force.

use crate::diagnostic::LineError;

/// What brings a changed directive into force, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeClass {
    /// SIGHUP: the running program reads the file again.
    Reload,
    /// A successor takes over with the new file; requests and connections stay.
    HandOver,
    /// The node has to be started again: listeners, and the protocol of upstream calls, cannot change while it runs.
    Restart,
}

/// The first word of a directive: the group that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Section {
    /// Names for addresses.
    Host,
    /// The AJP listener.
    Ajp,
    /// Upstream calls by AJP.
    Below,
    /// Upgrades.
    Upgrade,
    /// The control plane's agent.
    Config,
}

const SECTIONS: [Section; 5] =
    [Section::Host, Section::Ajp, Section::Below, Section::Upgrade, Section::Config];

impl Section {
    /// As it is written in the file.
    pub fn name(self) -> &'static str {
        match self {
            Section::Host => "host",
            Section::Ajp => "ajp",
            Section::Below => "below",
            Section::Upgrade => "upgrade",
            Section::Config => "config",
        }
    }

    /// How many words name a directive of this section; the others are its arguments.
    pub fn name_words(self) -> usize {
        if self == Section::Host {
            1
        } else {
            2
        }
    }
}

/// A row of the table.
pub(crate) struct Directive {
    pub section: Section,
    /// The second word; empty where the section has one directive alone.
    pub name: &'static str,
    /// How it is written, with a word for each argument.
    pub usage: &'static str,
    /// It may stand more than once.
    pub is_repeatable: bool,
    pub change_class: ChangeClass,
}

impl Directive {
    const fn by(self, change_class: ChangeClass) -> Directive {
        Directive { change_class, ..self }
    }

    /// How many arguments it takes.
    pub fn argument_count(&self) -> usize {
        self.usage.split(' ').count() - self.section.name_words()
    }
}

/// A directive that stands once; a changed one needs a hand-over unless the row says otherwise.
const fn once(section: Section, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, is_repeatable: false, change_class: ChangeClass::HandOver }
}

/// A directive that makes a list; a changed one needs a reload unless the row says otherwise.
const fn many(section: Section, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, is_repeatable: true, change_class: ChangeClass::Reload }
}

const DIRECTIVES: [Directive; 43] = [
    many(Section::Host, "", "host NAME ADDRESS"),
    once(Section::Ajp, "listen", "ajp listen ADDRESS:PORT").by(ChangeClass::Restart),
    many(Section::Ajp, "allow", "ajp allow NETWORK"),
    many(Section::Ajp, "deny", "ajp deny NETWORK"),
    once(Section::Ajp, "secret", "ajp secret WORD").by(ChangeClass::Reload),
    once(Section::Ajp, "secret-file", "ajp secret-file PATH").by(ChangeClass::Reload),
    once(Section::Ajp, "packet", "ajp packet SIZE"),
    once(Section::Ajp, "connections", "ajp connections NUMBER"),
    once(Section::Ajp, "idle", "ajp idle TIME"),
    once(Section::Ajp, "memory", "ajp memory KB").by(ChangeClass::Reload),
    once(Section::Ajp, "health", "ajp health PATH").by(ChangeClass::Reload),
    many(Section::Ajp, "header", "ajp header id|token|left|memory|tenant NAME"),
    many(Section::Ajp, "route", "ajp route HTTP-METHOD PATH METHOD"),
    many(Section::Below, "ajp", "below ajp ADDRESS:PORT"),
    once(Section::Below, "name", "below name SERVER-NAME"),
    once(Section::Below, "uri", "below uri PATH"),
    once(Section::Below, "secret", "below secret WORD"),
    once(Section::Below, "secret-file", "below secret-file PATH"),
    once(Section::Below, "packet", "below packet SIZE"),
    once(Section::Below, "connections", "below connections NUMBER"),
    once(Section::Below, "connect", "below connect TIME"),
    once(Section::Below, "pong", "below pong TIME"),
    once(Section::Below, "reply", "below reply TIME"),
    once(Section::Below, "trust", "below trust TIME"),
    once(Section::Below, "keep", "below keep TIME"),
    once(Section::Below, "leave-out", "below leave-out FAILURES"),
    once(Section::Below, "pause", "below pause TIME TIME"),
    once(Section::Below, "repeats", "below repeats SHARE"),
    many(Section::Below, "weight", "below weight ADDRESS:PORT NUMBER"),
    many(Section::Below, "zone", "below zone ADDRESS:PORT ZONE"),
    once(Section::Below, "here", "below here ZONE").by(ChangeClass::Reload),
    once(Section::Below, "way", "below way WAY"),
    once(Section::Below, "reach", "below reach PLACES"),
    once(Section::Below, "number", "below number NUMBER COUNT"),
    once(Section::Below, "warm", "below warm TIME"),
    once(Section::Below, "status", "below status PATH"),
    once(Section::Upgrade, "control", "upgrade control PATH").by(ChangeClass::Restart),
    many(Section::Config, "relay", "config relay ADDRESS:PORT").by(ChangeClass::HandOver),
    once(Section::Config, "region", "config region NAME"),
    many(Section::Config, "scope", "config scope SCOPE").by(ChangeClass::HandOver),
    once(Section::Config, "snapshot", "config snapshot PATH"),
    once(Section::Config, "budget", "config budget BYTES"),
    once(Section::Config, "tenants", "config tenants NUMBER"),
];

/// The directive that a line's words begin with.
pub(crate) fn find(words: &[String]) -> Option<&'static Directive> {
    let first = words.first()?;
    let second = words.get(1).map_or("", String::as_str);
    DIRECTIVES.iter().find(|directive| {
        directive.section.name() == first && (directive.name == second || directive.section == Section::Host)
    })
}

/// The error for words that begin no directive, with the nearest one as a suggestion.
pub(crate) fn unknown(section: &str, name: &str) -> LineError {
    let of_section =
        |directive: &&Directive| directive.section.name() == section && !directive.name.is_empty();
    let known: Vec<&str> = DIRECTIVES.iter().filter(of_section).map(|directive| directive.name).collect();
    if known.is_empty() {
        return unknown_section(section);
    }
    let suggestion = match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {section} {near}?"),
        None => format!("after {section} comes one of {}", known.join(", ")),
    };
    let written = format!("{section} {name}");
    LineError::new(format!("{} is no directive", written.trim_end()), suggestion)
}

fn unknown_section(section: &str) -> LineError {
    let suggestion = match nearest(section, SECTIONS.into_iter().map(Section::name)) {
        Some(near) => format!("did you mean {near}?"),
        None => "a line begins with host, ajp, below, upgrade or config".to_string(),
    };
    LineError::new(format!("{section} is no directive"), suggestion)
}

/// Two edits or fewer make a typing error likely.
const MAX_TYPING_ERRORS: usize = 2;

/// The known word that `word` is likely a misspelling of.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let (distance, nearest) = known.map(|known| (strsim::damerau_levenshtein(word, known), known)).min()?;
    (distance <= MAX_TYPING_ERRORS && distance < nearest.len()).then_some(nearest)
}
