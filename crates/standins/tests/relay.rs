//! Links that are cut, or that stall their open connections.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use celeryshore_standins::Result;
use celeryshore_standins::client::Client;
use celeryshore_standins::executor;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::loopback;
use celeryshore_standins::relay::Relay;
use celeryshore_standins::target::Settings;
use celeryshore_standins::target::Target;
use http_types::Method;

const TIMEOUT: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(50);

async fn check() -> Result<()> {
    let (near, far, control) = (loopback(0, 7_021), loopback(0, 7_022), loopback(0, 7_023));
    spawn(Target::new(far, Arc::new(Settings::default())).serve()).detach();
    let relay = Relay::default();
    spawn(relay.clone().serve_link(near, far)).detach();
    spawn(relay.serve_control(control)).detach();
    Timer::after(PAUSE).await;

    let mut control = Client::new(control, TIMEOUT);
    let mut old = Client::new(near, TIMEOUT);
    assert_eq!(old.send(old.request(Method::Get, "/a")).await?.status, 200);

    control
        .post(&format!("/link?near={near}&mode=forget"))
        .await?;
    assert!(old.send(old.request(Method::Get, "/b")).await.is_err());
    assert_eq!(old.send(old.request(Method::Get, "/c")).await?.status, 200);

    control.post(&format!("/link?near={near}&mode=cut")).await?;
    assert!(old.send(old.request(Method::Get, "/d")).await.is_err());
    Ok(())
}

#[test]
fn forgotten_connections() {
    executor::run(1, check()).expect("the relay forwards new connections");
}
