//! Prints the table of `docs/CAPACITY.md` from the slopes in a file.
//!
//! `cargo run -p celeryshore-trials --example capacity docs/slopes.json`

use std::env;
use std::fs;

use anyhow::Context;
use anyhow::Result;
use celeryshore_trials::capacity;
use celeryshore_trials::capacity::Slopes;

fn main() -> Result<()> {
    let path = env::args().nth(1).context("name the file of slopes")?;
    let text = fs::read_to_string(path)?;
    let rows = Slopes::from_json(&text)?.rows();
    println!("{}", capacity::render(&rows));
    Ok(())
}
