//! Overload in a cold start, cancelled requests and crashes of a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use celeryshore_standins::Result;
use celeryshore_standins::client::Client;
use celeryshore_standins::executor;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::loopback;
use celeryshore_standins::target::Settings;
use celeryshore_standins::target::Target;
use http_types::Method;
use http_types::Request;

const TIMEOUT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn start(port: u16, settings: Settings) -> (Target, SocketAddr) {
    let addr = loopback(0, port);
    let target = Target::new(addr, Arc::new(settings));
    spawn(target.clone().serve()).detach();
    (target, addr)
}

fn order(client: &Client, key: &str) -> Request {
    let mut req = client.request(Method::Post, "/orders");
    req.insert_header("idempotency-key", key);
    req
}

#[test]
fn cold_overload() {
    let settings = Settings {
        service_time: SERVICE_TIME,
        ..Settings::default()
    };
    let check = async {
        let (target, addr) = start(7_011, settings);
        Timer::after(PAUSE).await;
        let mut client = Client::new(addr, TIMEOUT);
        let first = spawn(async move { client.send(order(&client, "a")).await });
        Timer::after(PAUSE / 2).await;
        let mut client = Client::new(addr, TIMEOUT);
        let second = client.send(order(&client, "b")).await?;
        assert_eq!(second.status, 500);
        assert_eq!(first.await?.status, 200);
        let counts = target.counts();
        assert_eq!((counts.fallen, counts.peak_cold, counts.started), (1, 2, 1));
        assert_eq!(counts.runs.get("a"), Some(&1));
        Result::Ok(())
    };
    executor::run(1, check).expect("the target responds");
}

#[test]
fn cancelled_run() {
    let settings = Settings {
        service_time: SERVICE_TIME,
        ..Settings::default()
    };
    let check = async {
        let (target, addr) = start(7_012, settings);
        Timer::after(PAUSE).await;
        let mut client = Client::new(addr, PAUSE / 2);
        assert!(client.send(order(&client, "a")).await.is_err());
        Timer::after(PAUSE).await;
        assert_eq!((target.counts().running, target.counts().cut), (0, 1));
    };
    executor::run(1, check);
}

#[test]
fn crashing_request() {
    let settings = Settings {
        crash_time: PAUSE,
        ..Settings::default()
    };
    let check = async {
        let (target, addr) = start(7_013, settings);
        Timer::after(PAUSE).await;
        let mut client = Client::new(addr, TIMEOUT);
        let mut poison = order(&client, "a");
        poison.insert_header("x-crash", "1");
        assert!(client.send(poison).await.is_err());
        assert!(client.send(order(&client, "b")).await.is_err());
        Timer::after(4 * PAUSE).await;
        assert_eq!(client.send(order(&client, "b")).await?.status, 200);
        assert_eq!(target.counts().crashes, 1);
        Result::Ok(())
    };
    executor::run(1, check).expect("the target restarts after the crash");
}
