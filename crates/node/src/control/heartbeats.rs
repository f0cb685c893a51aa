//! Heartbeats: UDP datagrams between nodes.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use celeryshore_kernel::Datagram;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::MAX_DATAGRAM_BYTES;
use celeryshore_wire::DatagramFrame;

use crate::driver::Driver;

/// Delay after a receive error, for example while the process is out of memory.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Passes received datagrams to the kernel until the task is dropped.
pub(super) async fn receive(driver: Arc<Driver>, socket: Arc<Async<UdpSocket>>) {
    let mut buf = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            Timer::after(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        match DatagramFrame::decode(Bytes::copy_from_slice(&buf[..len])) {
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
pub(super) fn send(socket: &Async<UdpSocket>, to: std::net::SocketAddr, datagram: Datagram) {
    let _ = socket
        .get_ref()
        .send_to(&DatagramFrame::encode(datagram), to);
}
