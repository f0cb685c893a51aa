//! The `celeryshore` binary, which validates a settings file or runs a node until it
//! receives SIGTERM or SIGINT.

use std::path::Path;
use std::process::ExitCode;
use std::thread;

use async_executor::StaticExecutor;
use async_signal::Signal;
use async_signal::Signals;
use celeryshore_node::Category;
use celeryshore_node::Command;
use celeryshore_node::Error;
use celeryshore_node::Node;
use celeryshore_node::Settings;
use celeryshore_platform as _;
use futures_lite::StreamExt;
use futures_lite::future;
use slog::Logger;

static EXECUTOR: StaticExecutor = StaticExecutor::new();

/// Exit code for an invalid command line or settings; 1 stands for other failures.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("celeryshore: {err}");
            exit_code(&err)
        }
    }
}

fn exit_code(err: &anyhow::Error) -> ExitCode {
    let category = err.downcast_ref::<Error>().map(Error::classify);
    match category {
        Some(Category::Usage | Category::Settings) => ExitCode::from(EXIT_BAD_INPUT),
        _ => ExitCode::FAILURE,
    }
}

fn run() -> anyhow::Result<()> {
    match Command::parse(std::env::args_os().skip(1))? {
        Command::Help => print!("{}", celeryshore_node::usage()),
        Command::Version => println!("celeryshore {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            Settings::read(path)?;
        }
        Command::Run(path) => serve(&path, &Settings::read(&path)?)?,
    }
    Ok(())
}

/// Validates the settings file again and logs the result.
///
/// A node reads settings only at startup. The configuration that changes at run time
/// comes from the platform.
fn report_changed_settings(path: &Path, current: &Settings, log: &Logger) {
    match Settings::read(path) {
        Ok(settings) if settings == *current => slog::info!(log, "node: settings unchanged"),
        Ok(_) => slog::warn!(
            log,
            "node: settings changed; the change takes effect after a restart"
        ),
        Err(err) => slog::error!(log, "node: changed settings are invalid"; "error" => %err),
    }
}

/// Runs a node until a signal other than SIGHUP arrives, then drains it.
///
/// The main thread drives the reactor and runs tasks; the others only run tasks.
fn serve(path: &Path, settings: &Settings) -> anyhow::Result<()> {
    let (log, _guard) = celeryshore_node::logger(settings.log);
    for _ in 1..settings.threads {
        thread::spawn(|| async_io::block_on(EXECUTOR.run(future::pending::<()>())));
    }
    async_io::block_on(EXECUTOR.run(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let node = Node::start(&EXECUTOR, settings.clone(), log.clone())?;
        while let Some(Ok(Signal::Hup)) = signals.next().await {
            report_changed_settings(path, settings, &log);
        }
        node.drain().await;
        Ok(())
    }))
}
