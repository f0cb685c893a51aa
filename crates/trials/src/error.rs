//! The one error of this package's fleets and loads.

use std::io;

use derive_more::Display;
use derive_more::From;

/// Result of this package's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of a trial.
#[derive(Debug, Display, From)]
pub enum Error {
    /// A process or a file failed.
    #[display("process or file: {_0}")]
    Io(io::Error),
    /// A stand-in or a node did not answer as it should.
    #[display("{_0}")]
    StandIn(celeryshore_standins::Error),
    /// A program is not built.
    #[display("{_0} is not built")]
    #[from(skip)]
    NotBuilt(String),
    /// Something did not happen in time.
    #[display("not in time: {_0}")]
    #[from(skip)]
    Timeout(Condition),
}

/// What a trial waits for.
#[derive(Clone, Copy, Debug, Display)]
pub enum Condition {
    /// A node takes callers' work.
    #[display("all nodes are ready")]
    Ready,
    /// A version is in force.
    #[display("a version is in force at all nodes")]
    Converged,
    /// A stand-in serves.
    #[display("a stand-in serves")]
    StandIn,
    /// A process ended.
    #[display("a process ended")]
    Exited,
}

impl std::error::Error for Error {}
