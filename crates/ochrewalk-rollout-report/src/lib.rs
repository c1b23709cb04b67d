//! How a rolling change went, as one page: read from the record that its conductor left, also where that stops in the
//! middle of a line, was written by several conductors, or holds what a newer program has added.
//!
//! ```
//! use ochrewalk_rollout_report::{page, Story};
//! let story = Story::read(r#"{"ms":1000,"what":{"end":"Done"}}"#);
//! assert_eq!(story.end.as_deref(), Some("Done"));
//! assert!(page(&story, "change-7").contains("<h1>change-7</h1>"));
//! ```

mod page;
mod plot;
mod story;

pub use page::page;
pub use story::{Change, Moment, Point, Side, Stage, Story};
