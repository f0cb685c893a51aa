//! Measures the cost of membership and configuration per node, in a simulated
//! fleet.
//!
//! Run it with `cargo run --release -p celeryshore-kernel --example fleet_cost`.
//! Optional arguments are the fleet sizes to measure, smallest first.

mod sim;

use std::time::Duration;

use self::sim::Sim;

const SIZES: [usize; 5] = [50, 100, 200, 500, 1_000];
const IDLE_SPAN: Duration = Duration::from_secs(20);
const START_BOUND: Duration = Duration::from_mins(1);
const CHANGES: u64 = 5;
const CHANGE_SPAN: Duration = Duration::from_secs(5);

/// Cost for one fleet size, per node except for `idle_calls` and `convergence`.
struct Cost {
    nodes: usize,
    /// Processing time of an idle fleet, in microseconds per second.
    idle_micros: f64,
    /// Bytes that an idle fleet sends, per second.
    idle_bytes: f64,
    /// Calls of all nodes of an idle fleet to the platform, per second.
    idle_calls: f64,
    /// Additional processing time per change, in microseconds.
    change_micros: f64,
    /// Additional bytes sent per change.
    change_bytes: f64,
    /// Longest time until a change was in effect on all nodes.
    convergence: Duration,
    memory_kib: f64,
}

fn resident_kib() -> f64 {
    const PAGE_KIB: f64 = 4.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_KIB
}

fn measure(nodes: usize) -> Cost {
    let per_node = 1.0 / to_f64(nodes);
    let before = resident_kib();
    let mut sim = Sim::new(nodes);
    assert!(
        sim.run(START_BOUND, true).is_some(),
        "the fleet did not converge after its start"
    );
    sim.run(IDLE_SPAN, false);
    let memory_kib = (resident_kib() - before) * per_node;

    let (bytes, calls) = (sim.sent_bytes(), sim.source_calls);
    sim.processing_time = Duration::ZERO;
    sim.run(IDLE_SPAN, false);
    let idle_micros = sim.processing_time.as_secs_f64() * 1e6 * per_node / IDLE_SPAN.as_secs_f64();
    let idle_bytes = to_f64(sim.sent_bytes() - bytes) * per_node / IDLE_SPAN.as_secs_f64();
    let idle_calls = to_f64(sim.source_calls - calls) / IDLE_SPAN.as_secs_f64();

    let bytes = sim.sent_bytes();
    sim.processing_time = Duration::ZERO;
    let mut convergence = Duration::ZERO;
    for revision in 2..2 + CHANGES {
        let start = sim.now;
        sim.publish(revision);
        let took = sim
            .run(CHANGE_SPAN, true)
            .expect("a change did not take effect on all nodes");
        convergence = convergence.max(took);
        let rest = start + CHANGE_SPAN - sim.now;
        sim.run(rest, false);
    }
    let span = CHANGE_SPAN.as_secs_f64();
    let changes = to_f64(CHANGES);
    let change_micros =
        sim.processing_time.as_secs_f64() * 1e6 * per_node / changes - idle_micros * span;
    let change_bytes = to_f64(sim.sent_bytes() - bytes) * per_node / changes - idle_bytes * span;
    // Leaked, so that the next size does not reuse its memory, which is measured.
    std::mem::forget(sim);
    Cost {
        nodes,
        idle_micros,
        idle_bytes,
        idle_calls,
        change_micros,
        change_bytes,
        convergence,
        memory_kib,
    }
}

fn to_f64(count: impl TryInto<u32>) -> f64 {
    count.try_into().map_or(f64::NAN, f64::from)
}

/// Returns the least-squares slope of a value over the number of nodes.
fn slope(costs: &[Cost], value: impl Fn(&Cost) -> f64) -> f64 {
    let count = to_f64(costs.len());
    let mean_x = costs.iter().map(|c| to_f64(c.nodes)).sum::<f64>() / count;
    let mean_y = costs.iter().map(&value).sum::<f64>() / count;
    let xy = costs
        .iter()
        .map(|c| (to_f64(c.nodes) - mean_x) * (value(c) - mean_y));
    let xx = costs.iter().map(|c| (to_f64(c.nodes) - mean_x).powi(2));
    xy.sum::<f64>() / xx.sum::<f64>()
}

fn main() {
    let args: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let sizes = if args.is_empty() {
        SIZES.to_vec()
    } else {
        args
    };
    println!("nodes  idle-us/s  idle-B/s  calls/s  change-us  change-B  last-ms  KiB/node");
    let costs: Vec<_> = sizes.into_iter().map(measure).collect();
    for c in &costs {
        println!(
            "{:5}  {:9.1}  {:8.0}  {:7.1}  {:9.0}  {:8.0}  {:7}  {:8.0}",
            c.nodes,
            c.idle_micros,
            c.idle_bytes,
            c.idle_calls,
            c.change_micros,
            c.change_bytes,
            c.convergence.as_millis(),
            c.memory_kib,
        );
    }
    println!(
        "slope  {:9.4}  {:8.4}  {:7.4}  {:9.3}  {:8.3}           {:8.3}",
        slope(&costs, |c| c.idle_micros),
        slope(&costs, |c| c.idle_bytes),
        slope(&costs, |c| c.idle_calls),
        slope(&costs, |c| c.change_micros),
        slope(&costs, |c| c.change_bytes),
        slope(&costs, |c| c.memory_kib),
    );
}
