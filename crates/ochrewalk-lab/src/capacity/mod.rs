//! Estimates the resources that a fleet of a given size needs, extrapolated from measured slopes, for the page
//! `docs/CAPACITY.md`.

pub mod catalog;
pub mod estimate;
pub mod files;
pub mod page;
pub mod size;
