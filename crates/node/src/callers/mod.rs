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
            Some(pass) => {
                let served = serve(callers.clone(), Connection::new(stream), pass);
                callers.driver.spawn(served);
            }
            None => callers
                .driver
                .spawn(refuse(Connection::new(stream), Refusal::Connections)),
        }
    }
}

/// Writes a refusal and ends the connection.
async fn refuse(conn: Connection, refusal: Refusal) {
    record::record_refusal(refusal);
    let bytes = refusal.encode().await;
    let ended = async {
        if conn.write(&bytes).await.is_ok() {
            conn.finish().await;
        }
    };
    net::within(REFUSAL_TIMEOUT, ended).await;
}
