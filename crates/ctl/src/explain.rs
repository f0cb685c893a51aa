//! Command `explain RULES METHOD HOST PATH`: explains how a request is routed. With
//! `--node`, a node explains it instead of a rules file.

use std::io::Write;

use celeryshore_model::HttpRequest;

use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::command::usage_error;
use crate::explain_node;
use crate::input;
use crate::print;

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    if let Some(node) = args.option("node") {
        return explain_node::run(args, &node, out);
    }
    if !args.options("header").is_empty() {
        return Err(usage_error("--header needs --node"));
    }
    let [file, method, host, path] = args.exactly("RULES METHOD HOST PATH")?;
    let req = HttpRequest {
        method: method.to_ascii_uppercase().into(),
        host: host.to_owned().into(),
        path: path.to_owned().into(),
        ..HttpRequest::default()
    };
    let explanation = celeryshore_rules::explain(&input::read_rules(file)?, &req);
    if args.json() {
        print::json(out, &explanation)?;
    } else {
        write!(out, "{explanation}")?;
    }
    match explanation.route {
        Some(_) => Ok(Exit::Success),
        None => Ok(Exit::Failure),
    }
}
