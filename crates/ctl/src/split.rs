//! Command `split RULES DIR`: writes a large rules file as parts with a manifest.

use std::fs;
use std::io::Write;
use std::path::Path;

use celeryshore_rules::MAX_PART_BYTES;
use serde::Serialize;

use crate::Category;
use crate::Error;
use crate::Exit;
use crate::Result;
use crate::command::Args;
use crate::input;
use crate::print;

const MANIFEST_FILE: &str = "rules";
const DEFAULT_REQUESTER: &str = "celeryshorectl split";

#[derive(Serialize)]
struct Report {
    /// Keys in the order of publication; the manifest is last.
    keys: Vec<String>,
}

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [file, dir] = args.exactly("RULES DIR")?;
    input::read_rules(file)?;
    let text = input::read_text(file)?;
    let requester = args.option("who").unwrap_or(DEFAULT_REQUESTER.to_owned());
    let split = celeryshore_rules::split(&text, MAX_PART_BYTES, &requester);
    let dir = Path::new(dir);
    fs::create_dir_all(dir).map_err(|err| file_error(dir, err))?;
    let mut keys = Vec::new();
    for (key, value) in &split.parts {
        write_file(&dir.join(key), value)?;
        keys.push(key.clone());
    }
    write_file(&dir.join(MANIFEST_FILE), &split.manifest)?;
    keys.push(MANIFEST_FILE.to_owned());
    print_report(args, Report { keys }, out)
}

fn write_file(path: &Path, value: &[u8]) -> Result<()> {
    fs::write(path, value).map_err(|err| file_error(path, err))
}

fn file_error(path: &Path, err: std::io::Error) -> Error {
    Error::new(Category::File, path.display().to_string()).with_source(err)
}

fn print_report(args: &Args, report: Report, out: &mut dyn Write) -> Result<Exit> {
    if args.json() {
        print::json(out, &report)?;
        return Ok(Exit::Success);
    }
    writeln!(out, "publish in this order:")?;
    for key in report.keys {
        writeln!(out, "{key}")?;
    }
    Ok(Exit::Success)
}
