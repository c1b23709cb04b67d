//! Parses and checks the operators' configuration file, which holds the settings that the platform's file does not have:
//! one directive per line, as in the configuration of classic daemons. No other crate parses this file. Rollout plans and
//! files of changes to distributed resources follow the same lexical rules.
//!
//! # Guarantees
//!
//! * Every error is reported as `file:line: problem; suggestion`, and the errors of all single lines are reported together.
//!   Errors between directives are reported only if every line is valid by itself.
//! * A feature that the file does not name is off, and a setting that it does not name has the default that [`settings`]
//!   documents.
//! * A file that is accepted stays accepted by later versions: directives are only added, and no directive changes its
//!   meaning.
//!
//! # From text to settings
//!
//! | step | module | result |
//! | --- | --- | --- |
//! | a line is split into words | `lexer` | words, or an unclosed quotation mark |
//! | the first words are looked up as a directive | `directive` | one row of the table of all directives |
//! | the arguments are parsed, with their units | `values`, `units` | single values |
//! | the parser of the directive's section stores them | `parser` | settings of one section |
//! | all sections are checked together | `parser` | [`OperatorConfig`] |
//!
//! [`changes()`] compares two files and returns for each changed directive the action that puts it into force
//! ([`ChangeClass`]).
//!
//! # Responsibilities of the caller
//!
//! The caller opens all files, secret files included: this crate does no I/O.
//!
//! ```
//! use ochrewalk_operator_config::{parse, MethodContext, NodeContext};
//! let methods = [MethodContext { name: "look".into(), is_idempotent: true }];
//! let node = NodeContext { methods: &methods, descriptors: 512, has_upstream: false };
//! let text = "ajp listen 127.0.0.1:8009\najp allow 127.0.0.0/8\najp route GET /look lok\n";
//! let diagnostics = parse(text, "my.conf", &node).unwrap_err();
//! assert_eq!(diagnostics[0].to_string(), "my.conf:3: lok is no method here; did you mean look?");
//! ```

#![warn(missing_docs)]

mod changes;
mod diagnostic;
mod directive;
mod lexer;
mod parser;
pub mod resources;
mod rollout_plan;
pub mod settings;
mod units;
mod values;

pub use changes::{changes, Change};
pub use diagnostic::Diagnostic;
pub use directive::ChangeClass;
pub use parser::{parse, MethodContext, NodeContext};
pub use rollout_plan::{PlannedNode, RolloutPlan, Subject, Version};
pub use settings::{AjpListener, AjpUpstream, ConfigAgent, OperatorConfig, UpstreamEndpoint};
