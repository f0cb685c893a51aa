//! `dump NODE [--section NAME]`: prints the state of a node as JSON.

use std::io::Write;

use serde_json::Value;

use crate::Exit;
use crate::Result;
use crate::client;
use crate::command;
use crate::command::Args;
use crate::command::usage;
use crate::print;

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [node] = args.exactly("NODE")?;
    let path = match args.option("section") {
        Some(section) => format!("/dump/{}", checked(&section)?),
        None => "/dump".to_owned(),
    };
    let state: Value = client::ask(command::node(node)?, &path, args.timeout()?)?;
    print::json(out, &state)?;
    Ok(Exit::Success)
}

fn checked(section: &str) -> Result<&str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if section.bytes().all(plain) {
        return Ok(section);
    }
    Err(usage(format_args!(
        "{section:?} is not the name of a section"
    )))
}
