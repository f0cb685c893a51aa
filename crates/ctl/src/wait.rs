//! Command `wait --version VERSION NODE...`: waits until a version, or a later
//! one, is in effect at all nodes.

use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use celeryshore_model::Digest;
use celeryshore_model::Version;

use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::command::usage_error;
use crate::print;
use crate::status;
use crate::status::NodeReport;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let version = parse_version(&args.option("version").unwrap_or_default())?;
    let nodes = args.nodes()?;
    let deadline = Instant::now() + args.timeout()?;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let reports = status::fetch(&nodes, remaining.max(POLL_INTERVAL));
        let lagging: Vec<_> = reports
            .into_iter()
            .filter(|r| is_lagging(r, version))
            .collect();
        if lagging.is_empty() {
            return print_success(nodes.len(), args.json(), out);
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return print_lagging(&lagging, nodes.len(), args.json(), out);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Parses a version. Without a digest, it matches any text of that epoch and
/// index: the default digest orders before all others.
fn parse_version(text: &str) -> Result<Version> {
    if text.matches('.').count() == 1 {
        let lowest = format!("{text}.{}", Digest::default());
        return lowest.parse().map_err(|_| version_error(text));
    }
    text.parse().map_err(|_| version_error(text))
}

fn version_error(text: &str) -> crate::Error {
    usage_error(format_args!(
        "{text:?} is not EPOCH.INDEX or EPOCH.INDEX.DIGEST"
    ))
}

fn is_lagging(report: &NodeReport, wanted: Version) -> bool {
    let status = report.status.as_ref();
    status.and_then(|status| status.version) < Some(wanted)
}

fn print_success(nodes: usize, json: bool, out: &mut dyn Write) -> Result<Exit> {
    if json {
        print::json(out, &<[NodeReport; 0]>::default())?;
    } else {
        writeln!(out, "in force at all {nodes} nodes")?;
    }
    Ok(Exit::Success)
}

fn print_lagging(
    lagging: &[NodeReport],
    nodes: usize,
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit> {
    if !json {
        writeln!(out, "{} of {nodes} nodes lag:", lagging.len())?;
    }
    status::print(lagging, json, out)?;
    Ok(Exit::Failure)
}
