//! Stand-ins and drivers of the cases under `review/`. Usage: `review-standins CASE
//! RECORD FOLDER`; `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cold;
mod config;
mod deployment;
mod expect;
mod grace;
mod http;
mod names;
mod pipelined;
mod poison;
mod record;
mod store;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, dir] = &args[..] else {
        eprintln!("usage: review-standins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    };
    let (record, dir) = (Arc::new(record), PathBuf::from(dir));
    let run = || match case.as_str() {
        "cold" => cold::run(&record, dir.clone(), has_trouble),
        "expect" => expect::run(&record, dir.clone(), has_trouble),
        "grace" => grace::run(&record, dir.clone(), has_trouble),
        "names" => names::run(&record, dir.clone(), has_trouble),
        "poison" => poison::run(&record, dir.clone(), has_trouble),
        "pipelined" => pipelined::run(&record, dir.clone(), has_trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("the driver failed".into()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&format!("verdict    {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
