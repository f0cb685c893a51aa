//! Warnings about valid snapshots that operators may not have intended.

use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;
use derive_more::Display;
use serde::Serialize;

/// Property of a valid snapshot that operators may not have intended.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warning {
    /// Every upstream of a service is out of service.
    #[display("service {_0}: every upstream is out of service, so its requests are refused")]
    #[serde(rename = "no-upstream-in")]
    AllUpstreamsOutOfService(ServiceName),
}

/// Returns the warnings about a snapshot.
///
/// Taking the last zone of a service out of service is valid. Operators may
/// intend it, for example to stop a harmful service, and a zone that is out of
/// service must not receive new requests, even if they are refused as a result.
/// Rejecting the text would also block all its other rules.
///
/// # Example
///
/// ```
/// use celeryshore_model::Index;
///
/// let text = "\
/// epoch 1  # ops
/// zone a region=r  # ops
/// service s slots=1 connections=1  # ops
/// kind s/k semantics=idempotent deadline=1s  # ops
/// upstream u service=s zone=a vm=vm-1 peer=10.0.0.1:1 control=10.0.0.1:2  # ops
/// route r path=/ service=s kind=k  # ops
/// out zone=a  # ops
/// ";
/// let snapshot = celeryshore_rules::from_str(text, Index(1))?;
/// assert_eq!(celeryshore_rules::warnings(&snapshot).len(), 1);
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[must_use]
pub fn warnings(snapshot: &Snapshot) -> Vec<Warning> {
    let services = snapshot.services.values();
    let stopped = services.filter(|service| {
        let mut upstreams = service.upstreams.iter();
        let all_out = upstreams.all(|name| snapshot.is_out_of_service(&snapshot.upstreams[name]));
        !service.upstreams.is_empty() && all_out
    });
    stopped
        .map(|service| Warning::AllUpstreamsOutOfService(service.name.clone()))
        .collect()
}
