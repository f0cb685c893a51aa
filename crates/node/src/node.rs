//! Startup and shutdown of a node.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use celeryshore_kernel::ChangeBound;
use celeryshore_kernel::ColdStartTerms;
use celeryshore_kernel::CrashEvidence;
use celeryshore_kernel::FeedConfig;
use celeryshore_kernel::FleetConfig;
use celeryshore_kernel::KernelConfig;
use celeryshore_kernel::QuotaTerms;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::RequestsConfig;
use celeryshore_kernel::RetryTerms;
use celeryshore_kernel::StopTerms;
use celeryshore_kernel::Terms;
use celeryshore_model::Incarnation;
use celeryshore_model::Share;
use celeryshore_model::Zone;
use futures_lite::FutureExt;
use slog::Logger;

use crate::Error;
use crate::Result;
use crate::Settings;
use crate::callers;
use crate::callers::Callers;
use crate::callers::ConnectionTracker;
use crate::clock::Clock;
use crate::control;
use crate::control::ControlPorts;
use crate::control::Store;
use crate::control::heartbeats;
use crate::driver::Driver;
use crate::driver::DriverParts;
use crate::memory::BodyMemory;
use crate::operators;
use crate::operators::Metrics;
use crate::operators::Operators;
use crate::operators::Pages;
use crate::peers;
use crate::settings::PortName;
use crate::target;
use crate::target::Target;
use crate::target::TargetParts;
use crate::timers::Timers;

/// Time between two log lines about a drain that goes on.
const DRAIN_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Addresses at which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers (HTTP/1.1).
    pub callers: SocketAddr,
    /// Address for other nodes: TCP, and UDP for heartbeats and quotas.
    pub peer: SocketAddr,
    /// Address of the operators' port (HTTP/1.1).
    pub operators: SocketAddr,
}

/// Node that runs on an executor until it is dropped.
///
/// Dropping it cancels its tasks; [`Node::drain`] finishes the requests in flight first.
///
/// # Example
///
/// ```
/// use async_executor::StaticExecutor;
/// use celeryshore_node::LogLevel;
/// use celeryshore_node::Node;
/// use celeryshore_node::Settings;
///
/// static EXECUTOR: StaticExecutor = StaticExecutor::new();
///
/// let settings: Settings = "
/// {vm: glasgow-1, zone: glasgow, callers: 127.0.0.1:0, peer: 127.0.0.1:0,
///  control: 127.0.0.1:0, operators: 127.0.0.1:0, target: 127.0.0.1:9000,
///  platform: {addresses: ['127.0.0.1:8500'], key: celeryshore/rules}}
/// "
/// .parse()?;
/// let (log, _guard) = celeryshore_node::logger(LogLevel::Error);
/// async_io::block_on(EXECUTOR.run(async {
///     let node = Node::start(&EXECUTOR, settings, log)?;
///     assert_ne!(node.addresses().callers.port(), 0);
///     node.drain().await;
///     Ok::<(), celeryshore_node::Error>(())
/// }))?;
/// # Ok::<(), celeryshore_node::Error>(())
/// ```
pub struct Node {
    addresses: Addresses,
    callers: Arc<Callers>,
    accept_tasks: Vec<Task<()>>,
    tasks: Vec<Task<()>>,
}

impl Node {
    /// Opens the ports and starts the tasks that serve them.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub fn start(ex: &'static StaticExecutor, settings: Settings, log: Logger) -> Result<Self> {
        let ports = Ports::open(&settings)?;
        let addresses = ports.addresses()?;
        let timers = Arc::new(Timers::default());
        let store = adapter_store(&settings);
        let datagrams = ports.datagrams.clone();
        let cfg = kernel_config(&settings, store.as_deref());
        let dialect = cfg.requests.terms.dialect.clone();
        let memory = BodyMemory::new(settings.memory);
        let target = Target::new(TargetParts {
            addr: settings.target,
            timers: timers.clone(),
            memory: memory.clone(),
            dialect,
            log: log.clone(),
        });
        let driver = Arc::new(Driver::new(DriverParts {
            ex,
            log,
            cfg,
            target,
            timers: timers.clone(),
            link: settings.link,
            memory,
            store: store.clone(),
            datagrams: datagrams.clone(),
        }));
        let callers = Arc::new(Callers {
            driver: driver.clone(),
            limits: settings.limits,
            tracker: ConnectionTracker::default(),
        });
        let metrics = Metrics::install();
        let operators = Arc::new(Operators {
            callers: callers.clone(),
            metrics: metrics.clone(),
        });
        let accept_tasks = vec![ex.spawn(callers::listen(callers.clone(), ports.callers))];
        let mut tasks = vec![
            ex.spawn(async move { timers.run().await }),
            ex.spawn(peers::listen(driver.clone(), ports.peer)),
            ex.spawn(peers::probe_idle(ex, driver.peers.clone())),
            ex.spawn(heartbeats::receive(driver.clone(), datagrams)),
            ex.spawn(operators::listen(
                operators.clone(),
                ports.operators,
                Pages::All,
            )),
            ex.spawn(metrics.upkeep()),
            ex.spawn(driver.clone().tick_requests()),
        ];
        if let Some(store) = store {
            tasks.push(ex.spawn(driver.clone().tick_feed()));
            tasks.push(ex.spawn(target::run_health_checks(driver.clone())));
            if let Some(listener) = ports.ready {
                let pages = Pages::Readiness(store.adapter.ready_path());
                tasks.push(ex.spawn(operators::listen(operators, listener, pages)));
            }
        } else {
            tasks.push(ex.spawn(driver.clone().tick_fleet()));
            tasks.push(ex.spawn(target::poll_phase(driver.clone(), settings.health)));
        }
        slog::info!(driver.log(), "node: started"; "callers" => %addresses.callers,
            "peer" => %addresses.peer, "operators" => %addresses.operators);
        if let Some(control) = ports.control {
            tasks.extend(control::start(ex, &driver, control, settings.platform));
        }
        Ok(Self {
            addresses,
            callers,
            accept_tasks,
            tasks,
        })
    }

    /// Returns the addresses at which the node listens. Where the settings have port 0,
    /// the address has the port that was chosen.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops the node: it goes on serving until its callers have gone elsewhere, refuses new
    /// requests then, and finishes those in flight.
    pub async fn drain(self) {
        let driver = &self.callers.driver;
        self.callers.tracker.close();
        driver.handle(RequestEvent::Stop);
        let finished = async {
            driver.wait_drained().await;
            cancel_all(self.accept_tasks).await;
            self.callers.tracker.close_idle();
            self.callers.tracker.wait_until_empty().await;
            driver.unsent_replies.wait_until_empty().await;
        };
        finished.or(log_drain(&self.callers)).await;
        cancel_all(self.tasks).await;
        slog::info!(driver.log(), "node: drained");
    }
}

/// Logs what a drain still waits for, until it is dropped.
async fn log_drain(callers: &Callers) {
    let driver = &callers.driver;
    loop {
        Timer::after(DRAIN_LOG_INTERVAL).await;
        let status = driver.inspect(|kernel| kernel.requests.status());
        slog::warn!(driver.log(), "node: still draining";
            "calls" => status.calls, "in_flight" => status.load.in_flight,
            "connections" => callers.tracker.count(),
            "replies" => driver.unsent_replies.count());
    }
}

/// Cancels tasks and waits until they have released their resources.
async fn cancel_all(tasks: Vec<Task<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}

/// Open ports of a node.
struct Ports {
    callers: Async<TcpListener>,
    peer: Async<TcpListener>,
    operators: Async<TcpListener>,
    /// Socket for heartbeats and for messages about quotas, with the number of the peer port.
    datagrams: Arc<Async<UdpSocket>>,
    /// Absent with an adapter: the configuration then comes from the platform's store.
    control: Option<ControlPorts>,
    /// Absent if the settings name no address for readiness checks.
    ready: Option<Async<TcpListener>>,
}

impl Ports {
    fn open(settings: &Settings) -> Result<Self> {
        let callers = bind_tcp(PortName::Callers, settings.callers)?;
        let peer = bind_tcp(PortName::Peer, settings.peer)?;
        let datagrams = Arc::new(bind_udp(peer.get_ref().local_addr()?)?);
        let control = match settings.platform.adapter {
            Some(_) => None,
            None => Some(ControlPorts {
                heartbeats: datagrams.clone(),
                pulls: bind_tcp(PortName::Control, settings.control)?,
            }),
        };
        let ready = settings.ready.map(|addr| bind_tcp(PortName::Ready, addr));
        let operators = bind_tcp(PortName::Operators, settings.operators)?;
        Ok(Self {
            callers,
            peer,
            operators,
            datagrams,
            control,
            ready: ready.transpose()?,
        })
    }

    fn addresses(&self) -> Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.get_ref().local_addr()?,
            peer: self.peer.get_ref().local_addr()?,
            operators: self.operators.get_ref().local_addr()?,
        })
    }
}

fn bind_tcp(port: PortName, addr: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr).map_err(|err| Error::bind(port, addr, err))
}

/// Binds the socket for datagrams, which use the same port number as exchanges.
fn bind_udp(addr: SocketAddr) -> Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind(addr).map_err(|err| Error::bind(PortName::Peer, addr, err))
}

/// Returns the platform's store if the settings name an adapter.
fn adapter_store(settings: &Settings) -> Option<Arc<Store>> {
    let name = settings.platform.adapter.as_deref()?;
    let adapter = celeryshore_kernel::find_adapter(name)?;
    let addr = *settings.platform.addresses.first()?;
    Some(Arc::new(Store { addr, adapter }))
}

fn kernel_config(settings: &Settings, store: Option<&Store>) -> KernelConfig {
    let incarnation = new_incarnation();
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
        terms: Terms {
            link: settings.link,
            quota: quota_terms(settings),
            stop: StopTerms {
                longest: settings.limits.leaving(),
                grace: settings.limits.grace,
            },
            ..store.map_or_else(Terms::default, |store| request_terms(settings, store))
        },
    };
    KernelConfig {
        fleet,
        feed: store.map(|store| feed_config(settings, store, incarnation)),
        requests,
    }
}

fn feed_config(settings: &Settings, store: &Store, incarnation: Incarnation) -> FeedConfig {
    let zones = settings.zones.iter();
    let zones = zones.map(|(name, region)| Zone {
        name: name.clone(),
        region: region.clone(),
    });
    FeedConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        zones: zones.collect(),
        incarnation,
        peer_port: settings.peer.port(),
        seeds: settings.seeds.iter().map(|seed| seed.peer).collect(),
        is_first_start: settings.first_start,
        adapter: store.adapter.clone(),
        bound: ChangeBound::tightest([
            settings.terms.config_bound,
            settings.terms.drain_bound,
            settings.terms.outage_bound,
            settings.terms.key_bound,
        ]),
        seed: fastrand::u64(..),
    }
}

fn request_terms(settings: &Settings, store: &Store) -> Terms {
    let default = ColdStartTerms::default();
    Terms {
        dialect: store.adapter.dialect(),
        service: settings.service.clone(),
        cold_start: ColdStartTerms {
            share: settings
                .terms
                .cold_load
                .and_then(to_share)
                .unwrap_or(default.share),
            slack: settings.terms.cold_slack.unwrap_or(default.slack),
        },
        retry: RetryTerms {
            slack: settings.terms.retry_slack,
            share: settings.terms.retry_ratio.and_then(to_share),
            exempts_node_refusals: true,
        },
        key_expiry: settings
            .terms
            .key_bound
            .filter(|_| settings.terms.fail_closed),
        crash_evidence: CrashEvidence::LostTarget,
        urgent_slots: settings.terms.urgent_slots,
        even_load: settings.terms.even_load,
        ..Terms::default()
    }
}

fn quota_terms(settings: &Settings) -> QuotaTerms {
    let default = QuotaTerms::default();
    let terms = &settings.terms;
    QuotaTerms {
        window: terms.quota_window.unwrap_or(default.window),
        overage: terms
            .quota_overage
            .and_then(to_share)
            .unwrap_or(default.overage),
        slack: terms.quota_slack.unwrap_or(default.slack),
    }
}

/// Converts a ratio, rounded to thousandths.
fn to_share(ratio: f64) -> Option<Share> {
    const PER_MILLE: f64 = 1_000.0;
    let per_mille = format!("{:.0}", ratio * PER_MILLE).parse().ok()?;
    Some(Share::from_per_mille(per_mille))
}

/// Returns a number greater than those of earlier incarnations, unless the wall clock
/// has gone back. Random low bits distinguish processes started in one millisecond.
fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let millis = Clock::start().now().wall.as_millis();
    Incarnation((millis << RANDOM_BITS) | fastrand::u64(..1 << RANDOM_BITS))
}
