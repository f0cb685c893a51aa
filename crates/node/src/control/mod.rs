//! Input and output of membership and of the distribution of the configuration.
//!
//! `actions` executes the actions of the kernel's fleet state machine. `heartbeats`
//! sends and receives UDP datagrams at the peer port. `pull` requests a newer
//! configuration from a peer by gRPC, and `serve` answers such requests. `platform`
//! reads the rules text and the list of leaving VMs from the platform by HTTP. On a
//! platform with an adapter only `store` is used: the driver reads the platform's store
//! through it, and peers exchange its content at the peer port.

mod actions;
mod executor;
pub(crate) mod heartbeats;
mod platform;
mod pull;
mod serve;
mod store;

use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;

use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;

use self::actions::ActionRunner;
use self::platform::PlatformClient;
use self::serve::PendingPulls;
pub(crate) use self::store::Store;
use crate::driver::Driver;
use crate::settings::PlatformSettings;

/// Ports of the fleet: that for heartbeats and that for pulls of the configuration.
pub(crate) struct ControlPorts {
    /// UDP socket with the port number of the peer port.
    pub(crate) heartbeats: Arc<Async<UdpSocket>>,
    /// Listener at the control port.
    pub(crate) pulls: Async<TcpListener>,
}

/// Starts the tasks that execute the fleet's actions and serve both ports, until the
/// tasks are dropped.
pub(crate) fn start(
    ex: &'static StaticExecutor,
    driver: &Arc<Driver>,
    ports: ControlPorts,
    platform: PlatformSettings,
) -> Vec<Task<()>> {
    let socket = ports.heartbeats;
    let pulls = Arc::new(PendingPulls::default());
    let actions = ActionRunner::new(ex, driver.clone(), socket.clone(), pulls.clone());
    vec![
        ex.spawn(actions.run(Arc::new(PlatformClient::new(platform)))),
        ex.spawn(serve::listen(ex, driver.clone(), pulls, ports.pulls)),
    ]
}
