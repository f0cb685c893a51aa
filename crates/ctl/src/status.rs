//! `status NODE...`: prints a table of nodes.

use std::io::Write;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::Version;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de;
use tabled::Tabled;

use crate::Exit;
use crate::Result;
use crate::client;
use crate::command::Args;
use crate::print;

/// Path of a node's short report.
pub(crate) const PATH: &str = "/status";

const UNKNOWN: &str = "-";

/// Short report of a node.
///
/// # Example
///
/// ```
/// let text = r#"{"vm": "vm-1", "zone": "perth", "version": null, "index": null,
///     "age_ms": null, "state": "learning", "role": "follower", "phase": "cold",
///     "in_flight": 0, "limit": 1}"#;
/// let status: celeryshore_ctl::Status = serde_json::from_str(text)?;
/// assert_eq!(status.version, None);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// VM of the node.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Version in force, once there is one.
    #[serde(default, deserialize_with = "version")]
    pub version: Option<Version>,
    /// Modification index of that version at the platform.
    pub index: Option<u64>,
    /// How old its view of the platform is, in milliseconds.
    pub age_ms: Option<u64>,
    /// State of the node.
    pub state: String,
    /// What it does for the distribution of the configuration.
    pub role: String,
    /// Phase of its target.
    pub phase: String,
    /// Requests that run or wait at its target.
    pub in_flight: u32,
    /// Requests that may run at its target at one time.
    pub limit: u32,
}

fn version<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<Option<Version>, D::Error> {
    let text: Option<String> = Option::deserialize(d)?;
    let version = text.map(|text| Version::from_str(&text));
    version.transpose().map_err(de::Error::custom)
}

/// What a node said, or why it said nothing.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) node: SocketAddr,
    pub(crate) status: Option<Status>,
    pub(crate) error: Option<String>,
}

#[derive(Tabled)]
#[tabled(rename_all = "UPPERCASE")]
struct Row {
    node: String,
    vm: String,
    zone: String,
    version: String,
    age: String,
    state: String,
    role: String,
    phase: String,
    #[tabled(rename = "IN FLIGHT")]
    in_flight: String,
}

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let reports = ask(&args.nodes()?, args.timeout()?);
    print(&reports, args.json(), out)?;
    if reports.iter().all(|report| report.error.is_none()) {
        Ok(Exit::Success)
    } else {
        Ok(Exit::Failure)
    }
}

/// Asks nodes for their short reports.
pub(crate) fn ask(nodes: &[SocketAddr], timeout: Duration) -> Vec<Report> {
    let answers = client::ask_all(nodes, PATH, timeout);
    let pairs = nodes.iter().zip(answers);
    pairs.map(|(node, answer)| report(*node, answer)).collect()
}

fn report(node: SocketAddr, answer: Result<Status>) -> Report {
    let (status, error) = match answer {
        Ok(status) => (Some(status), None),
        Err(err) => (None, Some(format!("{:#}", anyhow::Error::from(err)))),
    };
    Report {
        node,
        status,
        error,
    }
}

/// Writes reports as a table, or as JSON.
pub(crate) fn print(reports: &[Report], json: bool, out: &mut dyn Write) -> Result<()> {
    if json {
        return print::json(out, &reports);
    }
    let rows: Vec<_> = reports.iter().map(row).collect();
    print::table(out, &rows)?;
    for error in reports.iter().filter_map(|report| report.error.as_ref()) {
        writeln!(out, "{error}")?;
    }
    Ok(())
}

fn row(report: &Report) -> Row {
    let node = report.node.to_string();
    let Some(status) = &report.status else {
        return silent(node);
    };
    Row {
        node,
        vm: status.vm.clone(),
        zone: status.zone.clone(),
        version: status.version.as_ref().map_or(UNKNOWN.to_owned(), short),
        age: status.age_ms.map_or(UNKNOWN.to_owned(), age),
        state: status.state.clone(),
        role: status.role.clone(),
        phase: status.phase.clone(),
        in_flight: format!("{}/{}", status.in_flight, status.limit),
    }
}

fn silent(node: String) -> Row {
    let unknown = || UNKNOWN.to_owned();
    Row {
        node,
        vm: unknown(),
        zone: unknown(),
        version: unknown(),
        age: unknown(),
        state: "no answer".to_owned(),
        role: unknown(),
        phase: unknown(),
        in_flight: unknown(),
    }
}

fn short(version: &Version) -> String {
    let Version {
        epoch,
        index,
        digest,
    } = version;
    format!("{epoch}.{index}.{}", digest.short())
}

fn age(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}
