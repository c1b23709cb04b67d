//! What a fleet of a size takes, extrapolated from measured slopes: the page `docs/CAPACITY.md`.

pub mod catalog;
pub mod estimate;
pub mod files;
pub mod page;
pub mod size;
