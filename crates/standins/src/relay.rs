//! A TCP relay that cuts, silences or delays a link.

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
const POLL: Duration = Duration::from_millis(5);

/// What a link does with its connections.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Mode {
    /// Passes all bytes.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Keeps connections open and passes nothing.
    Silent,
    /// Silences the connections that are open now; new ones pass.
    Forget,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    mode: Mode,
    delay: Duration,
    forgotten: u64,
    opened: u64,
}

/// A relay with links, each from its own address to the far end's address.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    links: Arc<Mutex<HashMap<SocketAddr, Link>>>,
}

impl Relay {
    /// Serves one link.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn link(self, near: SocketAddr, far: SocketAddr) -> Result<()> {
        let listener = Async::<TcpListener>::bind(near)?;
        self.change(near, |_| ());
        loop {
            let (tcp, _) = listener.accept().await?;
            let stream = Stream::new(tcp)?;
            let number = self.change(near, |link| {
                link.opened += 1;
                link.opened
            });
            spawn(self.clone().carry(near, far, number, stream)).detach();
        }
    }

    /// Serves the control port: `POST /link?near=ADDR&mode=cut&delay=10ms`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn control(self, addr: SocketAddr) -> Result<()> {
        server::serve(addr, Arc::new(self)).await
    }

    fn change<T>(&self, near: SocketAddr, change: impl FnOnce(&mut Link) -> T) -> T {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        change(links.entry(near).or_default())
    }

    async fn carry(self, near: SocketAddr, far: SocketAddr, number: u64, stream: Stream) {
        if self.change(near, |link| link.mode) == Mode::Cut {
            return;
        }
        let Ok(other) = Stream::connect(far).await else {
            return;
        };
        let there = self.copy(near, number, stream.clone(), other.clone());
        let back = self.copy(near, number, other, stream);
        there.or(back).or(self.cut(near)).await;
    }

    async fn cut(&self, near: SocketAddr) {
        while self.change(near, |link| link.mode) != Mode::Cut {
            Timer::after(POLL).await;
        }
    }

    async fn copy(&self, near: SocketAddr, number: u64, mut from: Stream, mut to: Stream) {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let Ok(n @ 1..) = from.read(&mut buf).await else {
                return;
            };
            let link = self.change(near, |link| *link);
            if link.mode == Mode::Cut {
                return;
            }
            if link.mode == Mode::Silent || number <= link.forgotten {
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
    async fn answer(&self, req: Request, _: Stream) -> Result<Response> {
        let query = Query::of(&req);
        let near = query.get("near").unwrap_or_default();
        let near = near.parse().map_err(|_| parameter("near", near))?;
        let mode = query.get("mode").unwrap_or("pass");
        let mode = mode.parse().map_err(|_| parameter("mode", mode))?;
        let delay = query.duration("delay")?.unwrap_or_default();
        self.change(near, |link| {
            link.mode = mode;
            link.delay = delay;
            if mode == Mode::Forget {
                link.forgotten = link.opened;
            }
        });
        Ok(text(StatusCode::Ok, "changed"))
    }
}

fn parameter(name: &'static str, found: &str) -> Error {
    Error::Parameter {
        name,
        found: found.to_owned(),
    }
}
