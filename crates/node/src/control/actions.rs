//! Execution of the fleet's actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;

use async_executor::StaticExecutor;
use async_executor::Task;
use async_io::Async;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::Prepare;
use celeryshore_kernel::PullId;
use celeryshore_kernel::PullRequest;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::Time;

use super::heartbeats;
use super::platform::PlatformClient;
use super::pull;
use super::serve::PendingPulls;
use crate::driver::Driver;

/// Executes the actions of the kernel's fleet state machine.
pub(super) struct ActionRunner {
    ex: &'static StaticExecutor,
    driver: Arc<Driver>,
    socket: Arc<Async<UdpSocket>>,
    pulls: Arc<PendingPulls>,
    /// Reads of the platform in progress. Dropping a task cancels its read.
    reads: HashMap<ReadId, Task<()>>,
}

impl ActionRunner {
    pub(super) fn new(
        ex: &'static StaticExecutor,
        driver: Arc<Driver>,
        socket: Arc<Async<UdpSocket>>,
        pulls: Arc<PendingPulls>,
    ) -> Self {
        Self {
            ex,
            driver,
            socket,
            pulls,
            reads: HashMap::new(),
        }
    }

    /// Executes actions in order until the task is dropped.
    pub(super) async fn run(mut self, platform: Arc<PlatformClient>) {
        let actions = self.driver.fleet_actions();
        while let Ok(action) = actions.recv().await {
            self.execute(&platform, action);
        }
    }

    fn execute(&mut self, platform: &Arc<PlatformClient>, action: FleetAction) {
        match action {
            FleetAction::Send { to, datagram } => heartbeats::send(&self.socket, to, *datagram),
            FleetAction::Pull {
                pull,
                control,
                request,
                deadline,
            } => self.pull(pull, control, request, deadline),
            FleetAction::PullReply { inbound, reply } => self.pulls.reply(inbound, reply),
            FleetAction::Read {
                read,
                query,
                deadline,
            } => self.read(platform.clone(), read, query, deadline),
            FleetAction::AbandonRead { read } => {
                self.reads.remove(&read);
            }
            FleetAction::Prepare(work) => self.prepare(*work),
            FleetAction::Report(report) => {
                slog::info!(self.driver.log(), "fleet: {}", report);
            }
            FleetAction::Member { vm, state } => {
                slog::info!(self.driver.log(), "fleet: member"; "vm" => %vm, "state" => %state);
            }
            // The driver executes these itself.
            FleetAction::Configured(_) | FleetAction::WakeAt(_) => {}
        }
    }

    fn pull(&self, id: PullId, control: SocketAddr, request: PullRequest, deadline: Time) {
        let (ex, driver) = (self.ex, self.driver.clone());
        let deadline = driver.instant(deadline);
        let task = async move {
            let event = match pull::pull(ex, control, request, deadline).await {
                Some(reply) => FleetEvent::Pulled { pull: id, reply },
                None => FleetEvent::PullFailed { pull: id },
            };
            driver.handle(event);
        };
        self.ex.spawn(task).detach();
    }

    fn read(
        &mut self,
        platform: Arc<PlatformClient>,
        read: ReadId,
        query: ReadQuery,
        deadline: Time,
    ) {
        let driver = self.driver.clone();
        let deadline = driver.instant(deadline);
        let task = self.ex.spawn(async move {
            let event = match platform.read(query, deadline).await {
                Ok(answer) => FleetEvent::Read { read, answer },
                Err(failure) => FleetEvent::ReadFailed { read, failure },
            };
            driver.handle(event);
        });
        self.reads.retain(|_, task| !task.is_finished());
        self.reads.insert(read, task);
    }

    /// Runs a preparation on a separate thread, since requests would wait for it on the
    /// executor.
    fn prepare(&self, work: Prepare) {
        let driver = self.driver.clone();
        thread::spawn(move || {
            driver.handle(FleetEvent::Prepared(Box::new(work.run())));
        });
    }
}
