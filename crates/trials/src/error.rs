//! Error type of fleets and loads.

use std::io;

use derive_more::Display;
use derive_more::From;

/// Result with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a trial.
#[derive(Debug, Display, From)]
pub enum Error {
    /// An operation on a process or a file failed.
    #[display("process or file error: {_0}")]
    Io(io::Error),
    /// A request to a stand-in or a node failed.
    #[display("{_0}")]
    StandIn(celeryshore_standins::Error),
    /// The executable at this path has not been built.
    #[display("{_0} is not built")]
    #[from(skip)]
    NotBuilt(String),
    /// A condition did not hold within the timeout.
    #[display("timed out waiting until {_0}")]
    #[from(skip)]
    Timeout(Condition),
}

/// Condition that a trial waits for.
#[derive(Clone, Copy, Debug, Display)]
pub enum Condition {
    /// All nodes accept callers' requests.
    #[display("all nodes are ready")]
    Ready,
    /// A version is in effect on all nodes.
    #[display("a version is in effect on all nodes")]
    Converged,
    /// A stand-in accepts connections.
    #[display("a stand-in accepts connections")]
    StandIn,
    /// A process has exited.
    #[display("a process has exited")]
    Exited,
}

impl std::error::Error for Error {}
