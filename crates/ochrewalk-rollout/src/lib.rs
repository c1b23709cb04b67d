//! A rolling change of the program in stages: old and new nodes side by side, stopped when the new ones do worse.
//!
//! Three parts that know nothing of sockets, and one that puts them together: the [`Course`] says which node is changed
//! next, the [`Judge`] whether changed nodes do worse than the others at the same moments, the [`Fence`] at each node
//! who may still order it; the [`Conductor`] goes through the stages, and back. What is changed may be on [`Trial`] until
//! the change is done.

mod conductor;
mod course;
mod evidence;
mod fence;
mod judge;
mod log_text;
pub mod messages;
mod trial;

pub use conductor::{Acts, Conductor, Habits, How, Kept, Order, Phase, Reason, Report, Word};
pub use course::{Course, Seen, Uneven};
pub use evidence::{Evidence, Table};
pub use fence::{Admitted, Fence, Mark, Outcome};
pub use judge::{Counts, Judge, Measures, Moment, NodeCounts, Verdict};
pub use trial::{Due, Trial};

/// Which of the two a node runs: of two programs, or of two files of settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Program {
    Old,
    New,
}
