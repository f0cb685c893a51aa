//! Validation of the ranges and combinations of values.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::ByteSize;

use crate::Error;
use crate::Result;
use crate::Settings;
use crate::settings::PortName;

/// Longest header that the HTTP codec can read.
const MAX_HEADER: ByteSize = ByteSize::new(8 * 1_024 - 1);
const MAX_BODY: ByteSize = ByteSize::new(64 * 1_024 * 1_024);
const MAX_THREADS: usize = 64;
const MAX_FACTOR: f64 = 1_000.0;
const MIN_TERM: Duration = Duration::from_millis(500);
const MAX_TERM: Duration = Duration::from_mins(1);

/// Validates settings that have been deserialized.
pub(super) fn check(settings: &Settings) -> Result<()> {
    check_addresses(settings)?;
    check_limits(settings)?;
    check_terms(settings)?;
    if settings.platform.addresses.is_empty() {
        return Err(Error::invalid_value(
            "platform.addresses",
            "at least one address",
        ));
    }
    if let Some(name) = &settings.platform.adapter {
        if celeryshore_kernel::find_adapter(name).is_none() {
            return Err(Error::invalid_value(
                "platform.adapter",
                "the name of a built-in adapter",
            ));
        }
    } else if settings.platform.key.is_empty() {
        return Err(Error::invalid_value(
            "platform.key",
            "the key of the rules text",
        ));
    }
    if settings.threads == 0 || settings.threads > MAX_THREADS {
        return Err(Error::invalid_value("threads", "a number from 1 to 64"));
    }
    Ok(())
}

fn check_addresses(settings: &Settings) -> Result<()> {
    let ports = [
        (PortName::Callers, settings.callers),
        (PortName::Peer, settings.peer),
        (PortName::Control, settings.control),
        (PortName::Operators, settings.operators),
        (PortName::Target, settings.target),
    ];
    let ready = settings.ready.map(|addr| (PortName::Ready, addr));
    let ports: Vec<_> = ports.into_iter().chain(ready).collect();
    for (i, (left, addr)) in ports.iter().enumerate() {
        let conflict = ports[i + 1..]
            .iter()
            .find(|(_, other)| conflicts(*addr, *other));
        if let Some((right, _)) = conflict {
            return Err(Error::address_conflict(*left, *right, *addr));
        }
    }
    Ok(())
}

/// Returns `true` if two addresses cannot be bound at the same time. Port 0 stands for
/// any free port and conflicts with none.
fn conflicts(left: SocketAddr, right: SocketAddr) -> bool {
    let is_wildcard = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && (is_wildcard || left.ip() == right.ip())
}

fn check_terms(settings: &Settings) -> Result<()> {
    let terms = &settings.terms;
    let factors = [
        ("terms.cold_load", terms.cold_load),
        ("terms.retry_ratio", terms.retry_ratio),
        ("terms.quota_overage", terms.quota_overage),
    ];
    for (key, factor) in factors {
        if factor.is_some_and(|f| !(0.0..=MAX_FACTOR).contains(&f)) {
            return Err(Error::invalid_value(key, "a factor from 0 to 1000"));
        }
    }
    let durations = [
        ("terms.config_bound", terms.config_bound),
        ("terms.drain_bound", terms.drain_bound),
        ("terms.outage_bound", terms.outage_bound),
        ("terms.key_bound", terms.key_bound),
        ("terms.quota_window", terms.quota_window),
    ];
    for (key, duration) in durations {
        if duration.is_some_and(|d| !(MIN_TERM..=MAX_TERM).contains(&d)) {
            return Err(Error::invalid_value(key, "a time from 500ms to 60s"));
        }
    }
    if terms.fail_closed && terms.key_bound.is_none() {
        return Err(Error::invalid_value(
            "terms.key_bound",
            "a time, because terms.fail_closed is true",
        ));
    }
    Ok(())
}

fn check_limits(settings: &Settings) -> Result<()> {
    let limits = &settings.limits;
    if limits.header.get() == 0 || limits.header.get() > MAX_HEADER.get() {
        return Err(Error::invalid_value(
            "limits.header",
            "a size from 1B to 8191B",
        ));
    }
    if limits.body.get() > MAX_BODY.get() {
        return Err(Error::invalid_value(
            "limits.body",
            "a size of at most 64MiB",
        ));
    }
    if limits.connections == 0 {
        return Err(Error::invalid_value(
            "limits.connections",
            "at least one connection",
        ));
    }
    if limits.idle.is_zero() {
        return Err(Error::invalid_value("limits.idle", "a time such as 30s"));
    }
    Ok(())
}
