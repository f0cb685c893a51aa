//! Plays the statements of a scenario.

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
use super::event_queue::Happening;
use super::node::System;
use super::script::Call;
use super::script::Change;
use super::script::Place;
use super::script::Scenario;
use super::script::Statement;
use super::script::Step;
use super::simulation::World;

/// Time by which the list of VMs lags.
const LIST_LAG: Duration = Duration::from_secs(5);

/// What was measured while a scenario was played.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Times in which each expected version came into force.
    pub converged: Vec<Duration>,
    /// Calls on the platform.
    pub reads: u64,
    /// Requests that were given to targets.
    pub runs: usize,
    /// Virtual time at the end.
    pub time: Duration,
}

/// A scenario while it is played.
#[derive(Debug)]
pub(super) struct Play {
    pub(super) world: World,
    pub(super) line: usize,
    rules: Vec<String>,
    /// Published texts with their versions, if they are good.
    pub(super) texts: Vec<(Bytes, Option<Version>)>,
    pub(super) calls: BTreeMap<String, CallId>,
    /// Calls on the platform when time was last set, and that time.
    pub(super) reads_since: (u64, Time),
}

impl Scenario {
    /// Plays the scenario with the decisions of one system.
    ///
    /// # Errors
    ///
    /// Fails if an expectation does not hold, if something happened that never
    /// may, or if a statement names something that is not there.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_trials::scenario::Scenario;
    /// use celeryshore_trials::scenario::System;
    ///
    /// let scenario: Scenario = "nodes 2 zones a\nwait 1s\n".parse()?;
    /// let report = scenario.run(System::Naive, 7)?;
    /// assert!(report.reads >= 2);
    /// # Ok::<(), celeryshore_trials::scenario::Error>(())
    /// ```
    pub fn run(&self, system: System, seed: u64) -> Result<Report> {
        let mut play = Play {
            world: World::new(system, seed),
            line: 0,
            rules: Vec::new(),
            texts: Vec::new(),
            calls: BTreeMap::new(),
            reads_since: (0, Time::ZERO),
        };
        for step in &self.steps {
            play.step(step)?;
        }
        Ok(play.report())
    }
}

impl Play {
    fn step(&mut self, step: &Step) -> Result<()> {
        self.line = step.line;
        if let Some(at) = step.at {
            self.pass_until(Time::ZERO + at)?;
        }
        self.play(&step.statement)?;
        self.check_violations()
    }

    fn pass_until(&mut self, end: Time) -> Result<()> {
        if end < self.world.now {
            let now = self.world.now;
            return Err(self.error(Category::Reference, "a later time", now));
        }
        self.reads_since = (self.world.platform.calls, self.world.now);
        self.world.run_until(end, |_| false);
        self.check_violations()
    }

    fn check_violations(&self) -> Result<()> {
        match self.world.record.violations.first() {
            None => Ok(()),
            Some(violation) => {
                Err(self.error(Category::Violation, "nothing of the kind", violation))
            }
        }
    }

    /// Makes the error of the present line.
    pub(super) fn error(
        &self,
        category: Category,
        expected: impl std::fmt::Display,
        found: impl std::fmt::Display,
    ) -> Error {
        Error::new(category, self.line, expected, found)
    }

    fn play(&mut self, statement: &Statement) -> Result<()> {
        match statement {
            Statement::Nodes { count, zones } => self.start(*count, zones),
            Statement::Publish(change) => return self.publish(change),
            Statement::Cut(place) => self.cut(place)?,
            Statement::CutSource(place) => {
                let nodes = self.nodes(place)?;
                self.world.network.cut_source(&nodes);
            }
            Statement::Heal => self.world.network.heal(),
            Statement::Lose(share) => self.world.network.loss = *share,
            Statement::Delay(time) => self.world.network.delay = *time,
            Statement::Kill(place) => self.each(place, World::kill)?,
            Statement::Restart(place) => self.each(place, World::start)?,
            Statement::Freeze(place, time) => {
                let until = self.world.now + *time;
                self.each(place, |world, node| world.nodes[node].frozen_until = until)?;
            }
            Statement::Drain(place) => self.drain(place)?,
            Statement::Source(mode) => self.world.platform.set_mode(*mode),
            Statement::Target(place, mode) => {
                self.each(place, |world, node| world.nodes[node].target.mode = *mode)?;
            }
            Statement::Send(call) => self.send(call)?,
            Statement::Load(load) => {
                let load = Happening::Load(load.clone());
                self.world.agenda.add(self.world.now, load);
            }
            Statement::Wait(time) => return self.pass_until(self.world.now + *time),
            Statement::Expect(expectation) => return self.expect(expectation),
        }
        Ok(())
    }

    fn start(&mut self, count: usize, zones: &[ZoneName]) {
        let zone_of: Vec<_> = zones.iter().cycle().take(count).cloned().collect();
        self.rules = deployment::rules(zones, &zone_of);
        self.publish_rules();
        self.world.add_nodes(&zone_of);
    }

    fn publish(&mut self, change: &Change) -> Result<()> {
        let number = self.texts.len();
        match change {
            Change::Comment => self.rules.push(format!("# change {number}")),
            Change::Line(line) => self.rules.push(line.clone()),
            Change::Again(text) => return self.republish(*text),
            Change::TakeOut(place) => {
                let outage = self.outage(place)?;
                self.close(place);
                self.rules.push(outage);
            }
            Change::BringBack(place) => {
                let outage = self.outage(place)?;
                self.world.record.closed.remove(place);
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
        let index = self.world.platform.publish(text.clone());
        let version = judge(&text, index);
        self.texts.push((text, version));
        version
    }

    fn republish(&mut self, number: usize) -> Result<()> {
        let text = number.checked_sub(1).and_then(|i| self.texts.get(i));
        let Some((text, _)) = text.cloned() else {
            return Err(self.error(Category::Reference, "a published text", number));
        };
        self.publish_text(text);
        Ok(())
    }

    fn cut(&mut self, place: &Place) -> Result<()> {
        let nodes = self.nodes(place)?;
        self.world.network.cut(&nodes);
        Ok(())
    }

    /// Notes that a place is to receive no new work from now on.
    fn close(&mut self, place: &Place) {
        let closed = &mut self.world.record.closed;
        closed.insert(place.clone(), self.world.now);
    }

    fn drain(&mut self, place: &Place) -> Result<()> {
        self.close(place);
        for node in self.nodes(place)? {
            self.world.nodes[node].draining = true;
            let listed = self.world.now + LIST_LAG;
            self.world.agenda.add(listed, Happening::Leaving(node));
            if let Some(life) = self.world.life(node) {
                self.world.handle(life, RequestEvent::Drain.into());
            }
        }
        Ok(())
    }

    fn send(&mut self, call: &Call) -> Result<()> {
        let nodes = self.nodes(&Place::Node(call.node))?;
        let wall = self.world.clocks().wall;
        let key = call.key.as_ref();
        let key = key.map(|name| self.world.keys.key(name, wall, &mut self.world.rng));
        for node in nodes {
            let sent = self
                .world
                .call(node, &call.kind, key.as_deref(), call.attempt);
            if let Some(name) = &call.name {
                self.calls.insert(name.clone(), sent);
            }
        }
        Ok(())
    }

    fn each(&mut self, place: &Place, mut act: impl FnMut(&mut World, usize)) -> Result<()> {
        for node in self.nodes(place)? {
            act(&mut self.world, node);
        }
        Ok(())
    }

    /// Returns the nodes of a place, which has to have some.
    pub(super) fn nodes(&self, place: &Place) -> Result<Vec<usize>> {
        let nodes = self.world.nodes_of(place);
        if nodes.is_empty() {
            return Err(self.error(Category::Reference, "a place with nodes", place));
        }
        Ok(nodes)
    }

    fn report(self) -> Report {
        Report {
            converged: self.world.record.converged,
            reads: self.world.platform.calls,
            runs: self.world.record.runs.len(),
            time: self.world.now - Time::ZERO,
        }
    }
}

fn judge(text: &[u8], index: Index) -> Option<Version> {
    let snapshot = celeryshore_rules::from_slice(text, index).ok()?;
    Some(snapshot.version)
}
