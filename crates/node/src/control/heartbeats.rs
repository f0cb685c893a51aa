//! Datagrams of peers.

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

/// Pause after the socket failed, for example while the process lacks memory.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Takes datagrams until the task is dropped.
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
                slog::debug!(driver.log(), "fleet: datagram refused"; "from" => %from, "error" => %err);
            }
        }
    }
}

/// Sends a datagram; one that the socket cannot take at once is lost.
pub(super) fn send(socket: &Async<UdpSocket>, to: std::net::SocketAddr, datagram: Datagram) {
    let _ = socket
        .get_ref()
        .send_to(&DatagramFrame::encode(datagram), to);
}
