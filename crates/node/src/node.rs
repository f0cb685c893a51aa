//! A node with its ports.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use celeryshore_kernel::FleetConfig;
use celeryshore_kernel::KernelConfig;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::RequestsConfig;
use celeryshore_model::Incarnation;
use slog::Logger;

use crate::Error;
use crate::Result;
use crate::Settings;
use crate::callers;
use crate::callers::Callers;
use crate::callers::Gate;
use crate::callers::LEAVING_GRACE;
use crate::clock::Clock;
use crate::driver::Driver;
use crate::driver::DriverParts;
use crate::operators;
use crate::operators::Metrics;
use crate::operators::Operators;
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
    /// Operators' port.
    pub operators: SocketAddr,
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
        let operators_port = open(PortName::Operators, settings.operators)?;
        let addresses = Addresses {
            callers: callers_port.get_ref().local_addr()?,
            peer: peer_port.get_ref().local_addr()?,
            operators: operators_port.get_ref().local_addr()?,
        };
        let driver = Arc::new(Driver::new(DriverParts {
            ex,
            log,
            cfg: kernel_config(&settings),
            target: Target::new(settings.target),
        }));
        let callers = Arc::new(Callers {
            driver: driver.clone(),
            limits: settings.limits,
            gate: Gate::default(),
        });
        let metrics = Metrics::install();
        let operators = Arc::new(Operators {
            callers: callers.clone(),
            metrics: metrics.clone(),
        });
        let accepting = vec![ex.spawn(callers::listen(callers.clone(), callers_port))];
        let tasks = vec![
            ex.spawn(peers::listen(driver.clone(), peer_port)),
            ex.spawn(peers::probe_idle(ex, driver.peers.clone())),
            ex.spawn(source::log_reports(driver.clone())),
            ex.spawn(source::watch(driver.clone(), settings.platform)),
            ex.spawn(operators::listen(operators, operators_port)),
            ex.spawn(metrics.upkeep()),
            ex.spawn(driver.clone().tick_requests()),
            ex.spawn(driver.clone().tick_fleet()),
        ];
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

    /// Takes no new work, finishes what is under way, and ends.
    ///
    /// For a short time connections are still accepted, so that callers that were
    /// on their way get a refusal instead of a broken connection.
    pub async fn drain(self) {
        let driver = &self.callers.driver;
        slog::info!(driver.log(), "node: draining");
        self.callers.gate.close();
        driver.handle(RequestEvent::Drain);
        Timer::after(LEAVING_GRACE).await;
        driver.drained().await;
        drop(self.accepting);
        self.callers.gate.emptied().await;
        drop(self.tasks);
        slog::info!(driver.log(), "node: drained");
    }
}

fn open(port: PortName, addr: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr).map_err(|err| Error::bind(port, addr, err))
}

fn kernel_config(settings: &Settings) -> KernelConfig {
    let incarnation = incarnation();
    let fleet = FleetConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        incarnation,
        peer: settings.peer,
        control: settings.control,
        seeds: settings.seeds.iter().map(|seed| seed.peer).collect(),
        source: true,
        seed: fastrand::u64(..),
    };
    let requests = RequestsConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        incarnation,
        seed: fastrand::u64(..),
    };
    KernelConfig { fleet, requests }
}

/// A later life has a greater number, as far as the wall clock goes forward.
fn incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let millis = Clock::start().now().wall.as_millis();
    Incarnation((millis << RANDOM_BITS) | fastrand::u64(..1 << RANDOM_BITS))
}
