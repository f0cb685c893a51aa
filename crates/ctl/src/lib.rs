//! Operators' command `celeryshorectl`.
//!
//! The commands `check`, `diff`, `explain` and `split` read rules files. The
//! commands `dump`, `status` and `wait` query nodes over HTTP on their operators'
//! port:
//!
//! ```
//! use celeryshore_ctl::Exit;
//!
//! let mut out = Vec::new();
//! let exit = celeryshore_ctl::run(&["--help".to_owned()], &mut out)?;
//! assert_eq!(exit, Exit::Success);
//! assert!(out.starts_with(b"Usage: celeryshorectl"));
//! # Ok::<(), celeryshore_ctl::Error>(())
//! ```
//!
//! `command` parses the command line and calls the module named after the
//! command. `input` reads rules files, `client` queries nodes, and `print` writes
//! JSON and tables.

mod check;
mod client;
mod command;
mod diff;
mod dump;
mod error;
mod explain;
mod explain_node;
mod input;
mod print;
mod split;
mod status;
mod wait;

pub use crate::command::Exit;
pub use crate::command::run;
pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::status::Status;
pub use crate::status::WorkspaceStatus;
