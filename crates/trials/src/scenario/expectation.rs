//! Checks what a scenario expects.

use std::time::Duration;

use celeryshore_model::Share;
use celeryshore_model::Time;
use celeryshore_model::Version;

use super::Category;
use super::Result;
use super::runner::Play;
use super::script::Bound;
use super::script::End;
use super::script::Expectation;
use super::script::Place;
use super::simulation::World;

impl Play {
    /// Checks an expectation, and lets time pass for it if it may.
    pub(super) fn expect(&mut self, expectation: &Expectation) -> Result<()> {
        match expectation {
            Expectation::InForce { place, within } => self.expect_in_force(place, *within),
            Expectation::VersionOf { place, text } => self.expect_version(place, *text),
            Expectation::Answer { name, end, within } => self.expect_answer(name, *end, *within),
            Expectation::Runs { key, bound, count } => self.expect_runs(key, *bound, *count),
            Expectation::Whole(share) => self.expect_whole(*share),
            Expectation::NoNewWork { place, after } => self.expect_no_new_work(place, *after),
            Expectation::Reads { per_second } => self.expect_reads(*per_second),
        }
    }

    fn expect_in_force(&mut self, place: &Place, within: Duration) -> Result<()> {
        let nodes = self.nodes(place)?;
        let newest = self.texts.iter().rev().find_map(|(_, version)| *version);
        let start = self.world.now;
        let end = start + within;
        let is_done = |world: &World| lagging(world, &nodes, newest).is_empty();
        if self.world.run_until(end, is_done) {
            let record = &mut self.world.record;
            record.converged.push(self.world.now - start);
            return Ok(());
        }
        let lagging = lagging(&self.world, &nodes, newest);
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
        let published = text.checked_sub(1).and_then(|i| self.texts.get(i));
        let version = published.and_then(|(_, version)| *version);
        let lagging = lagging(&self.world, &nodes, version);
        if lagging.is_empty() {
            return Ok(());
        }
        let expected = format!("text {text} in force {place}");
        Err(self.error(
            Category::Expectation,
            expected,
            format!("{lagging:?} without it"),
        ))
    }

    fn expect_answer(&mut self, name: &str, end: End, within: Duration) -> Result<()> {
        let Some(call) = self.calls.get(name).copied() else {
            return Err(self.error(Category::Reference, "the name of a request", name));
        };
        let deadline = self.world.now + within;
        self.world
            .run_until(deadline, |world| world.record.end(call).is_some());
        let found = self.world.record.end(call);
        if found == Some(end) {
            return Ok(());
        }
        let answer = &self.world.record.calls[&call].answer;
        let expected = format!("answer {name} {end}");
        Err(self.error(Category::Expectation, expected, format!("{answer:?}")))
    }

    fn expect_runs(&self, name: &str, bound: Bound, count: usize) -> Result<()> {
        let key = self.world.keys.get(name);
        let runs = self.world.record.runs.iter();
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
        let calls = &self.world.record.calls;
        let whole = calls
            .keys()
            .filter(|call| self.world.record.end(**call) == Some(End::Whole));
        let (whole, all) = (whole.count(), calls.len());
        let per_mille = whole.checked_mul(1_000).and_then(|n| n.checked_div(all));
        let found = per_mille.and_then(|n| u32::try_from(n).ok()).unwrap_or(0);
        if found >= share.per_mille() {
            return Ok(());
        }
        let found = format!("{whole} of {all}");
        Err(self.error(
            Category::Expectation,
            format!("{share} whole answers"),
            found,
        ))
    }

    fn expect_no_new_work(&self, place: &Place, after: Duration) -> Result<()> {
        let Some(closed) = self.world.record.closed.get(place).copied() else {
            return Err(self.error(Category::Reference, "a place that was closed", place));
        };
        let nodes = self.nodes(place)?;
        let mut runs = self.world.record.runs.iter();
        let late = runs.find(|run| nodes.contains(&run.node) && run.at > closed + after);
        let Some(late) = late else {
            return Ok(());
        };
        let found = format!("a run on n{} {:?} after", late.node + 1, late.at - closed);
        let expected = format!("no new work in {place} after {after:?}");
        Err(self.error(Category::Expectation, expected, found))
    }

    fn expect_reads(&self, per_second: u32) -> Result<()> {
        let (calls, since) = self.reads_since;
        let reads = self.world.platform.calls - calls;
        let bound = (self.world.now - since).as_secs_f64() * f64::from(per_second);
        let bound = Duration::from_secs_f64(bound).as_secs();
        if reads <= bound {
            return Ok(());
        }
        let expected = format!("at most {bound} calls since {since}");
        Err(self.error(Category::Expectation, expected, reads))
    }
}

/// Returns the running nodes where another version than this one is in force.
fn lagging(world: &World, nodes: &[usize], version: Option<Version>) -> Vec<String> {
    let running = nodes.iter().filter(|node| is_running(world, **node));
    let other = running.filter(|node| world.record.in_force.get(node).copied() != version);
    other.map(|node| format!("n{}", node + 1)).collect()
}

fn is_running(world: &World, node: usize) -> bool {
    let now: Time = world.now;
    world.nodes[node].is_running(now)
}
