//! Requests of callers and their idempotency keys.

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

const CALL_HEADER: &str = "x-call";
const KEY_HEADER: &str = "idempotency-key";
const ATTEMPT_HEADER: &str = "celeryshore-attempt";

/// Idempotency keys by the names that the scenario gives them.
#[derive(Debug, Default)]
pub(super) struct Keys {
    keys: BTreeMap<String, String>,
}

impl Keys {
    /// Returns the key of a name; creates one with the current time if the name is
    /// new.
    pub(super) fn key(&mut self, name: &str, wall: WallTime, rng: &mut fastrand::Rng) -> String {
        let key = self.keys.entry(name.to_owned()).or_insert_with(|| {
            let mut random = [0; 10];
            rng.fill(&mut random);
            let uuid = Builder::from_unix_timestamp_millis(wall.as_millis(), &random);
            uuid.into_uuid().to_string()
        });
        key.clone()
    }

    /// Returns the key of a name, or `None` if no request was sent with it.
    pub(super) fn get(&self, name: &str) -> Option<&String> {
        self.keys.get(name)
    }
}

/// Returns the id of an operation: its key, or one made from the call id.
pub(super) fn operation(call: CallId, key: Option<&str>) -> String {
    key.map_or_else(|| format!("call-{call}"), str::to_owned)
}

/// Returns a request with the id of its operation as the body.
pub(super) fn request(
    call: CallId,
    kind: &str,
    key: Option<&str>,
    attempt: Option<Attempt>,
) -> HttpRequest {
    let mut headers = vec![Header::new(CALL_HEADER, call.to_string())];
    headers.extend(key.map(|key| Header::new(KEY_HEADER, key.to_owned())));
    headers.extend(attempt.map(|n| Header::new(ATTEMPT_HEADER, n.to_string())));
    HttpRequest {
        method: Bytes::from_static(b"POST"),
        host: Bytes::from_static(b"mesh.example"),
        path: format!("/{kind}").into(),
        headers,
        body: operation(call, key).into(),
    }
}

/// Returns the call id from the header of a request.
pub(super) fn call_of(request: &HttpRequest) -> Option<CallId> {
    let value = request.header(CALL_HEADER.as_bytes())?;
    std::str::from_utf8(value).ok()?.parse().ok().map(CallId)
}

/// Returns the operation id from the body of a request.
pub(super) fn operation_of(request: &HttpRequest) -> String {
    String::from_utf8_lossy(&request.body).into_owned()
}

/// Returns `true` if the request is of the at-most-once kind.
pub(super) fn is_at_most_once(request: &HttpRequest) -> bool {
    request.path.starts_with(deployment::AT_MOST_ONCE_PATH)
}

/// Returns the time between two requests at a constant rate.
pub(super) fn interval(per_second: u32) -> Duration {
    Duration::from_secs(1) / per_second.max(1)
}
