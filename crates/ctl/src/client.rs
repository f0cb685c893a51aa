//! Questions to nodes on their operators' port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use serde::de::DeserializeOwned;

use crate::Category;
use crate::Result;

const MAX_BODY_BYTES: u64 = 64 * 1_024 * 1_024;

/// Nodes that are asked at one time.
const PARALLEL: usize = 32;

/// Asks several nodes at one time, and returns their answers in order.
pub(crate) fn ask_all<T>(nodes: &[SocketAddr], path: &str, timeout: Duration) -> Vec<Result<T>>
where
    T: DeserializeOwned + Send,
{
    let mut answers = Vec::with_capacity(nodes.len());
    for chunk in nodes.chunks(PARALLEL) {
        std::thread::scope(|scope| {
            let asked = chunk.iter().map(|node| {
                let node = *node;
                scope.spawn(move || ask(node, path, timeout))
            });
            let asked: Vec<_> = asked.collect();
            for (thread, node) in asked.into_iter().zip(chunk) {
                let answer = thread.join();
                answers.push(answer.unwrap_or_else(|_| Err(no_answer(*node))));
            }
        });
    }
    answers
}

/// Asks one node.
pub(crate) fn ask<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T> {
    let answer = async_io::block_on(within(timeout, get(node, path)));
    let body = answer.map_err(|source| no_answer(node).because(source))?;
    serde_json::from_slice(&body).map_err(|err| no_answer(node).because(err))
}

fn no_answer(node: SocketAddr) -> crate::Error {
    crate::Error::new(Category::Node, node.to_string())
}

async fn within<T>(timeout: Duration, answer: impl Future<Output = Answer<T>>) -> Answer<T> {
    let expiry = async {
        Timer::after(timeout).await;
        Err(Failure::TimedOut)
    };
    answer.or(expiry).await
}

type Answer<T> = std::result::Result<T, Failure>;

/// Why a node gave no answer.
#[derive(Debug, Display, Error, From)]
enum Failure {
    #[display("no answer in time")]
    #[from(skip)]
    TimedOut,
    #[display("status {_0}")]
    #[from(skip)]
    #[error(ignore)]
    Status(StatusCode),
    #[display("connection failed")]
    Connection(io::Error),
    #[display("{_0}")]
    #[error(ignore)]
    Http(http_types::Error),
}

async fn get(node: SocketAddr, path: &str) -> Answer<Vec<u8>> {
    let stream = Async::<TcpStream>::connect(node).await?;
    let url = format!("http://{node}{path}");
    let request = Request::new(Method::Get, url.as_str());
    let mut answer = async_h1::connect(stream, request).await?;
    if !answer.status().is_success() {
        return Err(Failure::Status(answer.status()));
    }
    let mut body = Vec::new();
    let mut bounded = answer.take_body().take(MAX_BODY_BYTES);
    bounded.read_to_end(&mut body).await?;
    Ok(body)
}
