//! Runs a stand-in: the platform, targets or a relay.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use celeryshore_standins::executor;
use celeryshore_standins::executor::spawn;
use celeryshore_standins::platform::Platform;
use celeryshore_standins::relay::Relay;
use celeryshore_standins::server;
use celeryshore_standins::target::Control;
use celeryshore_standins::target::Settings;
use celeryshore_standins::target::Target;
use getopts::Matches;
use getopts::Options;

const USAGE: &str = "Usage: standin [options] platform|targets|relay";
const THREADS: usize = 2;

fn main() -> ExitCode {
    let opts = options();
    match executor::run(THREADS, start(&opts)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err:#}\n{}", opts.usage(USAGE));
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.reqopt("", "control", "address of the control port", "ADDR");
    opts.optmulti("", "listen", "address to serve", "ADDR");
    opts.optmulti(
        "",
        "link",
        "address to listen on and address to forward to",
        "NEAR=FAR",
    );
    opts.optopt(
        "",
        "lag",
        "lag of the list of VMs or of the health endpoint",
        "TIME",
    );
    opts.optopt("", "slots", "concurrent requests when warm", "N");
    opts.optopt("", "cold-slots", "concurrent requests when cold", "N");
    opts.optopt("", "connections", "maximum number of open connections", "N");
    opts.optopt("", "cold-time", "maximum duration of a cold start", "TIME");
    opts.optopt("", "cold-answers", "responses that end a cold start", "N");
    opts.optopt("", "service-time", "mean run time of a request", "TIME");
    opts.optmulti(
        "",
        "path",
        "mean run time of requests to a path",
        "PREFIX=TIME",
    );
    opts
}

async fn start(opts: &Options) -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let m = opts.parse(args)?;
    let control = m.opt_str("control").unwrap_or_default();
    let control: SocketAddr = control.parse().context("invalid --control")?;
    match m.free.first().map(String::as_str) {
        Some("platform") => platform(&m, control).await,
        Some("targets") => targets(&m, control).await,
        Some("relay") => relay(&m, control).await,
        _ => anyhow::bail!("no stand-in given: expected platform, targets or relay"),
    }
}

async fn platform(m: &Matches, control: SocketAddr) -> Result<()> {
    let platform = Platform::new(time(m, "lag", Duration::ZERO)?);
    for addr in addresses(m)? {
        spawn(platform.clone().serve(addr)).detach();
    }
    Ok(platform.serve_control(control).await?)
}

async fn targets(m: &Matches, control: SocketAddr) -> Result<()> {
    let settings = Arc::new(settings(m)?);
    let target = |addr| Target::new(addr, settings.clone());
    let targets: Vec<Target> = addresses(m)?.into_iter().map(target).collect();
    for target in &targets {
        spawn(target.clone().serve()).detach();
    }
    Ok(server::serve(control, Arc::new(Control(targets))).await?)
}

async fn relay(m: &Matches, control: SocketAddr) -> Result<()> {
    let relay = Relay::default();
    for link in m.opt_strs("link") {
        let (near, far) = link.split_once('=').context("invalid --link")?;
        spawn(relay.clone().serve_link(near.parse()?, far.parse()?)).detach();
    }
    Ok(relay.serve_control(control).await?)
}

fn settings(m: &Matches) -> Result<Settings> {
    let base = Settings::default();
    let path = |s: String| -> Result<(String, Duration)> {
        let (prefix, time) = s.split_once('=').context("invalid --path")?;
        Ok((prefix.to_owned(), humantime::parse_duration(time)?))
    };
    Ok(Settings {
        slots: m.opt_get_default("slots", base.slots)?,
        cold_slots: m.opt_get_default("cold-slots", base.cold_slots)?,
        connections: m.opt_get_default("connections", base.connections)?,
        cold_time: time(m, "cold-time", base.cold_time)?,
        cold_responses: m.opt_get_default("cold-answers", base.cold_responses)?,
        service_time: time(m, "service-time", base.service_time)?,
        path_service_times: m
            .opt_strs("path")
            .into_iter()
            .map(path)
            .collect::<Result<_>>()?,
        health_lag: time(m, "lag", base.health_lag)?,
        ..base
    })
}

fn addresses(m: &Matches) -> Result<Vec<SocketAddr>> {
    let parse = |s: String| s.parse().with_context(|| format!("invalid --listen {s}"));
    m.opt_strs("listen").into_iter().map(parse).collect()
}

fn time(m: &Matches, name: &'static str, default: Duration) -> Result<Duration> {
    let parse = |s: String| humantime::parse_duration(&s).context(name);
    m.opt_str(name).map_or(Ok(default), parse)
}
