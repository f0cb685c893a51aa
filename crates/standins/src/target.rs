//! Stand-in for a target: an HTTP service with a limited number of concurrent
//! requests and a cold start.
//!
//! `state` decides which requests run and keeps the counts, `settings` holds the
//! limits, and `control` serves the control port.

mod control;
mod settings;
mod state;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

pub use self::control::Control;
pub use self::settings::Settings;
use self::state::Admission;
pub use self::state::Counts;
use self::state::State;
use crate::Error;
use crate::Result;
use crate::Stream;
use crate::executor::spawn;
use crate::server;
use crate::server::Service;
use crate::server::text;

const CRASH_HEADER: &str = "x-crash";
const DEADLINE_HEADER: &str = "celeryshore-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const NOT_RUN_HEADER: &str = "x-not-run";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_AFTER_SECONDS: &str = "1";

/// Target at one address.
///
/// Clones share their state.
#[derive(Clone, Debug)]
pub struct Target {
    addr: SocketAddr,
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
}

impl Target {
    /// Creates a target in a cold start.
    #[must_use]
    pub fn new(addr: SocketAddr, settings: Arc<Settings>) -> Self {
        let state = State::new(addr, settings.clone());
        Self {
            addr,
            settings,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state().counts()
    }

    /// Serves requests, and restarts the server after each crash.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't bind the address.
    pub async fn serve(self) -> Result<()> {
        loop {
            let stopped = async {
                self.wait_while(|state| !state.is_down()).await;
                Ok(())
            };
            self.accept().or(stopped).await?;
            self.wait_while(State::is_down).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_while(&self, condition: impl Fn(&State) -> bool) {
        while condition(&self.state()) {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    // Dropping the future closes the listener and all connections.
    async fn accept(&self) -> Result<()> {
        let listener = Async::<TcpListener>::bind(self.addr)?;
        let mut connections: Vec<Task<()>> = Vec::new();
        loop {
            let (tcp, _) = listener.accept().await?;
            connections.retain(|task| !task.is_finished());
            if connections.len() >= self.settings.connections {
                continue;
            }
            let stream = Stream::new(tcp)?;
            let connection = Connection {
                generation: self.state().generation(),
                target: self.clone(),
            };
            connections.push(spawn(server::serve_connection(
                stream,
                Arc::new(connection),
            )));
        }
    }
}

/// Service of one connection, which stalls once `generation` is out of date.
#[derive(Debug)]
struct Connection {
    target: Target,
    generation: u64,
}

impl Service for Connection {
    async fn handle(&self, mut req: Request, stream: Stream) -> Result<Response> {
        if self.target.state().is_down() {
            return Err(Error::Timeout);
        }
        if self.generation < self.target.state().generation() {
            std::future::pending::<()>().await;
        }
        match req.url().path() {
            "/health" => return Ok(self.health()),
            "/load" => return server::json(&self.target.state().load()),
            _ => (),
        }
        let body = req.body_bytes().await?;
        let admission = self.target.state().admit(idempotency_key(&req));
        match admission {
            Admission::Shed => Ok(shed_response()),
            Admission::Overloaded => Ok(text(StatusCode::InternalServerError, "overloaded")),
            Admission::Accepted if req.header(CRASH_HEADER).is_some() => {
                self.target.state().crash();
                Err(Error::Timeout)
            }
            Admission::Accepted => self.run(&req, &body, stream).await,
        }
    }
}

impl Connection {
    async fn run(&self, req: &Request, body: &[u8], stream: Stream) -> Result<Response> {
        let mut guard = RunGuard {
            target: &self.target,
            finished: false,
        };
        let work = async {
            let time = self.target.state().service_time(req.url().path());
            Timer::after(time).await;
            Ok(())
        };
        let disconnected = async {
            stream.wait_until_closed().await;
            Err(Error::Timeout)
        };
        let expired = async {
            Timer::after(deadline(req)?).await;
            Err(Error::Timeout)
        };
        work.or(disconnected).or(expired).await?;
        guard.finished = true;
        drop(guard);
        let echo = json!({
            "key": idempotency_key(req),
            "path": req.url().path(),
            "target": self.target.addr,
            "body": String::from_utf8_lossy(body),
        });
        if self.target.state().take_duplicate() {
            spawn(send_duplicate(stream, echo.to_string())).detach();
        }
        server::json(&echo)
    }

    fn health(&self) -> Response {
        let phase = self.target.state().reported_phase();
        let status = match phase {
            "warm" => StatusCode::Ok,
            _ => StatusCode::ServiceUnavailable,
        };
        let mut res = text(status, &json!({ "phase": phase }).to_string());
        res.set_content_type(http_types::mime::JSON);
        res
    }
}

fn idempotency_key(req: &Request) -> Option<&str> {
    Some(req.header(KEY_HEADER)?.last().as_str())
}

fn deadline(req: &Request) -> Result<Duration> {
    let Some(value) = req.header(DEADLINE_HEADER) else {
        return Ok(Duration::MAX);
    };
    let millis = value.last().as_str().parse();
    let millis = millis.map_err(|_| Error::Parameter {
        name: DEADLINE_HEADER,
        found: value.last().to_string(),
    })?;
    Ok(Duration::from_millis(millis))
}

fn shed_response() -> Response {
    let mut res = text(StatusCode::ServiceUnavailable, "shed");
    res.insert_header(NOT_RUN_HEADER, "1");
    res.insert_header("retry-after", RETRY_AFTER_SECONDS);
    res
}

// Sends a response a second time, so that the client may take it for the response
// to the next request on the connection.
async fn send_duplicate(mut stream: Stream, body: String) {
    Timer::after(POLL_INTERVAL).await;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = stream.write_all((head + &body).as_bytes()).await;
}

/// Marks a running request as ended when dropped, also on cancellation.
struct RunGuard<'a> {
    target: &'a Target,
    finished: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.target.state().end_request(self.finished);
    }
}
