//! Measures the time to parse a large rules text, to build and query its router,
//! and to compute, apply and compress a delta.
//!
//! Run with `cargo run --release -p celeryshore-rules --example parse_time`.

use std::fmt::Arguments;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;

use celeryshore_model::HttpRequest;
use celeryshore_model::Index;
use celeryshore_rules::Delta;
use celeryshore_rules::Router;

const SERVICES: u32 = 2_000;
const UPSTREAMS: u32 = 14_000;
const ROUNDS: u32 = 20;
const LOOKUPS: u32 = 1_000_000;

fn main() -> celeryshore_rules::Result<()> {
    let text = rules_text();
    println!("text: {} lines, {} bytes", text.lines().count(), text.len());
    let start = Instant::now();
    for _ in 0..ROUNDS {
        celeryshore_rules::from_str(&text, Index(1))?;
    }
    println!("parse: {:?}", start.elapsed() / ROUNDS);
    let snapshot = Arc::new(celeryshore_rules::from_str(&text, Index(1))?);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        drop(Router::new(Arc::clone(&snapshot)));
    }
    println!("router: {:?}", start.elapsed() / ROUNDS);
    time_lookups(&Router::new(snapshot));
    time_deltas(&text)
}

fn time_deltas(text: &str) -> celeryshore_rules::Result<()> {
    let result = text.replace("u9000 service=s1000", "u9000 service=s1001");
    let result = result.replace("r7 path=/s7", "r7 path=/t7");
    let start = Instant::now();
    let delta = Delta::between(text.as_bytes(), result.as_bytes());
    println!(
        "delta: {:?}, {} bytes",
        start.elapsed(),
        delta.to_vec().len()
    );
    let start = Instant::now();
    delta.apply(text.as_bytes())?;
    println!("apply: {:?}", start.elapsed());
    let start = Instant::now();
    let packed = celeryshore_rules::pack(text.as_bytes());
    println!("pack: {:?}, {} bytes", start.elapsed(), packed.len());
    Ok(())
}

fn time_lookups(router: &Router) {
    let req = HttpRequest {
        method: "GET".into(),
        host: "mesh.example".into(),
        path: "/s1234/orders/17".into(),
        ..HttpRequest::default()
    };
    let start = Instant::now();
    let found = (0..LOOKUPS).filter_map(|_| router.find(&req)).count();
    println!("find: {:?}, {found} found", start.elapsed() / LOOKUPS);
}

fn rules_text() -> String {
    let mut text = "epoch 1  # ops\nzone a region=r  # ops\n".to_owned();
    for i in 0..SERVICES {
        push_rule(
            &mut text,
            format_args!("service s{i} slots=6 connections=110"),
        );
        push_rule(
            &mut text,
            format_args!("kind s{i}/k semantics=idempotent deadline=2s"),
        );
        push_rule(
            &mut text,
            format_args!("route r{i} path=/s{i} service=s{i} kind=k host=mesh.example"),
        );
    }
    for i in 0..UPSTREAMS {
        let (service, high, low) = (i % SERVICES, i / 250, i % 250);
        let upstream = format_args!(
            "upstream u{i} service=s{service} zone=a vm=vm-{i} \
             peer=10.0.{high}.{low}:7101 control=10.0.{high}.{low}:7201"
        );
        push_rule(&mut text, upstream);
    }
    text
}

fn push_rule(text: &mut String, rule: Arguments<'_>) {
    writeln!(text, "{rule}  # ops").expect("writing to a string does not fail");
}
