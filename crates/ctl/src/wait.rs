//! `wait --version VERSION NODE...`: waits until a version is in force everywhere.

use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use celeryshore_model::Digest;
use celeryshore_model::Version;

use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::command::usage;
use crate::print;
use crate::status;
use crate::status::Report;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let version = wanted(&args.option("version").unwrap_or_default())?;
    let nodes = args.nodes()?;
    let deadline = Instant::now() + args.timeout()?;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let reports = status::ask(&nodes, left.max(POLL_INTERVAL));
        let lagging: Vec<_> = reports.into_iter().filter(|r| lags(r, version)).collect();
        if lagging.is_empty() {
            return in_force(nodes.len(), args.json(), out);
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return late(&lagging, nodes.len(), args.json(), out);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Parses a version; without a digest, any text of that epoch and index counts.
fn wanted(text: &str) -> Result<Version> {
    if text.matches('.').count() == 1 {
        let lowest = format!("{text}.{}", Digest::default());
        return lowest.parse().map_err(|_| not_a_version(text));
    }
    text.parse().map_err(|_| not_a_version(text))
}

fn not_a_version(text: &str) -> crate::Error {
    usage(format_args!(
        "{text:?} is not EPOCH.INDEX or EPOCH.INDEX.DIGEST"
    ))
}

fn lags(report: &Report, wanted: Version) -> bool {
    let status = report.status.as_ref();
    status.and_then(|status| status.version) < Some(wanted)
}

fn in_force(nodes: usize, json: bool, out: &mut dyn Write) -> Result<Exit> {
    if json {
        print::json(out, &<[Report; 0]>::default())?;
    } else {
        writeln!(out, "in force at all {nodes} nodes")?;
    }
    Ok(Exit::Success)
}

fn late(lagging: &[Report], nodes: usize, json: bool, out: &mut dyn Write) -> Result<Exit> {
    if !json {
        writeln!(out, "{} of {nodes} nodes lag:", lagging.len())?;
    }
    status::print(lagging, json, out)?;
    Ok(Exit::Failure)
}
