//! Heartbeats and messages about quotas: UDP datagrams between nodes.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use celeryshore_kernel::Datagram;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::MAX_DATAGRAM_BYTES;
use celeryshore_kernel::QuotaMessage;
use celeryshore_kernel::RequestEvent;
use celeryshore_wire::DatagramFrame;
use celeryshore_wire::QuotaFrame;

use crate::driver::Driver;

/// Delay after a receive error, for example while the process is out of memory.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Passes received datagrams to the kernel until the task is dropped. With an adapter there
/// are no heartbeats, and datagrams that look like one are dropped.
pub(crate) async fn receive(driver: Arc<Driver>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            Timer::after(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let bytes = Bytes::copy_from_slice(&buf[..len]);
        if let Ok(Some(message)) = QuotaFrame::decode(bytes.clone()) {
            driver.handle(RequestEvent::QuotaReceived { from, message });
            continue;
        }
        if driver.has_store() {
            continue;
        }
        match DatagramFrame::decode(bytes) {
            Ok(datagram) => {
                let datagram = Box::new(datagram);
                driver.handle(FleetEvent::Received { from, datagram });
            }
            Err(err) => {
                slog::debug!(driver.log(), "fleet: malformed datagram dropped";
                    "from" => %from, "error" => %err);
            }
        }
    }
}

/// Sends a datagram, or drops it if the socket cannot take it at once.
pub(super) fn send(socket: &Async<UdpSocket>, to: SocketAddr, datagram: Datagram) {
    let _ = socket
        .get_ref()
        .send_to(&DatagramFrame::encode(datagram), to);
}

/// Sends a message about a quota, or drops it if the socket cannot take it at once.
pub(crate) fn send_quota(socket: &Async<UdpSocket>, to: SocketAddr, message: QuotaMessage) {
    let _ = socket.get_ref().send_to(&QuotaFrame::encode(message), to);
}
