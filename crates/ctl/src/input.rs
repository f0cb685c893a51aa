//! Reading of rules files.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_rules::MAX_TEXT_BYTES;
use celeryshore_rules::Manifest;

use crate::Category;
use crate::Error;
use crate::Result;

/// Reads a rules text. If the file is a manifest, the parts are read from the
/// same directory and joined.
pub(crate) fn read_text(file: &str) -> Result<Bytes> {
    let path = Path::new(file);
    let value = read(path)?;
    let Some(manifest) = Manifest::from_slice(&value) else {
        return Ok(value);
    };
    let manifest = manifest.map_err(|err| rules_error(file, err))?;
    let dir = path.parent().unwrap_or(Path::new("."));
    let parts = manifest.parts().iter();
    let values: Result<Vec<_>> = parts.map(|part| read(&dir.join(&part.key))).collect();
    manifest
        .join(&values?)
        .map_err(|err| rules_error(file, err))
}

/// Reads and parses a rules file.
pub(crate) fn read_rules(file: &str) -> Result<Snapshot> {
    let text = read_text(file)?;
    let parsed = celeryshore_rules::from_slice(&text, Index::default());
    parsed.map_err(|err| rules_error(file, err))
}

fn read(path: &Path) -> Result<Bytes> {
    let file_error = || Error::new(Category::File, path.display().to_string());
    let size = fs::metadata(path)
        .map_err(|err| file_error().with_source(err))?
        .len();
    if size > u64::try_from(MAX_TEXT_BYTES).unwrap_or(u64::MAX) {
        return Err(Error::new(
            Category::Rules,
            format!("{}: file exceeds 8 MiB", path.display()),
        ));
    }
    let text = fs::read(path).map_err(|err| file_error().with_source(err))?;
    Ok(text.into())
}

fn rules_error(file: &str, err: celeryshore_rules::Error) -> Error {
    Error::new(Category::Rules, file).with_source(err.in_file(file))
}
