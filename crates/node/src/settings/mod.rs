//! What a node reads when it starts.

mod check;
mod limits;
mod port;

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use celeryshore_model::ServiceName;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use serde::Deserialize;

pub use self::limits::SettingsLimits;
pub use self::port::PortName;
use crate::Error;
use crate::Result;

const DEFAULT_HEALTH: &str = "/health";
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
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Where callers connect (HTTP/1.1).
    pub callers: SocketAddr,
    /// Where peers connect (TCP) and send heartbeats (UDP).
    pub peer: SocketAddr,
    /// Where peers read the configuration (gRPC).
    pub control: SocketAddr,
    /// Where operators connect (HTTP/1.1).
    #[serde(default = "default_operators")]
    pub operators: SocketAddr,
    /// The VM's target (HTTP/1.1).
    pub target: SocketAddr,
    /// Path at which the target tells its phase.
    #[serde(default = "default_health")]
    pub health: String,
    /// Where the platform asks whether callers may be sent here, if it does.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Service of the VM, where targets are told the service of their callers.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Availability zones with their regions, where the platform does not
    /// publish them.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, ZoneName>,
    /// What the platform demands of requests.
    #[serde(default)]
    pub terms: SettingsTerms,
    /// The platform's service.
    pub platform: PlatformSettings,
    /// Nodes to ask first, before a configuration lists the others.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log: LogLevel,
    /// Bounds at the callers' port.
    #[serde(default)]
    pub limits: SettingsLimits,
    /// Threads that run tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Where the platform publishes the rules.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the platform's service; any of them will do.
    pub addresses: Vec<SocketAddr>,
    /// Key of the rules text; empty with an adapter, which knows its keys.
    #[serde(default)]
    pub key: String,
    /// Name of the adapter by which the platform is met; the product's own
    /// interface if absent.
    #[serde(default)]
    pub adapter: Option<String>,
}

/// What the platform demands of requests, beyond the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettingsTerms {
    /// Times the rate that a target in cold start bears by its own account.
    #[serde(default)]
    pub cold_load: Option<f64>,
    /// Requests in a second that it may get beyond that.
    #[serde(default)]
    pub cold_slack: Option<u32>,
    /// Retries as a share of first attempts.
    #[serde(default)]
    pub retry_ratio: Option<f64>,
    /// Retries of a service beyond that share, for all nodes together.
    #[serde(default)]
    pub retry_slack: Option<u32>,
}

/// A node to ask first.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Address for hand-overs and heartbeats.
    pub peer: SocketAddr,
    /// Address for the configuration, where it is pulled by gRPC.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// The node cannot go on.
    Critical,
    /// Something failed.
    Error,
    /// Something is wrong, and the node copes.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Each connection and request.
    Debug,
}

impl Settings {
    /// Reads and judges a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or for the reasons of [`Self::from_str`].
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
    DEFAULT_HEALTH.to_owned()
}

fn default_operators() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), DEFAULT_OPERATORS_PORT)
}

fn default_threads() -> usize {
    1
}
