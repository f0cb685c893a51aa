//! Command line parsing and dispatch.

use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::check;
use crate::diff;
use crate::dump;
use crate::explain;
use crate::split;
use crate::status;
use crate::wait;

const USAGE: &str = "\
Usage: celeryshorectl COMMAND

Commands on rules files:
  check RULES                      judge a rules file
  diff OLD NEW                     compare two rules files rule by rule
  explain RULES METHOD HOST PATH   say where a request goes and why
  split RULES DIR [--who NAME]     write a large file in parts, with their list

Commands on nodes (NODE is the IP:PORT of a node's operators' port):
  explain --node NODE METHOD HOST PATH [--header 'NAME: VALUE']...
                                   ask where a request would go now, and why
  dump NODE [--section NAME]       print the state of a node as JSON
  status NODE...                   print a table of nodes
  wait --version VERSION NODE...   wait until the version is in force everywhere

Options:
  --json            output for programs
  --timeout TIME    how long to wait, such as 500ms or 10s
  --help            print this text
  --version         print the version of the program

Exit status: 0 success; 1 refused, lagging or failed; 2 wrong usage.
";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a command that was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded, and the condition that it checks holds.
    Success,
    /// The condition doesn't hold: a rules file is refused, no route matches a
    /// request, or a node lags or doesn't respond.
    Failure,
}

/// Parsed options and arguments of a command.
pub(crate) struct Args {
    matches: Matches,
}

/// Runs the command given by `args`, which exclude the program name, and writes
/// its output to `out`.
///
/// # Errors
///
/// Fails if the command line is invalid, a file can't be read or written, a text
/// that the command needs is refused, a node gives no valid response, or `out`
/// can't be written.
///
/// # Example
///
/// ```
/// let mut out = Vec::new();
/// celeryshore_ctl::run(&["--version".to_owned()], &mut out)?;
/// assert!(out.starts_with(b"celeryshorectl "));
/// # Ok::<(), celeryshore_ctl::Error>(())
/// ```
pub fn run(args: &[String], out: &mut dyn Write) -> Result<Exit> {
    let (name, rest) = args
        .split_first()
        .ok_or_else(|| usage_error("no command"))?;
    match name.as_str() {
        "check" => check::run(&parse(&Options::new(), rest)?, out),
        "diff" => diff::run(&parse(&Options::new(), rest)?, out),
        "explain" => explain::run(&parse(&node_options(), rest)?, out),
        "split" => split::run(&parse(&who_option(), rest)?, out),
        "dump" => dump::run(&parse(&section_option(), rest)?, out),
        "status" => status::run(&parse(&Options::new(), rest)?, out),
        "wait" => wait::run(&parse(&version_option(), rest)?, out),
        "--help" | "-h" | "help" => print(out, USAGE),
        "--version" => print(
            out,
            concat!("celeryshorectl ", env!("CARGO_PKG_VERSION"), "\n"),
        ),
        other => Err(usage_error(format_args!("unknown command {other:?}"))),
    }
}

fn print(out: &mut dyn Write, text: &str) -> Result<Exit> {
    out.write_all(text.as_bytes())?;
    Ok(Exit::Success)
}

fn who_option() -> Options {
    let mut options = Options::new();
    options.optopt("", "who", "who asked for the parts", "NAME");
    options
}

fn node_options() -> Options {
    let mut options = Options::new();
    options.optopt("", "node", "node to ask", "NODE");
    options.optmulti("", "header", "header field of the request", "FIELD");
    options
}

fn section_option() -> Options {
    let mut options = Options::new();
    options.optopt("", "section", "one section only", "NAME");
    options
}

fn version_option() -> Options {
    let mut options = Options::new();
    options.reqopt("", "version", "version to wait for", "VERSION");
    options
}

fn parse(options: &Options, args: &[String]) -> Result<Args> {
    let mut options = options.clone();
    options.optflag("", "json", "output for programs");
    options.optopt("", "timeout", "how long to wait", "TIME");
    let matches = options.parse(args);
    let matches = matches.map_err(|err| usage_error("invalid options").with_source(err))?;
    Ok(Args { matches })
}

/// Creates the error for an invalid command line; `found` says what is wrong.
pub(crate) fn usage_error(found: impl fmt::Display) -> Error {
    Error::new(
        Category::Usage,
        format!("{found} (see celeryshorectl --help)"),
    )
}

impl Args {
    /// Returns `true` if the output is JSON (`--json`).
    pub(crate) fn json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// Returns the value of an option.
    pub(crate) fn option(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns the values of an option that may be given more than once.
    pub(crate) fn options(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// Returns the value of `--timeout`, or the default.
    pub(crate) fn timeout(&self) -> Result<Duration> {
        let Some(text) = self.matches.opt_str("timeout") else {
            return Ok(DEFAULT_TIMEOUT);
        };
        humantime::parse_duration(&text)
            .map_err(|err| usage_error(format_args!("invalid timeout {text:?}")).with_source(err))
    }

    /// Returns the arguments, or an error if there aren't exactly `N`. `names`
    /// lists them for the error message.
    pub(crate) fn exactly<const N: usize>(&self, names: &str) -> Result<[&str; N]> {
        let args: Vec<_> = self.matches.free.iter().map(String::as_str).collect();
        let found = args.len();
        args.try_into()
            .map_err(|_| usage_error(format_args!("expected {names}, found {found} arguments")))
    }

    /// Returns the addresses of the nodes; at least one is required.
    pub(crate) fn nodes(&self) -> Result<Vec<SocketAddr>> {
        if self.matches.free.is_empty() {
            return Err(usage_error("expected at least one NODE"));
        }
        self.matches
            .free
            .iter()
            .map(|text| parse_node(text))
            .collect()
    }
}

/// Parses the address of a node.
pub(crate) fn parse_node(text: &str) -> Result<SocketAddr> {
    let address = text.parse();
    address.map_err(|_| usage_error(format_args!("{text:?} is not IP:PORT")))
}
