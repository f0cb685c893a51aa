//! Prints the capacity table of `docs/CAPACITY.md` from a file of slopes.
//!
//! `cargo run -p celeryshore-trials --example capacity docs/slopes.json`

use std::env;
use std::fs;

use anyhow::Context;
use anyhow::Result;
use celeryshore_trials::capacity;
use celeryshore_trials::capacity::Slopes;

fn main() -> Result<()> {
    let path = env::args().nth(1).context("no slopes file given")?;
    let text = fs::read_to_string(path)?;
    let rows = Slopes::from_json(&text)?.rows();
    println!("{}", capacity::render(&rows));
    Ok(())
}
