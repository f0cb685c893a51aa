//! Program `celeryshorectl`.

use std::io;
use std::process::ExitCode;

use celeryshore_ctl::Category;
use celeryshore_ctl::Error;
use celeryshore_ctl::Exit;

/// Exit status for an invalid command line.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match celeryshore_ctl::run(&args, &mut io::stdout().lock()) {
        Ok(Exit::Success) => ExitCode::SUCCESS,
        Ok(Exit::Failure) => ExitCode::FAILURE,
        Err(err) => report_error(err),
    }
}

fn report_error(err: Error) -> ExitCode {
    let code = match err.classify() {
        Category::Usage => ExitCode::from(USAGE_ERROR),
        _ => ExitCode::FAILURE,
    };
    eprintln!("celeryshorectl: {:#}", anyhow::Error::from(err));
    code
}
