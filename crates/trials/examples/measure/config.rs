//! Convergence time and cost of configuration changes.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use async_io::Timer;
use celeryshore_model::Index;
use celeryshore_standins::client::Client;
use celeryshore_standins::executor::spawn;
use celeryshore_trials::deployment::ASSOCIATION;
use celeryshore_trials::deployment::Deployment;
use celeryshore_trials::deployment::ServiceSpec;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::KEY;
use celeryshore_trials::fleet::Port;
use celeryshore_trials::fleet::TargetTimes;
use celeryshore_trials::report;
use derive_more::Display;
use getopts::Matches;
use http_types::Method;
use tabled::Tabled;

const SIZES: &str = "8,32,100";
const SETTLE_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(10);
const CHANGES: usize = 5;
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
const KILL_STRIDE: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(2);
const INDEX_HEADER: &str = "x-consul-index";
const BYTES_PER_KIB: u64 = 1_024;
const CONTROL_BYTES_METRIC: &str = "celeryshore_control_sent_bytes_total";

/// Number, displayed with two decimal places.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("{_0:.2}")]
struct Figure(f64);

/// Results for one fleet size.
#[derive(Clone, Debug, Default, Tabled)]
struct Row {
    way: &'static str,
    nodes: u16,
    #[tabled(rename = "convergence median ms")]
    median: Figure,
    #[tabled(rename = "p99 ms")]
    p99: Figure,
    #[tabled(rename = "last ms")]
    last: Figure,
    #[tabled(rename = "idle B/s per node")]
    idle: Figure,
    #[tabled(rename = "B per change and node")]
    change: Figure,
    #[tabled(rename = "platform calls/s")]
    calls: Figure,
    #[tabled(rename = "peak calls in 1 s")]
    peak: usize,
    #[tabled(rename = "catch-up ms")]
    catch_up: Figure,
    #[tabled(rename = "memory KiB per node")]
    memory: Figure,
    #[tabled(rename = "processor % per node")]
    processor: Figure,
}

/// Measures fleets of several sizes, and polling clients for comparison.
pub async fn measure(m: &Matches) -> Result<()> {
    let sizes = m.opt_str("nodes").unwrap_or_else(|| SIZES.to_owned());
    let mut rows = Vec::new();
    for size in sizes.split(',') {
        let size = size.parse().context("invalid --nodes")?;
        rows.extend(
            measure_size(size)
                .await
                .with_context(|| format!("{size} nodes"))?,
        );
    }
    for way in ["celeryshore", "naive"] {
        let rows: Vec<Row> = rows.iter().filter(|row| row.way == way).cloned().collect();
        report::print(way, rows.clone());
        if let (Some(first), Some(last)) = (rows.first(), rows.last()) {
            report::print("Slope over nodes", [slope(first, last)]);
        }
    }
    Ok(())
}

async fn measure_size(nodes: u16) -> Result<[Row; 2]> {
    let mut fleet = Fleet::start(deployment(nodes), 0, TargetTimes::default()).await?;
    Timer::after(SETTLE_TIME).await;
    let mut row = Row {
        way: "celeryshore",
        nodes,
        ..Row::default()
    };
    measure_idle(&fleet, &mut row).await?;
    measure_changes(&mut fleet, &mut row).await?;
    measure_restarts(&mut fleet, &mut row).await?;
    fleet.kill_all_nodes();
    let polling = measure_polling(&mut fleet, nodes).await?;
    Ok([row, polling])
}

fn deployment(nodes: u16) -> Deployment {
    let service = ServiceSpec {
        upstreams: nodes,
        ..ASSOCIATION.services[0]
    };
    Deployment {
        services: Box::leak(Box::new([service])),
        ..ASSOCIATION
    }
}

async fn measure_idle(fleet: &Fleet, row: &mut Row) -> Result<()> {
    let (bytes, usage, calls) = (
        control_bytes_sent(fleet).await?,
        fleet.usage(),
        fleet.platform_calls().await?,
    );
    Timer::after(IDLE_TIME).await;
    let nodes = f64::from(row.nodes);
    let seconds = IDLE_TIME.as_secs_f64();
    let now = fleet.usage();
    row.idle = Figure((control_bytes_sent(fleet).await? - bytes) / seconds / nodes);
    let calls_made = fleet.platform_calls().await?.total() - calls.total();
    row.calls = Figure(to_f64(calls_made) / seconds);
    row.memory = Figure(to_f64(now.memory / BYTES_PER_KIB) / nodes);
    let processor = now.cpu_time.saturating_sub(usage.cpu_time);
    row.processor = Figure(100.0 * processor.as_secs_f64() / seconds / nodes);
    Ok(())
}

async fn measure_changes(fleet: &mut Fleet, row: &mut Row) -> Result<()> {
    let mut times = Vec::new();
    let (bytes, started) = (control_bytes_sent(fleet).await?, Instant::now());
    for _ in 0..CHANGES {
        let index = fleet.publish(fleet.changes.clone()).await?;
        times.extend(fleet.wait_converged(index, CONVERGENCE_TIMEOUT).await?);
        Timer::after(CHANGE_INTERVAL).await;
    }
    let nodes = f64::from(row.nodes);
    let idle = row.idle.0 * nodes * started.elapsed().as_secs_f64();
    let extra = control_bytes_sent(fleet).await? - bytes - idle;
    row.change = Figure(extra / nodes / to_f64(u64::try_from(CHANGES)?));
    set_convergence(times, row);
    Ok(())
}

fn set_convergence(mut times: Vec<Duration>, row: &mut Row) {
    times.sort_unstable();
    let at = |percent: usize| to_millis(times[(times.len() - 1) * percent / 100]);
    row.median = Figure(at(50));
    row.p99 = Figure(at(99));
    row.last = Figure(at(100));
}

async fn measure_restarts(fleet: &mut Fleet, row: &mut Row) -> Result<()> {
    let third = || (0..usize::from(row.nodes)).step_by(KILL_STRIDE);
    for vm in third() {
        fleet.kill_node(vm);
    }
    let index = fleet.publish(fleet.changes.clone()).await?;
    for vm in third() {
        fleet.start_node(vm)?;
    }
    let times = fleet.wait_converged(index, CATCH_UP_TIMEOUT).await?;
    row.catch_up = Figure(times.last().copied().map(to_millis).unwrap_or_default());
    row.peak = fleet.platform_calls().await?.peak_second;
    Ok(())
}

async fn measure_polling(fleet: &mut Fleet, nodes: u16) -> Result<Row> {
    let platform = fleet.stand_in_address(Port::Platform);
    let calls = fleet.platform_calls().await?;
    let known = fleet.publish(fleet.changes.clone()).await?;
    let started = Instant::now();
    let poll = |_| spawn(poll_until(platform, Index(known.0 + 1)));
    let polls: Vec<_> = (0..nodes).map(poll).collect();
    Timer::after(IDLE_TIME).await;
    let published = Instant::now();
    fleet.publish(fleet.changes.clone()).await?;
    let (mut times, mut bytes) = (Vec::new(), 0);
    for poll in polls {
        let (at, read) = poll.await?;
        times.push(at.duration_since(published));
        bytes += read;
    }
    let seconds = started.elapsed().as_secs_f64();
    let calls_made = fleet.platform_calls().await?.total() - calls.total();
    let mut row = Row {
        way: "naive",
        nodes,
        idle: Figure(to_f64(bytes) / seconds / f64::from(nodes)),
        calls: Figure(to_f64(calls_made) / seconds),
        peak: fleet.platform_calls().await?.peak_second,
        ..Row::default()
    };
    set_convergence(times, &mut row);
    Ok(row)
}

async fn poll_until(platform: std::net::SocketAddr, index: Index) -> Result<(Instant, u64)> {
    Timer::after(POLL_INTERVAL.mul_f64(fastrand::f64())).await;
    let mut client = Client::new(platform, TIMEOUT);
    let mut bytes = 0;
    loop {
        let res = client
            .send(client.request(Method::Get, &format!("/v1/kv/{KEY}?raw")))
            .await?;
        bytes += u64::try_from(res.body.len())?;
        let found = res.header(INDEX_HEADER).and_then(|v| v.parse().ok());
        if found.is_some_and(|found: u64| found >= index.0) {
            return Ok((Instant::now(), bytes));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn control_bytes_sent(fleet: &Fleet) -> Result<f64> {
    let mut total = 0.0;
    for vm in fleet.running_vms() {
        let mut client = Client::new(vm.address(Port::Operators), TIMEOUT);
        let res = client.send(client.request(Method::Get, "/metrics")).await?;
        let text = String::from_utf8_lossy(&res.body);
        let lines = text
            .lines()
            .filter(|line| line.starts_with(CONTROL_BYTES_METRIC));
        total += lines.filter_map(metric_value).sum::<f64>();
    }
    Ok(total)
}

fn metric_value(line: &str) -> Option<f64> {
    line.rsplit(' ').next()?.parse().ok()
}

fn slope(first: &Row, last: &Row) -> Row {
    let nodes = f64::from(last.nodes) - f64::from(first.nodes);
    let per_node = |value: fn(&Row) -> Figure| Figure((value(last).0 - value(first).0) / nodes);
    Row {
        way: first.way,
        nodes: 1,
        median: per_node(|r| r.median),
        p99: per_node(|r| r.p99),
        last: per_node(|r| r.last),
        idle: per_node(|r| r.idle),
        change: per_node(|r| r.change),
        calls: per_node(|r| r.calls),
        peak: 0,
        catch_up: per_node(|r| r.catch_up),
        memory: per_node(|r| r.memory),
        processor: per_node(|r| r.processor),
    }
}

fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
