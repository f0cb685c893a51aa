//! Caller that sends raw bytes to a node.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use crate::support::TEST_TIMEOUT;
use crate::support::read_message;

/// HTTP response as text.
#[derive(Debug)]
pub struct Response {
    pub head: String,
    pub body: String,
}

impl Response {
    pub fn status(&self) -> u16 {
        let code = self.head.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.into_iter().find(|(n, _)| *n == name).map(|f| f.1)
    }

    pub fn outcome(&self) -> Option<&str> {
        self.header("celeryshore-outcome")
    }

    pub fn reason(&self) -> Option<&str> {
        self.header("celeryshore-reason")
    }
}

/// Connection of a caller to a node.
pub struct Caller {
    pub stream: TcpStream,
}

impl Caller {
    pub fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self { stream }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    /// Reads one response; returns `None` if the node closes the connection before its
    /// end.
    pub fn receive(&mut self) -> Option<Response> {
        let (head, body) = read_message(&mut self.stream)?;
        Some(Response {
            head,
            body: String::from_utf8(body).unwrap(),
        })
    }

    /// Waits until the node closes the connection; returns `false` if it sends bytes
    /// first. A failed read counts as closed, also if it timed out.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// Sends one request on a new connection and returns its response.
pub fn call(node: SocketAddr, method: &str, path: &str, body: &str) -> Response {
    let mut caller = Caller::connect(node);
    let length = body.len();
    caller.send(format!(
        "{method} {path} HTTP/1.1\r\nhost: mesh\r\ncontent-length: {length}\r\n\r\n{body}"
    ));
    caller.receive().expect("a response")
}
