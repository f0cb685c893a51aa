//! Operators' command for celeryshore.
//!
//! Some commands read rules files (`check`, `diff`, `explain`, `split`), the
//! others ask nodes on their operators' port (`dump`, `status`, `wait`):
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

mod check;
mod client;
mod command;
mod diff;
mod dump;
mod error;
mod explain;
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
