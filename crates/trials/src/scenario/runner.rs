//! Runs the statements of a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::CallId;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Index;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::ZoneName;
use serde::Serialize;

use super::Category;
use super::Error;
use super::Result;
use super::deployment;
use super::event_queue::SimEvent;
use super::node::System;
use super::script::Call;
use super::script::Change;
use super::script::Place;
use super::script::Scenario;
use super::script::Statement;
use super::script::Step;
use super::simulation::Simulation;

/// Time until the platform's list of VMs shows a draining node as leaving.
const LEAVING_LIST_DELAY: Duration = Duration::from_secs(5);

/// Measurements of one run of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Time that each `expect in-force` statement waited for its version.
    pub converged: Vec<Duration>,
    /// Number of reads of the platform.
    pub reads: u64,
    /// Number of requests that targets started.
    pub runs: usize,
    /// Virtual time from the start to the end.
    pub time: Duration,
}

/// State of a scenario while it runs.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) sim: Simulation,
    /// Line number of the current statement.
    pub(super) line: usize,
    /// Rules lines that `publish`, `take-out` and `bring-back` change; `republish`
    /// does not.
    rules: Vec<String>,
    /// Published texts with their versions; an invalid text has none.
    pub(super) published: Vec<(Bytes, Option<Version>)>,
    /// Calls by the names that `send` gives them.
    pub(super) calls: BTreeMap<String, CallId>,
    /// Number of reads when the last `at` or `wait` began, and that time.
    pub(super) reads_since: (u64, Time),
}

impl Scenario {
    /// Runs the scenario with one system.
    ///
    /// # Errors
    ///
    /// Fails if an expectation does not hold, if an invariant is violated, or if a
    /// statement refers to something that does not exist.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_trials::scenario::Scenario;
    /// use celeryshore_trials::scenario::System;
    ///
    /// let scenario: Scenario = "nodes 2 zones a\nwait 1s\n".parse()?;
    /// let report = scenario.run(System::Polling, 7)?;
    /// assert!(report.reads >= 2);
    /// # Ok::<(), celeryshore_trials::scenario::Error>(())
    /// ```
    pub fn run(&self, system: System, seed: u64) -> Result<Report> {
        let mut runner = Runner {
            sim: Simulation::new(system, seed),
            line: 0,
            rules: Vec::new(),
            published: Vec::new(),
            calls: BTreeMap::new(),
            reads_since: (0, Time::ZERO),
        };
        for step in &self.steps {
            runner.run_step(step)?;
        }
        Ok(runner.report())
    }
}

impl Runner {
    fn run_step(&mut self, step: &Step) -> Result<()> {
        self.line = step.line;
        if let Some(at) = step.at {
            self.advance_until(Time::ZERO + at)?;
        }
        self.execute(&step.statement)?;
        self.check_violations()
    }

    fn advance_until(&mut self, end: Time) -> Result<()> {
        if end < self.sim.now {
            let now = self.sim.now;
            return Err(self.error(Category::Reference, "a time that is not in the past", now));
        }
        self.reads_since = (self.sim.platform.reads, self.sim.now);
        self.sim.run_until(end, |_| false);
        self.check_violations()
    }

    fn check_violations(&self) -> Result<()> {
        match self.sim.recorder.violations.first() {
            None => Ok(()),
            Some(violation) => Err(self.error(Category::Violation, "no violation", violation)),
        }
    }

    /// Returns an error at the current line.
    pub(super) fn error(
        &self,
        category: Category,
        expected: impl std::fmt::Display,
        found: impl std::fmt::Display,
    ) -> Error {
        Error::new(category, self.line, expected, found)
    }

    fn execute(&mut self, statement: &Statement) -> Result<()> {
        match statement {
            Statement::Nodes { count, zones } => self.start(*count, zones),
            Statement::Publish(change) => return self.publish(change),
            Statement::Cut(place) => self.cut(place)?,
            Statement::CutSource(place) => {
                let nodes = self.nodes(place)?;
                self.sim.network.cut_source(&nodes);
            }
            Statement::Heal => self.sim.network.heal(),
            Statement::Lose(share) => self.sim.network.loss = *share,
            Statement::Delay(time) => self.sim.network.delay = *time,
            Statement::Kill(place) => self.for_each_node(place, Simulation::kill)?,
            Statement::Restart(place) => self.for_each_node(place, Simulation::start)?,
            Statement::Freeze(place, time) => {
                let until = self.sim.now + *time;
                self.for_each_node(place, |sim, node| sim.nodes[node].frozen_until = until)?;
            }
            Statement::Drain(place) => self.drain(place)?,
            Statement::Source(mode) => self.sim.platform.set_mode(*mode),
            Statement::Target(place, mode) => {
                self.for_each_node(place, |sim, node| sim.nodes[node].target.mode = *mode)?;
            }
            Statement::Send(call) => self.send(call)?,
            Statement::Load(load) => {
                let load = SimEvent::LoadRequest(load.clone());
                self.sim.events.add(self.sim.now, load);
            }
            Statement::Wait(time) => return self.advance_until(self.sim.now + *time),
            Statement::Expect(expectation) => return self.expect(expectation),
        }
        Ok(())
    }

    fn start(&mut self, count: usize, zones: &[ZoneName]) {
        let zone_of: Vec<_> = zones.iter().cycle().take(count).cloned().collect();
        self.rules = deployment::rules(zones, &zone_of);
        self.publish_rules();
        self.sim.add_nodes(&zone_of);
    }

    fn publish(&mut self, change: &Change) -> Result<()> {
        let number = self.published.len();
        match change {
            Change::Comment => self.rules.push(format!("# change {number}")),
            Change::Line(line) => self.rules.push(line.clone()),
            Change::Republish(text) => return self.republish(*text),
            Change::TakeOut(place) => {
                let outage = self.outage(place)?;
                self.forbid_new_work(place);
                self.rules.push(outage);
            }
            Change::BringBack(place) => {
                let outage = self.outage(place)?;
                self.sim.recorder.no_new_work_since.remove(place);
                self.rules.retain(|rule| *rule != outage);
            }
        }
        if self.publish_rules().is_none() {
            self.rules.pop();
        }
        Ok(())
    }

    fn outage(&self, place: &Place) -> Result<String> {
        let outage = deployment::outage(place);
        outage.ok_or_else(|| self.error(Category::Reference, "a zone or a node", place))
    }

    fn publish_rules(&mut self) -> Option<Version> {
        let text = self.rules.join("\n") + "\n";
        self.publish_text(text.into())
    }

    fn publish_text(&mut self, text: Bytes) -> Option<Version> {
        let index = self.sim.platform.publish(text.clone());
        let version = validate(&text, index);
        self.published.push((text, version));
        version
    }

    fn republish(&mut self, number: usize) -> Result<()> {
        let text = number.checked_sub(1).and_then(|i| self.published.get(i));
        let Some((text, _)) = text.cloned() else {
            return Err(self.error(Category::Reference, "a published text", number));
        };
        self.publish_text(text);
        Ok(())
    }

    fn cut(&mut self, place: &Place) -> Result<()> {
        let nodes = self.nodes(place)?;
        self.sim.network.cut(&nodes);
        Ok(())
    }

    /// Records that a place must receive no new work from now on.
    fn forbid_new_work(&mut self, place: &Place) {
        let since = &mut self.sim.recorder.no_new_work_since;
        since.insert(place.clone(), self.sim.now);
    }

    fn drain(&mut self, place: &Place) -> Result<()> {
        self.forbid_new_work(place);
        for node in self.nodes(place)? {
            self.sim.nodes[node].draining = true;
            let listed = self.sim.now + LEAVING_LIST_DELAY;
            self.sim.events.add(listed, SimEvent::ListAsLeaving(node));
            if let Some(pid) = self.sim.pid(node) {
                self.sim.handle(pid, RequestEvent::Drain.into());
            }
        }
        Ok(())
    }

    fn send(&mut self, call: &Call) -> Result<()> {
        let nodes = self.nodes(&Place::Node(call.node))?;
        let wall = self.sim.clocks().wall;
        let key = call.key.as_ref();
        let key = key.map(|name| self.sim.keys.key(name, wall, &mut self.sim.rng));
        for node in nodes {
            let sent = self
                .sim
                .call(node, &call.kind, key.as_deref(), call.attempt);
            if let Some(name) = &call.name {
                self.calls.insert(name.clone(), sent);
            }
        }
        Ok(())
    }

    fn for_each_node(
        &mut self,
        place: &Place,
        mut action: impl FnMut(&mut Simulation, usize),
    ) -> Result<()> {
        for node in self.nodes(place)? {
            action(&mut self.sim, node);
        }
        Ok(())
    }

    /// Returns the nodes of a place; fails if it has none.
    pub(super) fn nodes(&self, place: &Place) -> Result<Vec<usize>> {
        let nodes = self.sim.nodes_of(place);
        if nodes.is_empty() {
            return Err(self.error(Category::Reference, "a place with nodes", place));
        }
        Ok(nodes)
    }

    fn report(self) -> Report {
        Report {
            converged: self.sim.recorder.converged,
            reads: self.sim.platform.reads,
            runs: self.sim.recorder.runs.len(),
            time: self.sim.now - Time::ZERO,
        }
    }
}

fn validate(text: &[u8], index: Index) -> Option<Version> {
    let snapshot = celeryshore_rules::from_slice(text, index).ok()?;
    Some(snapshot.version)
}
