//! HTTP pages for operators, and the readiness page for the platform.
//!
//! `page` holds the responses. `status` renders a short report of the node, `dump` its
//! complete state, `metrics` its counters and `explain` where a request would go. The platform reads the readiness page at a
//! separate port and sends callers to the node only while it is ready.

mod dump;
mod explain;
mod metrics;
mod page;
mod status;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;

use self::dump::dump;
use self::dump::dump_section;
use self::explain::explain;
pub(crate) use self::metrics::Metrics;
use self::page::Page;
use self::status::Status;
use crate::Result;
use crate::callers::Callers;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::net;
use crate::net::Stream;

const LIMITS: MessageLimits = MessageLimits {
    header: ByteSize::new(4 * 1_024),
    body: ByteSize::new(4 * 1_024),
};
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the connections at both ports share.
pub(crate) struct Operators {
    pub(crate) callers: Arc<Callers>,
    pub(crate) metrics: Metrics,
}

/// Pages that a port serves.
#[derive(Clone, Copy)]
pub(crate) enum Pages {
    /// All pages for operators.
    All,
    /// Only the readiness page, at this path.
    Readiness(&'static str),
}

/// Accepts connections until the task is dropped.
pub(crate) async fn listen(operators: Arc<Operators>, listener: Async<TcpListener>, pages: Pages) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        let served = serve(operators.clone(), stream, pages);
        operators.callers.driver.spawn(served);
    }
}

async fn serve(operators: Arc<Operators>, stream: Stream, pages: Pages) {
    let mut conn = Connection::new(stream);
    while let Ok(Next::Read) = serve_one(&operators, &mut conn, pages).await {}
}

/// What to do with a connection after a response.
enum Next {
    Read,
    Close,
}

async fn serve_one(operators: &Operators, conn: &mut Connection, pages: Pages) -> Result<Next> {
    let read = net::timeout(IDLE_TIMEOUT, http::read_request(conn, LIMITS)).await;
    let Some(incoming) = read.ok_or(Protocol::Timeout)?? else {
        return Ok(Next::Close);
    };
    let request = incoming.request;
    let page = match pages {
        Pages::All => page(operators, &request),
        Pages::Readiness(path) if request.path == path => ready_page(operators),
        Pages::Readiness(_) => Page::NotFound,
    };
    let response = HttpResponse::from(page);
    let bytes = http::encode_response(&response, &request.method, incoming.closes).await?;
    let written = net::timeout(IDLE_TIMEOUT, conn.write(&bytes)).await;
    written.ok_or(Protocol::Timeout)??;
    Ok(if incoming.closes {
        Next::Close
    } else {
        Next::Read
    })
}

fn page(operators: &Operators, request: &HttpRequest) -> Page {
    let path = std::str::from_utf8(&request.path).unwrap_or_default();
    let path = path.split('?').next().unwrap_or_default();
    match path {
        "/alive" => Page::text("alive\n"),
        "/ready" => ready_page(operators),
        "/metrics" => Page::text(operators.metrics.render(&operators.callers)),
        "/status" => Page::json(&Status::of(&operators.callers.driver)),
        "/explain" => match explain(&operators.callers.driver, request) {
            Some(explanation) => Page::json(&explanation),
            None => Page::MissingParameter,
        },
        "/dump" => Page::json(&dump(&operators.callers)),
        _ => match path.strip_prefix("/dump/") {
            Some(name) => section_page(operators, name),
            None => Page::NotFound,
        },
    }
}

fn ready_page(operators: &Operators) -> Page {
    if Status::of(&operators.callers.driver).is_ready() {
        return Page::text("ready\n");
    }
    operators
        .callers
        .driver
        .handle(RequestEvent::ReadinessDenied);
    Page::NotReady
}

fn section_page(operators: &Operators, name: &str) -> Page {
    match dump_section(&operators.callers, name) {
        Some(value) => Page::json(&value),
        None => Page::NotFound,
    }
}
