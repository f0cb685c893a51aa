//! Trials of celeryshore, with real processes or in virtual time.
//!
//! A [`scenario`] plays the decisions in virtual time, without processes. A
//! trial starts a [`fleet`] of nodes with the stand-ins of one
//! [`deployment`], sends requests as a [`caller`] or under [`load`], causes
//! faults, and reports what it saw. Nothing here is shipped.

pub mod caller;
pub mod capacity;
pub mod deployment;
pub mod error;
pub mod fleet;
pub mod load;
pub mod process;
pub mod report;
mod rules;
pub mod scenario;
mod settings;
mod targets;
mod vm;
