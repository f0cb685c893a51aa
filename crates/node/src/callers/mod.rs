//! Callers' port: HTTP/1.1 with keep-alive.

mod answer;
mod connection;
mod gate;
mod record;
mod refusal;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;

use self::connection::serve;
pub(crate) use self::gate::Gate;
use self::refusal::Refusal;
use crate::driver::Driver;
use crate::http::Connection;
use crate::net;
use crate::net::Stream;
use crate::settings::SettingsLimits;

/// Time that a leaving node keeps idle connections and accepts new ones, so that
/// a request on its way is answered.
pub(crate) const LEAVING_GRACE: Duration = Duration::from_secs(1);
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the connections of callers share.
pub(crate) struct Callers {
    pub(crate) driver: Arc<Driver>,
    pub(crate) limits: SettingsLimits,
    pub(crate) gate: Gate,
}

/// Accepts connections until the task is dropped.
pub(crate) async fn listen(callers: Arc<Callers>, listener: Async<TcpListener>) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        match callers.gate.enter(callers.limits.connections) {
            Some(pass) => callers.driver.spawn(serve(callers.clone(), stream, pass)),
            None => callers.driver.spawn(refuse(stream)),
        }
    }
}

async fn refuse(stream: Stream) {
    let conn = Connection::new(stream);
    record::record_refusal(Refusal::Connections);
    let bytes = Refusal::Connections.encode().await;
    let _ = net::within(REFUSAL_TIMEOUT, conn.write(&bytes)).await;
}
