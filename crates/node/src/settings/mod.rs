//! Settings of a node, read from a YAML file at startup.
//!
//! Deserialization rejects unknown keys and malformed values; `check` then validates the
//! ranges and combinations of values.

mod check;
mod limits;
mod number;
mod port;

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::BitRate;
use celeryshore_model::ByteSize;
use celeryshore_model::ServiceName;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use serde::Deserialize;

pub use self::limits::SettingsLimits;
pub use self::port::PortName;
use crate::Error;
use crate::Result;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_OPERATORS_PORT: u16 = 9_090;

/// Settings of one node.
///
/// # Example
///
/// ```
/// use celeryshore_node::Settings;
///
/// let settings: Settings = "
/// vm: glasgow-1
/// zone: glasgow
/// callers: 127.0.0.1:8080
/// peer: 127.0.0.1:7000
/// control: 127.0.0.1:7001
/// target: 127.0.0.1:9000
/// platform:
///   addresses: [127.0.0.1:8500]
///   key: celeryshore/rules
/// "
/// .parse()?;
/// assert_eq!(settings.threads, 1);
/// assert!(settings.operators.ip().is_loopback());
/// # Ok::<(), celeryshore_node::Error>(())
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM on which the node runs.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which callers connect (HTTP/1.1).
    pub callers: SocketAddr,
    /// Address at which peers connect (TCP) and send heartbeats (UDP).
    pub peer: SocketAddr,
    /// Address at which peers pull the configuration (gRPC).
    pub control: SocketAddr,
    /// Address of the operators' port (HTTP/1.1); by default 127.0.0.1:9090.
    #[serde(default = "default_operators")]
    pub operators: SocketAddr,
    /// Address of the VM's target (HTTP/1.1).
    pub target: SocketAddr,
    /// Path at which the target reports its phase; unused with an adapter.
    #[serde(default = "default_health")]
    pub health: String,
    /// Address for the platform's readiness checks, which are answered only with an
    /// adapter.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Service of the VM, sent to targets as the caller's service on platforms where
    /// targets expect it.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Availability zones with their regions, for platforms that do not publish them.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, ZoneName>,
    /// Requirements of the platform for requests; used only with an adapter.
    #[serde(default)]
    pub terms: SettingsTerms,
    /// Service through which the platform publishes the configuration.
    pub platform: PlatformSettings,
    /// Nodes to contact before a configuration lists the others.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Whether the whole fleet starts for the first time. Its nodes then ask the seeds
    /// before they read the platform's store.
    #[serde(default)]
    pub first_start: bool,
    /// Least severe level that is logged; `info` by default.
    #[serde(default)]
    pub log: LogLevel,
    /// Limits at the callers' port.
    #[serde(default)]
    pub limits: SettingsLimits,
    /// Transfer rate of the VM's network link. If set, large responses are sent no faster,
    /// so that small messages do not wait behind them.
    #[serde(default, deserialize_with = "number::bit_rate")]
    pub link: Option<BitRate>,
    /// Memory that the process may use. A quarter of it is for large bodies.
    #[serde(default, deserialize_with = "number::size")]
    pub memory: Option<ByteSize>,
    /// Number of threads that run tasks, from 1 to 64; 1 by default.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Service through which the platform publishes the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the platform's service, at least one. After a failed read the node
    /// uses the next one; with an adapter it uses only the first.
    pub addresses: Vec<SocketAddr>,
    /// Key of the rules text. May be empty with an adapter, which defines its own keys.
    #[serde(default)]
    pub key: String,
    /// Name of the adapter for the platform's store. If absent, the node uses the
    /// interface of celeryshore itself: a rules text under `key`.
    #[serde(default)]
    pub adapter: Option<String>,
}

/// Requirements of the platform for requests, in addition to the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettingsTerms {
    /// Factor on the rate that a target states for its cold start; 1 if absent.
    #[serde(default)]
    pub cold_load: Option<f64>,
    /// Additional requests per second during a cold start, rounded down; 0 if absent.
    #[serde(default, deserialize_with = "number::whole")]
    pub cold_slack: Option<u32>,
    /// Retries as a share of first attempts; the service's policy if absent.
    #[serde(default)]
    pub retry_ratio: Option<f64>,
    /// Retries of a service beyond that share, for all nodes together, rounded down. If
    /// absent, there is no limit across nodes.
    #[serde(default, deserialize_with = "number::whole")]
    pub retry_slack: Option<u32>,
    /// Time from the publication of a configuration within which it is in effect on every
    /// node that is not cut off. The shortest of the four bounds applies to the view of a
    /// node, since one view has all kinds of changes; 3 s if none is given.
    #[serde(default, deserialize_with = "number::config_bound")]
    pub config_bound: Option<Duration>,
    /// The same for a target that leaves.
    #[serde(default, deserialize_with = "number::drain_bound")]
    pub drain_bound: Option<Duration>,
    /// The same for a zone that is taken out of service.
    #[serde(default, deserialize_with = "number::outage_bound")]
    pub outage_bound: Option<Duration>,
    /// The same for a key that is withdrawn.
    #[serde(default, deserialize_with = "number::key_bound")]
    pub key_bound: Option<Duration>,
    /// Whether requests that need a key are refused once the view is older than
    /// `key_bound`; otherwise the keys last known apply.
    #[serde(default)]
    pub fail_closed: bool,
    /// Length of the periods in which a quota is enforced; 1 s if absent.
    #[serde(default, deserialize_with = "number::quota_window")]
    pub quota_window: Option<Duration>,
    /// Share by which the requests of a period may exceed the quota; 0 if absent.
    #[serde(default)]
    pub quota_overage: Option<f64>,
    /// Requests of a period beyond that, rounded down; 0 if absent.
    #[serde(default, deserialize_with = "number::whole")]
    pub quota_slack: Option<u32>,
    /// Whether targets keep slots free for urgent kinds.
    #[serde(default)]
    pub urgent_slots: bool,
    /// Whether nodes share reports of targets' loads, and choose among targets at random
    /// by expected finish.
    #[serde(default)]
    pub even_load: bool,
}

/// Node to contact before a configuration lists the others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Address for exchanges and heartbeats.
    pub peer: SocketAddr,
    /// Address for pulls of the configuration (gRPC).
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures after which the node cannot continue.
    Critical,
    /// Failed operations.
    Error,
    /// Problems that the node can handle.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Events of single connections and requests.
    Debug,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not YAML of the expected structure, or has a
    /// value out of range.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_node::Settings;
    ///
    /// assert!(Settings::read("no-such-file.yaml").is_err());
    /// ```
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let text = fs::read_to_string(path).map_err(|err| Error::read(path.into(), err))?;
        text.parse()
    }
}

impl FromStr for Settings {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let settings: Self = serde_yaml_ng::from_str(s)?;
        check::check(&settings)?;
        Ok(settings)
    }
}

fn default_health() -> String {
    DEFAULT_HEALTH_PATH.to_owned()
}

fn default_operators() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), DEFAULT_OPERATORS_PORT)
}

fn default_threads() -> usize {
    1
}
