//! Short status report of a node.

use std::time::Duration;

use celeryshore_kernel::Kernel;
use celeryshore_kernel::StageKind;
use celeryshore_kernel::StoreRevision;
use celeryshore_model::Index;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use serde::Serialize;
use serde_json::Value;

use crate::driver::Driver;
use crate::operators::dump::render_section;

const REQUESTS: &str = "requests";
const WORKSPACES: &str = "workspaces";
const SERVING: &str = "serving";
const LEARNING: &str = "learning";

/// Short status report of a node, serialized as JSON.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    vm: VmName,
    zone: ZoneName,
    version: Option<String>,
    index: Option<Index>,
    age_ms: Option<u64>,
    state: String,
    role: Role,
    phase: Value,
    in_flight: Value,
    limit: Value,
    /// Requests per second that the local target states to take, if it does.
    rate_limit: Value,
    /// Whether the local target states that it is about to leave.
    target_leaving: bool,
    /// Number of keys and priority of each workspace.
    workspaces: Value,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Role {
    Reader,
    Follower,
}

impl Status {
    pub(super) fn of(driver: &Driver) -> Self {
        driver.inspect(Self::from_kernel)
    }

    /// Returns `true` if the node takes callers' requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state == SERVING
    }

    fn from_kernel(kernel: &Kernel) -> Self {
        let requests = render_section(kernel, REQUESTS).unwrap_or_default();
        let configuration = ConfigurationStatus::of(kernel);
        let fleet = kernel.fleet.status();
        let version = Some(configuration.version).filter(|v| *v != Version::default());
        let age = configuration.age.map(|age| age.as_millis());
        Self {
            vm: fleet.vm,
            zone: fleet.zone,
            version: version.map(|v| v.to_string()),
            index: version.map(|v| v.index),
            age_ms: age.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
            state: serving_state(configuration.is_learning || version.is_none(), &requests),
            role: if configuration.is_reader {
                Role::Reader
            } else {
                Role::Follower
            },
            phase: requests["load"]["phase"].clone(),
            in_flight: requests["load"]["in_flight"].clone(),
            limit: requests["load"]["limit"].clone(),
            rate_limit: requests["statement"]["rate_limit"].clone(),
            target_leaving: requests["statement"]["is_leaving"] == true,
            workspaces: render_section(kernel, WORKSPACES).unwrap_or_default(),
        }
    }
}

/// State of the configuration: from the feed if there is one, else from the fleet.
struct ConfigurationStatus {
    version: Version,
    age: Option<Duration>,
    is_reader: bool,
    is_learning: bool,
}

impl ConfigurationStatus {
    fn of(kernel: &Kernel) -> Self {
        if let Some(feed) = &kernel.feed {
            let status = feed.status();
            return Self {
                version: feed.version(),
                age: status.age,
                is_reader: status.is_reader,
                is_learning: status.revisions.contains(&StoreRevision::default()),
            };
        }
        let fleet = kernel.fleet.status();
        Self {
            version: kernel.fleet.version(),
            age: fleet.view_age,
            is_reader: fleet.reader,
            is_learning: fleet.stage == StageKind::Learning,
        }
    }
}

fn serving_state(is_learning: bool, requests: &Value) -> String {
    let stage = requests["stage"].as_str().unwrap_or_default();
    if is_learning && stage == SERVING {
        return LEARNING.to_owned();
    }
    stage.to_owned()
}
