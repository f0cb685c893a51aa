//! Command `status NODE...`: prints a table of nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

/// Path of the status on the operators' port.
pub(crate) const PATH: &str = "/status";

const UNKNOWN: &str = "-";

/// Status of a node, as returned by its operators' port.
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
    /// VM that the node runs on.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Version in effect; `None` until the node has a configuration.
    #[serde(default, deserialize_with = "deserialize_version")]
    pub version: Option<Version>,
    /// Modification index of that version at the platform.
    pub index: Option<u64>,
    /// Age of the node's view of the platform, in milliseconds.
    pub age_ms: Option<u64>,
    /// State of the node, such as `learning` or `serving`.
    pub state: String,
    /// Role in the distribution of the configuration: `reader` or `follower`.
    pub role: String,
    /// Phase of the local target, such as `cold` or `warm`.
    pub phase: String,
    /// Number of requests that run or wait at the local target.
    pub in_flight: u32,
    /// Maximum number of requests that run at the local target concurrently.
    pub limit: u32,
    /// Requests per second that the local target states to take, such as `9.5/s`.
    #[serde(default)]
    pub rate_limit: Option<String>,
    /// Whether the local target states that it is about to leave.
    #[serde(default)]
    pub target_leaving: bool,
    /// Workspaces of the version in effect, by name.
    #[serde(default)]
    pub workspaces: BTreeMap<String, WorkspaceStatus>,
}

/// Keys and priority of a workspace at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Number of keys.
    pub keys: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

fn deserialize_version<'de, D: Deserializer<'de>>(
    d: D,
) -> std::result::Result<Option<Version>, D::Error> {
    let text: Option<String> = Option::deserialize(d)?;
    let version = text.map(|text| Version::from_str(&text));
    version.transpose().map_err(de::Error::custom)
}

/// Status of a node, or the error if it can't be fetched.
#[derive(Debug, Serialize)]
pub(crate) struct NodeReport {
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

/// Workspace as some of the nodes know it. Nodes with different versions may differ.
#[derive(Tabled, PartialEq, Eq, PartialOrd, Ord)]
#[tabled(rename_all = "UPPERCASE")]
struct WorkspaceRow {
    workspace: String,
    keys: usize,
    priority: u32,
}

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let reports = fetch(&args.nodes()?, args.timeout()?);
    print(&reports, args.json(), out)?;
    if reports.iter().all(|report| report.error.is_none()) {
        Ok(Exit::Success)
    } else {
        Ok(Exit::Failure)
    }
}

/// Fetches the status of each node.
pub(crate) fn fetch(nodes: &[SocketAddr], timeout: Duration) -> Vec<NodeReport> {
    let results = client::fetch_all(nodes, PATH, timeout);
    let pairs = nodes.iter().zip(results);
    pairs
        .map(|(node, result)| node_report(*node, result))
        .collect()
}

fn node_report(node: SocketAddr, result: Result<Status>) -> NodeReport {
    let (status, error) = match result {
        Ok(status) => (Some(status), None),
        Err(err) => (None, Some(format!("{:#}", anyhow::Error::from(err)))),
    };
    NodeReport {
        node,
        status,
        error,
    }
}

/// Writes reports as JSON, or as a table followed by the errors.
pub(crate) fn print(reports: &[NodeReport], json: bool, out: &mut dyn Write) -> Result<()> {
    if json {
        return print::json(out, &reports);
    }
    let rows: Vec<_> = reports.iter().map(row).collect();
    print::table(out, &rows)?;
    let workspaces = workspace_rows(reports);
    if !workspaces.is_empty() {
        print::table(out, &workspaces)?;
    }
    for error in reports.iter().filter_map(|report| report.error.as_ref()) {
        writeln!(out, "{error}")?;
    }
    Ok(())
}

/// Returns each different workspace of the nodes once, by name.
fn workspace_rows(reports: &[NodeReport]) -> Vec<WorkspaceRow> {
    let statuses = reports.iter().filter_map(|report| report.status.as_ref());
    let workspaces = statuses.flat_map(|status| &status.workspaces);
    let rows: BTreeSet<_> = workspaces
        .map(|(name, status)| WorkspaceRow {
            workspace: name.clone(),
            keys: status.keys,
            priority: status.priority,
        })
        .collect();
    rows.into_iter().collect()
}

fn row(report: &NodeReport) -> Row {
    let node = report.node.to_string();
    let Some(status) = &report.status else {
        return unreachable_row(node);
    };
    Row {
        node,
        vm: status.vm.clone(),
        zone: status.zone.clone(),
        version: status
            .version
            .as_ref()
            .map_or(UNKNOWN.to_owned(), format_version),
        age: status.age_ms.map_or(UNKNOWN.to_owned(), format_age),
        state: status.state.clone(),
        role: status.role.clone(),
        phase: format_phase(status),
        in_flight: format!("{}/{}", status.in_flight, status.limit),
    }
}

fn unreachable_row(node: String) -> Row {
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

/// Returns the phase of the local target and what the target states about itself.
fn format_phase(status: &Status) -> String {
    let rate_limit = status.rate_limit.as_ref();
    let limited = rate_limit.map(|rate| format!(", at most {rate}"));
    let leaving = if status.target_leaving {
        ", leaving"
    } else {
        ""
    };
    format!("{}{}{leaving}", status.phase, limited.unwrap_or_default())
}

fn format_version(version: &Version) -> String {
    let Version {
        epoch,
        index,
        digest,
    } = version;
    format!("{epoch}.{index}.{}", digest.short())
}

fn format_age(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}
