//! Stand-ins and drivers of the scripts in `review/6` to `review/10`.
//!
//! `review-2 CASE RECORD` starts the store, the upstreams, the nodes and the clients of a
//! small deployment, writes what they saw to the file RECORD, and exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the
//! disruption out.
//!
//! `review-2 soak RECORD SEED ROUNDS` is no case; with `TROUBLE=0` its store stays up.

mod http;
mod mesh;
mod store;

mod deep_pipeline;
mod keyed_recovery;
mod long_watch;
mod odd_entries;
mod route_name;
mod soak;

use std::process::exit;

use crate::mesh::Record;

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [case, path, rest @ ..] = &args[..] else {
        eprintln!("usage: review-2 CASE RECORD, or review-2 soak RECORD SEED ROUNDS");
        exit(2);
    };
    let number = |i: usize| {
        rest.get(i)
            .and_then(|n: &String| n.parse().ok())
            .unwrap_or(1)
    };
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|v| v == "0");
    let record = Record::create(path);
    let is_broken = match case.as_str() {
        "long-watch" => long_watch::run(record, has_trouble),
        "keyed-recovery" => keyed_recovery::run(record, has_trouble),
        "deep-pipeline" => deep_pipeline::run(record, has_trouble),
        "odd-entries" => odd_entries::run(record, has_trouble),
        "soak" => soak::run(record, number(0), number(1), has_trouble),
        "route-name" => route_name::run(record, has_trouble),
        _ => exit(2),
    };
    exit(i32::from(is_broken));
}
