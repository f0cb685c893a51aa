//! Service of each request kind while faults are injected.

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
use celeryshore_trials::deployment::KindSpec;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::TargetTimes;
use celeryshore_trials::load;
use celeryshore_trials::load::Load;
use celeryshore_trials::load::Summary;
use celeryshore_trials::report;
use celeryshore_trials::report::ServiceRow;
use getopts::Matches;

use crate::scenario::Scenario;

const SERVICE_TIME: Duration = Duration::from_millis(100);
const WARM_UP_TIME: Duration = Duration::from_secs(6);
const LOAD_TIME: Duration = Duration::from_secs(12);
const PERCENT: u32 = 100;
const MAX_POISON_ATTEMPTS: u32 = 5;
const CLIENTS: [Client; 2] = [Client::Mesh, Client::Naive];

#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Client {
    #[display("celeryshore")]
    Mesh,
    #[display("naive client")]
    Naive,
}

/// Measures the scenarios and deployments given by options; the default is all.
pub async fn measure(m: &Matches) -> Result<()> {
    let names = m.opt_strs("deployment");
    let is_selected = |d: &Deployment| names.is_empty() || names.iter().any(|n| n == d.name);
    let scenarios: Vec<Scenario> = match m.opt_strs("scenario") {
        names if names.is_empty() => Scenario::ALL.to_vec(),
        names => names.iter().map(|n| n.parse()).collect::<Result<_, _>>()?,
    };
    let clients = if m.opt_present("naive") {
        &CLIENTS[..]
    } else {
        &CLIENTS[..1]
    };
    for deployment in [ASSOCIATION, HRONEC].into_iter().filter(is_selected) {
        for scenario in &scenarios {
            for client in clients {
                let result = run(deployment, *scenario, *client).await;
                result.with_context(|| format!("{} {scenario}", deployment.name))?;
            }
        }
    }
    Ok(())
}

async fn run(deployment: Deployment, scenario: Scenario, client: Client) -> Result<()> {
    let targets = TargetTimes {
        service_time: SERVICE_TIME,
        ..TargetTimes::default()
    };
    let mut fleet = Fleet::start(deployment, 0, targets).await?;
    let nodes = fleet.node_addresses.clone().route();
    fleet.wait_settled().await;
    load::run(
        scenario_load(deployment, Scenario::Steady, WARM_UP_TIME),
        nodes.clone(),
    )
    .await;
    let before = fleet.usage();

    let load = scenario_load(deployment, scenario, LOAD_TIME);
    let route = match client {
        Client::Mesh => nodes,
        Client::Naive => load::round_robin_route(fleet.vms.clone()),
    };
    let records = spawn(load::run(load, route));
    if scenario == Scenario::Poison {
        send_poison(&fleet).await?;
    }
    scenario.inject(&mut fleet).await?;
    let records = records.await;

    let counts = fleet.target_counts().await?;
    let row = |kind: KindSpec| {
        let summary = Summary::new(kind.name, &records, &counts);
        ServiceRow::new(kind.name, &summary)
    };
    let percent = scenario.load_percent();
    let title = format!("{client}, {}, {scenario}, load {percent}%", deployment.name);
    report::print(&title, deployment.kinds().map(row));
    println!("\ntargets: {}", report::peak_load(&counts));
    println!("reasons: {}", report::reasons(&records));
    let spent = fleet.usage().cpu_time.saturating_sub(before.cpu_time);
    let calls = u32::try_from(records.len().max(1))?;
    println!("processor time of all nodes per call: {:?}", spent / calls);
    Ok(())
}

fn scenario_load(deployment: Deployment, scenario: Scenario, duration: Duration) -> Load {
    let per_slot = Duration::from_secs(1).div_duration_f64(SERVICE_TIME);
    let capacity = f64::from(deployment.slots()) * per_slot;
    let share = f64::from(scenario.load_percent()) / f64::from(PERCENT);
    Load {
        kinds: deployment.kinds().collect(),
        interval: Duration::from_secs(1).div_f64(capacity * share),
        duration,
    }
}

async fn send_poison(fleet: &Fleet) -> Result<()> {
    let kind = fleet.deployment.kinds().find(|kind| !kind.idempotent);
    let kind = kind.context("the deployment has no at-most-once kind")?;
    let kind = KindSpec {
        crashes: true,
        ..kind
    };
    let caller = Caller::default();
    let record = caller
        .call(
            kind,
            &fleet.caller_addresses(),
            MAX_POISON_ATTEMPTS,
            2 * DEADLINE,
        )
        .await;
    let counts = fleet.target_counts().await?;
    let crashes: u64 = counts.iter().map(|c: &Counts| c.crashes).sum();
    println!(
        "\npoison: {} sends, {} ({:?}), {crashes} crashed targets",
        record.attempts, record.outcome, record.reasons
    );
    Ok(())
}
