//! Parses the operators' file into settings: the parser of each section handles its directives, then all sections are
//! checked together.

mod ajp_listener;
mod ajp_upstream;
mod config_agent;
mod hosts;

use crate::diagnostic::{line_error, Diagnostic, FileError, LineError};
use crate::directive::{self, Section};
use crate::lexer::split_words;
use crate::settings::OperatorConfig;
use crate::values::socket_path;
use ajp_listener::AjpListenerParser;
use ajp_upstream::AjpUpstreamParser;
use config_agent::ConfigAgentParser;
use hosts::Hosts;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// A method of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MethodContext {
    /// The name by which routes refer to the method.
    pub name: String,
    /// Whether the method may run twice without harm.
    pub is_idempotent: bool,
}

/// The settings of the node's file against which the operators' file is checked.
pub struct NodeContext<'a> {
    /// The node's methods; routes refer to a method by its position in this list.
    pub methods: &'a [MethodContext],
    /// The number of file descriptors that the node may open.
    pub descriptors: usize,
    /// Whether the node's methods make upstream calls.
    pub has_upstream: bool,
}

/// Parses the text of the operators' file. `file` is its name in diagnostics.
///
/// # Errors
/// Returns the errors of all invalid lines, in the order of the lines; if every line is valid, the first error between
/// lines.
pub fn parse(text: &str, file: &str, node: &NodeContext) -> Result<OperatorConfig, Vec<Diagnostic>> {
    let mut parser = Parser::new(node);
    let mut diagnostics = Vec::new();
    let mut lines = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        match split_words(line) {
            Ok(words) if words.is_empty() => {}
            Ok(words) => lines.push((number, words)),
            Err(error) => diagnostics.push(error.at(file, number)),
        }
    }
    // Host lines are parsed first, as a host may be used on an earlier line than the one that names it.
    lines.sort_by_key(|(number, words)| (words[0] != Section::Host.name(), *number));
    for (number, words) in &lines {
        if let Err(error) = parser.line(*number, words) {
            diagnostics.push(error.at(file, *number));
        }
    }
    diagnostics.sort();
    match parser.finish() {
        Ok(config) if diagnostics.is_empty() => Ok(config),
        // A directive may be missing only because its line is invalid, so errors between lines are not reported here.
        Err(error) if diagnostics.is_empty() => Err(vec![error.at(file)]),
        _ => Err(diagnostics),
    }
}

/// The first line of each directive.
#[derive(Default)]
struct FirstLines(BTreeMap<String, usize>);

impl FirstLines {
    /// Returns the first line of one directive, such as `ajp listen`.
    fn of(&self, directive: &str) -> Option<usize> {
        self.0.get(directive).copied()
    }

    /// Returns the first line of any directive of a section.
    fn of_section(&self, section: Section) -> Option<usize> {
        let prefix = format!("{} ", section.name());
        let lines = self.0.iter().filter(|(directive, _)| directive.starts_with(&prefix));
        lines.map(|(_, line)| *line).min()
    }

    /// Checks that the secret is not set both as a word and as a file.
    fn check_one_secret(&self, section: Section) -> Result<(), FileError> {
        let word = self.of(&format!("{} secret", section.name()));
        let file = self.of(&format!("{} secret-file", section.name()));
        match (word, file) {
            (Some(_), Some(line)) => {
                Err(FileError::new(line, "the secret is set twice", "keep the word or the file"))
            }
            _ => Ok(()),
        }
    }
}

struct Parser<'a> {
    hosts: Hosts,
    first_lines: FirstLines,
    ajp_listener: AjpListenerParser<'a>,
    ajp_upstream: AjpUpstreamParser,
    config_agent: ConfigAgentParser,
    upgrade_control: Option<PathBuf>,
    has_upstream: bool,
}

impl<'a> Parser<'a> {
    fn new(node: &'a NodeContext<'a>) -> Parser<'a> {
        Parser {
            hosts: Hosts::default(),
            first_lines: FirstLines::default(),
            ajp_listener: AjpListenerParser::new(node),
            ajp_upstream: AjpUpstreamParser::new(node.descriptors),
            config_agent: ConfigAgentParser::default(),
            upgrade_control: None,
            has_upstream: node.has_upstream,
        }
    }

    fn line(&mut self, line: usize, words: &[String]) -> Result<(), LineError> {
        let name = words.get(1).map_or("", String::as_str);
        let Some(directive) = directive::find(words) else {
            return Err(directive::unknown(&words[0], name));
        };
        let name_words = directive.section.name_words();
        let arguments = &words[name_words..];
        let expected = directive.argument_count();
        if arguments.len() != expected {
            let unit = if expected == 1 { "word" } else { "words" };
            let written = words[..name_words].join(" ");
            return line_error(
                format!("{expected} {unit} after {written} needed, {} found", arguments.len()),
                format!("write {}", directive.usage),
            );
        }
        let key = format!("{} {name}", words[0]);
        let before = self.first_lines.of(&key).filter(|_| !directive.is_repeatable);
        if let Some(before) = before {
            return line_error(format!("{key} was set on line {before} already"), "keep one of the two");
        }
        self.first_lines.0.entry(key).or_insert(line);
        self.directive(line, directive.section, name, arguments)
    }

    /// Passes the arguments, whose number is already checked, to the parser of the directive's section.
    fn directive(
        &mut self,
        line: usize,
        section: Section,
        name: &str,
        arguments: &[String],
    ) -> Result<(), LineError> {
        match section {
            Section::Host => self.hosts.add(&arguments[0], &arguments[1]),
            Section::Ajp => self.ajp_listener.directive(name, arguments, &self.hosts),
            Section::Upstream => self.ajp_upstream.directive(line, name, arguments, &self.hosts),
            Section::Config => self.config_agent.directive(name, &arguments[0], &self.hosts),
            Section::Upgrade => {
                self.upgrade_control = Some(socket_path(&arguments[0])?);
                Ok(())
            }
        }
    }

    /// Checks all sections together and returns the settings.
    fn finish(self) -> Result<OperatorConfig, FileError> {
        self.ajp_listener.check(&self.first_lines, self.config_agent.has_relays())?;
        self.ajp_upstream.check(&self.first_lines, self.has_upstream)?;
        self.config_agent.check(&self.first_lines)?;
        Ok(OperatorConfig {
            ajp_upstream: self.ajp_upstream.finish()?,
            ajp_listener: self.ajp_listener.finish(),
            upgrade_control: self.upgrade_control,
            config_agent: self.config_agent.finish(),
        })
    }
}
