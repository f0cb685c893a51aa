//! HTTP/1.1 messages on blocking connections.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A message: its first line, its fields in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|v| v.contains("close"))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a message; `None` if the connection ends before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
        let length = message.field("content-length").and_then(|v| v.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65_536];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

/// Encodes a response.
pub fn response(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a caller's request to `mesh.example`.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    request_to("mesh.example", method, path, id, deadline_ms, body)
}

/// Encodes a caller's request.
pub fn request_to(
    host: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nCeleryshore-Request-Id: {id}\r\n\
         Celeryshore-Deadline-Ms: {deadline_ms}\r\n"
    );
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
