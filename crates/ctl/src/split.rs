//! `split RULES DIR`: writes a large rules file in parts, with their list.

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

const LIST_FILE: &str = "rules";
const DEFAULT_WHO: &str = "celeryshorectl split";

#[derive(Serialize)]
struct Written {
    /// Keys to publish, in this order; the list of the parts comes last.
    keys: Vec<String>,
}

pub(crate) fn run(args: &Args, out: &mut dyn Write) -> Result<Exit> {
    let [file, dir] = args.exactly("RULES DIR")?;
    input::read_rules(file)?;
    let text = input::read_text(file)?;
    let who = args.option("who").unwrap_or(DEFAULT_WHO.to_owned());
    let split = celeryshore_rules::split(&text, MAX_PART_BYTES, &who);
    let dir = Path::new(dir);
    fs::create_dir_all(dir).map_err(|err| no_access(dir, err))?;
    let mut keys = Vec::new();
    for (key, value) in &split.parts {
        write(&dir.join(key), value)?;
        keys.push(key.clone());
    }
    write(&dir.join(LIST_FILE), &split.manifest)?;
    keys.push(LIST_FILE.to_owned());
    report(args, Written { keys }, out)
}

fn write(path: &Path, value: &[u8]) -> Result<()> {
    fs::write(path, value).map_err(|err| no_access(path, err))
}

fn no_access(path: &Path, err: std::io::Error) -> Error {
    Error::new(Category::File, path.display().to_string()).because(err)
}

fn report(args: &Args, written: Written, out: &mut dyn Write) -> Result<Exit> {
    if args.json() {
        print::json(out, &written)?;
        return Ok(Exit::Success);
    }
    writeln!(out, "publish in this order:")?;
    for key in written.keys {
        writeln!(out, "{key}")?;
    }
    Ok(Exit::Success)
}
