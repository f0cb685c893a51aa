//! Quotas of workspaces across all nodes.
//!
//! A node admits a request of a workspace with a quota if it holds a *credit* for it. The
//! *owners* of the workspace (`owners`), which are nodes as well, lend the credits by
//! datagrams (`message`). Each owner has a fixed `part` of the quota, a bucket that starts
//! empty, and credits end after a short time, so that the limit holds in every window
//! without agreement among the nodes (`budget`). `usage` and `stock` hold the credits of
//! this node and decide when to ask for more.
//!
//! Load pattern: workspaces whose callers are spread over all nodes or connected to a few,
//! while nodes restart and zones are cut off.

mod budget;
mod check;
mod credits;
mod demand;
mod limit;
mod message;
mod owners;
mod part;
mod peak;
mod report;
mod stock;
mod usage;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use celeryshore_model::ZoneName;

use self::limit::Limit;
pub use self::message::QuotaAnswer;
pub use self::message::QuotaAsk;
pub use self::message::QuotaMessage;
use self::owners::Candidates;
use self::part::Lent;
use self::part::Part;
pub use self::report::QuotaReport;
pub use self::report::QuotaStatus;
use self::usage::Ask;
use self::usage::Credit;
use self::usage::Usage;
use crate::requests::CallId;
use crate::requests::QuotaTerms;
use crate::requests::RequestAction;
use crate::requests::RequestsConfig;

/// Result of a check of the quota: the time to retry if there is no credit.
pub type Result<T> = std::result::Result<T, Duration>;

/// Least time between two log lines about a workspace.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State of all quotas at a node. It is empty if no workspace has one.
///
/// [`Requests`](crate::Requests) holds it and passes it the events that concern it.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::CallId;
/// use celeryshore_kernel::Quotas;
/// use celeryshore_kernel::RequestsConfig;
/// use celeryshore_model::Incarnation;
/// use celeryshore_model::Snapshot;
/// use celeryshore_model::Time;
///
/// let cfg = RequestsConfig {
///     vm: "vm-1".parse()?,
///     zone: "glasgow".parse()?,
///     incarnation: Incarnation(1),
///     seed: 1,
///     terms: celeryshore_kernel::Terms::default(),
/// };
/// let mut quotas = Quotas::new(&cfg, Time::ZERO);
/// quotas.configure(Time::ZERO, &Snapshot::default());
/// let mut actions = Vec::new();
/// let admitted = quotas.admit(Time::ZERO, CallId(1), &"free".parse()?, &mut actions);
/// assert_eq!((admitted, actions.len()), (Ok(()), 0));
/// # Ok::<(), celeryshore_model::Error>(())
/// ```
#[derive(Debug)]
pub struct Quotas {
    vm: VmName,
    zone: ZoneName,
    terms: QuotaTerms,
    started: Time,
    candidates: Candidates,
    /// Whether this process has had a configuration.
    is_configured: bool,
    limits: BTreeMap<WorkspaceName, Limit>,
    /// Parts that this node owns.
    parts: BTreeMap<WorkspaceName, Part>,
    /// Workspaces that have had callers at this node.
    usages: BTreeMap<WorkspaceName, Usage>,
    /// Credits of calls without a final response.
    open: BTreeMap<CallId, (WorkspaceName, Credit)>,
    due: BTreeSet<(Time, WorkspaceName)>,
    due_at: BTreeMap<WorkspaceName, Time>,
    reported_at: BTreeMap<WorkspaceName, Time>,
    /// Number of the latest ask. Those of later processes are greater.
    last_number: u64,
}

impl Quotas {
    /// Creates the state of a node without a configuration.
    #[must_use]
    pub fn new(cfg: &RequestsConfig, now: Time) -> Self {
        Self {
            vm: cfg.vm.clone(),
            zone: cfg.zone.clone(),
            terms: cfg.terms.quota,
            started: now,
            candidates: Candidates::default(),
            is_configured: false,
            limits: BTreeMap::new(),
            parts: BTreeMap::new(),
            usages: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            due_at: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            last_number: cfg.incarnation.0,
        }
    }

    /// Admits a call of a workspace.
    ///
    /// # Errors
    ///
    /// Returns the time in which the caller may retry if the node has no credit.
    pub fn admit(
        &mut self,
        now: Time,
        call: CallId,
        workspace: &WorkspaceName,
        actions: &mut Vec<RequestAction>,
    ) -> Result<()> {
        let Some(limit) = self.limits.get(workspace) else {
            return Ok(());
        };
        if !self.usages.contains_key(workspace) {
            let usage = self.new_usage(limit);
            self.usages.insert(workspace.clone(), usage);
        }
        let Some(usage) = self.usages.get_mut(workspace) else {
            return Ok(());
        };
        let rate = limit.quota.rate;
        let credit = usage.take(now);
        let is_admitted = credit.is_some();
        if let Some(credit) = credit {
            self.open.insert(call, (workspace.clone(), credit));
        }
        self.ask(now, workspace, actions);
        // An owner on this VM has already answered.
        if is_admitted || self.admit_waiting(now, call, workspace) {
            return Ok(());
        }
        self.report(now, workspace, actions);
        let usage = self.usages.get_mut(workspace);
        Err(usage.map_or(Duration::ZERO, |usage| usage.retry_after(now, rate)))
    }

    /// Admits a call that was refused before for lack of a credit and waits for one.
    pub fn admit_waiting(&mut self, now: Time, call: CallId, workspace: &WorkspaceName) -> bool {
        let usage = self.usages.get_mut(workspace);
        let credit = usage.and_then(|usage| usage.take_waiting(now));
        let is_admitted = credit.is_some();
        if let Some(credit) = credit {
            self.open.insert(call, (workspace.clone(), credit));
        }
        is_admitted
    }

    /// Records that a call without a credit no longer waits for one.
    pub fn stop_waiting(&mut self, workspace: &WorkspaceName) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.stop_waiting();
        }
    }

    /// Returns `true` if an owner of a workspace was asked and has not answered.
    #[must_use]
    pub fn is_asking(&self, workspace: &WorkspaceName) -> bool {
        let usage = self.usages.get(workspace);
        usage.is_some_and(Usage::is_asking)
    }

    /// Settles the credit of a call that ended. It is given back if the call did not run.
    pub fn settle(&mut self, now: Time, call: CallId, has_run: bool) {
        let Some((workspace, credit)) = self.open.remove(&call) else {
            return;
        };
        if let Some(usage) = self.usages.get_mut(&workspace) {
            usage.settle(now, &credit, has_run);
        }
    }

    /// Handles a message of another node.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: QuotaMessage,
        actions: &mut Vec<RequestAction>,
    ) {
        match message {
            QuotaMessage::Ask(ask) => {
                if let Some(answer) = self.lend(now, &ask) {
                    let message = answer.into();
                    actions.push(RequestAction::SendQuota { to: from, message });
                }
            }
            QuotaMessage::Answer(answer) => {
                if let Some(usage) = self.usages.get_mut(&answer.workspace) {
                    usage.accept(now, &answer);
                    self.ask(now, &answer.workspace, actions);
                }
            }
        }
    }

    /// Sends the asks that are due, and gives up those without an answer.
    pub fn expire(&mut self, now: Time, actions: &mut Vec<RequestAction>) {
        while let Some((_, workspace)) = self.due.first().filter(|(at, _)| *at <= now).cloned() {
            if let Some(usage) = self.usages.get_mut(&workspace) {
                usage.expire(now);
            }
            self.ask(now, &workspace, actions);
        }
    }

    /// Returns the time of the next ask that is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Sends the asks of a workspace that are due, and notes when the next one is.
    fn ask(&mut self, now: Time, workspace: &WorkspaceName, actions: &mut Vec<RequestAction>) {
        while let Some(ask) = self.next_ask(now, workspace) {
            let message = self.message(workspace, &ask);
            if ask.owner.vm != self.vm {
                let to = ask.owner.peer;
                let message = message.into();
                actions.push(RequestAction::SendQuota { to, message });
            } else if let Some(answer) = self.lend(now, &message)
                && let Some(usage) = self.usages.get_mut(workspace)
            {
                usage.accept(now, &answer);
            }
        }
        self.set_due(now, workspace);
    }

    fn message(&self, workspace: &WorkspaceName, ask: &Ask) -> QuotaAsk {
        QuotaAsk {
            workspace: workspace.clone(),
            number: ask.number,
            vm: self.vm.clone(),
            wanted: ask.wanted,
            held: ask.held,
            open: ask.open,
        }
    }

    fn next_ask(&mut self, now: Time, workspace: &WorkspaceName) -> Option<Ask> {
        let usage = self.usages.get_mut(workspace)?;
        let ask = usage.next_ask(now, self.last_number + 1)?;
        self.last_number = ask.number;
        Some(ask)
    }

    fn set_due(&mut self, now: Time, workspace: &WorkspaceName) {
        if let Some(at) = self.due_at.remove(workspace) {
            self.due.remove(&(at, workspace.clone()));
        }
        let usage = self.usages.get(workspace);
        if let Some(at) = usage.and_then(|usage| usage.next_due(now)) {
            self.due.insert((at, workspace.clone()));
            self.due_at.insert(workspace.clone(), at);
        }
    }

    /// Lends credits of this node's part. A node that owns none lends none.
    fn lend(&mut self, now: Time, ask: &QuotaAsk) -> Option<QuotaAnswer> {
        let part = self.parts.get_mut(&ask.workspace);
        let is_known = part.is_some() || self.limits.contains_key(&ask.workspace);
        let none = Lent {
            count: 0,
            interval: None,
        };
        let lent = part.map_or(Some(none), |part| part.lend(now, ask));
        lent.filter(|_| is_known).map(|lent| lent.answer(ask))
    }
}
