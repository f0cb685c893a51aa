//! Reads, blocking queries, faults and call counts of the platform.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_standins::Result;
use celeryshore_standins::client::Client;
use celeryshore_standins::executor;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::loopback;
use celeryshore_standins::platform::CallCounts;
use celeryshore_standins::platform::Platform;
use http_types::Method;

const DATA_PORT: u16 = 7_001;
const CONTROL_PORT: u16 = 7_002;
const TIMEOUT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);

fn client(port: u16) -> Client {
    Client::new(loopback(0, port), TIMEOUT)
}

async fn publish(value: &str) -> Result<()> {
    let mut control = client(CONTROL_PORT);
    control.put("/publish/rules", value.as_bytes()).await?;
    Ok(())
}

async fn check() -> Result<()> {
    let platform = Platform::new(Duration::ZERO);
    spawn(platform.clone().serve(loopback(0, DATA_PORT))).detach();
    spawn(platform.serve_control(loopback(0, CONTROL_PORT))).detach();
    Timer::after(PAUSE).await;

    let mut reader = client(DATA_PORT);
    let absent = reader
        .send(reader.request(Method::Get, "/v1/kv/rules?raw"))
        .await?;
    assert_eq!(absent.status, 404);

    publish("one").await?;
    let first = reader
        .send(reader.request(Method::Get, "/v1/kv/rules?raw"))
        .await?;
    assert_eq!(first.body, b"one");
    assert_eq!(first.header("x-consul-index"), Some("2"));

    let change = spawn(async {
        Timer::after(PAUSE).await;
        publish("two").await
    });
    let started = Instant::now();
    let watch = reader.request(Method::Get, "/v1/kv/rules?raw&index=2&wait=30s");
    assert_eq!(reader.send(watch).await?.body, b"two");
    assert!(started.elapsed() >= PAUSE);
    change.await?;

    let mut control = client(CONTROL_PORT);
    control.post("/fault?mode=older").await?;
    let older = reader
        .send(reader.request(Method::Get, "/v1/kv/rules?raw"))
        .await?;
    assert_eq!(older.body, b"one");
    control.post("/fault?mode=down").await?;
    assert!(
        reader
            .send(reader.request(Method::Get, "/v1/kv/rules?raw"))
            .await
            .is_err()
    );

    let calls: CallCounts = control.get("/calls").await?;
    assert_eq!((calls.reads, calls.watches), (4, 1));
    Ok(())
}

#[test]
fn watched_value() {
    executor::run(1, check()).expect("the platform responds");
}
