//! Command `explain RULES METHOD HOST PATH`: explains how a request is routed.

use std::io::Write;

use celeryshore_model::HttpRequest;

use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::input;
use crate::print;

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
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
