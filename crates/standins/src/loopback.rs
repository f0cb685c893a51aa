//! Loopback addresses that don't collide between processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;

const VMS_PER_PORT: u16 = 250;

/// Returns the address of a port on a simulated VM.
///
/// The process ID selects the subnet within the loopback network, so several
/// processes can use the same port numbers at the same time.
///
/// # Example
///
/// ```
/// use celeryshore_standins::loopback;
///
/// let first = loopback(0, 7000);
/// assert!(first.ip().is_loopback());
/// assert_eq!(first, loopback(0, 7000));
/// assert_ne!(first, loopback(1, 7000));
/// ```
#[must_use]
pub fn loopback(vm: u16, port: u16) -> SocketAddr {
    let [.., high, low] = process::id().to_be_bytes();
    let [_, host] = (vm % VMS_PER_PORT + 1).to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, host);
    SocketAddr::from((ip, port + vm / VMS_PER_PORT))
}
