//! Checks of the `expect` statements.

use std::time::Duration;

use celeryshore_model::Share;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::Category;
use super::Result;
use super::runner::Runner;
use super::script::AnswerKind;
use super::script::Bound;
use super::script::Expectation;
use super::script::Place;
use super::simulation::Simulation;

impl Runner {
    /// Checks an expectation. One with `within` advances the time until it holds
    /// or that time is over.
    pub(super) fn expect(&mut self, expectation: &Expectation) -> Result<()> {
        match expectation {
            Expectation::InForce { place, within } => self.expect_in_force(place, *within),
            Expectation::VersionOf { place, text } => self.expect_version(place, *text),
            Expectation::Answer { name, kind, within } => self.expect_answer(name, *kind, *within),
            Expectation::Runs { key, bound, count } => self.expect_runs(key, *bound, *count),
            Expectation::Whole(share) => self.expect_whole(*share),
            Expectation::NoNewWork { place, after } => self.expect_no_new_work(place, *after),
            Expectation::Reads { per_second } => self.expect_reads(*per_second),
            Expectation::Sent {
                place,
                count,
                span,
                since,
            } => self.expect_sent(place, *count, *span, Time::ZERO + *since),
        }
    }

    fn expect_in_force(&mut self, place: &Place, within: Duration) -> Result<()> {
        let nodes = self.nodes(place)?;
        let newest = self
            .published
            .iter()
            .rev()
            .find_map(|(_, version)| *version);
        let start = self.sim.now;
        let end = start + within;
        let is_done = |sim: &Simulation| lagging(sim, &nodes, newest).is_empty();
        if self.sim.run_until(end, is_done) {
            let recorder = &mut self.sim.recorder;
            recorder.converged.push(self.sim.now - start);
            return Ok(());
        }
        let lagging = lagging(&self.sim, &nodes, newest);
        let found = format!(
            "{} of {} nodes behind: {lagging:?}",
            lagging.len(),
            nodes.len()
        );
        let expected = format!("the newest version {place} within {within:?}");
        Err(self.error(Category::Expectation, expected, found))
    }

    fn expect_version(&self, place: &Place, text: usize) -> Result<()> {
        let nodes = self.nodes(place)?;
        let published = text.checked_sub(1).and_then(|i| self.published.get(i));
        let version = published.and_then(|(_, version)| *version);
        let lagging = lagging(&self.sim, &nodes, version);
        if lagging.is_empty() {
            return Ok(());
        }
        let expected = format!("published text {text} in effect {place}");
        Err(self.error(
            Category::Expectation,
            expected,
            format!("another version on {lagging:?}"),
        ))
    }

    fn expect_answer(&mut self, name: &str, kind: AnswerKind, within: Duration) -> Result<()> {
        let Some(call) = self.calls.get(name).copied() else {
            return Err(self.error(Category::Reference, "the name of a sent request", name));
        };
        let deadline = self.sim.now + within;
        self.sim
            .run_until(deadline, |sim| sim.recorder.answer_kind(call).is_some());
        let found = self.sim.recorder.answer_kind(call);
        if found == Some(kind) {
            return Ok(());
        }
        let answer = &self.sim.recorder.calls[&call].answer;
        let expected = format!("answer {name} {kind}");
        Err(self.error(Category::Expectation, expected, format!("{answer:?}")))
    }

    fn expect_runs(&self, name: &str, bound: Bound, count: usize) -> Result<()> {
        let key = self.sim.keys.get(name);
        let runs = self.sim.recorder.runs.iter();
        let found = runs.filter(|run| Some(&run.operation) == key).count();
        let holds = match bound {
            Bound::AtMost => found <= count,
            Bound::Exactly => found == count,
        };
        if holds {
            return Ok(());
        }
        let expected = format!("{bound} {count} runs of {name}");
        Err(self.error(Category::Expectation, expected, found))
    }

    fn expect_whole(&self, share: Share) -> Result<()> {
        let calls = &self.sim.recorder.calls;
        let whole = calls
            .keys()
            .filter(|call| self.sim.recorder.answer_kind(**call) == Some(AnswerKind::Whole));
        let (whole, all) = (whole.count(), calls.len());
        let per_mille = whole.checked_mul(1_000).and_then(|n| n.checked_div(all));
        let found = per_mille.and_then(|n| u32::try_from(n).ok()).unwrap_or(0);
        if found >= share.per_mille() {
            return Ok(());
        }
        let found = format!("{whole} of {all}");
        Err(self.error(
            Category::Expectation,
            format!("at least {share} complete responses"),
            found,
        ))
    }

    fn expect_no_new_work(&self, place: &Place, after: Duration) -> Result<()> {
        let Some(since) = self.sim.recorder.no_new_work_since.get(place).copied() else {
            return Err(self.error(
                Category::Reference,
                "a place that was taken out or drained",
                place,
            ));
        };
        let nodes = self.nodes(place)?;
        let mut runs = self.sim.recorder.runs.iter();
        let late = runs.find(|run| nodes.contains(&run.node) && run.at > since + after);
        let Some(late) = late else {
            return Ok(());
        };
        let found = format!("a run on n{} after {:?}", late.node + 1, late.at - since);
        let expected = format!("no new work in {place} after {after:?}");
        Err(self.error(Category::Expectation, expected, found))
    }

    /// Checks the span with the most requests, since `since`, of those that have ended.
    fn expect_sent(&self, place: &Place, count: usize, span: Duration, since: Time) -> Result<()> {
        let nodes = self.nodes(place)?;
        let runs = self.sim.recorder.runs.iter();
        let times: Vec<_> = runs
            .filter(|run| nodes.contains(&run.node) && run.at >= since)
            .map(|run| run.at)
            .collect();
        let in_span = |start: &Time| {
            let within = |at: &&Time| **at >= *start && **at - *start < span;
            times.iter().filter(within).count()
        };
        let most = times.iter().map(in_span).max().unwrap_or(0);
        if most <= count {
            return Ok(());
        }
        let expected = format!("at most {count} requests to {place} in {span:?}");
        Err(self.error(Category::Expectation, expected, most))
    }

    fn expect_reads(&self, per_second: u32) -> Result<()> {
        let (reads_before, since) = self.reads_since;
        let reads = self.sim.platform.reads - reads_before;
        let bound = (self.sim.now - since).as_secs_f64() * f64::from(per_second);
        let bound = Duration::from_secs_f64(bound).as_secs();
        if reads <= bound {
            return Ok(());
        }
        let expected = format!("at most {bound} reads of the platform since {since}");
        Err(self.error(Category::Expectation, expected, reads))
    }
}

/// Returns the names of the running nodes on which this version is not in effect.
fn lagging(sim: &Simulation, nodes: &[usize], version: Option<Version>) -> Vec<String> {
    let running = nodes.iter().filter(|node| is_running(sim, **node));
    let other =
        running.filter(|node| sim.recorder.effective_versions.get(node).copied() != version);
    other.map(|node| format!("n{}", node + 1)).collect()
}

fn is_running(sim: &Simulation, node: usize) -> bool {
    let now: Time = sim.now;
    sim.nodes[node].is_running(now)
}
