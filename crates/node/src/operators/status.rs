//! Short report of a node.

use celeryshore_kernel::Kernel;
use celeryshore_kernel::StageKind;
use celeryshore_model::Index;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use serde::Serialize;
use serde_json::Value;

use crate::driver::Driver;
use crate::operators::dump::render;

const REQUESTS: &str = "requests";
const SERVING: &str = "serving";
const LEARNING: &str = "learning";

/// Short report of a node.
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

    /// Tells whether callers' work is taken.
    pub(super) fn is_ready(&self) -> bool {
        self.state == SERVING
    }

    fn from_kernel(kernel: &Kernel) -> Self {
        let fleet = kernel.fleet.status();
        let version = Some(kernel.fleet.version()).filter(|v| *v != Version::default());
        let requests = render(kernel, REQUESTS).unwrap_or_default();
        let age = fleet.view_age.map(|age| age.as_millis());
        Self {
            vm: fleet.vm,
            zone: fleet.zone,
            version: version.map(|v| v.to_string()),
            index: version.map(|v| v.index),
            age_ms: age.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
            state: state(fleet.stage, version, &requests),
            role: if fleet.reader {
                Role::Reader
            } else {
                Role::Follower
            },
            phase: requests["load"]["phase"].clone(),
            in_flight: requests["load"]["in_flight"].clone(),
            limit: requests["load"]["limit"].clone(),
        }
    }
}

fn state(stage: StageKind, version: Option<Version>, requests: &Value) -> String {
    let is_learning = stage == StageKind::Learning || version.is_none();
    let own = requests["stage"].as_str().unwrap_or_default();
    if is_learning && own == SERVING {
        return LEARNING.to_owned();
    }
    own.to_owned()
}
