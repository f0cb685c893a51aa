//! Log output: limited in rate, and without effect on requests if it is not read.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::Caller;
use crate::support::FakeServer;
use crate::support::Vm;
use crate::support::call;
use crate::support::read_message;
use crate::support::reply_ok;

/// Lines about requests that a node logs per second.
const LINES_PER_SECOND: usize = 20;
/// Lower bound on the content of a full pipe, whose last page may be partly filled.
const PIPE_BYTES: u64 = 60 * 1_024;
/// Malformed datagrams, each logged, whose lines fill a pipe and the logger's queue.
const DATAGRAMS: usize = 4_000;
/// Datagrams that the socket and the logger's queue can hold at once.
const BATCH: usize = 64;

/// Starts a node and waits until it has a configuration. Returns its process and the
/// number of requests that it refused meanwhile, each of which it logs.
fn start(vm: Vm, log: &str) -> (Child, usize) {
    support::start_platform(vm, support::rules(&[vm]));
    let path = format!("{}/log-{log}-{vm:?}.yaml", env!("CARGO_TARGET_TMPDIR"));
    let settings = support::settings(vm, vm, &format!("log: {log}\n"));
    std::fs::write(&path, settings).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_celeryshore"))
        .args(["--settings", &path])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    support::wait_for(|| TcpStream::connect(vm.callers()).is_ok());
    let mut refused = 0;
    support::wait_for(|| {
        refused += 1;
        call(vm.callers(), "GET", "/none", "").reason() == Some("no-route")
    });
    (process, refused)
}

fn terminate(process: &Child) {
    let kill = Command::new("kill").arg(process.id().to_string()).status();
    assert!(kill.unwrap().success());
}

/// Returns the number of lines that were suppressed before a line.
fn suppressed(line: &str) -> usize {
    let (_, rest) = line
        .split_once("left_out: ")
        .expect("number of suppressed lines");
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    digits.unwrap().parse().unwrap()
}

#[test]
fn many_failures() {
    let vm = Vm::next();
    FakeServer::start(vm.target(), |mut stream| {
        let _ = read_message(&mut stream);
    });
    let (mut process, refused) = start(vm, "info");
    let stdout = BufReader::new(process.stdout.take().unwrap());
    let start_time = Instant::now();
    let failures = 20 * LINES_PER_SECOND;
    for _ in 0..failures {
        call(vm.callers(), "POST", "/orders", "");
    }
    let seconds = usize::try_from(start_time.elapsed().as_secs()).unwrap() + 2;
    thread::sleep(Duration::from_millis(1_100));
    call(vm.callers(), "POST", "/orders", "");
    terminate(&process);
    assert!(process.wait().unwrap().success());
    let lines = stdout.lines().map_while(Result::ok);
    let lines: Vec<_> = lines.collect();
    let work = lines.iter().filter(|l| l.contains("work: ")).count();
    assert!((1..=seconds).contains(&work), "{work} work lines");
    let lines: Vec<_> = lines.iter().filter(|l| l.contains("requests: ")).collect();
    assert!(lines.len() <= seconds * LINES_PER_SECOND, "{}", lines.len());
    // The last second may have too few failures for any line to be suppressed.
    let suppressed: usize = lines.iter().map(|line| suppressed(line)).sum();
    assert!(suppressed > 0, "{lines:?}");
    assert_eq!(lines.len() + suppressed, refused + failures + 1);
}

#[test]
fn stalled_pipe() {
    let vm = Vm::next();
    FakeServer::target(vm, |_| reply_ok("whole"));
    let (mut process, _) = start(vm, "debug");
    let socket = UdpSocket::bind((vm.peer().ip(), 0)).unwrap();
    for i in 0..DATAGRAMS {
        socket.send_to(b"stray", vm.peer()).unwrap();
        if i.is_multiple_of(BATCH) {
            thread::sleep(Duration::from_millis(5));
        }
    }
    let start_time = Instant::now();
    for _ in 0..20 {
        assert_eq!(call(vm.callers(), "GET", "/stock", "").body, "whole");
    }
    assert!(
        start_time.elapsed() < Duration::from_secs(2),
        "requests were delayed"
    );
    terminate(&process);
    support::wait_for(|| process.try_wait().unwrap().is_some());
    let mut stdout = process.stdout.take().unwrap();
    let read = std::io::copy(&mut stdout, &mut std::io::sink()).unwrap();
    assert!(read >= PIPE_BYTES, "the pipe was not full: {read} bytes");
}

#[test]
fn closed_pipe() {
    let vm = Vm::next();
    FakeServer::start(vm.target(), |mut stream| {
        let _ = read_message(&mut stream);
    });
    let (mut process, _) = start(vm, "info");
    drop(process.stdout.take());
    for _ in 0..2 * LINES_PER_SECOND {
        assert_eq!(call(vm.callers(), "POST", "/orders", "").status(), 502);
    }
    terminate(&process);
    assert!(process.wait().unwrap().success());
    let mut stderr = String::new();
    let mut pipe = process.stderr.take().unwrap();
    pipe.read_to_string(&mut stderr).unwrap();
    assert_eq!(stderr, "", "a task panicked");
}

/// A drain that goes on says what it waits for.
#[test]
fn long_drain() {
    let vm = Vm::next();
    FakeServer::start(vm.target(), |mut stream| {
        let _ = read_message(&mut stream);
        thread::sleep(support::TEST_TIMEOUT);
    });
    let (mut process, _) = start(vm, "info");
    let stdout = BufReader::new(process.stdout.take().unwrap());
    let mut caller = Caller::connect(vm.callers());
    caller.send("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(Duration::from_millis(50));
    terminate(&process);
    assert!(process.wait().unwrap().success());
    let lines: Vec<_> = stdout.lines().map_while(Result::ok).collect();
    let waits = lines.iter().filter(|l| l.contains("still draining"));
    let waits: Vec<_> = waits.collect();
    assert!(
        waits.iter().any(|l| l.contains("connections: 1")),
        "{lines:?}"
    );
}
