//! Command `dump NODE [--section NAME]`: prints the state of a node as JSON.

use std::io::Write;

use serde_json::Value;

use crate::Exit;
use crate::Result;
use crate::client;
use crate::command;
use crate::command::Args;
use crate::command::usage_error;
use crate::print;

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [node] = args.exactly("NODE")?;
    let path = match args.option("section") {
        Some(section) => format!("/dump/{}", validate_section(&section)?),
        None => "/dump".to_owned(),
    };
    let state: Value = client::fetch(command::parse_node(node)?, &path, args.timeout()?)?;
    print::json(out, &state)?;
    Ok(Exit::Success)
}

fn validate_section(section: &str) -> Result<&str> {
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if section.bytes().all(is_name_byte) {
        return Ok(section);
    }
    Err(usage_error(format_args!(
        "{section:?} is not a valid section name"
    )))
}
