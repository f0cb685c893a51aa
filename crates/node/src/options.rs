//! Command line of the `celeryshore` binary.

use std::ffi::OsString;
use std::path::PathBuf;

use getopts::Options;

use crate::Error;
use crate::Result;

/// Action requested on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a node with the settings in a file.
    Run(PathBuf),
    /// Validate the settings in a file and exit.
    Check(PathBuf),
    /// Print the version and exit.
    Version,
    /// Print the help text and exit.
    Help,
}

impl Command {
    /// Parses the arguments, without the program name.
    ///
    /// # Errors
    ///
    /// Fails if an option is unknown or `--settings` is missing.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_node::Command;
    ///
    /// let command = Command::parse(["--settings", "node.yaml", "--check"])?;
    /// assert_eq!(command, Command::Check("node.yaml".into()));
    /// # Ok::<(), celeryshore_node::Error>(())
    /// ```
    pub fn parse<I>(args: I) -> Result<Self>
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
    {
        let matches = options().parse(args.into_iter().map(Into::into))?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        let path = matches
            .opt_str("settings")
            .ok_or_else(Error::settings_missing)?;
        if matches.opt_present("check") {
            return Ok(Self::Check(path.into()));
        }
        Ok(Self::Run(path.into()))
    }
}

/// Returns the help text printed by `--help`.
///
/// # Example
///
/// ```
/// assert!(celeryshore_node::usage().contains("--settings"));
/// ```
#[must_use]
pub fn usage() -> String {
    options().usage("Usage: celeryshore --settings FILE [--check]")
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "read the settings from FILE", "FILE");
    options.optflag("", "check", "judge the settings and exit");
    options.optflag("", "version", "print the version and exit");
    options.optflag("", "help", "print this text and exit");
    options
}
