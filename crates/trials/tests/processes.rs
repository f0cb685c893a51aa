//! Requests, a version change and a killed node with a few real processes.

use std::time::Duration;

use async_io::Timer;
use celeryshore_standins::executor;
use celeryshore_trials::caller::Caller;
use celeryshore_trials::caller::Outcome;
use celeryshore_trials::deployment::ASSOCIATION;
use celeryshore_trials::deployment::DEADLINE;
use celeryshore_trials::deployment::Deployment;
use celeryshore_trials::deployment::ServiceSpec;
use celeryshore_trials::error::Result;
use celeryshore_trials::fleet::CLOCK_ALLOWANCE;
use celeryshore_trials::fleet::Changes;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::TargetTimes;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: u32 = 3;
const DEPLOYMENT: Deployment = Deployment {
    services: &[
        ServiceSpec {
            upstreams: 3,
            ..ASSOCIATION.services[0]
        },
        ServiceSpec {
            upstreams: 1,
            ..ASSOCIATION.services[1]
        },
    ],
    ..ASSOCIATION
};

fn run(number: u16, check: impl AsyncFnOnce(Fleet) -> Result<()>) {
    let all = async {
        let fleet = Fleet::start(DEPLOYMENT, number, TargetTimes::default()).await?;
        check(fleet).await
    };
    executor::run(1, all).expect("the fleet starts and the check succeeds");
}

async fn call_each_kind(fleet: &Fleet) {
    let caller = Caller::default();
    for kind in DEPLOYMENT.kinds() {
        let record = caller
            .call(kind, &fleet.caller_addresses(), MAX_ATTEMPTS, DEADLINE)
            .await;
        assert_eq!(
            record.outcome,
            Outcome::Answered,
            "{} {:?}",
            kind.name,
            record.reasons
        );
    }
}

#[test]
fn each_kind() {
    run(0, async |fleet| {
        call_each_kind(&fleet).await;
        let counts = fleet.target_counts().await?;
        let runs: u64 = counts.iter().map(|c| c.started).sum();
        assert_eq!(runs, 5);
        Ok(())
    });
}

#[test]
fn version_change() {
    run(1, async |mut fleet| {
        let index = fleet.publish(Changes::default()).await?;
        fleet.wait_converged(index, TIMEOUT).await?;
        call_each_kind(&fleet).await;
        Ok(())
    });
}

// A node that has been listed for less than 30 s asks all others before it runs
// an at-most-once request. It can't ask the killed node, so the outcome may be
// unknown.
async fn call_beside_dead_node(fleet: &Fleet) -> Result<()> {
    let caller = Caller::default();
    for kind in DEPLOYMENT.kinds() {
        let record = caller
            .call(kind, &fleet.caller_addresses(), MAX_ATTEMPTS, DEADLINE)
            .await;
        let counts = fleet.target_counts().await?;
        let runs = counts.iter().filter_map(|c| c.runs.get(&record.key));
        match record.outcome {
            Outcome::Answered => (),
            Outcome::Unknown if !kind.idempotent => assert!(runs.sum::<u32>() <= 1),
            outcome => panic!("{}: {outcome}, {:?}", kind.name, record.reasons),
        }
    }
    Ok(())
}

#[test]
fn killed_node() {
    run(2, async |mut fleet| {
        fleet.kill_node(0);
        call_beside_dead_node(&fleet).await?;
        fleet.start_node(0)?;
        fleet.wait_ready(TIMEOUT).await?;
        Timer::after(CLOCK_ALLOWANCE).await;
        call_each_kind(&fleet).await;
        Ok(())
    });
}
