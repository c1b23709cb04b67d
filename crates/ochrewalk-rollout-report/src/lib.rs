//! Creates an HTML page that shows the course of a rollout, from the log that its controllers have written.
//! The log may end in the middle of a line, be written by several controllers, or have lines that a newer
//! program has added.
//!
//! ```
//! use ochrewalk_rollout_report::{page, RolloutHistory};
//! let history = RolloutHistory::read(r#"{"ms":1000,"what":{"end":"Done"}}"#);
//! assert_eq!(history.outcome.as_deref(), Some("Done"));
//! assert!(page(&history, "change-7").contains("<h1>change-7</h1>"));
//! ```

mod history;
mod page;
mod plot;

pub use history::{Command, PhaseChange, Point, RolloutHistory, Sample, Side};
pub use page::page;
