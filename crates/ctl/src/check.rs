//! Command `check RULES`: validates a rules file.

use std::io::Write;

use celeryshore_model::Snapshot;
use celeryshore_model::Version;
use celeryshore_model::Workspace;
use celeryshore_rules::Problem;
use celeryshore_rules::Warning;
use serde::Serialize;

use crate::Category;
use crate::Error;
use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::input;
use crate::print;

#[derive(Serialize)]
struct Report<'a> {
    accepted: bool,
    version: Option<Version>,
    problems: &'a [Problem],
    warnings: &'a [Warning],
    /// Workspaces with the fingerprints of their keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    workspaces: Vec<&'a Workspace>,
}

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [file] = args.exactly("RULES")?;
    match input::read_rules(file) {
        Ok(snapshot) => report_accepted(file, &snapshot, args.json(), out),
        Err(err) if err.classify() == Category::Rules => report_refused(&err, args.json(), out),
        Err(err) => Err(err),
    }
}

fn report_accepted(
    file: &str,
    snapshot: &Snapshot,
    json: bool,
    out: &mut dyn Write,
) -> Result<Exit> {
    let warnings = celeryshore_rules::warnings(snapshot);
    if json {
        let report = Report {
            accepted: true,
            version: Some(snapshot.version),
            problems: &[],
            warnings: &warnings,
            workspaces: snapshot.workspaces.values().collect(),
        };
        print::json(out, &report)?;
        return Ok(Exit::Success);
    }
    for warning in &warnings {
        writeln!(out, "{file}: warning: {warning}")?;
    }
    let Snapshot {
        services,
        upstreams,
        routes,
        ..
    } = snapshot;
    let (services, upstreams, routes) = (services.len(), upstreams.len(), routes.len());
    let digest = snapshot.version.digest;
    writeln!(
        out,
        "{file}: accepted: {services} services, {upstreams} upstreams, {routes} routes; \
         digest {digest}"
    )?;
    for workspace in snapshot.workspaces.values() {
        let keys: Vec<_> = workspace.keys.iter().map(ToString::to_string).collect();
        let (name, priority) = (&workspace.name, workspace.priority);
        writeln!(
            out,
            "workspace {name}: keys {}; priority {priority}",
            keys.join(", ")
        )?;
    }
    Ok(Exit::Success)
}

fn report_refused(err: &Error, json: bool, out: &mut dyn Write) -> Result<Exit> {
    let source = std::error::Error::source(err);
    if json {
        let rules = source.and_then(|err| err.downcast_ref::<celeryshore_rules::Error>());
        let report = Report {
            accepted: false,
            version: None,
            problems: rules.map_or(&[], celeryshore_rules::Error::problems),
            warnings: &[],
            workspaces: Vec::new(),
        };
        print::json(out, &report)?;
    } else if let Some(source) = source {
        writeln!(out, "{source}")?;
    } else {
        writeln!(out, "{err}")?;
    }
    Ok(Exit::Failure)
}
