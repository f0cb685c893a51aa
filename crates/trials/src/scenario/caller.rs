//! Requests of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::CallId;
use celeryshore_model::Attempt;
use celeryshore_model::Header;
use celeryshore_model::HttpRequest;
use celeryshore_model::WallTime;
use uuid::Builder;

use super::deployment;

const CALL: &str = "x-call";
const KEY: &str = "idempotency-key";
const ATTEMPT: &str = "celeryshore-attempt";

/// Keys by the names that the scenario gives them.
#[derive(Debug, Default)]
pub(super) struct Keys {
    keys: BTreeMap<String, String>,
}

impl Keys {
    /// Returns the key of a name, made now if the name is new.
    pub(super) fn key(&mut self, name: &str, wall: WallTime, rng: &mut fastrand::Rng) -> String {
        let made = self.keys.entry(name.to_owned()).or_insert_with(|| {
            let mut random = [0; 10];
            rng.fill(&mut random);
            let uuid = Builder::from_unix_timestamp_millis(wall.as_millis(), &random);
            uuid.into_uuid().to_string()
        });
        made.clone()
    }

    /// Returns the key of a name, if there is one.
    pub(super) fn get(&self, name: &str) -> Option<&String> {
        self.keys.get(name)
    }
}

/// What tells an operation from others: its key, or else the call.
pub(super) fn operation(call: CallId, key: Option<&str>) -> String {
    key.map_or_else(|| format!("call-{call}"), str::to_owned)
}

/// Makes a request whose body names its operation.
pub(super) fn request(
    call: CallId,
    kind: &str,
    key: Option<&str>,
    attempt: Option<Attempt>,
) -> HttpRequest {
    let mut headers = vec![Header::new(CALL, call.to_string())];
    headers.extend(key.map(|key| Header::new(KEY, key.to_owned())));
    headers.extend(attempt.map(|n| Header::new(ATTEMPT, n.to_string())));
    HttpRequest {
        method: Bytes::from_static(b"POST"),
        host: Bytes::from_static(b"mesh.example"),
        path: format!("/{kind}").into(),
        headers,
        body: operation(call, key).into(),
    }
}

/// Returns the call that a request belongs to.
pub(super) fn call_of(request: &HttpRequest) -> Option<CallId> {
    let value = request.header(CALL.as_bytes())?;
    std::str::from_utf8(value).ok()?.parse().ok().map(CallId)
}

/// Returns the operation that a request names.
pub(super) fn operation_of(request: &HttpRequest) -> String {
    String::from_utf8_lossy(&request.body).into_owned()
}

/// Tells whether a request is of an at-most-once kind.
pub(super) fn is_at_most_once(request: &HttpRequest) -> bool {
    request.path.starts_with(deployment::AT_MOST_ONCE_PATH)
}

/// Returns the time between requests of a steady rate.
pub(super) fn interval(per_second: u32) -> Duration {
    Duration::from_secs(1) / per_second.max(1)
}
