//! Command `diff OLD NEW`: compares two rules files rule by rule.

use std::io::Write;

use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::input;
use crate::print;

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [old, new] = args.exactly("OLD NEW")?;
    let diff = celeryshore_rules::diff(&input::read_rules(old)?, &input::read_rules(new)?);
    if args.json() {
        print::json(out, &diff)?;
    } else if diff.is_empty() {
        writeln!(out, "no rule differs")?;
    } else {
        write!(out, "{diff}")?;
    }
    Ok(Exit::Success)
}
