//! TCP relay that cuts, stalls or delays a link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::FromStr;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::Error;
use crate::Query;
use crate::Result;
use crate::Stream;
use crate::executor::spawn;
use crate::server;
use crate::server::Service;
use crate::server::text;

const CHUNK_BYTES: usize = 16 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Treatment of a link's connections.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Keeps connections open but forwards nothing.
    Silent,
    /// Stalls the connections that are open now, and forwards on new ones.
    Forget,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    mode: Mode,
    delay: Duration,
    /// Number of the last connection that forwards nothing more.
    stalled_up_to: u64,
    /// Number of the connection accepted last.
    accepted: u64,
}

/// Relay of several links, each identified by the near address, which it listens
/// on.
///
/// Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    links: Arc<Mutex<HashMap<SocketAddr, Link>>>,
}

impl Relay {
    /// Accepts connections at `near` and forwards them to `far`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't bind the address.
    pub async fn serve_link(self, near: SocketAddr, far: SocketAddr) -> Result<()> {
        let listener = Async::<TcpListener>::bind(near)?;
        self.update_link(near, |_| ());
        loop {
            let (tcp, _) = listener.accept().await?;
            let stream = Stream::new(tcp)?;
            let number = self.update_link(near, |link| {
                link.accepted += 1;
                link.accepted
            });
            spawn(self.clone().relay_connection(near, far, number, stream)).detach();
        }
    }

    /// Serves the control port: `POST /link?near=ADDR&mode=cut&delay=10ms`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't bind the address.
    pub async fn serve_control(self, addr: SocketAddr) -> Result<()> {
        server::serve(addr, Arc::new(self)).await
    }

    fn update_link<T>(&self, near: SocketAddr, update: impl FnOnce(&mut Link) -> T) -> T {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        update(links.entry(near).or_default())
    }

    async fn relay_connection(
        self,
        near: SocketAddr,
        far: SocketAddr,
        number: u64,
        stream: Stream,
    ) {
        if self.update_link(near, |link| link.mode) == Mode::Cut {
            return;
        }
        let Ok(far_stream) = Stream::connect(far).await else {
            return;
        };
        let forward = self.copy(near, number, stream.clone(), far_stream.clone());
        let backward = self.copy(near, number, far_stream, stream);
        forward.or(backward).or(self.wait_until_cut(near)).await;
    }

    async fn wait_until_cut(&self, near: SocketAddr) {
        while self.update_link(near, |link| link.mode) != Mode::Cut {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn copy(&self, near: SocketAddr, number: u64, mut from: Stream, mut to: Stream) {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let Ok(n @ 1..) = from.read(&mut buf).await else {
                return;
            };
            let link = self.update_link(near, |link| *link);
            if link.mode == Mode::Cut {
                return;
            }
            if link.mode == Mode::Silent || number <= link.stalled_up_to {
                std::future::pending::<()>().await;
            }
            if !link.delay.is_zero() {
                Timer::after(link.delay).await;
            }
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}

impl Service for Relay {
    async fn handle(&self, req: Request, _: Stream) -> Result<Response> {
        let query = Query::from_request(&req);
        let near = query.get("near").unwrap_or_default();
        let near = near.parse().map_err(|_| invalid_parameter("near", near))?;
        let mode = query.get("mode").unwrap_or("pass");
        let mode = mode.parse().map_err(|_| invalid_parameter("mode", mode))?;
        let delay = query.duration("delay")?.unwrap_or_default();
        self.update_link(near, |link| {
            link.mode = mode;
            link.delay = delay;
            if mode == Mode::Forget {
                link.stalled_up_to = link.accepted;
            }
        });
        Ok(text(StatusCode::Ok, "changed"))
    }
}

fn invalid_parameter(name: &'static str, found: &str) -> Error {
    Error::Parameter {
        name,
        found: found.to_owned(),
    }
}
