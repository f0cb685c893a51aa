//! Latency that two nodes add to a call.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use celeryshore_trials::caller::Caller;
use celeryshore_trials::caller::Outcome;
use celeryshore_trials::deployment::ASSOCIATION;
use celeryshore_trials::deployment::Deployment;
use celeryshore_trials::deployment::KindSpec;
use celeryshore_trials::deployment::ServiceSpec;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::Port;
use celeryshore_trials::fleet::TargetTimes;
use celeryshore_trials::report;
use celeryshore_trials::report::Millis;
use celeryshore_trials::report::percentile;
use hdrhistogram::Histogram;
use tabled::Tabled;

const WARM_UP_CALLS: u32 = 2_000;
const CALLS: u32 = 10_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const TIMEOUT: Duration = Duration::from_secs(2);

// The first VM's node forwards the request, and the second VM's node admits it.
const DEPLOYMENT: Deployment = Deployment {
    name: "latency",
    services: &[
        ServiceSpec {
            name: "forwarding",
            upstreams: 1,
            kinds: &[],
        },
        ServiceSpec {
            name: "ordering",
            upstreams: 1,
            kinds: ASSOCIATION.services[0].kinds,
        },
    ],
    ..ASSOCIATION
};

#[derive(Tabled)]
struct Row {
    call: String,
    calls: u64,
    p50: Millis,
    p90: Millis,
    p99: Millis,
}

/// Measures calls through two nodes and direct calls to the same target.
pub async fn measure() -> Result<()> {
    let targets = TargetTimes {
        cold_time: Duration::from_secs(1),
        service_time: Duration::ZERO,
    };
    let fleet = Fleet::start(DEPLOYMENT, 0, targets).await?;
    let mesh = fleet.vms[0].address(Port::Callers);
    let target = fleet.vms[1].address(Port::Target);
    let mut rows = Vec::new();
    for kind in [
        DEPLOYMENT.services[1].kinds[0],
        DEPLOYMENT.services[1].kinds[2],
    ] {
        rows.extend(compare(kind, mesh, target).await?);
    }
    report::print("Time added by two nodes", rows);
    Ok(())
}

async fn compare(kind: KindSpec, mesh: SocketAddr, target: SocketAddr) -> Result<Vec<Row>> {
    let caller = Caller::default();
    for _ in 0..WARM_UP_CALLS {
        caller.call(kind, &[mesh], 1, TIMEOUT).await;
        caller.call(kind, &[target], 1, TIMEOUT).await;
    }
    let mut direct = Histogram::new(SIGNIFICANT_DIGITS)?;
    let mut through_mesh = Histogram::new(SIGNIFICANT_DIGITS)?;
    for _ in 0..CALLS {
        direct.record(measure_call(&caller, kind, target).await?)?;
        through_mesh.record(measure_call(&caller, kind, mesh).await?)?;
    }
    let added = Row {
        call: format!("{}: difference", kind.name),
        calls: 0,
        p50: difference(&through_mesh, &direct, 50.0),
        p90: difference(&through_mesh, &direct, 90.0),
        p99: difference(&through_mesh, &direct, 99.0),
    };
    let direct = row(kind, "direct", &direct);
    let through_mesh = row(kind, "two nodes", &through_mesh);
    Ok(vec![direct, through_mesh, added])
}

async fn measure_call(caller: &Caller, kind: KindSpec, node: SocketAddr) -> Result<u64> {
    let key = Caller::new_key();
    let start = Instant::now();
    let reply = caller.send(kind, node, &key, 1, TIMEOUT).await;
    anyhow::ensure!(
        reply.outcome == Outcome::Answered,
        "call to {node} was not answered: {reply:?}"
    );
    Ok(u64::try_from(start.elapsed().as_micros())?)
}

fn row(kind: KindSpec, path: &str, times: &Histogram<u64>) -> Row {
    Row {
        call: format!("{}: {path}", kind.name),
        calls: times.len(),
        p50: percentile(times, 50.0),
        p90: percentile(times, 90.0),
        p99: percentile(times, 99.0),
    }
}

fn difference(more: &Histogram<u64>, less: &Histogram<u64>, percent: f64) -> Millis {
    let (more, less) = (percentile(more, percent), percentile(less, percent));
    Millis(more.0.saturating_sub(less.0))
}
