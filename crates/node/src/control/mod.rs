//! Membership and configuration: carries out what the decisions ask for.
//!
//! Heartbeats are UDP datagrams at the peers' port; configurations are pulled by
//! gRPC; the platform is read by HTTP.

mod actions;
mod executor;
mod heartbeats;
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

/// The ports of membership and configuration.
pub(crate) struct ControlPorts {
    /// Where heartbeats come.
    pub(crate) heartbeats: Async<UdpSocket>,
    /// Where peers pull the configuration.
    pub(crate) pulls: Async<TcpListener>,
}

/// Starts to carry out what the fleet's decisions ask for, until the tasks are
/// dropped.
pub(crate) fn start(
    ex: &'static StaticExecutor,
    driver: &Arc<Driver>,
    ports: ControlPorts,
    platform: PlatformSettings,
) -> Vec<Task<()>> {
    let socket = Arc::new(ports.heartbeats);
    let pulls = Arc::new(PendingPulls::default());
    let actions = ActionRunner::new(ex, driver.clone(), socket.clone(), pulls.clone());
    vec![
        ex.spawn(actions.run(Arc::new(PlatformClient::new(platform)))),
        ex.spawn(heartbeats::receive(driver.clone(), socket)),
        ex.spawn(serve::listen(ex, driver.clone(), pulls, ports.pulls)),
    ]
}
