//! Fake servers that respond with raw bytes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use crate::support::Vm;

/// Server that runs a function for each connection, in a thread of its own.
#[derive(Clone, Debug, Default)]
pub struct FakeServer {
    connections: Arc<AtomicUsize>,
}

impl FakeServer {
    pub fn start(addr: SocketAddr, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind(addr).unwrap();
        let fake = Self::default();
        let connections = fake.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        fake
    }

    /// Starts a target that responds with the result of `answer` for a request's header.
    /// An empty result closes the connection.
    pub fn target(vm: Vm, answer: impl Fn(&str) -> Vec<u8> + Clone + Send + 'static) -> Self {
        Self::start(vm.target(), move |mut stream| {
            while let Some((head, _)) = read_message(&mut stream) {
                let answer = answer(&head);
                if stream.write_all(&answer).is_err() || answer.is_empty() {
                    return;
                }
            }
        })
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Returns an HTTP response with status 200.
pub fn reply_ok(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

/// Starts a platform that publishes one rules text. Reads that wait for a later version
/// get no response.
pub fn start_platform(vm: Vm, rules: String) -> FakeServer {
    FakeServer::start(vm.platform(), move |mut stream| {
        while let Some((head, _)) = read_message(&mut stream) {
            if head.contains("index=") {
                let _ = stream.read(&mut [0]);
                return;
            }
            let length = rules.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-consul-index: 7\r\ncontent-length: {length}\r\n\r\n{rules}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    })
}

/// Reads an HTTP header and a body of the length it states; returns `None` if the
/// connection ends first.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}
