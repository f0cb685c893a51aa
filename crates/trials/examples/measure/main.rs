//! Measurements with real processes on loopback.

mod config;
mod latency;
mod scenario;
mod service;

use std::process::ExitCode;

use anyhow::Result;
use celeryshore_standins::executor;
use getopts::Options;

const USAGE: &str = "Usage: measure [options] latency|config|service";
const THREADS: usize = 3;

fn main() -> ExitCode {
    let opts = options();
    match executor::run(THREADS, start(&opts)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure: {err:#}\n{}", opts.usage(USAGE));
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "nodes", "fleet sizes, separated by commas", "N,N");
    opts.optmulti("", "deployment", "association or hronec", "NAME");
    opts.optmulti(
        "",
        "scenario",
        "fault scenario of the service measurement",
        "NAME",
    );
    opts.optflag("", "naive", "also measure a naive client");
    opts
}

async fn start(opts: &Options) -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let m = opts.parse(args)?;
    match m.free.first().map(String::as_str) {
        Some("latency") => latency::measure().await,
        Some("config") => config::measure(&m).await,
        Some("service") => service::measure(&m).await,
        _ => anyhow::bail!("no measurement given: expected latency, config or service"),
    }
}
