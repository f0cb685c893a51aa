//! Service for each request kind through faults.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::target::Counts;
use celeryshore_trials::caller::Caller;
use celeryshore_trials::deployment::ASSOCIATION;
use celeryshore_trials::deployment::DEADLINE;
use celeryshore_trials::deployment::Deployment;
use celeryshore_trials::deployment::HRONEC;
use celeryshore_trials::deployment::KindShape;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::Targets;
use celeryshore_trials::load;
use celeryshore_trials::load::Load;
use celeryshore_trials::load::Summary;
use celeryshore_trials::report;
use celeryshore_trials::report::ServiceRow;
use getopts::Matches;

use crate::scenario::Scenario;

const SERVICE_TIME: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(8);
const DURATION: Duration = Duration::from_secs(12);
const PERCENT: u32 = 100;
const POISON_SENDS: u32 = 5;
const SIDES: [Side; 2] = [Side::Mesh, Side::Naive];

#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Side {
    #[display("celeryshore")]
    Mesh,
    #[display("naive client")]
    Naive,
}

/// Measures the scenarios that were asked for, or all.
pub async fn measure(m: &Matches) -> Result<()> {
    let chosen = m.opt_strs("deployment");
    let wanted = |d: &Deployment| chosen.is_empty() || chosen.iter().any(|n| n == d.name);
    let scenarios: Vec<Scenario> = match m.opt_strs("scenario") {
        names if names.is_empty() => Scenario::ALL.to_vec(),
        names => names.iter().map(|n| n.parse()).collect::<Result<_, _>>()?,
    };
    let sides = if m.opt_present("naive") {
        &SIDES[..]
    } else {
        &SIDES[..1]
    };
    for deployment in [ASSOCIATION, HRONEC].into_iter().filter(wanted) {
        for scenario in &scenarios {
            for side in sides {
                let result = run(deployment, *scenario, *side).await;
                result.with_context(|| format!("{} {scenario}", deployment.name))?;
            }
        }
    }
    Ok(())
}

async fn run(deployment: Deployment, scenario: Scenario, side: Side) -> Result<()> {
    let targets = Targets {
        service_time: SERVICE_TIME,
        ..Targets::default()
    };
    let mut fleet = Fleet::start(deployment, 0, targets).await?;
    let nodes = fleet.callers.clone().route();
    load::run(steady(deployment, Scenario::Steady, WARM_UP), nodes.clone()).await;
    let before = fleet.usage();

    let load = steady(deployment, scenario, DURATION);
    let route = match side {
        Side::Mesh => nodes,
        Side::Naive => load::naive(fleet.vms.clone()),
    };
    let records = spawn(load::run(load, route));
    if scenario == Scenario::Poison {
        poison(&fleet).await?;
    }
    scenario.cause(&mut fleet).await?;
    let records = records.await;

    let counts = fleet.counts().await?;
    let row = |kind: KindShape| {
        let summary = Summary::of(kind.name, &records, &counts);
        ServiceRow::new(kind.name, &summary)
    };
    let percent = scenario.load_percent();
    let title = format!("{side}, {}, {scenario}, load {percent}%", deployment.name);
    report::print(&title, deployment.kinds().map(row));
    println!("\ntargets: {}", report::peaks(&counts));
    println!("reasons: {}", report::reasons(&records));
    let spent = fleet.usage().processor.saturating_sub(before.processor);
    let calls = u32::try_from(records.len().max(1))?;
    println!("processor time of all nodes per call: {:?}", spent / calls);
    Ok(())
}

fn steady(deployment: Deployment, scenario: Scenario, duration: Duration) -> Load {
    let per_slot = Duration::from_secs(1).div_duration_f64(SERVICE_TIME);
    let bearable = f64::from(deployment.slots()) * per_slot;
    let share = f64::from(scenario.load_percent()) / f64::from(PERCENT);
    Load {
        kinds: deployment.kinds().collect(),
        pause: Duration::from_secs(1).div_f64(bearable * share),
        duration,
    }
}

async fn poison(fleet: &Fleet) -> Result<()> {
    let order = fleet.deployment.kinds().find(|kind| !kind.idempotent);
    let order = order.context("a deployment has orders")?;
    let kind = KindShape {
        crashes: true,
        ..order
    };
    let caller = Caller::default();
    let record = caller
        .call(kind, &fleet.callers(), POISON_SENDS, 2 * DEADLINE)
        .await;
    let counts = fleet.counts().await?;
    let crashes: u64 = counts.iter().map(|c: &Counts| c.crashes).sum();
    println!(
        "\npoison: {} sends, {} ({:?}), {crashes} crashed targets",
        record.sends, record.end, record.reasons
    );
    Ok(())
}
