//! The platform's store, as `PROTOCOL.md` has it ("The platform's metadata store").

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Conn;

/// Usual time of an answer, and time for which the store keeps its history.
const ANSWER: Duration = Duration::from_millis(4);
const HISTORY: Duration = Duration::from_secs(20);
/// Time for which a silent store keeps a connection open.
const SILENCE: Duration = Duration::from_secs(3);
/// Most items on a page of a list.
const PAGE: usize = 500;

/// How the store treats the readers at one of its addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Door {
    #[default]
    Open,
    /// Connections are closed without an answer.
    Reset,
    /// Nothing is answered.
    Silent,
    /// Everything is answered with 503.
    Busy,
}

/// What the store does to all its readers just now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mood {
    /// Factor on the time of an answer; 0 counts as 1.
    pub slow: u32,
}

struct Item {
    value: Arc<str>,
    revision: u64,
    created: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// Absent if the item was removed.
    value: Option<Arc<str>>,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision up to which the history was dropped.
    dropped: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    mood: Mood,
    doors: Vec<Door>,
    largest_watch: usize,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store, with one address for each machine.
    pub fn start(addrs: Vec<SocketAddr>) -> Self {
        let doors = vec![Door::Open; addrs.len()];
        let state = State {
            revision: 7,
            doors,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        for (machine, addr) in addrs.into_iter().enumerate() {
            let listener = TcpListener::bind(addr).expect("the store's address is free");
            let served = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = served.clone();
                    thread::spawn(move || store.serve(stream, machine));
                }
            });
        }
        store
    }

    pub fn set_mood(&self, mood: Mood) {
        self.lock().mood = mood;
    }

    pub fn set_door(&self, machine: usize, door: Door) {
        self.lock().doors[machine] = door;
    }

    /// Drops the history.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.dropped = state.revision;
        state.history.clear();
    }

    /// Keys of all items that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Length of the longest answer to a watch so far, in bytes.
    pub fn largest_watch(&self) -> usize {
        self.lock().largest_watch
    }

    /// Writes an item. Its return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(key, Some(http::base64(value).into()));
    }

    /// Removes an item, if it is there. Its return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        if self.lock().items.contains_key(key) {
            self.change(key, None);
        }
    }

    fn change(&self, key: &str, value: Option<Arc<str>>) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        match &value {
            Some(value) => {
                let item = Item {
                    value: value.clone(),
                    revision,
                    created,
                };
                state.items.insert(key.to_owned(), item);
            }
            None => drop(state.items.remove(key)),
        }
        state.history.push_back(Event {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value,
            created,
        });
        while state
            .history
            .front()
            .is_some_and(|e| e.at.elapsed() > HISTORY)
        {
            state.dropped = state.history.pop_front().map_or(0, |e| e.revision);
        }
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, machine: usize) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(request)) = conn.read() {
            let target = request.target().to_owned();
            let door = self.lock().doors[machine];
            match door {
                Door::Open => {}
                Door::Reset => return,
                Door::Silent => return thread::sleep(SILENCE),
                Door::Busy => {
                    let _ = conn.write(&http::response("503 Service Unavailable", "", b""));
                    return;
                }
            }
            let (status, body) = if target.starts_with("/v1/kv-watch") {
                self.watch(&target)
            } else if target.starts_with("/v1/kv-range") {
                ("200 OK", self.range(&target))
            } else {
                ("404 Not Found", "{}".to_owned())
            };
            let slow = self.lock().mood.slow.max(1);
            thread::sleep(ANSWER * slow);
            let fields = "Content-Type: application/json\r\n";
            if conn
                .write(&http::response(status, fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, target: &str) -> String {
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let after = http::parameter(target, "after").unwrap_or_default();
        let state = self.lock();
        let found = state.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<_> = found.by_ref().take(PAGE).collect();
        let has_more = found.next().is_some();
        let items: Vec<_> = items
            .into_iter()
            .map(|(key, i)| written(key, &i.value, i.revision, i.created))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"hasMore":{has_more},"storeRevision":{revision}}}"#)
    }

    /// Answers a watch.
    fn watch(&self, target: &str) -> (&'static str, String) {
        let number = |name| http::parameter(target, name)?.parse::<u64>().ok();
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let start = Instant::now();
        let mut state = self.lock();
        loop {
            if after < state.dropped {
                return ("410 Gone", "{}".to_owned());
            }
            let news = state.history.iter();
            let news = news.filter(|e| e.revision > after && e.key.starts_with(&prefix));
            let events: Vec<_> = news.map(event).collect();
            if !events.is_empty() || start.elapsed() >= wait {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#);
                state.largest_watch = state.largest_watch.max(body.len());
                return ("200 OK", body);
            }
            state = self
                .state
                .1
                .wait_timeout(state, Duration::from_millis(5))
                .unwrap()
                .0;
        }
    }
}

fn written(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"createRevision":{created},"lease":0}}"#
    )
}

fn event(event: &Event) -> String {
    let (key, revision) = (&event.key, event.revision);
    match &event.value {
        Some(value) => written(key, value, revision, event.created),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}
