//! The operators' own file, for what the platform's file does not know: one directive a line, in the manner of classic
//! daemons. It is read and checked here and nowhere else. The same lexical rules serve the plan of a rollout and files of
//! changes to distributed resources.
//!
//! # What is guaranteed
//!
//! * Every fault is reported as `file:line: problem; suggestion`, all faults of single lines at once. What is wrong
//!   between directives is reported once no line is wrong by itself.
//! * What the file does not name is off, or has the default that [`settings`] documents.
//! * A file that is accepted stays accepted: directives are only added, and no directive changes its meaning.
//!
//! # From text to settings
//!
//! | step | module | result |
//! | --- | --- | --- |
//! | a line is split into words | `lexer` | words, or an unclosed quotation mark |
//! | its first words name a directive | `directive` | one row of the table of all directives |
//! | its arguments are read, with their units | `values`, `units` | single values |
//! | a group of directives takes them | `parser` | settings of one subject |
//! | all groups are checked together | `parser` | [`OperatorConfig`] |
//!
//! [`changes()`] compares two files and says for each changed directive what brings it into force ([`ChangeClass`]).
//!
//! # What is left to the caller
//!
//! Files are opened by the caller, secret files included: this crate does no I/O.
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
