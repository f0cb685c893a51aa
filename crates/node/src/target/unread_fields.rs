//! Counts of the response fields that nothing in the node reads.
//!
//! A target may state its needs in a field that this version doesn't know. The log and
//! the counts show its name, so that an operator can tell an unread statement from one
//! that was read and had no effect.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use celeryshore_model::Dialect;
use celeryshore_model::HttpResponse;
use serde_json::Value;

/// Number of names that are counted, which bounds the memory and the log lines.
const MAX_NAMES: usize = 32;

/// Number of responses that had an unread field, by its name.
const UNREAD_FIELDS: &str = "celeryshore_target_unread_fields_total";

/// Fields about the content or the message, which a proxy only passes on, and the
/// retry delay, which the node reads under the same name on all platforms.
const COMMON: [&[u8]; 14] = [
    b"age",
    b"cache-control",
    b"content-disposition",
    b"content-encoding",
    b"content-language",
    b"content-type",
    b"date",
    b"etag",
    b"last-modified",
    b"location",
    b"retry-after",
    b"server",
    b"set-cookie",
    b"vary",
];

/// Counts of unread response fields by name.
#[derive(Debug, Default)]
pub(super) struct UnreadFields {
    counts: Mutex<BTreeMap<Bytes, u64>>,
}

impl UnreadFields {
    /// Counts the unread fields of a response. Returns the names that are new.
    pub(super) fn record(&self, dialect: &Dialect, response: &HttpResponse) -> Vec<Bytes> {
        let is_read = |name: &Bytes| {
            COMMON.contains(&name.as_ref()) || dialect.response_fields().any(|n| n == name)
        };
        let unread = response.headers.iter().map(|header| &header.name);
        let mut unread = unread.filter(|name| !is_read(name)).peekable();
        if unread.peek().is_none() {
            return Vec::new();
        }
        let mut new = Vec::new();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        for name in unread {
            if let Some(count) = counts.get_mut(name) {
                *count += 1;
            } else if counts.len() < MAX_NAMES {
                counts.insert(name.clone(), 1);
                new.push(name.clone());
            } else {
                continue;
            }
            let name = String::from_utf8_lossy(name).into_owned();
            metrics::counter!(UNREAD_FIELDS, "field" => name).increment(1);
        }
        new
    }

    /// Returns the counts for the state dump.
    pub(super) fn dump(&self) -> Value {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counts.iter();
        counts
            .map(|(name, count)| {
                let name = String::from_utf8_lossy(name).into_owned();
                (name, Value::from(*count))
            })
            .collect()
    }
}
