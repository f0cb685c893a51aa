//! Tests and measurements of whole fleets, in virtual time or with real
//! processes.
//!
//! A [`scenario`] runs the kernel in virtual time, without processes. A trial
//! starts the nodes and stand-ins of one [`deployment`] as a [`fleet`] of
//! processes, sends requests through a [`caller`] or at a steady rate with
//! [`load`], injects faults, and prints the results with [`report`]. [`capacity`]
//! extrapolates measured costs to the intended size. Nothing here is shipped.

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
