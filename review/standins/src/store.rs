//! The platform's store, as `PROTOCOL.md` has it: `kv-key`, `kv-range` and `kv-watch`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;

/// History that the store keeps ("20 s of history").
const HISTORY: Duration = Duration::from_secs(20);
/// Time of an answer ("4 ms an answer").
const LATENCY: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Event {
    at: Instant,
    revision: u64,
    key: String,
    json: Arc<str>,
}

struct State {
    revision: u64,
    /// Items by key: their JSON and its size before Base64.
    items: BTreeMap<String, (Arc<str>, usize, u64)>,
    events: VecDeque<Event>,
    /// Changes up to this revision are no longer in the history.
    dropped: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("the store's port is free");
        let store = Arc::new(Self {
            addr,
            state: Mutex::new(State {
                revision: 1,
                items: BTreeMap::new(),
                events: VecDeque::new(),
                dropped: 1,
            }),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let encoded = base64(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let json: Arc<str> = format!(
            r#"{{"key":"{key}","value":"{encoded}","revision":{revision},"createRevision":{created},"lease":0}}"#
        )
        .into();
        let item = (json.clone(), value.len(), created);
        state.items.insert(key.to_owned(), item);
        state.record(key, json);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Connection::new(stream);
        while let Ok(Some(request)) = conn.read() {
            let (status, body) = self.answer(request.path());
            let fields = [("content-type", "application/json".to_owned())];
            thread::sleep(LATENCY);
            if conn
                .write(&http::response(status, &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/kv-range" => self.range(&text("prefix"), &text("after")),
            "/v1/kv-watch" => self.watch(
                &text("prefix"),
                text("after").parse().unwrap_or(0),
                text("waitMs").parse().unwrap_or(0),
            ),
            _ => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let rest = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let rest = rest.filter(|(key, _)| key.as_str() > after);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (_, (json, size, _)) in rest {
            if items.len() == PAGE_ITEMS || (!items.is_empty() && bytes + size > PAGE_BYTES) {
                has_more = true;
                break;
            }
            items.push(json.as_ref());
            bytes += size;
        }
        let items = items.join(",");
        let revision = state.revision;
        let body =
            format!(r#"{{"items":[{items}],"hasMore":{has_more},"storeRevision":{revision}}}"#);
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            if after < state.dropped {
                return (410, String::new());
            }
            let events = state.events.iter().filter(|event| event.revision > after);
            let events: Vec<&str> = events
                .filter(|event| event.key.starts_with(prefix))
                .map(|event| event.json.as_ref())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#);
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn record(&mut self, key: &str, json: Arc<str>) {
        self.events.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            json,
        });
        self.expire();
    }

    fn expire(&mut self) {
        while self
            .events
            .front()
            .is_some_and(|e| e.at.elapsed() > HISTORY)
        {
            if let Some(event) = self.events.pop_front() {
                self.dropped = event.revision;
            }
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        let bits = bits << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { digit.into() } else { '=' });
        }
    }
    out
}
