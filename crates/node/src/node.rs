//! A node with its ports.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::RequestsConfig;
use celeryshore_model::Incarnation;
use serde_json::Value;
use serde_json::json;
use slog::Logger;

use crate::Error;
use crate::Result;
use crate::Settings;
use crate::callers;
use crate::callers::Callers;
use crate::callers::Gate;
use crate::driver::Driver;
use crate::driver::DriverParts;
use crate::peers;
use crate::settings::PortName;
use crate::source;
use crate::target::Target;

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Peers' port.
    pub peer: SocketAddr,
}

/// A node that runs on an executor until it is dropped.
pub struct Node {
    addresses: Addresses,
    callers: Arc<Callers>,
    accepting: Vec<Task<()>>,
    tasks: Vec<Task<()>>,
}

impl Node {
    /// Opens the ports and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub fn start(ex: &'static StaticExecutor, settings: Settings, log: Logger) -> Result<Self> {
        let callers_port = open(PortName::Callers, settings.callers)?;
        let peer_port = open(PortName::Peer, settings.peer)?;
        let addresses = Addresses {
            callers: callers_port.get_ref().local_addr()?,
            peer: peer_port.get_ref().local_addr()?,
        };
        let driver = Arc::new(Driver::new(DriverParts {
            ex,
            log,
            cfg: requests_config(&settings),
            target: Target::new(settings.target),
        }));
        let callers = Arc::new(Callers {
            driver: driver.clone(),
            limits: settings.limits,
            gate: Gate::default(),
        });
        let accepting = vec![ex.spawn(callers::listen(callers.clone(), callers_port))];
        let tasks = vec![
            ex.spawn(peers::listen(driver.clone(), peer_port)),
            ex.spawn(peers::probe_idle(ex, driver.peers.clone())),
            ex.spawn(source::watch(driver.clone(), settings.platform)),
            ex.spawn(driver.clone().tick()),
        ];
        driver.handle(RequestEvent::Tick);
        Ok(Self {
            addresses,
            callers,
            accepting,
            tasks,
        })
    }

    /// Returns where the node listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Describes the node's connections.
    #[must_use]
    pub fn connections(&self) -> Value {
        let driver = &self.callers.driver;
        json!({
            "callers": self.callers.gate.count(),
            "peers": driver.peers.dump(),
            "target": driver.target.dump(),
        })
    }

    /// Takes no new work, finishes what is under way, and ends.
    pub async fn drain(self) {
        let driver = &self.callers.driver;
        slog::info!(driver.log(), "node: draining");
        driver.handle(RequestEvent::Drain);
        drop(self.accepting);
        driver.drained().await;
        self.callers.gate.shut();
        self.callers.gate.emptied().await;
        drop(self.tasks);
        slog::info!(self.callers.driver.log(), "node: drained");
    }
}

fn open(port: PortName, addr: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr).map_err(|err| Error::bind(port, addr, err))
}

fn requests_config(settings: &Settings) -> RequestsConfig {
    RequestsConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation(fastrand::u64(..)),
        seed: fastrand::u64(..),
    }
}
